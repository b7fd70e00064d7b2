package bwfleet_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Latencies of one way, as in the target scale's regions and zones.
const (
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 1500 * time.Microsecond
	farDelay    = 40 * time.Millisecond
)

// grid joins processes of several regions and zones and one store in memory.
// One process in four is a router.
type grid struct {
	t      *testing.T
	store  *network
	codec  *bwrpc.Codec
	procs  []*gridProcess
	byAddr map[netip.AddrPort]*gridProcess
	mu     sync.Mutex
	// counting says that messages and their bytes are counted.
	counting bool
	messages int
	bytes    int
	// split separates region 0 from the others, and away from the store too.
	split bool
	away  bool
}

type gridProcess struct {
	grid   *grid
	fleet  *bwfleet.Fleet
	self   bwmodel.Member
	region int
	cancel context.CancelFunc
	// dead processes answer nothing, not even with a reset.
	dead bool
	// sent and received count bytes while the grid counts.
	sent     int
	received int
}

const (
	gridRegions = 6
	gridZones   = 17
	gridSeeds   = 5
)

// onGrid runs a test on processes that have known each other for 20 s.
func onGrid(t *testing.T, processes int, test func(t *testing.T, grd *grid)) {
	synctest.Test(t, func(t *testing.T) {
		cod, err := bwrpc.NewCodec()
		if err != nil {
			t.Fatal(err)
		}
		grd := &grid{t: t, store: newNetwork(), codec: cod, byAddr: make(map[netip.AddrPort]*gridProcess)}
		grd.store.accept(1)
		for ix := range processes {
			grd.start(ix)
		}
		time.Sleep(20 * time.Second)
		test(t, grd)
		for _, prc := range grd.procs {
			prc.cancel()
			prc.fleet.Wait()
		}
	})
}

func gridAddress(ix int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(ix >> 16), byte(ix >> 8), byte(ix)}), 7000)
}

// start runs a process; its place follows from its index, and one that has run
// before is replaced by a new VM with the same name.
func (grd *grid) start(ix int) *gridProcess {
	zone := ix / 4 % gridZones
	prc := &gridProcess{grid: grd, region: zone % gridRegions}
	prc.self = bwmodel.Member{
		ID:          bwmodel.MemberID(fmt.Sprintf("router-%04d", ix)),
		Incarnation: bwmodel.NewIncarnation(time.Now()),
		Role:        bwmodel.RouterRole,
		Region:      bwmodel.RegionID(fmt.Sprint("region-", prc.region)),
		Zone:        bwmodel.ZoneID(fmt.Sprintf("zone-%02d", zone)),
		Address:     gridAddress(len(grd.procs)),
	}
	if ix%4 != 0 {
		prc.self.ID, prc.self.Role = bwmodel.MemberID(fmt.Sprintf("agent-%04d", ix)), bwmodel.AgentRole
	}
	cfg := bwfleet.Config{
		Self:  prc.self,
		Store: bwfleet.Store{Head: prc.head, TicketsAfter: prc.after, ReadState: prc.read},
		Peers: bwfleet.Peers{Exchange: prc.exchange, Tickets: prc.tickets, Members: prc.members},
	}
	for seed := range gridSeeds {
		cfg.Seeds = append(cfg.Seeds, gridAddress(4*seed))
	}
	fl, err := bwfleet.New(cfg)
	if err != nil {
		grd.t.Fatal(err)
	}
	prc.fleet = fl
	grd.mu.Lock()
	grd.procs = append(grd.procs, prc)
	grd.byAddr[prc.self.Address] = prc
	grd.mu.Unlock()
	ctx, cancel := context.WithCancel(grd.t.Context())
	prc.cancel = cancel
	fl.Start(ctx)
	return prc
}

// kill makes a process silent, as the loss of its VM or a cut cable does.
func (grd *grid) kill(prc *gridProcess) {
	grd.mu.Lock()
	prc.dead = true
	grd.mu.Unlock()
	prc.cancel()
}

func (grd *grid) cut(split, away bool) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	grd.split, grd.away = split, away
}

// routers returns the live routers.
func (grd *grid) routers() []*gridProcess {
	var rtrs []*gridProcess
	for _, prc := range grd.procs {
		if prc.self.Role == bwmodel.RouterRole && !prc.dead {
			rtrs = append(rtrs, prc)
		}
	}
	return rtrs
}

// living returns the processes that were not killed.
func (grd *grid) living() []*gridProcess {
	var procs []*gridProcess
	for _, prc := range grd.procs {
		if !prc.dead {
			procs = append(procs, prc)
		}
	}
	return procs
}

// until returns the time until a condition holds for all of some processes, in
// steps of 10 ms, or twice the limit.
func until(procs []*gridProcess, holds func(*gridProcess) bool) time.Duration {
	const step = 10 * time.Millisecond
	for took := time.Duration(0); took < 2*limit; took += step {
		missing := false
		for _, prc := range procs {
			if !holds(prc) {
				missing = true
				break
			}
		}
		if !missing {
			return took
		}
		time.Sleep(step)
	}
	return 2 * limit
}

// measure counts what all processes send in a time.
func (grd *grid) measure(span time.Duration) {
	grd.mu.Lock()
	grd.counting, grd.messages, grd.bytes = true, 0, 0
	for _, prc := range grd.procs {
		prc.sent, prc.received = 0, 0
	}
	grd.mu.Unlock()
	time.Sleep(span)
	grd.mu.Lock()
	grd.counting = false
	grd.mu.Unlock()
}

// carry takes a message from one process to another.
func (grd *grid) carry(ctx context.Context, from, to *gridProcess, msg any) error {
	delay := farDelay
	switch {
	case from.self.Zone == to.self.Zone:
		delay = zoneDelay
	case from.region == to.region:
		delay = regionDelay
	}
	if !grd.reach(from, to, msg) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	return nil
}

// reach counts a message and reports whether it arrives.
func (grd *grid) reach(from, to *gridProcess, msg any) bool {
	grd.mu.Lock()
	counting := grd.counting
	lost := from.dead || to.dead || grd.split && (from.region == 0) != (to.region == 0)
	grd.mu.Unlock()
	if !counting {
		return !lost
	}
	buf, err := grd.codec.Marshal(msg)
	if err != nil {
		grd.t.Error(err)
	}
	grd.mu.Lock()
	defer grd.mu.Unlock()
	if !grd.counting {
		// The measurement ended while the message was encoded.
		return !lost
	}
	grd.messages++
	grd.bytes += len(buf)
	from.sent += len(buf)
	if !lost {
		to.received += len(buf)
	}
	return !lost
}

func (prc *gridProcess) peer(addr netip.AddrPort) *gridProcess {
	prc.grid.mu.Lock()
	defer prc.grid.mu.Unlock()
	return prc.grid.byAddr[addr]
}

// call carries a request and its response.
func call[Req, Rsp any](ctx context.Context, prc *gridProcess, addr netip.AddrPort, req *Req, handle func(*bwfleet.Fleet) (*Rsp, error)) (*Rsp, error) {
	to := prc.peer(addr)
	if to == nil {
		return nil, errCut
	}
	if err := prc.grid.carry(ctx, prc, to, req); err != nil {
		return nil, err
	}
	rsp, err := handle(to.fleet)
	if err != nil {
		return nil, err
	}
	return rsp, prc.grid.carry(ctx, to, prc, rsp)
}

func (prc *gridProcess) exchange(ctx context.Context, addr netip.AddrPort, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	return call(ctx, prc, addr, msg, func(fl *bwfleet.Fleet) (*bwwire.ExchangeMessage, error) { return fl.HandleExchange(ctx, msg) })
}

func (prc *gridProcess) tickets(ctx context.Context, addr netip.AddrPort, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error) {
	return call(ctx, prc, addr, req, func(fl *bwfleet.Fleet) (*bwwire.TicketsResponse, error) { return fl.HandleTickets(ctx, req) })
}

func (prc *gridProcess) members(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	return call(ctx, prc, addr, req, func(fl *bwfleet.Fleet) (*bwwire.MembersResponse, error) { return fl.HandleMembers(ctx, req) })
}

// platform returns what the process sees of the store.
func (prc *gridProcess) platform() (endpoint, error) {
	time.Sleep(2 * regionDelay)
	prc.grid.mu.Lock()
	defer prc.grid.mu.Unlock()
	if prc.dead || prc.grid.away && prc.region == 0 {
		return endpoint{}, bwticket.ErrUnavailable
	}
	return endpoint{net: prc.grid.store}, nil
}

func (prc *gridProcess) head(ctx context.Context) (bwmodel.TicketNumber, error) {
	end, err := prc.platform()
	if err != nil {
		return 0, err
	}
	return end.head(ctx)
}

func (prc *gridProcess) after(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error) {
	end, err := prc.platform()
	if err != nil {
		return nil, err
	}
	return end.after(ctx, num)
}

func (prc *gridProcess) read(ctx context.Context, base *bwticket.State) (*bwticket.State, error) {
	end, err := prc.platform()
	if err != nil {
		return nil, err
	}
	return end.read(ctx, base)
}
