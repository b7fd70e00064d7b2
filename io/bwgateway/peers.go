package bwgateway

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwspread"
)

// Peers exchanges notes, table updates, loans and permits with the other gateways,
// in datagrams. They are useful only when they arrive soon, and a loss does no harm,
// so they are not retransmitted. Datagrams are signed with a key that only
// readers of the store have, since table updates change a gateway's state.
type Peers struct {
	cfg  PeersConfig
	conn *net.UDPConn
	key  atomic.Pointer[[]byte]
	// fleet has the targets of datagrams, keys the signing keys of their senders.
	fleet atomic.Pointer[bwspread.Fleet]
	keys  atomic.Pointer[map[bwmodel.MemberID][]byte]
	// failedSends counts the datagrams that could not be sent. refusedDatagrams
	// counts those that failed verification or decoding; a gateway's datagrams fail
	// verification for seconds after its start, until the others have read its key.
	failedSends, refusedDatagrams atomic.Int64

	mu          sync.Mutex
	subscribers map[string]TableHandler
	// loans has the loan requests in progress.
	loans map[uint64]chan<- float64

	// permits has the requests for permits in progress.
	permits sync.Map // uint64 to chan bwforward.PermitAnswer

	// updateFragments and noteFragments are used by loop only.
	updateFragments *reassembly[TableUpdate]
	noteFragments   *reassembly[bwforward.PeerNote]
}

// PeersConfig configures Peers.
type PeersConfig struct {
	Member  bwmodel.MemberID
	Zone    bwmodel.ZoneID
	Address netip.AddrPort
	// OnNote is called with each note of another gateway.
	OnNote func(bwforward.PeerNote)
	// Lend takes up to an amount from a service's retry budget for another gateway
	// and returns what it took; nil means that nothing is lent.
	Lend func(svc bwmodel.ServiceID, amount float64) float64
	// KeepLoan is called with a loan that came too late to be used; nil means that it
	// is lost.
	KeepLoan func(svc bwmodel.ServiceID, amount float64)
	// GrantPermit answers another gateway's request for a permit; nil means that none
	// is answered.
	GrantPermit func(PermitRequest) bwforward.PermitAnswer
	// OnRolloutReport and OnRollbackNote are called with the messages about rollouts; nil
	// means that there are none.
	OnRolloutReport func(RolloutReport)
	OnRollbackNote  func(RollbackNote)
	Log             *slog.Logger
}

// NewPeers listens on the configured address; Start begins to read datagrams.
func NewPeers(cfg PeersConfig) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	prs := &Peers{cfg: cfg, conn: conn, subscribers: make(map[string]TableHandler), loans: make(map[uint64]chan<- float64)}
	prs.updateFragments, prs.noteFragments = newReassembly[TableUpdate](maxUpdateFragments), newReassembly[bwforward.PeerNote](maxNoteFragments)
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
	gateways := make([]bwspread.Gateway, 0, len(anns))
	keys := make(map[bwmodel.MemberID][]byte, len(anns))
	for _, ann := range anns {
		gateways = append(gateways, bwspread.Gateway{Zone: ann.Zone, Address: ann.Address})
		if len(ann.Key) == sha256.Size {
			keys[ann.Member] = ann.Key
		}
	}
	prs.fleet.Store(bwspread.NewFleet(prs.cfg.Zone, gateways))
	prs.keys.Store(&keys)
}

// TableHandler handles what other gateways send about a table. Its functions must
// not block; a nil one does nothing.
type TableHandler struct {
	// OnUpdate is called with changes that another gateway has read.
	OnUpdate func(TableUpdate)
	// OnProbe is called when another gateway tries to read the table after a failure.
	OnProbe func()
}

// Subscribe sets the handler of a table.
func (prs *Peers) Subscribe(table string, hdl TableHandler) {
	prs.mu.Lock()
	defer prs.mu.Unlock()
	prs.subscribers[table] = hdl
}

// maxNoteRecipients is the largest number of gateways that get a note. With more
// gateways, each one still gets as many notes as in a fleet of this size, and
// thus has only part of the others' placements.
const maxNoteRecipients = 128

// SendNote sends a note to the other gateways, at most maxNoteRecipients of them
// unless all must get it.
// A nil Peers sends nothing.
func (prs *Peers) SendNote(nt bwforward.PeerNote) {
	if prs == nil {
		return
	}
	rcp := prs.fleet.Load().Some(maxNoteRecipients)
	if nt.Kind.ReachesAll() {
		rcp = prs.fleet.Load().All()
	}
	if fitsDatagram(nt.Parts) {
		prs.sendTo(rcp, packet{Note: &nt})
		return
	}
	frgs := split(nt, maxNoteFragments)
	if frgs == nil {
		prs.cfg.Log.Error("note is too long", "Kind", int(nt.Kind), "Parts", len(nt.Parts))
	}
	for _, frg := range frgs {
		prs.sendTo(rcp, packet{NoteFragment: &frg})
	}
}

// maxNotePartBytes is the size of the parts of a note up to which it is sent in one
// datagram, that an Ethernet frame has room for.
const maxNotePartBytes = 1024

// fitsDatagram reports whether a note with parts is sent in one datagram.
func fitsDatagram(parts []bwforward.PartID) bool {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size <= maxNotePartBytes
}

// RequestQuarantine asks some other gateways, chosen at random, for the parts of prompts
// in quarantine.
func (prs *Peers) RequestQuarantine() {
	for _, group := range prs.fleet.Load().Lenders() {
		prs.sendTo(bwspread.Recipients{Direct: group}, packet{Note: &bwforward.PeerNote{Kind: bwforward.QuarantineRequest}})
		return
	}
}

// SendUpdate sends an update to all other gateways. Of one that is too long they
// get only the version and the era, and read it from the store at their own intervals.
func (prs *Peers) SendUpdate(upd TableUpdate) {
	rcp := prs.fleet.Load().All()
	frgs := split(upd, maxUpdateFragments)
	if frgs == nil {
		upd.After, upd.Rows, upd.Whole = upd.Version, nil, false
		frgs = split(upd, maxUpdateFragments)
	}
	for _, frg := range frgs {
		prs.sendTo(rcp, packet{Fragment: &frg})
	}
}

// SendProbe tells the other gateways that this one tries to read a table that it
// could not read before.
func (prs *Peers) SendProbe(table string) {
	prs.sendTo(prs.fleet.Load().All(), packet{Probe: &tableProbe{Table: table}})
}

// sendTo signs and sends a packet to its recipients and relays.
func (prs *Peers) sendTo(rcp bwspread.Recipients, pkt packet) {
	if data, ok := prs.encode(pkt); ok && len(rcp.Direct) > 0 {
		prs.send(data, rcp.Direct)
	}
	pkt.Relay = true
	if data, ok := prs.encode(pkt); ok && len(rcp.Relays) > 0 {
		prs.send(data, rcp.Relays)
	}
}

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
	if pkt.Relay {
		pkt.Relay = false
		prs.sendTo(bwspread.Recipients{Direct: prs.fleet.Load().Neighbors()}, pkt)
	}
	if pkt.Note != nil {
		prs.cfg.OnNote(*pkt.Note)
	}
	if pkt.LoanRequest != nil {
		prs.answerLoan(*pkt.LoanRequest, from)
	}
	if pkt.Loan != nil {
		prs.receiveLoan(*pkt.Loan)
	}
	if pkt.PermitRequest != nil {
		prs.answerPermit(*pkt.PermitRequest, from)
	}
	if pkt.Permit != nil {
		prs.receivePermit(*pkt.Permit)
	}
	prs.receiveRollout(pkt)
	if pkt.Fragment != nil {
		prs.receiveFragment(*pkt.Fragment)
	}
	if pkt.NoteFragment != nil {
		prs.receiveNoteFragment(*pkt.NoteFragment)
	}
	if pkt.Probe != nil {
		prs.handler(pkt.Probe.Table).OnProbe()
	}
}

func (prs *Peers) receiveFragment(frg fragment) {
	upd, ok, err := prs.updateFragments.add(frg)
	if err != nil {
		prs.cfg.Log.Warn("update can't be decoded", "Error", err)
	}
	if ok {
		prs.handler(upd.Table).OnUpdate(upd)
	}
}

func (prs *Peers) receiveNoteFragment(frg fragment) {
	nt, ok, err := prs.noteFragments.add(frg)
	if err != nil {
		prs.cfg.Log.Warn("note can't be decoded", "Error", err)
	}
	if ok {
		prs.cfg.OnNote(nt)
	}
}

// handler returns the handler of a table, which has all functions set.
func (prs *Peers) handler(table string) TableHandler {
	prs.mu.Lock()
	hdl := prs.subscribers[table]
	prs.mu.Unlock()
	if hdl.OnUpdate == nil {
		hdl.OnUpdate = func(TableUpdate) {}
	}
	if hdl.OnProbe == nil {
		hdl.OnProbe = func() {}
	}
	return hdl
}

func (prs *Peers) close() { _ = prs.conn.Close() }
