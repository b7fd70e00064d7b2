package bwdev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwsettings"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakeengine"
)

func (flt *Fleet) addRouter(index int) error {
	set := bwsettings.Router{
		Identity:  flt.identity("router", index),
		Callers:   bwsettings.CallerListener{Address: loopbackAnyPort},
		Peers:     bwsettings.PeerListener{Address: loopbackAnyPort},
		Operators: flt.operatorListener(),
		SeedPeers: flt.seedPeers(),
		Platform:  flt.platformSettings(),
		DrainTime: flt.cfg.DrainTime,
		Log:       bwsettings.Log{Level: flt.cfg.LogLevel},
	}
	rtr, err := flt.startRouter(set)
	if err != nil {
		return err
	}
	set.Callers.Address = rtr.CallerAddress()
	set.Peers.Address = rtr.Member().Address
	set.Operators.Address = rtr.OperatorAddress()
	flt.Routers = append(flt.Routers, rtr)
	flt.routerSettings = append(flt.routerSettings, set)
	return nil
}

// startRouter starts a router with the given settings.
func (flt *Fleet) startRouter(set bwsettings.Router) (*bwrouter.Router, error) {
	cfg := bwrouter.Config{
		Settings:    set,
		LogOutput:   flt.cfg.LogOutput,
		RoutePolicy: flt.cfg.RoutePolicy,
		AdmitPolicy: flt.cfg.AdmitPolicy,
		HedgePolicy: flt.cfg.HedgePolicy,
		NoResume:    flt.cfg.NoResume,
		Duties:      flt.cfg.Duties,
		OnResume:    flt.cfg.OnResume,
	}
	if nw := flt.cfg.Network; nw != nil {
		cfg.Dial, cfg.Listen = nw.Dial(string(set.Identity.ID)), nw.Listen(string(set.Identity.ID))
	}
	rtr, err := bwrouter.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("start router %s: %w", set.Identity.ID, err)
	}
	rtr.Start(flt.ctx)
	return rtr, nil
}

func (flt *Fleet) addEngine(index int) error {
	cfg := flt.cfg.Engine
	cfg.Address = loopbackAnyPort
	fake, err := bwfakeengine.New(cfg)
	if err != nil {
		return fmt.Errorf("start engine %d: %w", index, err)
	}
	if err := fake.Start(flt.ctx); err != nil {
		return fmt.Errorf("start engine %d: %w", index, err)
	}
	eng := &Engine{
		Name: bwmodel.UpstreamID(fmt.Sprintf("%s-%d", flt.cfg.ModelService, index+1)),
		Fake: fake,
		Zone: flt.zoneOf(index),
	}
	flt.registerAddresses(string(eng.Name), fake.Address())
	eng.Agent, eng.settings, err = flt.createAgent(index, bwsettings.UpstreamSettings{
		Name:    eng.Name,
		Service: flt.cfg.ModelService,
		Kind:    bwmodel.ModelService.String(),
		Address: fake.Address(),
		Slots:   max(cfg.Slots, 1),
	})
	if err != nil {
		return err
	}
	flt.Engines = append(flt.Engines, eng)
	return nil
}

func (flt *Fleet) addApp(index int) error {
	app := &App{
		Name: bwmodel.UpstreamID(fmt.Sprintf("%s-%d", flt.cfg.PlainService, index+1)),
		Zone: flt.zoneOf(index),
	}
	cfg := flt.cfg.App
	cfg.Name = string(app.Name)
	app.Fake = bwfakeapp.New(cfg)
	app.Fake.Start(flt.ctx)
	lis, err := net.Listen("tcp", loopbackAnyPort.String())
	if err != nil {
		return fmt.Errorf("start app %d: %w", index, err)
	}
	srv := &appServer{app: app.Fake, lis: lis}
	go srv.run(flt.ctx)
	flt.registerAddresses(string(app.Name), lis.Addr().(*net.TCPAddr).AddrPort())
	app.Agent, app.settings, err = flt.createAgent(index, bwsettings.UpstreamSettings{
		Name:    app.Name,
		Service: flt.cfg.PlainService,
		Kind:    bwmodel.PlainService.String(),
		Address: lis.Addr().(*net.TCPAddr).AddrPort(),
		Slots:   flt.cfg.AppSlots,
	})
	if err != nil {
		return err
	}
	flt.Apps = append(flt.Apps, app)
	return nil
}

// createAgent starts an agent for an upstream and returns it with its settings,
// which contain the ports that it listens on.
func (flt *Fleet) createAgent(index int, ups bwsettings.UpstreamSettings) (*bwagent.Agent, bwsettings.Agent, error) {
	set := bwsettings.Agent{
		Identity:  flt.identity("agent-"+string(ups.Service), index),
		Peers:     bwsettings.PeerListener{Address: loopbackAnyPort},
		Operators: flt.operatorListener(),
		Upstream:  ups,
		SeedPeers: flt.seedPeers(),
		Platform:  flt.platformSettings(),
		DrainTime: flt.cfg.DrainTime,
		Log:       bwsettings.Log{Level: flt.cfg.LogLevel},
	}
	agt, err := flt.startAgent(set)
	if err != nil {
		return nil, set, err
	}
	set.Peers.Address = agt.Address()
	set.Operators.Address = agt.OperatorAddress()
	return agt, set, nil
}

// startAgent starts an agent with the given settings.
func (flt *Fleet) startAgent(set bwsettings.Agent) (*bwagent.Agent, error) {
	cfg := bwagent.Config{Settings: set, LogOutput: flt.cfg.LogOutput}
	if nw := flt.cfg.Network; nw != nil {
		cfg.Dial, cfg.Listen = nw.Dial(string(set.Identity.ID)), nw.Listen(string(set.Identity.ID))
	}
	agt, err := bwagent.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("start agent of %s: %w", set.Upstream.Name, err)
	}
	agt.Start(flt.ctx)
	return agt, nil
}

// registerAddresses registers the addresses of a stand-in in the network, if any.
func (flt *Fleet) registerAddresses(name string, addrs ...netip.AddrPort) {
	if flt.cfg.Network == nil {
		return
	}
	for _, addr := range addrs {
		flt.cfg.Network.AddListener(name, addr)
	}
}

func (flt *Fleet) identity(kind string, index int) bwsettings.Identity {
	return bwsettings.Identity{
		ID:     bwmodel.MemberID(fmt.Sprintf("%s-%d", kind, index+1)),
		Region: flt.cfg.Region,
		Zone:   flt.zoneOf(index),
	}
}

func (flt *Fleet) zoneOf(index int) bwmodel.ZoneID { return flt.cfg.Zones[index%len(flt.cfg.Zones)] }

func (flt *Fleet) seedPeers() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, rtr := range flt.Routers {
		addrs = append(addrs, rtr.Member().Address)
	}
	return addrs
}

func (flt *Fleet) operatorListener() bwsettings.OperatorListener {
	hash := sha256.Sum256([]byte(OperatorKey))
	return bwsettings.OperatorListener{
		Address: loopbackAnyPort,
		Keys:    []bwsettings.OperatorKey{{Name: "dev", SHA256: hex.EncodeToString(hash[:])}},
	}
}

func (flt *Fleet) platformSettings() bwsettings.Platform {
	return bwsettings.Platform{
		Table:       bwsettings.Table{Address: flt.Platform.TableAddress(), Name: "bilberrywick", SigningRegion: "local"},
		Objects:     bwsettings.ObjectStore{Address: flt.Platform.ObjectsAddress(), Bucket: "bilberrywick", SigningRegion: "local"},
		VMList:      bwsettings.VMList{Address: flt.Platform.ListAddress()},
		Credentials: bwsettings.Credentials{AccessKeyID: "dev", SecretKey: "dev"},
		Timeout:     2 * time.Second,
	}
}

// appServer serves the stand-in of a plain service until the fleet is closed.
type appServer struct {
	app *bwfakeapp.App
	lis net.Listener
}

func (srv *appServer) run(ctx context.Context) {
	if err := srv.app.Serve(ctx, srv.lis); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = srv.lis.Close()
	}
}
