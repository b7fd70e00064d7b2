package bwgateway

import (
	"context"
	"crypto/hmac"
	crand "crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Peers exchanges notes and news with the other gateways. Each is one datagram
// to each of them: it is worth nothing when it is late, and breaks nothing when
// it is lost. Datagrams are signed with a key that only readers of the store
// know, since news change what a gateway believes.
type Peers struct {
	cfg  PeersConfig
	conn *net.UDPConn
	key  atomic.Pointer[[]byte]
	// others are those that datagrams go to, keys those that they come from.
	others atomic.Pointer[[]netip.AddrPort]
	keys   atomic.Pointer[map[bwmodel.MemberID][]byte]
	// failed counts the datagrams that could not be sent, refused those of
	// senders that are not known, as a gateway is for seconds after its start.
	failed, refused atomic.Int64

	mu        sync.Mutex
	listeners map[string]func(TableUpdate)
}

// datagram is what is sent: a packet with its sender and signature.
type datagram struct {
	Member bwmodel.MemberID
	Packet []byte
	Sum    []byte
}

// packet is the content of a datagram: one of its fields is set.
type packet struct {
	Note *bwforward.PeerNote `cbor:",omitempty"`
	News *TableUpdate        `cbor:",omitempty"`
}

// PeersConfig configures Peers.
type PeersConfig struct {
	Member  bwmodel.MemberID
	Address netip.AddrPort
	// OnNote takes in another gateway's note.
	OnNote func(bwforward.PeerNote)
	Log    *slog.Logger
}

const (
	// maxPacket is the most bytes of a datagram. It holds the entries of about 30
	// engines; networks carry it in up to six pieces, and the loss of one costs calls.
	maxPacket = 8 << 10
	// maxNews is the most bytes of one piece of news to all gateways together; a
	// thin link of today's deployments sends them in 0.1 s.
	maxNews = 128 << 10
)

// NewPeers listens for notes; Start takes them in.
func NewPeers(cfg PeersConfig) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	prs := &Peers{cfg: cfg, conn: conn, listeners: make(map[string]func(TableUpdate))}
	key := make([]byte, sha256.Size)
	// Read never fails.
	_, _ = crand.Read(key)
	prs.key.Store(&key)
	prs.SetPeers(nil)
	return prs, nil
}

// Start takes notes in until the context ends.
func (prs *Peers) Start(ctx context.Context) {
	context.AfterFunc(ctx, prs.close)
	go prs.loop()
}

// Address is where the notes of others are taken.
func (prs *Peers) Address() netip.AddrPort { return prs.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Key is what the gateway's datagrams are signed with.
func (prs *Peers) Key() []byte { return *prs.key.Load() }

// Member is the gateway that sends the datagrams.
func (prs *Peers) Member() bwmodel.MemberID { return prs.cfg.Member }

// RestoreKey takes the key that the gateway has announced before it was started again,
// so that the others go on to know it; a key of another form is passed over.
func (prs *Peers) RestoreKey(key []byte) {
	if len(key) == sha256.Size {
		prs.key.Store(&key)
	}
}

// SetPeers replaces the other gateways.
func (prs *Peers) SetPeers(anns []bwforward.Announcement) {
	addrs := make([]netip.AddrPort, 0, len(anns))
	keys := make(map[bwmodel.MemberID][]byte, len(anns))
	for _, ann := range anns {
		addrs = append(addrs, ann.Address)
		if len(ann.Key) == sha256.Size {
			keys[ann.Member] = ann.Key
		}
	}
	prs.others.Store(&addrs)
	prs.keys.Store(&keys)
}

// Subscribe has the news of a table passed to a function, which must not block.
func (prs *Peers) Subscribe(table string, hear func(TableUpdate)) {
	prs.mu.Lock()
	defer prs.mu.Unlock()
	prs.listeners[table] = hear
}

// noteReach is the most gateways that get a note. Each gateway gets as many as
// in a fleet of that size then, and knows a part of what the others place.
const noteReach = 64

// SendNote sends a note to the other gateways, in large fleets to some of them.
func (prs *Peers) SendNote(nt bwforward.PeerNote) {
	if prs == nil {
		return
	}
	data, ok := prs.encode(packet{Note: &nt})
	if !ok {
		return
	}
	addrs := *prs.others.Load()
	if len(addrs) <= noteReach {
		prs.send(data, addrs)
		return
	}
	// One after the other in a ring, from a drawn one on.
	first := rand.N(len(addrs))
	last := first + noteReach
	prs.send(data, addrs[first:min(last, len(addrs))])
	prs.send(data, addrs[:max(last-len(addrs), 0)])
}

// SendUpdate sends what was read of a table to all other gateways, unless it is
// too long: they read it from the store then, each at its own time.
func (prs *Peers) SendUpdate(nws TableUpdate) {
	others := *prs.others.Load()
	data, ok := prs.encode(packet{News: &nws})
	if ok && len(data) <= maxPacket && len(data)*len(others) <= maxNews {
		prs.send(data, others)
	}
}

// encode returns a signed datagram.
func (prs *Peers) encode(pkt packet) ([]byte, bool) {
	dgm := datagram{Member: prs.cfg.Member}
	var err error
	if dgm.Packet, err = cbor.Marshal(pkt); err == nil {
		dgm.Sum = sign(prs.Key(), dgm.Packet)
	}
	data, err := cbor.Marshal(dgm)
	if err != nil {
		prs.cfg.Log.Error("datagram can't be encoded", "Error", err)
	}
	return data, err == nil
}

func sign(key, data []byte) []byte {
	sum := hmac.New(sha256.New, key)
	// A hash's writes never fail.
	_, _ = sum.Write(data)
	return sum.Sum(nil)
}

// decode returns the packet of a datagram whose sender is known.
func (prs *Peers) decode(data []byte) (packet, error) {
	var dgm datagram
	var pkt packet
	if err := cbor.Unmarshal(data, &dgm); err != nil {
		return pkt, err
	}
	key := (*prs.keys.Load())[dgm.Member]
	if key == nil || !hmac.Equal(dgm.Sum, sign(key, dgm.Packet)) {
		return pkt, errUnknownSender
	}
	return pkt, cbor.Unmarshal(dgm.Packet, &pkt)
}

var errUnknownSender = errors.New("sender is not known")

func (prs *Peers) send(data []byte, addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if _, err := prs.conn.WriteToUDPAddrPort(data, addr); err != nil && prs.failed.Add(1) == 1 {
			prs.cfg.Log.Warn("datagram not sent; later failures are only counted", "Peer", addr, "Error", err)
		}
	}
}

// refusedLines is the number of refused datagrams for each line about them.
const refusedLines = 1000

// RefusedDatagrams returns the number of datagrams that were not taken in.
func (prs *Peers) RefusedDatagrams() int64 { return prs.refused.Load() }

// FailedSends returns the number of datagrams that could not be sent.
func (prs *Peers) FailedSends() int64 { return prs.failed.Load() }

func (prs *Peers) loop() {
	buf := make([]byte, maxPacket)
	for {
		size, from, err := prs.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An earlier datagram found no listener at its target.
			continue
		}
		pkt, err := prs.decode(buf[:size])
		if err == nil {
			prs.take(pkt)
			continue
		}
		if prs.refused.Add(1)%refusedLines == 1 {
			prs.cfg.Log.Warn("datagram refused", "Peer", from, "Error", err, "Refused", prs.refused.Load())
		}
	}
}

func (prs *Peers) take(pkt packet) {
	if pkt.Note != nil {
		prs.cfg.OnNote(*pkt.Note)
	}
	if pkt.News == nil {
		return
	}
	prs.mu.Lock()
	hear := prs.listeners[pkt.News.Table]
	prs.mu.Unlock()
	if hear != nil {
		hear(*pkt.News)
	}
}

func (prs *Peers) close() { _ = prs.conn.Close() }
