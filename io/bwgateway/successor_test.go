package bwgateway_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// successorLog receives the successors that a gateway has found for the upstream e1.
type successorLog chan bwforward.Successor

func (slg successorLog) add(_ context.Context, old bwforward.Upstream, suc bwforward.Successor) {
	if old.ID == "e1" {
		slg <- suc
	}
}

// Guards against not using a model engine that restarted under another ID while the
// list of upstreams is unavailable, and against taking an upstream for one that does not
// say so, any upstream of a plain service, or one that responds so long after the earlier
// one that another service may have its address.
func TestSuccessorIsIdentified(t *testing.T) {
	const reuseTime = 2 * time.Second
	tests := []struct {
		name     string
		plain    bool
		identify error
		// neverAlive means that the earlier engine has not responded; pause is the time from
		// its response until the next request.
		neverAlive bool
		pause      time.Duration
		// wantCalls is the number of identifications, want that one is found.
		wantCalls int64
		want      bool
	}{
		{"model engine", false, nil, false, time.Second, 1, true},
		{"no model engine", false, bwgateway.ErrNoModelEngine, false, time.Second, 1, false},
		{"plain service", true, nil, false, time.Second, 0, false},
		{"the earlier engine was not seen alive", false, nil, true, time.Second, 0, false},
		{"the address may be used again", false, nil, false, reuseTime, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := make(successorLog, 1)
			notes := make(chan bwforward.PeerNote, 1)
			var calls atomic.Int64
			var uptime atomic.Int64
			uptime.Store(int64(time.Hour))
			var isReplaced atomic.Bool
			isReplaced.Store(tt.neverAlive)
			first := newFakeEngine(t, "e1", func(att *attempt) {
				if !isReplaced.Load() {
					sendRemaining(att)
					return
				}
				att.respond("421 Misdirected Request", "", responderHeader+": e9")
			})
			second := newFakeEngine(t, "e2", func(att *attempt) {
				if !isReplaced.Load() {
					att.respond("503 Service Unavailable", "", notRunHeader+": 1")
					return
				}
				sendRemaining(att)
			})
			tg := newGateway(t, []*fakeEngine{first, second}, func(cfg *bwgateway.Config, table *bwforward.RoutingTableConfig) {
				if tt.plain {
					table.Services[0].Model = nil
				}
				cfg.SendNote = func(nt bwforward.PeerNote) {
					if nt.Kind == bwforward.SuccessorNote {
						notes <- nt
					}
				}
				cfg.ListUnavailable = func() bool { return true }
				cfg.ReuseTime = reuseTime
				cfg.Uptime = func() time.Duration { return time.Duration(uptime.Load()) }
				cfg.IdentifyModelEngine = func(_ context.Context, addr netip.AddrPort, _ string) (bwgateway.Identity, error) {
					calls.Add(1)
					if addr != first.upstream().Address {
						return bwgateway.Identity{}, errors.New("unknown address")
					}
					return bwgateway.Identity{ID: "e9", Slots: 8}, tt.identify
				}
				cfg.OnSuccessor = found.add
			})
			if rsp := tg.do(http.MethodPost, "/stream/x", "prompt"); rsp.status != http.StatusOK {
				t.Fatalf("status %d before the engine was replaced", rsp.status)
			}
			isReplaced.Store(true)
			uptime.Add(int64(tt.pause))
			// The suspension of the engine that refused has ended.
			time.Sleep(300 * time.Millisecond)
			tg.do(http.MethodPost, "/stream/x", "prompt")
			// The search goes on after the response.
			want := bwforward.Successor{ID: "e9", Slots: 8, IsModelEngine: true, SameService: true}
			select {
			case suc := <-found:
				if nt := <-notes; !tt.want || suc != want || nt.Successor != want.ID || !nt.IsModelEngine || !nt.SameService {
					t.Errorf("found %+v, note %+v", suc, nt)
				}
			case <-time.After(time.Second):
				if tt.want {
					t.Error("the upstream that refused was not identified")
				}
			}
			if calls.Load() != tt.wantCalls || len(notes) > 0 {
				t.Errorf("%d identifications, want %d; %d further notes", calls.Load(), tt.wantCalls, len(notes))
			}
		})
	}
}

// Guards against engines that restarted under another ID while the list of
// upstreams is unavailable and are used by one gateway only: the others avoid the
// old entry and never learn of the new one.
func TestSuccessorIsAnnounced(t *testing.T) {
	for _, unavailable := range []bool{true, false} {
		found := make(successorLog, 1)
		eng := newFakeEngine(t, "e1", respondOK)
		tg := newGateway(t, []*fakeEngine{eng}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
			cfg.ListUnavailable = func() bool { return unavailable }
			cfg.OnSuccessor = found.add
		})
		tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: "unknown", Successor: "e8", Slots: 8, IsModelEngine: true, SameService: true})
		tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: "e1", Successor: "e9", Slots: 8, IsModelEngine: true, SameService: true})
		select {
		case suc := <-found:
			if !unavailable || suc != (bwforward.Successor{ID: "e9", Slots: 8, IsModelEngine: true, SameService: true}) {
				t.Errorf("list unavailable %v: got %+v", unavailable, suc)
			}
		case <-time.After(100 * time.Millisecond):
			if unavailable {
				t.Error("the successor was not taken")
			}
		}
	}
}
