package bwhttp

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections above a limit at once, so that callers
// retry with another process instead of waiting.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (ls *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ls.open.Add(1) <= ls.limit {
			return &limitedConn{Conn: conn, lis: ls}, nil
		}
		ls.open.Add(-1)
		_ = conn.Close()
	}
}

// limitedConn decrements the listener's count of open connections when it is closed.
type limitedConn struct {
	net.Conn
	lis  *limitedListener
	once sync.Once
}

// Close closes the connection.
func (lc *limitedConn) Close() error {
	lc.once.Do(lc.release)
	return lc.Conn.Close()
}

func (lc *limitedConn) release() { lc.lis.open.Add(-1) }
