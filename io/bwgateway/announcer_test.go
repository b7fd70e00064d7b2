package bwgateway_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// Guards against an announcement with the gateway's own clock instead of the
// store's, which the others would treat as expired, and against a share of the
// retry budget that ignores gateways announced later.
func TestAnnounce(t *testing.T) {
	budgets := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.5, Slack: 100})
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: budgets})
	st.Start(t.Context())
	written := make(chan bwforward.Announcement, 4)
	st.StartAnnouncing(t.Context(), func(_ context.Context, ann bwforward.Announcement) (bwforward.Announcement, error) {
		written <- ann
		return ann, nil
	})
	select {
	case ann := <-written:
		t.Fatalf("announced %+v before the store's clock was known", ann)
	case <-time.After(50 * time.Millisecond):
	}
	const clock = 90 * time.Hour
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	first := []bwforward.Announcement{{Member: "a", Address: addr, Seen: clock}, {Member: "b", Address: addr, Leaving: true, Seen: clock}}
	if err := st.ApplyAnnouncements(t.Context(), first, bwgateway.StoreTime{Clock: clock}, true); err != nil {
		t.Fatal(err)
	}
	if ann := <-written; ann.Seen < clock || ann.Seen > clock+10*time.Second {
		t.Errorf("announced at %v, want the store's clock from %v on", ann.Seen, clock)
	}
	if vw := st.View(); vw.Members != 3 || vw.ActivePeers != 1 {
		t.Errorf("%d gateways and %d active peers, want 3 and 1", vw.Members, vw.ActivePeers)
	}
	st.AnnounceLeaving()
	if ann := <-written; !ann.Leaving {
		t.Error("the announcement of a stopping gateway lacks Leaving")
	}
	later := []bwforward.Announcement{{Member: "c", Address: addr, Seen: clock}}
	if err := st.ApplyAnnouncements(t.Context(), later, bwgateway.StoreTime{Clock: clock + time.Second}, false); err != nil {
		t.Fatal(err)
	}
	if got := st.View().Members; got != 4 {
		t.Errorf("%d gateways after another announcement, want 4", got)
	}
	if err := st.ApplyAnnouncements(t.Context(), nil, bwgateway.StoreTime{Clock: clock + time.Hour}, false); err != nil {
		t.Fatal(err)
	}
	if got := st.View().Members; got != 1 {
		t.Errorf("%d gateways an hour later, want only this one", got)
	}
}

// Guards against a gateway that changes its signing key in a restart, so that the
// others refuse its datagrams for seconds.
func TestKeySurvivesRestart(t *testing.T) {
	var first []byte
	for _, restarted := range []bool{false, true} {
		prs, ann := newPeers(t, "a", nil)
		st := bwgateway.NewControlState(bwgateway.ControlStateConfig{
			Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Peers: prs,
		})
		st.Start(t.Context())
		written := make(chan bwforward.Announcement, 1)
		st.StartAnnouncing(t.Context(), func(_ context.Context, ann bwforward.Announcement) (bwforward.Announcement, error) {
			written <- ann
			return ann, nil
		})
		anns := []bwforward.Announcement{{Member: "b", Seen: time.Hour}}
		if restarted {
			anns = append(anns, bwforward.Announcement{Member: "a", Seen: time.Hour, Key: first})
		}
		if err := st.ApplyAnnouncements(t.Context(), anns, bwgateway.StoreTime{Clock: time.Hour}, true); err != nil {
			t.Fatal(err)
		}
		if got := st.View().Members; got != 2 {
			t.Errorf("%d gateways, want this one and one other", got)
		}
		row := <-written
		if !restarted {
			first = ann.Key
		}
		if string(row.Key) != string(first) || string(prs.Key()) != string(first) {
			t.Errorf("restarted %v: the announced key has changed", restarted)
		}
	}
}
