package bwfakenet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Network relays TCP connections on loopback between named members. A held
// direction buffers the data, as retransmission does after packet loss: data
// written before the sender closes the connection still arrives after the release.
type Network struct {
	mu sync.Mutex
	// listeners maps an address to the member that listens on it.
	listeners map[netip.AddrPort]string
	// faults holds the conditions other than Open; AnyMember matches each member.
	faults map[direction]Condition
	relays map[*relay]struct{}
	// changed is closed and replaced when a condition changes.
	changed chan struct{}
}

// Condition is the state of one direction between two members.
type Condition int

// Conditions of a direction, in ascending order of precedence.
const (
	// Open forwards all data.
	Open Condition = iota
	// Held buffers data and delays new connections until the direction is open.
	Held
	// Cut closes the connections dialed in the direction and fails new ones.
	Cut
)

// AnyMember matches each member in SetCondition.
const AnyMember = "*"

// direction identifies one direction between two members.
type direction struct{ from, to string }

// ErrCut is returned by a dial whose direction is cut.
var ErrCut = errors.New("direction is cut")

// New returns a network with all directions open.
func New() *Network {
	return &Network{
		listeners: make(map[netip.AddrPort]string),
		faults:    make(map[direction]Condition),
		relays:    make(map[*relay]struct{}),
		changed:   make(chan struct{}),
	}
}

// AddListener records that a member listens on an address.
func (nw *Network) AddListener(name string, addr netip.AddrPort) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.listeners[addr] = name
}

// Listen returns a function that opens and records TCP listeners of a member.
func (nw *Network) Listen(name string) func(context.Context, netip.AddrPort) (net.Listener, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
		var cfg net.ListenConfig
		lis, err := cfg.Listen(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		nw.AddListener(name, lis.Addr().(*net.TCPAddr).AddrPort())
		return lis, nil
	}
}

// Dial returns a function that connects a member to the listener at an address.
func (nw *Network) Dial(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return nw.dial(ctx, from, addr)
	}
}

// SetCondition sets the condition of the direction between two members; either may be AnyMember.
func (nw *Network) SetCondition(from, to string, cond Condition) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if cond == Open {
		delete(nw.faults, direction{from, to})
	} else {
		nw.faults[direction{from, to}] = cond
	}
	nw.applyChange()
}

// SetMemberCondition sets the condition of all directions from and to a member.
func (nw *Network) SetMemberCondition(name string, cond Condition) {
	nw.SetCondition(name, AnyMember, cond)
	nw.SetCondition(AnyMember, name, cond)
}

// ClearFaults sets the condition of all directions to Open.
func (nw *Network) ClearFaults() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.faults)
	nw.applyChange()
}

// ConnectionCount returns the number of open connections.
func (nw *Network) ConnectionCount() int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return len(nw.relays)
}

// applyChange wakes the goroutines in awaitOpen and closes the connections of cut
// directions.
func (nw *Network) applyChange() {
	close(nw.changed)
	nw.changed = make(chan struct{})
	for rly := range nw.relays {
		if nw.condition(direction{rly.from, rly.to}) == Cut {
			delete(nw.relays, rly)
			rly.abort()
		}
	}
}

// condition returns the most severe condition that applies to a direction.
func (nw *Network) condition(dir direction) Condition {
	return max(nw.faults[dir], nw.faults[direction{dir.from, AnyMember}], nw.faults[direction{AnyMember, dir.to}])
}

// awaitOpen waits until a direction is open. It returns ErrCut, or the context's error.
func (nw *Network) awaitOpen(ctx context.Context, dir direction) error {
	for {
		nw.mu.Lock()
		cond, changed := nw.condition(dir), nw.changed
		nw.mu.Unlock()
		switch cond {
		case Open:
			return nil
		case Cut:
			return fmt.Errorf("from %s to %s: %w", dir.from, dir.to, ErrCut)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dial opens a connection. The TCP handshake sends packets in both directions.
func (nw *Network) dial(ctx context.Context, from string, addr netip.AddrPort) (net.Conn, error) {
	nw.mu.Lock()
	to, known := nw.listeners[addr]
	nw.mu.Unlock()
	if !known {
		return nil, dialError(addr, errors.New("no member listens on this address"))
	}
	if err := nw.awaitOpen(ctx, direction{from, to}); err != nil {
		return nil, dialError(addr, err)
	}
	// A held reverse direction delays the SYN-ACK. A cut one fails only the
	// connections dialed by the other member.
	if err := nw.awaitOpen(ctx, direction{to, from}); err != nil && !errors.Is(err, ErrCut) {
		return nil, dialError(addr, err)
	}
	var dlr net.Dialer
	remote, err := dlr.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	conn, local := net.Pipe()
	rly := newRelay(nw, direction{from, to}, local, remote)
	nw.mu.Lock()
	// The direction may have been cut during the dial.
	cut := nw.condition(rly.direction) == Cut
	if !cut {
		nw.relays[rly] = struct{}{}
	}
	nw.mu.Unlock()
	if cut {
		rly.abort()
		return nil, dialError(addr, ErrCut)
	}
	rly.start()
	return conn, nil
}

// dialError returns the error type of a failed dial, which clients interpret as
// "nothing was sent".
func dialError(addr netip.AddrPort, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: err}
}

func (nw *Network) removeRelay(rly *relay) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.relays, rly)
}
