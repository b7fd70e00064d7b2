package bwforward_test

import (
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

func take(bds *bwforward.RetryBudgets, svc bwmodel.ServiceID, clm bwforward.RetryClass) int {
	count := 0
	for bds.Allow(svc, clm) {
		count++
	}
	return count
}

// Guards against a fleet that spends more than its slack, one service that
// spends another's budget, and plain requests that leave nothing for streams.
func TestBudgets(t *testing.T) {
	const slack, members = 150, 23
	bds := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.8, Slack: slack})
	bds.SetGatewayCount(members)
	if got := take(bds, "pult", bwforward.PlainRetry); got*members > slack || got == 0 {
		t.Errorf("%d gateways may repeat %d requests each, with a slack of %d", members, got, slack)
	}
	if got := take(bds, "pult", bwforward.StreamRetry); got == 0 {
		t.Error("plain requests left nothing for streams")
	}
	if got := take(bds, "model", bwforward.StreamRetry); got == 0 {
		t.Error("one service has spent the budget of another")
	}
	for range 100 {
		bds.CountRequest("pult")
	}
	if got := take(bds, "pult", bwforward.StreamRetry); got == 0 || got > 80 {
		t.Errorf("100 requests earn %d repeats, want some and at most 80", got)
	}
	bds.SetGatewayCount(2)
	if got := take(bds, "model", bwforward.StreamRetry); got == 0 || 2*got > slack {
		t.Errorf("with 2 gateways %d repeats are allowed", got)
	}
}

// Guards against begun streams that end because other requests have used the
// budget, and against a debt without bound or that is never earned back.
func TestBegunStreamsMayOverdraw(t *testing.T) {
	bds := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.8, Slack: 150})
	bds.SetGatewayCount(23)
	take(bds, "model", bwforward.StreamRetry)
	debt := take(bds, "model", bwforward.StreamResume)
	if debt == 0 || debt > 10 {
		t.Fatalf("begun streams took %d beyond the budget, want some", debt)
	}
	for range debt {
		bds.CountRequest("model")
	}
	if got := take(bds, "model", bwforward.StreamRetry); got != 0 {
		t.Errorf("%d fresh streams were allowed before the debt was earned back", got)
	}
	for range 10 * debt {
		bds.CountRequest("model")
	}
	if got := take(bds, "model", bwforward.StreamRetry); got == 0 {
		t.Error("the debt is never earned back")
	}
}

// Guards against gateways that are gone and count forever, and against notes
// that are sent to them.
func TestRosterCount(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	var rst bwforward.GatewayRoster
	rst.Replace([]bwforward.Announcement{{Member: "a", Address: addr}, {Member: "b", Address: addr, Seen: 50 * time.Second}, {Member: "c", Seen: time.Minute}})
	if got := rst.Count(time.Minute); got != 3 {
		t.Errorf("%d gateways, want the own and 2 others", got)
	}
	if got := rst.Others(time.Minute); len(got) != 1 {
		t.Errorf("notes go to %v, want one address", got)
	}
	if got := rst.Count(time.Hour); got != 1 {
		t.Errorf("%d gateways, want the own only", got)
	}
}
