package bwgateway_test

import (
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// newPeers returns the exchange of a gateway and what it announces.
func newPeers(t *testing.T, name string, learn func(bwforward.PeerNote)) (*bwgateway.Peers, bwforward.Announcement) {
	t.Helper()
	prs, err := bwgateway.NewPeers(bwgateway.PeersConfig{
		Member:  bwmodel.MemberID(name),
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		OnNote:  learn,
		Log:     slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	prs.Start(t.Context())
	return prs, bwforward.Announcement{Member: bwmodel.MemberID(name), Address: prs.Address(), Key: prs.Key()}
}

// Guards against notes that get lost on a healthy network or arrive changed,
// against bytes of others that end the exchange, and against datagrams of senders
// that have not announced themselves.
func TestPeersExchangeNotes(t *testing.T) {
	learned := make(chan bwforward.PeerNote, 4)
	learn := func(nt bwforward.PeerNote) { learned <- nt }
	teller, told := newPeers(t, "a", learn)
	forger, _ := newPeers(t, "a", learn)
	stranger, _ := newPeers(t, "c", learn)
	reader, own := newPeers(t, "b", learn)
	reader.SetPeers([]bwforward.Announcement{told})
	conn, err := net.Dial("udp4", reader.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("garbage")); err != nil {
		t.Fatal(err)
	}
	for _, prs := range []*bwgateway.Peers{forger, stranger} {
		prs.SetPeers([]bwforward.Announcement{own})
		prs.SendNote(bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: "forged"})
	}
	teller.SetPeers([]bwforward.Announcement{own})
	want := bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Session: "s1", Prompt: 8000}
	teller.SendNote(want)
	select {
	case got := <-learned:
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("the note did not arrive")
	}
	if got := reader.RefusedDatagrams(); got != 3 {
		t.Errorf("%d datagrams were refused, want 3", got)
	}
	var none *bwgateway.Peers
	none.SendNote(want)
}

// Guards against notes whose number grows with the square of the fleet, and
// against gateways that never get any.
func TestNotesReachSome(t *testing.T) {
	learned := make(chan string, 4096)
	teller, told := newPeers(t, "teller", nil)
	var others []bwforward.Announcement
	const gateways, notes, reach = 100, 20, 64
	for ix := range gateways {
		name := strconv.Itoa(ix)
		prs, own := newPeers(t, name, func(bwforward.PeerNote) { learned <- name })
		prs.SetPeers([]bwforward.Announcement{told})
		others = append(others, own)
	}
	teller.SetPeers(others)
	got, who := 0, make(map[string]bool)
	for range notes {
		teller.SendNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1"})
		for range reach {
			select {
			case name := <-learned:
				got++
				who[name] = true
			case <-time.After(5 * time.Second):
				t.Fatalf("%d notes arrived, want %d for each told", got, reach)
			}
		}
	}
	select {
	case <-learned:
		t.Errorf("more than %d notes arrived", notes*reach)
	case <-time.After(50 * time.Millisecond):
	}
	if len(who) != gateways {
		t.Errorf("%d gateways got notes, want all %d", len(who), gateways)
	}
}
