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

func (flt *Fleet) startRouter(index int) error {
	set := bwsettings.Router{
		Identity:  flt.identity("router", index),
		Callers:   bwsettings.CallerListener{Address: loopback},
		Peers:     bwsettings.PeerListener{Address: loopback},
		Operators: flt.operatorListener(),
		SeedPeers: flt.seeds(),
		Platform:  flt.platform(),
		DrainTime: flt.cfg.DrainTime,
		Log:       bwsettings.Log{Level: flt.cfg.LogLevel},
	}
	rtr, err := flt.newRouter(set)
	if err != nil {
		return err
	}
	set.Callers.Address = rtr.CallerAddress()
	set.Peers.Address = rtr.Member().Address
	set.Operators.Address = rtr.OperatorAddress()
	flt.Routers = append(flt.Routers, rtr)
	flt.settings = append(flt.settings, set)
	return nil
}

// newRouter starts a router on the settings given.
func (flt *Fleet) newRouter(set bwsettings.Router) (*bwrouter.Router, error) {
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

func (flt *Fleet) startEngine(index int) error {
	cfg := flt.cfg.Engine
	cfg.Address = loopback
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
		Zone: flt.zone(index),
	}
	flt.place(string(eng.Name), fake.Address())
	eng.Agent, eng.settings, err = flt.startAgent(index, bwsettings.UpstreamSettings{
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

func (flt *Fleet) startApp(index int) error {
	app := &App{
		Name: bwmodel.UpstreamID(fmt.Sprintf("%s-%d", flt.cfg.PlainService, index+1)),
		Zone: flt.zone(index),
	}
	cfg := flt.cfg.App
	cfg.Name = string(app.Name)
	app.Fake = bwfakeapp.New(cfg)
	app.Fake.Start(flt.ctx)
	lis, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return fmt.Errorf("start app %d: %w", index, err)
	}
	serving := &appServing{app: app.Fake, lis: lis}
	go serving.run(flt.ctx)
	flt.place(string(app.Name), lis.Addr().(*net.TCPAddr).AddrPort())
	app.Agent, app.settings, err = flt.startAgent(index, bwsettings.UpstreamSettings{
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

// startAgent starts an agent and returns it with its settings, which have the
// ports that it was given.
func (flt *Fleet) startAgent(index int, ups bwsettings.UpstreamSettings) (*bwagent.Agent, bwsettings.Agent, error) {
	set := bwsettings.Agent{
		Identity:  flt.identity("agent-"+string(ups.Service), index),
		Peers:     bwsettings.PeerListener{Address: loopback},
		Operators: flt.operatorListener(),
		Upstream:  ups,
		SeedPeers: flt.seeds(),
		Platform:  flt.platform(),
		DrainTime: flt.cfg.DrainTime,
		Log:       bwsettings.Log{Level: flt.cfg.LogLevel},
	}
	agt, err := flt.newAgent(set)
	if err != nil {
		return nil, set, err
	}
	set.Peers.Address = agt.Address()
	set.Operators.Address = agt.OperatorAddress()
	return agt, set, nil
}

// newAgent starts an agent on the settings given.
func (flt *Fleet) newAgent(set bwsettings.Agent) (*bwagent.Agent, error) {
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

// place tells the network where a stand-in listens.
func (flt *Fleet) place(name string, addrs ...netip.AddrPort) {
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
		Zone:   flt.zone(index),
	}
}

func (flt *Fleet) zone(index int) bwmodel.ZoneID { return flt.cfg.Zones[index%len(flt.cfg.Zones)] }

func (flt *Fleet) seeds() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, rtr := range flt.Routers {
		addrs = append(addrs, rtr.Member().Address)
	}
	return addrs
}

func (flt *Fleet) operatorListener() bwsettings.OperatorListener {
	hash := sha256.Sum256([]byte(OperatorKey))
	return bwsettings.OperatorListener{
		Address: loopback,
		Keys:    []bwsettings.OperatorKey{{Name: "dev", SHA256: hex.EncodeToString(hash[:])}},
	}
}

func (flt *Fleet) platform() bwsettings.Platform {
	return bwsettings.Platform{
		Table:       bwsettings.Table{Address: flt.Platform.TableAddress(), Name: "bilberrywick", SigningRegion: "local"},
		Objects:     bwsettings.ObjectStore{Address: flt.Platform.ObjectsAddress(), Bucket: "bilberrywick", SigningRegion: "local"},
		VMList:      bwsettings.VMList{Address: flt.Platform.ListAddress()},
		Credentials: bwsettings.Credentials{AccessKeyID: "dev", SecretKey: "dev"},
		Timeout:     2 * time.Second,
	}
}

// appServing serves a plain service's stand-in until the fleet ends.
type appServing struct {
	app *bwfakeapp.App
	lis net.Listener
}

func (asv *appServing) run(ctx context.Context) {
	if err := asv.app.Serve(ctx, asv.lis); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = asv.lis.Close()
	}
}
