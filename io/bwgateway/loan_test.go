package bwgateway_test

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// lendingPeer returns a gateway that lends up to its amount of any service's
// retry budget.
func lendingPeer(t *testing.T, name string, amount float64) (*bwgateway.Peers, bwforward.Announcement) {
	t.Helper()
	prs, err := bwgateway.NewPeers(bwgateway.PeersConfig{
		Member: bwmodel.MemberID(name), Address: netip.MustParseAddrPort("127.0.0.1:0"),
		OnNote: func(bwforward.PeerNote) {},
		Lend:   func(_ bwmodel.ServiceID, wanted float64) float64 { return min(wanted, amount) },
		Log:    slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	prs.Start(ctx)
	return prs, bwforward.Announcement{Member: bwmodel.MemberID(name), Address: prs.Address(), Key: prs.Key()}
}

// Guards against a gateway that can't get what others have left of their budgets,
// counts what they don't lend, or waits for those that don't respond.
func TestBorrow(t *testing.T) {
	tests := []struct {
		name string
		// lenders has the amount that each other gateway lends.
		lenders []float64
		silent  bool
		want    bool
	}{
		{"enough of several", []float64{0.3, 0.3, 0.3, 0.3}, false, true},
		{"one without any", []float64{0, 1, 1}, false, true},
		{"too little", []float64{0.1, 0.1}, false, false},
		{"nobody", nil, false, false},
		{"silent", []float64{1}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			borrower, self := lendingPeer(t, "borrower", 0)
			var anns []bwforward.Announcement
			for ix, amount := range tt.lenders {
				lender, ann := lendingPeer(t, string(rune('a'+ix)), amount)
				if !tt.silent {
					lender.SetPeers([]bwforward.Announcement{self})
				}
				anns = append(anns, ann)
			}
			borrower.SetPeers(anns)
			startedAt := time.Now()
			got := borrower.Borrow(t.Context(), "model", 1, func(sum float64) bool { return sum >= 1 })
			if got != tt.want {
				t.Errorf("borrowed %v, want %v", got, tt.want)
			}
			if took := time.Since(startedAt); took > time.Second {
				t.Errorf("a stream waited %v for a loan", took)
			}
		})
	}
}
