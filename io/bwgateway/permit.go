package bwgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Permits takes and grants permits for requests to upstreams that limit them. It is
// safe for concurrent use.
type Permits struct {
	cfg    PermitsConfig
	ledger bwforward.PermitLedger
	// silent has, for each gateway that did not answer, the time until which it is
	// not asked.
	silent sync.Map // bwmodel.MemberID to time.Time
}

// PermitsConfig configures Permits.
type PermitsConfig struct {
	Member bwmodel.MemberID
	Pool   *bwforward.Pool
	// View returns the current state.
	View func() *View
	// Ask asks another gateway for a permit; it returns false if that does not answer.
	Ask     func(ctx context.Context, addr netip.AddrPort, req PermitRequest) (bwforward.PermitAnswer, bool)
	Metrics *Metrics
}

// PermitRequest asks the gateway that holds the current window of an upstream for a
// permit. Its field names are part of the datagram encoding.
type PermitRequest struct {
	// ID is repeated in the answer.
	ID       uint64
	Upstream bwmodel.UpstreamID
	// Limit is the limit that the sender knows, in requests a second.
	Limit float64
	// Clock is the sender's reading of the store's monotonic clock.
	Clock time.Duration
}

// permitReply is the response to a PermitRequest.
type permitReply struct {
	ID     uint64
	Answer bwforward.PermitAnswer
}

const (
	// permitTimeout bounds the wait for an answer. It is several round trips between
	// zones.
	permitTimeout = 40 * time.Millisecond
	// silentTime is how long a gateway that did not answer is not asked.
	silentTime = 2 * time.Second
	// unsettledWait is the time after which a gateway that does not know the others
	// yet may know them.
	unsettledWait = time.Second
)

// Permit is the outcome of a request for a permit.
type Permit struct {
	bwforward.PermitAnswer
	// Holder is the gateway that grants permits of the upstream at this time.
	Holder  bwmodel.MemberID
	Outcome PermitOutcome
}

// PermitOutcome says where an answer comes from. It is used as a label of metrics and
// in logs.
type PermitOutcome string

// Outcomes of requests for permits.
const (
	PermitGranted PermitOutcome = "granted"
	PermitRefused PermitOutcome = "refused"
	// PermitUnanswered means that the holder did not answer in time, PermitSilent that it
	// was not asked since it did not answer before.
	PermitUnanswered PermitOutcome = "no answer"
	PermitSilent     PermitOutcome = "silent"
	// PermitUnsettled means that the other gateways are not known yet.
	PermitUnsettled PermitOutcome = "unsettled"
)

// NewPermits returns Permits without any granted permit.
func NewPermits(cfg PermitsConfig) *Permits { return &Permits{cfg: cfg} }

// Take takes a permit for a request to an upstream that names a limit, from the
// gateway that grants them at this time.
func (pms *Permits) Take(ctx context.Context, up bwmodel.UpstreamID, limit float64) Permit {
	prm := pms.take(ctx, up, limit)
	pms.cfg.Metrics.countPermit(prm.Outcome)
	return prm
}

func (pms *Permits) take(ctx context.Context, up bwmodel.UpstreamID, limit float64) Permit {
	vw := pms.cfg.View()
	if !vw.settled {
		return Permit{PermitAnswer: refusedFor(unsettledWait), Outcome: PermitUnsettled}
	}
	clock := vw.storeClock()
	pwn := bwforward.NewPermitWindow(up, limit, clock)
	missed := refusedFor(pwn.Left(clock))
	hld := pwn.Holder(vw.permitHolders)
	holder := hld.Member
	switch holder {
	case "":
		return Permit{PermitAnswer: missed, Outcome: PermitUnsettled}
	case pms.cfg.Member:
		return newPermit(holder, pms.ledger.Take(pwn, clock))
	}
	if until, ok := pms.silent.Load(holder); ok && time.Now().Before(until.(time.Time)) {
		return Permit{PermitAnswer: missed, Holder: holder, Outcome: PermitSilent}
	}
	askCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	req := PermitRequest{ID: rand.Uint64(), Upstream: up, Limit: limit, Clock: clock}
	ans, answered := pms.cfg.Ask(askCtx, hld.Address, req)
	if !answered && ctx.Err() != nil {
		// The caller has left, which says nothing of the holder.
		return Permit{Holder: holder, Outcome: PermitUnanswered}
	}
	if !answered {
		pms.silent.Store(holder, time.Now().Add(silentTime))
		return Permit{PermitAnswer: missed, Holder: holder, Outcome: PermitUnanswered}
	}
	return newPermit(holder, ans)
}

func newPermit(holder bwmodel.MemberID, ans bwforward.PermitAnswer) Permit {
	if ans.Granted {
		return Permit{PermitAnswer: ans, Holder: holder, Outcome: PermitGranted}
	}
	return Permit{PermitAnswer: ans, Holder: holder, Outcome: PermitRefused}
}

// refusedFor returns a refusal for a time.
func refusedFor(left time.Duration) bwforward.PermitAnswer {
	left = max(left, bwforward.MinPermitBlock)
	return bwforward.PermitAnswer{Blocked: left, Wait: left}
}

// Grant answers another gateway's request for a permit. A limit that this gateway
// knows goes before the other's.
func (pms *Permits) Grant(req PermitRequest) bwforward.PermitAnswer {
	vw := pms.cfg.View()
	limit := req.Limit
	if nd := pms.cfg.Pool.Node(req.Upstream); nd != nil {
		if own, ok := nd.Limit(); ok {
			limit = own
		}
	}
	// NaN, which a datagram may contain, compares as false.
	if !(limit >= 0) {
		return refusedFor(unsettledWait)
	}
	clock := vw.storeClock()
	pwn := bwforward.NewPermitWindow(req.Upstream, limit, req.Clock)
	if !vw.settled || pwn.Holder(vw.permitHolders).Member != pms.cfg.Member {
		return refusedFor(pwn.Left(clock))
	}
	return pms.ledger.Take(pwn, clock)
}

// AskPermit asks the gateway at an address for a permit. It returns false if no answer
// comes until the context ends.
func (prs *Peers) AskPermit(ctx context.Context, addr netip.AddrPort, req PermitRequest) (bwforward.PermitAnswer, bool) {
	data, ok := prs.encode(packet{PermitRequest: &req})
	if !ok {
		return bwforward.PermitAnswer{}, false
	}
	answers := make(chan bwforward.PermitAnswer, 1)
	prs.permits.Store(req.ID, answers)
	defer prs.permits.Delete(req.ID)
	prs.send(data, []netip.AddrPort{addr})
	select {
	case ans := <-answers:
		return ans, true
	case <-ctx.Done():
		return bwforward.PermitAnswer{}, false
	}
}

// answerPermit sends the answer to a request for a permit.
func (prs *Peers) answerPermit(req PermitRequest, from netip.AddrPort) {
	if prs.cfg.GrantPermit == nil {
		return
	}
	if data, ok := prs.encode(packet{Permit: &permitReply{ID: req.ID, Answer: prs.cfg.GrantPermit(req)}}); ok {
		prs.send(data, []netip.AddrPort{from})
	}
}

// receivePermit passes on an answer. One that comes too late is dropped: the permit is
// lost, so that the upstream gets less, not more.
func (prs *Peers) receivePermit(rpl permitReply) {
	if answers, ok := prs.permits.LoadAndDelete(rpl.ID); ok {
		answers.(chan bwforward.PermitAnswer) <- rpl.Answer
	}
}

// maxRefusedPermits is the number of refused permits after which a request passes over
// all upstreams with a limit. Each question takes a round trip.
const maxRefusedPermits = 4

// choose returns the best upstream to which the request may be sent now, or nil. It
// takes a permit for an upstream with a limit.
func (cl *call) choose() *bwforward.Node {
	cl.refusedPermits = 0
	for {
		nd := cl.gw.cfg.Pool.Choose(cl.work())
		if nd == nil && cl.abandonSample() {
			continue
		}
		if nd == nil || cl.takePermit(nd) {
			return nd
		}
	}
}

// takePermit reports whether the request may be sent to an upstream. If it may not,
// the upstream gets no requests of this gateway for some time.
func (cl *call) takePermit(nd *bwforward.Node) bool {
	limit, limited := nd.Limit()
	if !limited {
		return true
	}
	prm := cl.gw.cfg.TakePermit(cl.ctx, nd.ID, limit)
	if prm.Granted {
		return true
	}
	cl.gw.cfg.Log.Info("no permit", "Request", cl.info.RequestID, "Upstream", nd.ID, "PerSecond", limit, "Holder", prm.Holder,
		"Outcome", prm.Outcome, "Blocked", prm.Blocked, "Wait", prm.Wait)
	nd.RecordRefusedPermit(prm.PermitAnswer, cl.gw.cfg.Now())
	cl.refusedPermits++
	if prm.Outcome == PermitUnanswered {
		cl.refusedPermits = maxRefusedPermits
	}
	return false
}

// applyLimitNote applies another gateway's note about an upstream's limit, and logs what
// it changes.
func (gw *Gateway) applyLimitNote(nd *bwforward.Node, nt bwforward.PeerNote) {
	before, wasLimited := nd.Limit()
	gw.cfg.Pool.ApplyNote(nt)
	limit, limited := nd.Limit()
	if limit != before || limited != wasLimited {
		gw.cfg.Log.Info("upstream limit noted", "Upstream", nd.ID, "Limited", limited, "PerSecond", limit)
	}
}

// refuseUnplaced responds to a request that no upstream has received.
func (cl *call) refuseUnplaced(reason string) {
	delay := time.Duration(0)
	if until, ok := cl.gw.cfg.Pool.BlockedUntil(cl.match.Service.Name); ok {
		reason, delay = "upstreams take no requests now", until.Sub(cl.gw.cfg.Now())
	}
	cl.refuseFor(http.StatusServiceUnavailable, reason, bwforward.SpreadRetryAfter(delay))
}
