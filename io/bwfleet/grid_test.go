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

// One-way latencies, as between the regions and zones at target scale.
const (
	zoneDelay        = 500 * time.Microsecond
	regionDelay      = 1500 * time.Microsecond
	interRegionDelay = 40 * time.Millisecond
)

// grid connects processes of several regions and zones and one store in memory.
// One process in four is a router, and the others are agents.
type grid struct {
	t      *testing.T
	store  *network
	codec  *bwrpc.Codec
	procs  []*gridProcess
	byAddr map[netip.AddrPort]*gridProcess
	mu     sync.Mutex
	// counting is set while messages and their bytes are counted.
	counting bool
	messages int
	bytes    int
	// partitioned separates region 0 from the others, and storeDown separates it
	// from the store.
	partitioned bool
	storeDown   bool
}

type gridProcess struct {
	grid   *grid
	fleet  *bwfleet.Fleet
	self   bwmodel.Member
	region int
	cancel context.CancelFunc
	// dead processes never respond; calls to them time out without a reset.
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

// runOnGrid runs a test on processes that were started 20 s before.
func runOnGrid(t *testing.T, processes int, test func(t *testing.T, grd *grid)) {
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

// start runs a process whose region, zone and role follow from its index. If the
// index was used before, the new process has the same name and a new address.
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

// kill makes a process unresponsive, as the loss of its VM or its network does.
func (grd *grid) kill(prc *gridProcess) {
	grd.mu.Lock()
	prc.dead = true
	grd.mu.Unlock()
	prc.cancel()
}

func (grd *grid) setPartition(partitioned, storeDown bool) {
	grd.mu.Lock()
	defer grd.mu.Unlock()
	grd.partitioned, grd.storeDown = partitioned, storeDown
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

// alive returns the processes that were not killed.
func (grd *grid) alive() []*gridProcess {
	var procs []*gridProcess
	for _, prc := range grd.procs {
		if !prc.dead {
			procs = append(procs, prc)
		}
	}
	return procs
}

// timeUntil waits in steps of 10 ms until a condition holds for all given
// processes and returns the time, at most twice maxPropagation.
func timeUntil(procs []*gridProcess, holds func(*gridProcess) bool) time.Duration {
	const step = 10 * time.Millisecond
	for took := time.Duration(0); took < 2*maxPropagation; took += step {
		unmet := false
		for _, prc := range procs {
			if !holds(prc) {
				unmet = true
				break
			}
		}
		if !unmet {
			return took
		}
		time.Sleep(step)
	}
	return 2 * maxPropagation
}

// countTraffic sleeps for span and counts what all processes send in that time.
func (grd *grid) countTraffic(span time.Duration) {
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

// deliver waits for the latency of a message from one process to another, or
// for the end of the context when the message is lost.
func (grd *grid) deliver(ctx context.Context, from, to *gridProcess, msg any) error {
	delay := interRegionDelay
	switch {
	case from.self.Zone == to.self.Zone:
		delay = zoneDelay
	case from.region == to.region:
		delay = regionDelay
	}
	if !grd.countMessage(from, to, msg) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	return nil
}

// countMessage counts a message and reports whether it arrives.
func (grd *grid) countMessage(from, to *gridProcess, msg any) bool {
	grd.mu.Lock()
	counting := grd.counting
	lost := from.dead || to.dead || grd.partitioned && (from.region == 0) != (to.region == 0)
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

// call delivers a request and its response.
func call[Req, Rsp any](ctx context.Context, prc *gridProcess, addr netip.AddrPort, req *Req, handle func(*bwfleet.Fleet) (*Rsp, error)) (*Rsp, error) {
	to := prc.peer(addr)
	if to == nil {
		return nil, errDisconnected
	}
	if err := prc.grid.deliver(ctx, prc, to, req); err != nil {
		return nil, err
	}
	rsp, err := handle(to.fleet)
	if err != nil {
		return nil, err
	}
	return rsp, prc.grid.deliver(ctx, to, prc, rsp)
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

// platform returns the process's endpoint of the store, or an error when it is
// not reachable.
func (prc *gridProcess) platform() (endpoint, error) {
	time.Sleep(2 * regionDelay)
	prc.grid.mu.Lock()
	defer prc.grid.mu.Unlock()
	if prc.dead || prc.grid.storeDown && prc.region == 0 {
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
