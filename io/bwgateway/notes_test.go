package bwgateway_test

import (
	"net/http"
	"testing"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// Guards against a fleet that avoids a plain upstream since one of its responses
// was lost, and against one whose gateways each find out for themselves that an
// upstream is dead, has lost a stream or is another one.
func TestNotesAboutUpstreams(t *testing.T) {
	misdirected := func(att *attempt) { att.respond("421 Misdirected Request", "", responderHeader+": e9") }
	tests := []struct {
		name  string
		path  string
		first func(*attempt)
		// closed means that the first upstream accepts no connections.
		closed bool
		want   bwforward.PeerNoteKind
	}{
		{"lookup: reset", "/safe/x", (*attempt).reset, false, 0},
		{"lookup: no connection", "/safe/x", respondOK, true, bwforward.FailureNote},
		{"stream: reset", "/stream/x", (*attempt).reset, false, bwforward.FailureNote},
		{"lookup: replaced", "/safe/x", misdirected, false, bwforward.ReplacedNote},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newFakeEngine(t, "e1", tt.first), newFakeEngine(t, "e2", respondOK)
			if tt.closed {
				_ = first.lis.Close()
			}
			var kinds []bwforward.PeerNoteKind
			tg := newGateway(t, []*fakeEngine{first, second}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
				cfg.SendNote = func(nt bwforward.PeerNote) {
					if nt.Upstream == "e1" && nt.Kind != bwforward.PlacementNote && nt.Kind != bwforward.EndNote {
						kinds = append(kinds, nt.Kind)
					}
				}
			})
			tg.do(http.MethodPost, tt.path, "")
			if got := len(kinds) > 0; got != (tt.want != 0) || got && kinds[0] != tt.want {
				t.Errorf("notes of kinds %v, want %v", kinds, tt.want)
			}
		})
	}
}
