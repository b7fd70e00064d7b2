package bwdev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakeengine"
	"bilberrywick/standin/bwfakenet"
	"bilberrywick/standin/bwfakestore"
)

// Fleet is a complete system on loopback: stand-ins, agents and routers. Code that
// runs concurrently with a restart must read them through Router and Agents.
type Fleet struct {
	Platform *bwfakestore.Server
	Engines  []*Engine
	Apps     []*App
	Routers  []*bwrouter.Router

	cfg Config
	// routerSettings are the routers' settings with the ports that they listen on.
	routerSettings []bwsettings.Router
	ctx            context.Context
	cancel         context.CancelFunc
	// failedZone is the zone that FailZone killed, or nil.
	failedZone atomic.Pointer[bwmodel.ZoneID]
	// mu guards the pointers to routers and agents, which a restart replaces.
	mu sync.RWMutex
}

// Engine is a model engine with its agent.
type Engine struct {
	Name  bwmodel.UpstreamID
	Fake  *bwfakeengine.Engine
	Agent *bwagent.Agent
	Zone  bwmodel.ZoneID

	settings bwsettings.Agent
}

// App is an instance of a plain service with its agent.
type App struct {
	Name  bwmodel.UpstreamID
	Fake  *bwfakeapp.App
	Agent *bwagent.Agent
	Zone  bwmodel.ZoneID

	settings bwsettings.Agent
}

// Config configures a Fleet. Engines and Apps may be 0; other zero values mean the defaults.
type Config struct {
	Region  bwmodel.RegionID
	Zones   []bwmodel.ZoneID
	Routers int
	// ModelService and PlainService are the names of the two services.
	ModelService bwmodel.ServiceID
	PlainService bwmodel.ServiceID
	// Models are the models of the model service; empty means one named like the service.
	Models  []bwwire.ServedModelDocument
	Engines int
	Engine  bwfakeengine.Config
	Apps    int
	App     bwfakeapp.Config
	// AppSlots is the maximum number of concurrent requests of an app.
	AppSlots int
	Teams    []Team
	// QueueLimit and Deadline apply to both services.
	QueueLimit int
	Deadline   time.Duration
	DrainTime  time.Duration
	LogOutput  io.Writer
	LogLevel   string
	// NoResume makes routers end a generation whose engine fails; used as a baseline.
	NoResume bool
	// Duties configures the times of the routers' control duties.
	Duties bwrouter.DutyTiming
	// OnResume is called after each resumed generation; may be nil.
	OnResume func(cause string, latency time.Duration, recomputed int)
	// Network carries the connections of routers and agents, so that a test can
	// break them; nil means TCP.
	Network *bwfakenet.Network
	// RoutePolicy, AdmitPolicy and HedgePolicy are the routers' policies.
	RoutePolicy bwroute.Policy
	AdmitPolicy bwadmit.Policy
	HedgePolicy func(bwretry.Latencies) (time.Duration, bool)
}

// Team holds a team's name, the key that its callers send, and its weight. A weight
// below 1 counts as 1.
type Team struct {
	Name   bwmodel.TeamID
	Key    string
	Weight int
}

// OperatorKey is the operator's key of every fleet of this package.
const OperatorKey = "dev-operator"

const (
	defaultAppSlots   = 32
	defaultQueueLimit = 1000
	defaultDeadline   = 30 * time.Second
	defaultDrainTime  = 10 * time.Second
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// loopbackAnyPort makes a listener choose a free port on the loopback address.
var loopbackAnyPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Start starts a fleet and applies the first ticket. It returns once all routers are
// ready and have a status from each followed upstream; on an error it stops all parts.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(ctx)
	flt := &Fleet{cfg: cfg, ctx: ctx, cancel: cancel}
	if err := flt.startAll(); err != nil {
		flt.Close()
		return nil, err
	}
	return flt, nil
}

// Close stops all parts at once, without a drain.
func (flt *Fleet) Close() {
	failed := flt.failedZone.Load()
	running := func(zone bwmodel.ZoneID) bool { return failed == nil || zone != *failed }
	for ix, rtr := range flt.Routers {
		if running(flt.zoneOf(ix)) {
			_ = rtr.Kill()
		}
	}
	for _, eng := range flt.Engines {
		if running(eng.Zone) {
			_ = eng.Agent.Kill()
		}
	}
	for _, app := range flt.Apps {
		if running(app.Zone) {
			_ = app.Agent.Kill()
		}
	}
	flt.cancel()
	if flt.Platform != nil {
		flt.Platform.Close()
	}
}

// CallerAddresses returns the callers' listeners of the routers that are ready, to
// which the platform's load balancer would connect.
func (flt *Fleet) CallerAddresses() []netip.AddrPort {
	failed := flt.failedZone.Load()
	flt.mu.RLock()
	defer flt.mu.RUnlock()
	var addrs []netip.AddrPort
	for ix, rtr := range flt.Routers {
		if failed != nil && flt.zoneOf(ix) == *failed {
			continue
		}
		if rtr.Ready() == nil {
			addrs = append(addrs, rtr.CallerAddress())
		}
	}
	return addrs
}

// FailZone kills every router, agent and engine of the zone at an index of
// Config.Zones; it can be called once.
func (flt *Fleet) FailZone(ctx context.Context, index int) error {
	zone := flt.zoneOf(index)
	flt.failedZone.Store(&zone)
	var err error
	for ix, rtr := range flt.Routers {
		if flt.zoneOf(ix) == zone {
			err = errors.Join(err, rtr.Kill())
		}
	}
	for _, eng := range flt.Engines {
		if eng.Zone == zone {
			err = errors.Join(err, eng.Fake.Kill(ctx), eng.Agent.Kill())
		}
	}
	for _, app := range flt.Apps {
		if app.Zone == zone {
			err = errors.Join(err, app.Agent.Kill())
		}
	}
	return err
}

// Teams returns the configured teams.
func (flt *Fleet) Teams() []Team { return flt.cfg.Teams }

// FullTicket returns a ticket with the number and all services, teams and upstreams
// of the fleet.
func (flt *Fleet) FullTicket(num bwmodel.TicketNumber) bwwire.TicketDocument {
	flt.mu.RLock()
	defer flt.mu.RUnlock()
	doc := bwwire.TicketDocument{
		Number:   num,
		Comment:  "create the services, teams and upstreams",
		Services: flt.serviceDocuments(),
	}
	for _, team := range flt.cfg.Teams {
		hash := sha256.Sum256([]byte(team.Key))
		doc.Teams = append(doc.Teams, bwwire.TeamDocument{
			Name:   team.Name,
			Keys:   []bwwire.TeamKeyDocument{{SHA256: hex.EncodeToString(hash[:])}},
			Weight: max(team.Weight, 1),
		})
	}
	for _, eng := range flt.Engines {
		doc.Upstreams = append(doc.Upstreams, bwwire.UpstreamDocument{
			Name:    eng.Name,
			Service: flt.cfg.ModelService,
			Region:  flt.cfg.Region,
			Zone:    eng.Zone,
			Agent:   eng.Agent.Address(),
			Slots:   max(flt.cfg.Engine.Slots, 1),
		})
	}
	for _, app := range flt.Apps {
		doc.Upstreams = append(doc.Upstreams, bwwire.UpstreamDocument{
			Name:    app.Name,
			Service: flt.cfg.PlainService,
			Region:  flt.cfg.Region,
			Zone:    app.Zone,
			Agent:   app.Agent.Address(),
			Slots:   flt.cfg.AppSlots,
		})
	}
	return doc
}

func (flt *Fleet) serviceDocuments() []bwwire.ServiceDocument {
	return []bwwire.ServiceDocument{
		{
			Name:       flt.cfg.ModelService,
			Kind:       bwmodel.ModelService.String(),
			Models:     flt.cfg.Models,
			Class:      bwmodel.PromptClass.String(),
			QueueLimit: flt.cfg.QueueLimit,
			Deadline:   bwwire.DurationText(flt.cfg.Deadline),
		},
		{
			Name:       flt.cfg.PlainService,
			Kind:       bwmodel.PlainService.String(),
			Class:      bwmodel.PromptClass.String(),
			QueueLimit: flt.cfg.QueueLimit,
			Deadline:   bwwire.DurationText(flt.cfg.Deadline),
			Actions:    []string{"/orders", "/payments"},
		},
	}
}

func (flt *Fleet) startAll() error {
	flt.Platform = bwfakestore.New(bwfakestore.Config{})
	if err := flt.Platform.Start(flt.ctx); err != nil {
		return fmt.Errorf("start platform stand-in: %w", err)
	}
	flt.registerAddresses(PlatformNode, flt.Platform.TableAddress(), flt.Platform.ObjectsAddress(), flt.Platform.ListAddress())
	for ix := range flt.cfg.Routers {
		if err := flt.addRouter(ix); err != nil {
			return err
		}
	}
	for ix := range flt.cfg.Engines {
		if err := flt.addEngine(ix); err != nil {
			return err
		}
	}
	for ix := range flt.cfg.Apps {
		if err := flt.addApp(ix); err != nil {
			return err
		}
	}
	if _, err := flt.Routers[0].Fleet().SubmitTicket(flt.ctx, flt.FullTicket(1)); err != nil {
		return fmt.Errorf("apply the first ticket: %w", err)
	}
	return flt.awaitReady()
}

// awaitReady polls checkReady until it returns nil or readyTimeout has passed.
func (flt *Fleet) awaitReady() error {
	ctx, cancel := context.WithTimeout(flt.ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		notReady := flt.checkReady()
		if notReady == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("fleet is not ready after %v: %w", readyTimeout, notReady)
		}
	}
}

func (flt *Fleet) checkReady() error {
	for _, rtr := range flt.Routers {
		if err := rtr.Ready(); err != nil {
			return fmt.Errorf("router %s: %w", rtr.Member().ID, err)
		}
		for _, name := range []bwmodel.ServiceID{flt.cfg.ModelService, flt.cfg.PlainService} {
			if _, ok := rtr.Services().Service(name); !ok {
				return fmt.Errorf("router %s: service %s is not in effect", rtr.Member().ID, name)
			}
		}
		if missing := rtr.Services().UnreportedUpstreams(); len(missing) > 0 {
			return fmt.Errorf("router %s: no status from %v", rtr.Member().ID, missing)
		}
	}
	return nil
}

func withDefaults(cfg Config) Config {
	if len(cfg.Zones) == 0 {
		cfg.Zones = []bwmodel.ZoneID{"brezno", "zvolen", "polomka"}
	}
	if cfg.Region == "" {
		cfg.Region = "sk-stred"
	}
	if cfg.ModelService == "" {
		cfg.ModelService = "pisar-model"
	}
	if cfg.PlainService == "" {
		cfg.PlainService = "objednavky-pult"
	}
	if len(cfg.Engine.Models) == 0 {
		cfg.Engine.Models = []string{string(cfg.ModelService)}
	}
	if len(cfg.Teams) == 0 {
		cfg.Teams = []Team{{Name: "rezbari", Key: "dev-team", Weight: 1}}
	}
	if cfg.AppSlots == 0 {
		cfg.AppSlots = defaultAppSlots
	}
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = defaultQueueLimit
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	if cfg.DrainTime == 0 {
		cfg.DrainTime = defaultDrainTime
	}
	if cfg.LogLevel == "" {
		cfg.LogLevel = "Info"
	}
	if cfg.LogOutput == nil {
		cfg.LogOutput = io.Discard
	}
	cfg.Routers = max(cfg.Routers, 1)
	return cfg
}
