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

// Peers exchanges notes and table updates with the other gateways, each in one
// datagram per gateway. They are useful only when they arrive soon, and a loss
// does no harm, so they are not retransmitted. Datagrams are signed with a key
// that only readers of the store have, since table updates change a gateway's
// state.
type Peers struct {
	cfg  PeersConfig
	conn *net.UDPConn
	key  atomic.Pointer[[]byte]
	// addresses are the targets of datagrams, keys the signing keys of their
	// senders.
	addresses atomic.Pointer[[]netip.AddrPort]
	keys      atomic.Pointer[map[bwmodel.MemberID][]byte]
	// failedSends counts the datagrams that could not be sent. refusedDatagrams
	// counts those that failed verification or decoding; a gateway's datagrams fail
	// verification for seconds after its start, until the others have read its key.
	failedSends, refusedDatagrams atomic.Int64

	mu          sync.Mutex
	subscribers map[string]func(TableUpdate)
	// loans has the loan requests in progress.
	loans map[uint64]chan<- float64
}

// datagram is an encoded packet with its sender and signature.
type datagram struct {
	Member bwmodel.MemberID
	Packet []byte
	Sum    []byte
}

// packet is the content of a datagram. One of its fields is set; their names and
// those of their fields are part of the encoding.
type packet struct {
	Note        *bwforward.PeerNote `cbor:",omitempty"`
	News        *TableUpdate        `cbor:",omitempty"`
	LoanRequest *loanRequest        `cbor:",omitempty"`
	Loan        *loan               `cbor:",omitempty"`
}

// PeersConfig configures Peers.
type PeersConfig struct {
	Member  bwmodel.MemberID
	Address netip.AddrPort
	// OnNote is called with each note of another gateway.
	OnNote func(bwforward.PeerNote)
	// Lend takes up to an amount from a service's retry budget for another gateway
	// and returns what it took; nil means that nothing is lent.
	Lend func(svc bwmodel.ServiceID, amount float64) float64
	Log  *slog.Logger
}

const (
	// maxDatagramBytes is the largest size of a datagram. It holds the entries of
	// about 30 engines. The network splits it into up to six fragments; if one is
	// lost, the gateways read the table themselves.
	maxDatagramBytes = 8 << 10
	// maxUpdateBytes is the largest total size of one update to all gateways. A slow
	// link of current deployments sends it in 0.1 s.
	maxUpdateBytes = 128 << 10
)

// NewPeers listens on the configured address; Start begins to read datagrams.
func NewPeers(cfg PeersConfig) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	prs := &Peers{cfg: cfg, conn: conn, subscribers: make(map[string]func(TableUpdate)), loans: make(map[uint64]chan<- float64)}
	key := make([]byte, sha256.Size)
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(key)
	prs.key.Store(&key)
	prs.SetPeers(nil)
	return prs, nil
}

// Start reads datagrams until the context ends.
func (prs *Peers) Start(ctx context.Context) {
	context.AfterFunc(ctx, prs.close)
	go prs.loop()
}

// Address returns the address at which datagrams are received.
func (prs *Peers) Address() netip.AddrPort { return prs.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Key returns the key that signs this gateway's datagrams.
func (prs *Peers) Key() []byte { return *prs.key.Load() }

// Member returns the ID of this gateway.
func (prs *Peers) Member() bwmodel.MemberID { return prs.cfg.Member }

// RestoreKey sets the key that the gateway announced before its restart, so
// that the others keep accepting its datagrams. A key of another length is
// ignored.
func (prs *Peers) RestoreKey(key []byte) {
	if len(key) == sha256.Size {
		prs.key.Store(&key)
	}
}

// SetPeers replaces the list of other gateways.
func (prs *Peers) SetPeers(anns []bwforward.Announcement) {
	addrs := make([]netip.AddrPort, 0, len(anns))
	keys := make(map[bwmodel.MemberID][]byte, len(anns))
	for _, ann := range anns {
		addrs = append(addrs, ann.Address)
		if len(ann.Key) == sha256.Size {
			keys[ann.Member] = ann.Key
		}
	}
	prs.addresses.Store(&addrs)
	prs.keys.Store(&keys)
}

// Subscribe sets the handler for the updates of a table; it must not block.
func (prs *Peers) Subscribe(table string, handler func(TableUpdate)) {
	prs.mu.Lock()
	defer prs.mu.Unlock()
	prs.subscribers[table] = handler
}

// maxNoteRecipients is the largest number of gateways that receive a note.
// With more gateways, each one still receives as many notes as in a fleet of
// this size, and thus has only part of the others' placements.
const maxNoteRecipients = 64

// SendNote sends a note to up to maxNoteRecipients other gateways. A nil Peers
// sends nothing.
func (prs *Peers) SendNote(nt bwforward.PeerNote) {
	if prs == nil {
		return
	}
	data, ok := prs.encode(packet{Note: &nt})
	if !ok {
		return
	}
	addrs := *prs.addresses.Load()
	if len(addrs) <= maxNoteRecipients {
		prs.send(data, addrs)
		return
	}
	// The recipients are consecutive in a ring, starting at a random one.
	first := rand.N(len(addrs))
	last := first + maxNoteRecipients
	prs.send(data, addrs[first:min(last, len(addrs))])
	prs.send(data, addrs[:max(last-len(addrs), 0)])
}

// SendUpdate sends an update to all other gateways, unless it is too long;
// they then read it from the store at their own intervals.
func (prs *Peers) SendUpdate(upd TableUpdate) {
	addrs := *prs.addresses.Load()
	data, ok := prs.encode(packet{News: &upd})
	if ok && len(data) <= maxDatagramBytes && len(data)*len(addrs) <= maxUpdateBytes {
		prs.send(data, addrs)
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
	// Write of a hash never returns an error.
	_, _ = sum.Write(data)
	return sum.Sum(nil)
}

// decode verifies a datagram and returns its packet. It returns
// errUnknownSender if there is no key for the sender or the signature is
// wrong.
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

var errUnknownSender = errors.New("unknown sender or invalid signature")

func (prs *Peers) send(data []byte, addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if _, err := prs.conn.WriteToUDPAddrPort(data, addr); err != nil && prs.failedSends.Add(1) == 1 {
			prs.cfg.Log.Warn("datagram not sent; later failures are only counted", "Peer", addr, "Error", err)
		}
	}
}

// refusalsPerLogLine is the number of refused datagrams per log line.
const refusalsPerLogLine = 1000

// RefusedDatagrams returns the number of datagrams that failed verification or
// decoding.
func (prs *Peers) RefusedDatagrams() int64 { return prs.refusedDatagrams.Load() }

// FailedSends returns the number of datagrams that could not be sent.
func (prs *Peers) FailedSends() int64 { return prs.failedSends.Load() }

func (prs *Peers) loop() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := prs.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error is an ICMP response to an earlier datagram that had no listener.
			continue
		}
		pkt, err := prs.decode(buf[:size])
		if err == nil {
			prs.deliver(pkt, from)
			continue
		}
		if prs.refusedDatagrams.Add(1)%refusalsPerLogLine == 1 {
			prs.cfg.Log.Warn("datagram refused", "Peer", from, "Error", err, "Refused", prs.refusedDatagrams.Load())
		}
	}
}

func (prs *Peers) deliver(pkt packet, from netip.AddrPort) {
	if pkt.Note != nil {
		prs.cfg.OnNote(*pkt.Note)
	}
	if pkt.LoanRequest != nil {
		prs.answerLoan(*pkt.LoanRequest, from)
	}
	if pkt.Loan != nil {
		prs.receiveLoan(*pkt.Loan)
	}
	if pkt.News == nil {
		return
	}
	prs.mu.Lock()
	handler := prs.subscribers[pkt.News.Table]
	prs.mu.Unlock()
	if handler != nil {
		handler(*pkt.News)
	}
}

func (prs *Peers) close() { _ = prs.conn.Close() }
