package bwgateway_test

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// Guards against notes that get lost on a healthy network or arrive changed, and
// against bytes of others that end the exchange.
func TestPeersExchangeNotes(t *testing.T) {
	learned := make(chan bwforward.Note, 4)
	var prs [2]*bwgateway.Peers
	for ix := range prs {
		var err error
		prs[ix], err = bwgateway.NewPeers(bwgateway.PeersConfig{
			Address: netip.MustParseAddrPort("127.0.0.1:0"),
			Learn:   func(nt bwforward.Note) { learned <- nt },
			Log:     slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		prs[ix].Start(t.Context())
	}
	conn, err := net.Dial("udp4", prs[1].Address().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("garbage")); err != nil {
		t.Fatal(err)
	}
	prs[0].Set([]netip.AddrPort{prs[1].Address()})
	want := bwforward.Note{Kind: bwforward.PlacedNote, Upstream: "e1", Session: "s1", Prompt: 8000}
	prs[0].Tell(want)
	select {
	case got := <-learned:
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("the note did not arrive")
	}
	var none *bwgateway.Peers
	none.Tell(want)
}
