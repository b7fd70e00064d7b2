package bwgateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// Guards against requests that reach an upstream without a permit, wait when there is
// none, or are refused without the time at which there will be one: plain ones, new
// streams, and streams that go on.
func TestRequestWithoutPermitIsRefused(t *testing.T) {
	const wait = 3 * time.Second
	tests := []struct {
		name, path, lastEvent string
	}{
		{"plain", "/action/x", ""},
		{"new stream", "/stream/x", ""},
		{"resumed stream", "/stream/x", "3"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			eng := newFakeEngine(t, "e1", sendRemaining)
			var asked atomic.Int64
			tg := newGateway(t, []*fakeEngine{eng}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
				limit := 1.0
				cfg.Pool.Node("e1").ObserveLimit(&limit, time.Now(), time.Now())
				cfg.TakePermit = func(context.Context, bwmodel.UpstreamID, float64) bwgateway.Permit {
					asked.Add(1)
					return bwgateway.Permit{PermitAnswer: bwforward.PermitAnswer{Blocked: wait, Wait: wait}, Outcome: bwgateway.PermitRefused}
				}
			})
			for range 2 {
				sentAt := time.Now()
				got := tg.do(http.MethodPost, tst.path, "body", lastEventHeader, tst.lastEvent)
				if took := time.Since(sentAt); got.status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
					t.Errorf("status %d after %v, want a refusal at once", got.status, took)
				}
				after, _ := strconv.ParseFloat(got.header.Get(retryHeader), 64)
				if after < wait.Seconds()-1 {
					t.Errorf("the caller should come back after %v s, there is a permit in %v", after, wait)
				}
			}
			if eng.count() > 0 || asked.Load() != 1 {
				t.Errorf("%d requests reached the upstream, %d permits were asked for; want 0 and 1", eng.count(), asked.Load())
			}
		})
	}
}

// Guards against retries that need no permit, and against a limit that only the gateway
// knows which has had the response.
func TestLimitIsNotedAndHoldsForRetries(t *testing.T) {
	eng := newFakeEngine(t, "e1", func(att *attempt) { att.respond("500 Failed", "failed", limitHeader+": 0.5") })
	nlg := new(noteLog)
	var asked atomic.Int64
	tg := newGateway(t, []*fakeEngine{eng}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
		cfg.SendNote = nlg.add
		cfg.TakePermit = func(context.Context, bwmodel.UpstreamID, float64) bwgateway.Permit {
			asked.Add(1)
			return bwgateway.Permit{PermitAnswer: bwforward.PermitAnswer{Granted: true}, Outcome: bwgateway.PermitGranted}
		}
	})
	tg.do(http.MethodPost, "/safe/x", "body")
	if nlg.count(bwforward.LimitNote) != 1 {
		t.Errorf("%d notes of the limit, want 1", nlg.count(bwforward.LimitNote))
	}
	tg.do(http.MethodPost, "/safe/x", "body")
	if sent := int64(eng.count()); asked.Load() != sent-1 {
		t.Errorf("%d permits for the %d requests after the first", asked.Load(), sent-1)
	}
	tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.LimitEndNote, Upstream: "e1"})
	before := asked.Load()
	tg.do(http.MethodPost, "/action/x", "body")
	if asked.Load() != before {
		t.Error("a permit was needed after a note that the limit has ended")
	}
}

// permitPeer is a gateway that asks and answers for permits.
type permitPeer struct {
	*bwgateway.Peers
	permits *bwgateway.Permits
	state   *bwgateway.ControlState
	self    bwforward.Announcement
}

func newPermitPeer(t *testing.T, name string) *permitPeer {
	t.Helper()
	pool := bwforward.NewPool(bwforward.PoolConfig{})
	pp := new(permitPeer)
	prs, err := bwgateway.NewPeers(bwgateway.PeersConfig{
		Member: bwmodel.MemberID(name), Address: netip.MustParseAddrPort("127.0.0.1:0"),
		OnNote:      func(bwforward.PeerNote) {},
		GrantPermit: func(req bwgateway.PermitRequest) bwforward.PermitAnswer { return pp.permits.Grant(req) },
		Log:         slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	pp.Peers = prs
	pp.state = bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: pool, Peers: prs, Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{})})
	pp.permits = bwgateway.NewPermits(bwgateway.PermitsConfig{
		Member: bwmodel.MemberID(name), Pool: pool, View: pp.state.View, Ask: prs.AskPermit, Metrics: bwgateway.NewMetrics(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	pp.state.Start(ctx)
	prs.Start(ctx)
	pp.self = bwforward.Announcement{Member: bwmodel.MemberID(name), Address: prs.Address(), Key: prs.Key(), Seen: permitClock, AnnouncedSince: permitClock}
	return pp
}

// permitClock is the store's clock when the gateways of a test start and read the
// announcements.
const permitClock = time.Hour

// announce makes the gateways known to one, and waits until it takes permits.
func (pp *permitPeer) announce(t *testing.T, anns ...bwforward.Announcement) {
	t.Helper()
	established := bwforward.Announcement{Member: "gone", Seen: permitClock - time.Minute}
	if err := pp.state.ApplyAnnouncements(t.Context(), append(anns, established), bwgateway.StoreTime{Clock: permitClock}, true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
}

// Guards against gateways that together take more permits than a limit allows, and
// against requests that wait again and again for a gateway that is gone.
func TestPermitsOfTwoGateways(t *testing.T) {
	const limit = 20.0
	aa, ab := newPermitPeer(t, "a"), newPermitPeer(t, "b")
	gone := bwforward.Announcement{Member: "c", Address: netip.MustParseAddrPort("127.0.0.1:9"), Seen: permitClock, AnnouncedSince: permitClock}
	aa.announce(t, aa.self, ab.self, gone)
	ab.announce(t, aa.self, ab.self, gone)
	granted, slow, asked := 0, 0, 0
	startedAt := time.Now()
	for time.Since(startedAt) < 4*time.Second {
		for _, pp := range []*permitPeer{aa, ab} {
			sentAt := time.Now()
			ans := pp.permits.Take(t.Context(), "up", limit)
			asked++
			if ans.Granted {
				granted++
			}
			if time.Since(sentAt) > 30*time.Millisecond {
				slow++
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if most := int(1.5*limit*4) + 5; granted > most || granted < int(limit) {
		t.Errorf("%d permits in 4 s at a limit of %v, want %v to %d", granted, limit, limit, most)
	}
	if slow > asked/20 {
		t.Errorf("%d of %d requests for permits waited", slow, asked)
	}
}

// Guards against a gateway that is not asked any more since a caller left while it was
// asked.
func TestCallerThatLeavesSilencesNobody(t *testing.T) {
	aa, ab := newPermitPeer(t, "a"), newPermitPeer(t, "b")
	aa.announce(t, aa.self, ab.self)
	var asked atomic.Int64
	permits := bwgateway.NewPermits(bwgateway.PermitsConfig{
		Member: "a", Pool: bwforward.NewPool(bwforward.PoolConfig{}), View: aa.state.View, Metrics: bwgateway.NewMetrics(),
		Ask: func(ctx context.Context, _ netip.AddrPort, _ bwgateway.PermitRequest) (bwforward.PermitAnswer, bool) {
			asked.Add(1)
			<-ctx.Done()
			return bwforward.PermitAnswer{}, false
		},
	})
	ctx, leave := context.WithCancel(t.Context())
	leave()
	for ix := range 50 {
		// Of some upstreams this gateway holds the window itself.
		permits.Take(ctx, bwmodel.UpstreamID(strconv.Itoa(ix)), 1)
	}
	before := asked.Load()
	for ix := range 50 {
		permits.Take(t.Context(), bwmodel.UpstreamID(strconv.Itoa(ix)), 1)
	}
	if asked.Load() == before {
		t.Error("the other gateway is not asked after callers have left")
	}
}
