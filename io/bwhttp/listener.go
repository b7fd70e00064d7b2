package bwhttp

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundedListener closes connections above a bound at once, so that callers
// turn to another process instead of waiting here.
type boundedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the bound.
func (bls *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := bls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if bls.open.Add(1) <= bls.limit {
			return &boundedConn{Conn: conn, lis: bls}, nil
		}
		bls.open.Add(-1)
		_ = conn.Close()
	}
}

// boundedConn gives its place back when it is closed.
type boundedConn struct {
	net.Conn
	lis  *boundedListener
	once sync.Once
}

// Close closes the connection.
func (bcn *boundedConn) Close() error {
	bcn.once.Do(bcn.leave)
	return bcn.Conn.Close()
}

func (bcn *boundedConn) leave() { bcn.lis.open.Add(-1) }
