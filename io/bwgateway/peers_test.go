package bwgateway_test

import (
	"log/slog"
	"net"
	"net/netip"
	"reflect"
	"strconv"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// newPeers returns a gateway's Peers and its announcement.
func newPeers(t *testing.T, name string, onNote func(bwforward.PeerNote)) (*bwgateway.Peers, bwforward.Announcement) {
	t.Helper()
	prs, err := bwgateway.NewPeers(bwgateway.PeersConfig{
		Member:  bwmodel.MemberID(name),
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		OnNote:  onNote,
		Log:     slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	prs.Start(t.Context())
	return prs, bwforward.Announcement{Member: bwmodel.MemberID(name), Address: prs.Address(), Key: prs.Key()}
}

// Guards against notes that are lost or changed on a healthy network, against
// invalid datagrams that stop the exchange, against accepting datagrams of
// senders that are not announced, and against a note that no gateway gets since a prompt
// has more parts than a datagram has room for.
func TestPeersExchangeNotes(t *testing.T) {
	received := make(chan bwforward.PeerNote, 4)
	onNote := func(nt bwforward.PeerNote) { received <- nt }
	sender, senderAnn := newPeers(t, "a", onNote)
	forger, _ := newPeers(t, "a", onNote)
	unknown, _ := newPeers(t, "c", onNote)
	receiver, ann := newPeers(t, "b", onNote)
	receiver.SetPeers([]bwforward.Announcement{senderAnn})
	conn, err := net.Dial("udp4", receiver.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("garbage")); err != nil {
		t.Fatal(err)
	}
	for _, prs := range []*bwgateway.Peers{forger, unknown} {
		prs.SetPeers([]bwforward.Announcement{ann})
		prs.SendNote(bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: "forged"})
	}
	sender.SetPeers([]bwforward.Announcement{ann})
	want := bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Session: "s1", Prompt: 8000}
	long := bwforward.PeerNote{Kind: bwforward.CrashNote}
	for ix := range 10_000 {
		long.Parts = append(long.Parts, bwforward.PartID(strconv.Itoa(ix)))
	}
	for _, want := range []bwforward.PeerNote{want, long} {
		sender.SendNote(want)
		select {
		case got := <-received:
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Error("the note was not received")
		}
	}
	if got := receiver.RefusedDatagrams(); got != 3 {
		t.Errorf("%d datagrams were refused, want 3", got)
	}
	var nilPeers *bwgateway.Peers
	nilPeers.SendNote(want)
}

// Guards against a number of notes that grows with the square of the number of
// gateways, and against gateways that never receive any.
func TestNotesReachLimitedRecipients(t *testing.T) {
	received := make(chan string, 4096)
	sender, senderAnn := newPeers(t, "teller", nil)
	var others []bwforward.Announcement
	const gateways, notes, recipients = 100, 20, 64
	for ix := range gateways {
		name := strconv.Itoa(ix)
		prs, ann := newPeers(t, name, func(bwforward.PeerNote) { received <- name })
		prs.SetPeers([]bwforward.Announcement{senderAnn})
		others = append(others, ann)
	}
	sender.SetPeers(others)
	got, names := 0, make(map[string]bool)
	for range notes {
		sender.SendNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1"})
		for range recipients {
			select {
			case name := <-received:
				got++
				names[name] = true
			case <-time.After(5 * time.Second):
				t.Fatalf("%d notes received in total, want %d for each one sent", got, recipients)
			}
		}
	}
	select {
	case <-received:
		t.Errorf("more than %d notes received", notes*recipients)
	case <-time.After(50 * time.Millisecond):
	}
	if len(names) != gateways {
		t.Errorf("%d gateways received notes, want all %d", len(names), gateways)
	}
}
