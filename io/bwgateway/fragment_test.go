package bwgateway_test

import (
	"bytes"
	"compress/flate"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// rawFragment is a fragment as it is encoded in datagrams.
type rawFragment struct {
	Update       uint64
	Index, Count int
	Data         []byte
}

// sendRaw sends a signed fragment to a gateway.
func sendRaw(t *testing.T, to *bwgateway.Peers, from bwforward.Announcement, frg rawFragment) {
	t.Helper()
	pkt, err := cbor.Marshal(struct{ Fragment *rawFragment }{&frg})
	if err != nil {
		t.Fatal(err)
	}
	sum := hmac.New(sha256.New, from.Key)
	_, _ = sum.Write(pkt)
	data, err := cbor.Marshal(map[string]any{"Member": string(from.Member), "Packet": pkt, "Sum": sum.Sum(nil)})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("udp4", to.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}

// Guards against fragments of a faulty gateway that end this one, fill its memory
// or stop the exchange of updates, and against updates of many fragments that are
// lost or changed.
func TestFragments(t *testing.T) {
	sender, senderAnn := newPeers(t, "a", nil)
	receiver, ann := newPeers(t, "b", nil)
	receiver.SetPeers([]bwforward.Announcement{senderAnn})
	sender.SetPeers([]bwforward.Announcement{ann})
	updates := make(chan bwgateway.TableUpdate, 1)
	receiver.Subscribe("servers", bwgateway.TableHandler{OnUpdate: func(upd bwgateway.TableUpdate) {
		select {
		case updates <- upd:
		default:
		}
	}})

	var bomb bytes.Buffer
	wrt, err := flate.NewWriter(&bomb, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	// A text of 1 GiB, which is compressed to a megabyte; its first part is enough.
	_, _ = wrt.Write(append([]byte{0x7b}, 0, 0, 0, 0, 0x40, 0, 0, 0))
	_, _ = wrt.Write(make([]byte, 1<<20))
	_ = wrt.Close()
	for _, frg := range []rawFragment{
		{Update: 1, Index: 0, Count: 0},
		{Update: 2, Index: -1, Count: 2},
		{Update: 3, Index: 2, Count: 2},
		{Update: 4, Index: 0, Count: 1 << 40},
		{Update: 5, Index: 0, Count: 1, Data: []byte("garbage")},
		{Update: 6, Index: 0, Count: 1, Data: bomb.Bytes()[:min(bomb.Len(), 1200)]},
		{Update: 7, Index: 0, Count: 2, Data: []byte("first")},
		{Update: 7, Index: 2, Count: 16, Data: []byte("of another count")},
	} {
		sendRaw(t, receiver, senderAnn, frg)
	}
	for number := range uint64(100) {
		sendRaw(t, receiver, senderAnn, rawFragment{Update: 100 + number, Count: 16, Data: make([]byte, 1200)})
	}
	want := bwgateway.TableUpdate{Table: "servers", After: 3, ReadResult: bwgateway.ReadResult{Version: 60, Now: time.Hour}}
	for number := range 50 {
		// Digests don't compress, so that the update needs several fragments.
		sum := sha256.Sum256([]byte{byte(number)})
		want.Rows = append(want.Rows, bwgateway.Row{Key: strings.Repeat("k", number), Value: sum[:]})
	}
	// The datagrams above may fill the receiver's buffer, which loses those that
	// follow, as a network does; the next update must come through.
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		sender.SendUpdate(want)
		select {
		case got := <-updates:
			if got.After != want.After || got.Version != want.Version || len(got.Rows) != len(want.Rows) || !bytes.Equal(got.Rows[49].Value, want.Rows[49].Value) {
				t.Errorf("got %+v", got)
			}
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
	t.Error("no update was received")
}
