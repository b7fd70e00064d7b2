package bwforward_test

import (
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// allowAll takes extra requests until none is allowed, and returns their number.
func allowAll(bds *bwforward.RetryBudgets, svc bwmodel.ServiceID, cls bwforward.RetryClass) int {
	count := 0
	for bds.Allow(svc, cls) {
		count++
	}
	return count
}

// Guards against a fleet that sends more extra requests than its slack, a service
// that uses the budget of another one, and plain requests that use the requests
// reserved for streams.
func TestRetryBudgets(t *testing.T) {
	const slack, gateways = 150, 23
	bds := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.8, Slack: slack})
	bds.SetGatewayCount(gateways)
	if got := allowAll(bds, "pult", bwforward.PlainRetry); got*gateways > slack || got == 0 {
		t.Errorf("%d gateways may each retry %d requests with a slack of %d", gateways, got, slack)
	}
	if got := allowAll(bds, "pult", bwforward.StreamRetry); got == 0 {
		t.Error("plain requests used the whole budget, want some left for streams")
	}
	if got := allowAll(bds, "model", bwforward.StreamRetry); got == 0 {
		t.Error("one service used the budget of another")
	}
	for range 100 {
		bds.CountRequest("pult")
	}
	if got := allowAll(bds, "pult", bwforward.StreamRetry); got == 0 || got > 80 {
		t.Errorf("100 requests allow %d retries, want 1 to 80", got)
	}
	bds.SetGatewayCount(2)
	if got := allowAll(bds, "model", bwforward.StreamRetry); got == 0 || 2*got > slack {
		t.Errorf("with 2 gateways %d retries are allowed", got)
	}
}

// Guards against partly delivered streams that are not resumed because other
// requests have used the budget, and against a debt that is unlimited or never
// paid back.
func TestStreamResumesMayOverdraw(t *testing.T) {
	bds := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.8, Slack: 150})
	bds.SetGatewayCount(23)
	allowAll(bds, "model", bwforward.StreamRetry)
	debt := allowAll(bds, "model", bwforward.StreamResume)
	if debt == 0 || debt > 10 {
		t.Fatalf("%d stream resumes exceeded the budget, want 1 to 10", debt)
	}
	for range debt {
		bds.CountRequest("model")
	}
	if got := allowAll(bds, "model", bwforward.StreamRetry); got != 0 {
		t.Errorf("%d stream retries were allowed before the debt was paid back", got)
	}
	for range 10 * debt {
		bds.CountRequest("model")
	}
	if got := allowAll(bds, "model", bwforward.StreamRetry); got == 0 {
		t.Error("the debt is never paid back")
	}
}

// Guards against stopped gateways that are counted, or sent notes, forever.
func TestRosterCount(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	var rst bwforward.GatewayRoster
	rst.Replace([]bwforward.Announcement{{Member: "a", Address: addr}, {Member: "b", Address: addr, Seen: 50 * time.Second}, {Member: "c", Seen: time.Minute}})
	if got := rst.Count(time.Minute); got != 3 {
		t.Errorf("%d gateways, want this one and 2 others", got)
	}
	if got := rst.Others(time.Minute); len(got) != 1 {
		t.Errorf("notes are sent to %v, want one gateway", got)
	}
	if got := rst.Count(time.Hour); got != 1 {
		t.Errorf("%d gateways, want this one only", got)
	}
}
