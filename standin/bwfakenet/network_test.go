package bwfakenet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/standin/bwfakenet"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// connPair is one connection from member a to member b.
type connPair struct {
	dialed, accepted net.Conn
	addr             netip.AddrPort
	nw               *bwfakenet.Network
}

func connect(t *testing.T) *connPair {
	t.Helper()
	nw := bwfakenet.New()
	lis, err := nw.Listen("b")(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	cp := &connPair{nw: nw, addr: lis.Addr().(*net.TCPAddr).AddrPort()}
	if cp.dialed, err = nw.Dial("a")(t.Context(), cp.addr); err != nil {
		t.Fatal(err)
	}
	if cp.accepted, err = lis.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = cp.dialed.Close(), cp.accepted.Close() })
	return cp
}

func expectData(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	buf := make([]byte, len(want))
	if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != want {
		t.Fatalf("received %q, %v; want %q", buf, err, want)
	}
}

func expectNoData(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Fatalf("read ended with %v, want a timeout", err)
	}
	_ = conn.SetReadDeadline(time.Time{})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Guards against held data that is lost when its sender closes the connection. The
// soak would then not cover late dispatches.
func TestHeldDataArrivesAfterSenderCloses(t *testing.T) {
	cp := connect(t)
	cp.nw.SetCondition("a", "b", bwfakenet.Held)
	if _, err := cp.dialed.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	_ = cp.dialed.Close()
	expectNoData(t, cp.accepted)
	cp.nw.ClearFaults()
	expectData(t, cp.accepted, "late")
	if _, err := cp.accepted.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read ended with %v, want EOF", err)
	}
}

// Guards against a fault of one direction that affects the other.
func TestDirectionsAreIndependent(t *testing.T) {
	cp := connect(t)
	cp.nw.SetCondition("a", "b", bwfakenet.Held)
	if _, err := cp.accepted.Write([]byte("back")); err != nil {
		t.Fatal(err)
	}
	expectData(t, cp.dialed, "back")
	cp.nw.SetCondition("a", "b", bwfakenet.Open)
	cp.nw.SetMemberCondition("b", bwfakenet.Held)
	if _, err := cp.accepted.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	expectNoData(t, cp.dialed)
	cp.nw.SetMemberCondition("b", bwfakenet.Open)
	expectData(t, cp.dialed, "held")
}

// Guards against a cut that leaves a connection open or allows a new one.
func TestCutClosesConnectionsAndFailsDials(t *testing.T) {
	cp := connect(t)
	cp.nw.SetCondition("a", bwfakenet.AnyMember, bwfakenet.Cut)
	if _, err := cp.dialed.Read(make([]byte, 1)); err == nil {
		t.Fatal("read on a cut connection succeeded")
	}
	_, err := cp.nw.Dial("a")(t.Context(), cp.addr)
	var opErr *net.OpError
	if !errors.Is(err, bwfakenet.ErrCut) || !errors.As(err, &opErr) {
		t.Fatalf("dial in a cut direction ended with %v, want a dial error with ErrCut", err)
	}
	if count := cp.nw.ConnectionCount(); count != 0 {
		t.Errorf("%d connections are open after the cut, want 0", count)
	}
}

// Guards against a dial that ignores the cancellation of its context while its
// direction is held.
func TestHeldDialEndsOnCancel(t *testing.T) {
	cp := connect(t)
	cp.nw.SetCondition("b", "a", bwfakenet.Held)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := cp.nw.Dial("a")(ctx, cp.addr); !errors.Is(err, context.Canceled) {
		t.Fatalf("dial ended with %v, want %v", err, context.Canceled)
	}
}
