package bwfakenet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Network carries TCP connections on loopback between named members. A way that
// is held keeps what is sent, as lost packets that are sent again later do; what
// was written before the sender gave up still arrives after the release.
type Network struct {
	mu     sync.Mutex
	owners map[netip.AddrPort]string
	// faults holds the conditions of ways other than Open; Everyone stands for
	// any member.
	faults map[way]Condition
	links  map[*link]struct{}
	// changed is closed and replaced when a condition changes.
	changed chan struct{}
}

// Condition is the state of one way.
type Condition int

// Conditions of a way.
const (
	// Open passes everything on.
	Open Condition = iota
	// Held keeps everything, new connections included, until the way opens.
	Held
	// Cut breaks the connections made over the way and refuses new ones.
	Cut
)

// AnyMember stands for each member in Set.
const AnyMember = "*"

// way is one direction between two members.
type way struct{ from, to string }

// ErrCut says that a connection was refused or broken because its way is cut.
var ErrCut = errors.New("way is cut")

// New returns a network whose ways are open.
func New() *Network {
	return &Network{
		owners:  make(map[netip.AddrPort]string),
		faults:  make(map[way]Condition),
		links:   make(map[*link]struct{}),
		changed: make(chan struct{}),
	}
}

// AddListener says which member listens on an address.
func (nw *Network) AddListener(name string, addr netip.AddrPort) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.owners[addr] = name
}

// Listen returns a function that opens TCP listeners of a member.
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

// Dial returns a function that connects a member to the owner of an address.
func (nw *Network) Dial(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return nw.dial(ctx, from, addr)
	}
}

// SetCondition changes the condition of the way between two members; either may be Everyone.
func (nw *Network) SetCondition(from, to string, cond Condition) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if cond == Open {
		delete(nw.faults, way{from, to})
	} else {
		nw.faults[way{from, to}] = cond
	}
	nw.announce()
}

// SetMemberCondition changes the condition of all ways from and to a member.
func (nw *Network) SetMemberCondition(name string, cond Condition) {
	nw.SetCondition(name, AnyMember, cond)
	nw.SetCondition(AnyMember, name, cond)
}

// ClearFaults opens all ways.
func (nw *Network) ClearFaults() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.faults)
	nw.announce()
}

// ConnectionCount returns the number of open connections.
func (nw *Network) ConnectionCount() int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return len(nw.links)
}

// announce wakes everything that waits and breaks the connections over cut ways.
func (nw *Network) announce() {
	close(nw.changed)
	nw.changed = make(chan struct{})
	for lnk := range nw.links {
		if nw.condition(way{lnk.from, lnk.to}) == Cut {
			delete(nw.links, lnk)
			lnk.sever()
		}
	}
}

// condition returns the worst condition that applies to a way.
func (nw *Network) condition(wy way) Condition {
	return max(nw.faults[wy], nw.faults[way{wy.from, AnyMember}], nw.faults[way{AnyMember, wy.to}])
}

// pass waits until a way is open; it returns ErrCut or the context's error.
func (nw *Network) pass(ctx context.Context, wy way) error {
	for {
		nw.mu.Lock()
		cond, changed := nw.condition(wy), nw.changed
		nw.mu.Unlock()
		switch cond {
		case Open:
			return nil
		case Cut:
			return fmt.Errorf("from %s to %s: %w", wy.from, wy.to, ErrCut)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dial makes a connection; a connection needs both directions to be made.
func (nw *Network) dial(ctx context.Context, from string, addr netip.AddrPort) (net.Conn, error) {
	nw.mu.Lock()
	to, known := nw.owners[addr]
	nw.mu.Unlock()
	if !known {
		return nil, dialFailure(addr, errors.New("no member listens there"))
	}
	if err := nw.pass(ctx, way{from, to}); err != nil {
		return nil, dialFailure(addr, err)
	}
	// The answer to a connection's first packet may be held, but a cut in the
	// other direction concerns only connections made by the other member.
	if err := nw.pass(ctx, way{to, from}); err != nil && !errors.Is(err, ErrCut) {
		return nil, dialFailure(addr, err)
	}
	var dlr net.Dialer
	far, err := dlr.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	near, inner := net.Pipe()
	lnk := newLink(nw, way{from, to}, inner, far)
	nw.mu.Lock()
	// The way may have been cut while the connection was being made.
	cut := nw.condition(lnk.way) == Cut
	if !cut {
		nw.links[lnk] = struct{}{}
	}
	nw.mu.Unlock()
	if cut {
		lnk.sever()
		return nil, dialFailure(addr, ErrCut)
	}
	lnk.start()
	return near, nil
}

// dialFailure has the type of a failed dial, by which clients know that nothing was sent.
func dialFailure(addr netip.AddrPort, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: err}
}

func (nw *Network) forget(lnk *link) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.links, lnk)
}
