package bwgateway_test

import (
	"net/http"
	"testing"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// Guards against requests that reach an upstream after a response in which it says that
// it leaves, and against a gateway that keeps this to itself.
func TestUpstreamThatLeavesGetsNoRequests(t *testing.T) {
	leaving := newFakeEngine(t, "e1", func(att *attempt) { att.respond("200 OK", "done", leavingHeader+": 1") })
	staying := newFakeEngine(t, "e2", func(att *attempt) { att.respond("200 OK", "done") })
	nlg := new(noteLog)
	tg := newGateway(t, []*fakeEngine{leaving, staying}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) { cfg.SendNote = nlg.add })
	for range 20 {
		if got := tg.do(http.MethodPost, "/action/x", "body"); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	if leaving.count() > 1 {
		t.Errorf("%d requests reached the upstream that leaves, want 1 at most", leaving.count())
	}
	if nlg.count(bwforward.LeavingNote) != leaving.count() {
		t.Errorf("%d notes, want %d", nlg.count(bwforward.LeavingNote), leaving.count())
	}
}
