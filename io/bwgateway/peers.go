package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"bilberrywick/core/bwforward"
)

// Peers exchanges notes with the other gateways. A note is one datagram to
// each: it is worth nothing when it is late, and breaks nothing when it is lost.
type Peers struct {
	cfg   PeersConfig
	conn  *net.UDPConn
	addrs atomic.Pointer[[]netip.AddrPort]
	// failed counts the datagrams that could not be sent.
	failed atomic.Int64
}

// PeersConfig configures Peers.
type PeersConfig struct {
	Address netip.AddrPort
	// Learn takes in another gateway's note.
	Learn func(bwforward.Note)
	Log   *slog.Logger
}

// maxNote is above the size of a note in bytes.
const maxNote = 1024

// NewPeers listens for notes; Start takes them in.
func NewPeers(cfg PeersConfig) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	prs := &Peers{cfg: cfg, conn: conn}
	prs.addrs.Store(new([]netip.AddrPort))
	return prs, nil
}

// Start takes notes in until the context ends.
func (prs *Peers) Start(ctx context.Context) {
	context.AfterFunc(ctx, prs.close)
	go prs.loop()
}

// Address is where the notes of others are taken.
func (prs *Peers) Address() netip.AddrPort { return prs.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Set replaces the addresses of the other gateways.
func (prs *Peers) Set(addrs []netip.AddrPort) { prs.addrs.Store(&addrs) }

// Tell sends a note to all other gateways.
func (prs *Peers) Tell(nt bwforward.Note) {
	if prs == nil {
		return
	}
	data, err := cbor.Marshal(nt)
	if err != nil {
		prs.cfg.Log.Error("note can't be encoded", "Error", err)
		return
	}
	for _, addr := range *prs.addrs.Load() {
		if _, err := prs.conn.WriteToUDPAddrPort(data, addr); err != nil && prs.failed.Add(1) == 1 {
			prs.cfg.Log.Warn("note not sent; later failures are only counted", "Peer", addr, "Error", err)
		}
	}
}

// Failed returns the number of datagrams that could not be sent.
func (prs *Peers) Failed() int64 { return prs.failed.Load() }

func (prs *Peers) loop() {
	buf := make([]byte, maxNote)
	for {
		size, from, err := prs.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An earlier datagram found no listener at its target.
			continue
		}
		var nt bwforward.Note
		if err := cbor.Unmarshal(buf[:size], &nt); err != nil {
			prs.cfg.Log.Warn("note can't be read", "Peer", from, "Error", err)
			continue
		}
		prs.cfg.Learn(nt)
	}
}

func (prs *Peers) close() { _ = prs.conn.Close() }
