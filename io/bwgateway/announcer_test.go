package bwgateway_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// Guards against a gateway that announces itself with a clock of its own, which
// the others would take for one that is long gone, and against a share of the
// retry budget that ignores a gateway which came later.
func TestAnnounce(t *testing.T) {
	budgets := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.5, Slack: 100})
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: budgets})
	st.Start(t.Context())
	puts := make(chan bwforward.Announcement, 4)
	st.StartAnnouncing(t.Context(), func(_ context.Context, ann bwforward.Announcement) error {
		puts <- ann
		return nil
	})
	select {
	case ann := <-puts:
		t.Fatalf("announced %+v before the store's clock was known", ann)
	case <-time.After(50 * time.Millisecond):
	}
	const clock = 90 * time.Hour
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	first := []bwforward.Announcement{{Member: "a", Address: addr, Seen: clock}, {Member: "b", Address: addr, Leaving: true, Seen: clock}}
	if err := st.ApplyAnnouncements(t.Context(), first, clock, true); err != nil {
		t.Fatal(err)
	}
	if ann := <-puts; ann.Seen < clock || ann.Seen > clock+10*time.Second {
		t.Errorf("announced at %v, want the store's clock from %v on", ann.Seen, clock)
	}
	if vw := st.View(); vw.Members != 3 || vw.ActivePeers != 1 {
		t.Errorf("%d gateways and %d others that stay, want 3 and 1", vw.Members, vw.ActivePeers)
	}
	st.AnnounceLeaving()
	if ann := <-puts; !ann.Leaving {
		t.Error("a gateway that stops is not announced as such")
	}
	later := []bwforward.Announcement{{Member: "c", Address: addr, Seen: clock}}
	if err := st.ApplyAnnouncements(t.Context(), later, clock+time.Second, false); err != nil {
		t.Fatal(err)
	}
	if got := st.View().Members; got != 4 {
		t.Errorf("%d gateways after another one came, want 4", got)
	}
	if err := st.ApplyAnnouncements(t.Context(), nil, clock+time.Hour, false); err != nil {
		t.Fatal(err)
	}
	if got := st.View().Members; got != 1 {
		t.Errorf("%d gateways an hour later, want the own", got)
	}
}

// Guards against a gateway whose datagrams are refused for seconds after it was
// started again.
func TestKeyOutlastsRestart(t *testing.T) {
	var first []byte
	for _, own := range []bool{false, true} {
		prs, ann := newPeers(t, "a", nil)
		st := bwgateway.NewControlState(bwgateway.ControlStateConfig{
			Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Peers: prs,
		})
		st.Start(t.Context())
		puts := make(chan bwforward.Announcement, 1)
		st.StartAnnouncing(t.Context(), func(_ context.Context, ann bwforward.Announcement) error {
			puts <- ann
			return nil
		})
		anns := []bwforward.Announcement{{Member: "b", Seen: time.Hour}}
		if own {
			anns = append(anns, bwforward.Announcement{Member: "a", Seen: time.Hour, Key: first})
		}
		if err := st.ApplyAnnouncements(t.Context(), anns, time.Hour, true); err != nil {
			t.Fatal(err)
		}
		if got := st.View().Members; got != 2 {
			t.Errorf("%d gateways, want the own and another one", got)
		}
		put := <-puts
		if !own {
			first = ann.Key
		}
		if string(put.Key) != string(first) || string(prs.Key()) != string(first) {
			t.Errorf("restarted %v: announced another key", own)
		}
	}
}
