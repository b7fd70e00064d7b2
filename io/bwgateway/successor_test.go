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
// say so, or any upstream of a plain service.
func TestSuccessorIsIdentified(t *testing.T) {
	tests := []struct {
		name     string
		plain    bool
		identify error
		// wantCalls is the number of identifications, want that one is found.
		wantCalls int64
		want      bool
	}{
		{"model engine", false, nil, 1, true},
		{"no model engine", false, bwgateway.ErrNoModelEngine, 1, false},
		{"plain service", true, nil, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := make(successorLog, 1)
			notes := make(chan bwforward.PeerNote, 1)
			var calls atomic.Int64
			first := newFakeEngine(t, "e1", func(att *attempt) { att.respond("421 Misdirected Request", "", responderHeader+": e9") })
			tg := newGateway(t, []*fakeEngine{first, newFakeEngine(t, "e2", sendRemaining)}, func(cfg *bwgateway.Config, table *bwforward.RoutingTableConfig) {
				if tt.plain {
					table.Services[0].Model = nil
				}
				cfg.SendNote = func(nt bwforward.PeerNote) {
					if nt.Kind == bwforward.SuccessorNote {
						notes <- nt
					}
				}
				cfg.ListUnavailable = func() bool { return true }
				cfg.IdentifyModelEngine = func(_ context.Context, addr netip.AddrPort, _ string) (bwgateway.Identity, error) {
					calls.Add(1)
					if addr != first.upstream().Address {
						return bwgateway.Identity{}, errors.New("unknown address")
					}
					return bwgateway.Identity{ID: "e9", Slots: 8}, tt.identify
				}
				cfg.OnSuccessor = found.add
			})
			tg.do(http.MethodPost, "/stream/x", "prompt")
			// The search goes on after the response.
			want := bwforward.Successor{ID: "e9", Slots: 8, IsModelEngine: true}
			select {
			case suc := <-found:
				if nt := <-notes; !tt.want || suc != want || nt.Successor != want.ID || !nt.IsModelEngine {
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
		tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: "unknown", Successor: "e8", Slots: 8, IsModelEngine: true})
		tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: "e1", Successor: "e9", Slots: 8, IsModelEngine: true})
		select {
		case suc := <-found:
			if !unavailable || suc != (bwforward.Successor{ID: "e9", Slots: 8, IsModelEngine: true}) {
				t.Errorf("list unavailable %v: got %+v", unavailable, suc)
			}
		case <-time.After(100 * time.Millisecond):
			if unavailable {
				t.Error("the successor was not taken")
			}
		}
	}
}
