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

// pair is one connection from member a to member b.
type pair struct {
	near, far net.Conn
	addr      netip.AddrPort
	nw        *bwfakenet.Network
}

func connect(t *testing.T) *pair {
	t.Helper()
	nw := bwfakenet.New()
	lis, err := nw.Listen("b")(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	par := &pair{nw: nw, addr: lis.Addr().(*net.TCPAddr).AddrPort()}
	if par.near, err = nw.Dial("a")(t.Context(), par.addr); err != nil {
		t.Fatal(err)
	}
	if par.far, err = lis.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = par.near.Close(), par.far.Close() })
	return par
}

func receive(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	buf := make([]byte, len(want))
	if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != want {
		t.Fatalf("received %q, %v; want %q", buf, err, want)
	}
}

func silent(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Fatalf("read ended with %v, want a timeout", err)
	}
	_ = conn.SetReadDeadline(time.Time{})
}

func isTimeout(err error) bool {
	var fault net.Error
	return errors.As(err, &fault) && fault.Timeout()
}

// Guards against a delayed message that is lost when its sender gives up, which
// would hide late dispatches from the soak.
func TestHeldDataArrivesAfterItsSenderHasClosed(t *testing.T) {
	par := connect(t)
	par.nw.SetCondition("a", "b", bwfakenet.Held)
	if _, err := par.near.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	_ = par.near.Close()
	silent(t, par.far)
	par.nw.ClearFaults()
	receive(t, par.far, "late")
	if _, err := par.far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read ended with %v, want the end of the stream", err)
	}
}

// Guards against a fault of one direction that stops the other.
func TestDirectionsAreApart(t *testing.T) {
	par := connect(t)
	par.nw.SetCondition("a", "b", bwfakenet.Held)
	if _, err := par.far.Write([]byte("back")); err != nil {
		t.Fatal(err)
	}
	receive(t, par.near, "back")
	par.nw.SetCondition("a", "b", bwfakenet.Open)
	par.nw.SetMemberCondition("b", bwfakenet.Held)
	if _, err := par.far.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	silent(t, par.near)
	par.nw.SetMemberCondition("b", bwfakenet.Open)
	receive(t, par.near, "held")
}

// Guards against a cut that leaves a connection in use or lets a new one be made.
func TestCutBreaksAndRefuses(t *testing.T) {
	par := connect(t)
	par.nw.SetCondition("a", bwfakenet.AnyMember, bwfakenet.Cut)
	if _, err := par.near.Read(make([]byte, 1)); err == nil {
		t.Fatal("a cut connection still reads")
	}
	_, err := par.nw.Dial("a")(t.Context(), par.addr)
	var dial *net.OpError
	if !errors.Is(err, bwfakenet.ErrCut) || !errors.As(err, &dial) {
		t.Fatalf("dial over a cut way ended with %v", err)
	}
	if links := par.nw.ConnectionCount(); links != 0 {
		t.Errorf("%d links are left after the cut", links)
	}
}

// Guards against a dial that outlives its context while its way is held.
func TestHeldDialEndsWithItsContext(t *testing.T) {
	par := connect(t)
	par.nw.SetCondition("b", "a", bwfakenet.Held)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := par.nw.Dial("a")(ctx, par.addr); !errors.Is(err, context.Canceled) {
		t.Fatalf("dial ended with %v, want %v", err, context.Canceled)
	}
}
