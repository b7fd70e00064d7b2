package bwlisten

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwaccount"
)

// Reason says why a connection was closed or refused.
type Reason string

// Reasons for closing a connection.
const (
	// TooManyConnections closed a connection for a new one.
	TooManyConnections Reason = "too many connections"
	// AllRunning refused a new connection, because all others had requests in progress.
	AllRunning Reason = "all connections have requests"
	// HeaderMemory closed a connection for the memory of headers.
	HeaderMemory Reason = "memory of headers"
	// TooManyFields closed a connection whose header has too many fields.
	TooManyFields Reason = "too many header fields"
	// ResponseNotRead closed a connection whose caller did not read its response.
	ResponseNotRead Reason = "response is not read"
)

// ErrClosed means that a connection was closed to stay within a limit.
var ErrClosed = errors.New("connection closed to stay within a limit")

// Protocol says how a Listener finds the requests on a connection.
type Protocol int

// Protocols of connections.
const (
	// PlainHTTP is HTTP/1 without encryption.
	PlainHTTP Protocol = iota
	// EncryptedHTTP is HTTP below TLS: only bytes are counted, not fields.
	EncryptedHTTP
	// OtherProtocol has no requests: connections are idle when they send nothing.
	OtherProtocol
)

// Config configures a Listener.
type Config struct {
	Protocol Protocol
	// Connections limits the connections; for further ones, old ones are closed.
	Connections int
	// HeaderBytes limits the memory of the headers of all connections.
	HeaderBytes int64
	// Fields limits the header fields of a request; 0 means DefaultFields.
	Fields int
	// ReadBuffer limits what the system holds of a connection that is not read yet, in
	// bytes; 0 means the system's default.
	ReadBuffer int
	// WriteTimeout limits the time in which a caller must read each writeSize bytes of a
	// response; 0 means no limit.
	WriteTimeout time.Duration
	// EvictRunning allows to close connections with requests in progress for new ones.
	EvictRunning bool
	// OnClose is called with each connection that is closed or refused; it may be nil.
	OnClose func(reason Reason, remote netip.AddrPort)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

const (
	// DefaultFields is far above the 32 fields that callers of current deployments send.
	DefaultFields = 512
	// writeSize is the part of a response that one WriteTimeout allows for.
	writeSize = 64 << 10
	// serverBuffer is the size of net/http's buffer. Longer reads go to a body.
	serverBuffer = 4 << 10
)

// Listener bounds the connections of a server; ConnState and ConnContext must be the
// server's hooks of these names. It is safe for concurrent use.
type Listener struct {
	net.Listener
	cfg Config

	// mu guards acc and the connections' fields.
	mu  sync.Mutex
	acc *bwaccount.Account
	// conns has the connections of the holders in acc.
	conns map[*bwaccount.Holder]*conn
}

// New returns a Listener around another one.
func New(lis net.Listener, cfg Config) *Listener {
	if cfg.Fields == 0 {
		cfg.Fields = DefaultFields
	}
	if cfg.OnClose == nil {
		cfg.OnClose = func(Reason, netip.AddrPort) {}
	}
	acc := bwaccount.New(bwaccount.Config{Connections: cfg.Connections, HeaderBytes: cfg.HeaderBytes, EvictRunning: cfg.EvictRunning, Now: cfg.Now})
	return &Listener{Listener: lis, cfg: cfg, acc: acc, conns: make(map[*bwaccount.Holder]*conn)}
}

// SetLimits changes Config.Connections and Config.HeaderBytes.
func (lis *Listener) SetLimits(connections int, headerBytes int64) {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.acc.SetLimits(connections, headerBytes)
}

// Connections returns the number of open connections.
func (lis *Listener) Connections() int {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.acc.Connections()
}

// HeaderBytes returns the memory that headers take.
func (lis *Listener) HeaderBytes() int64 {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.acc.HeaderBytes()
}

// Accept returns the next connection. It closes another one if there are too many, or the
// new one if all others have requests in progress.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cn := &conn{Conn: inner, lis: lis}
		if tcp, ok := inner.(*net.TCPConn); ok && lis.cfg.ReadBuffer > 0 {
			// A connection that the caller has closed meanwhile fails when it is read.
			_ = tcp.SetReadBuffer(lis.cfg.ReadBuffer)
		}
		if lis.add(cn) {
			return cn, nil
		}
		lis.cfg.OnClose(AllRunning, cn.remote())
		_ = inner.Close()
	}
}

func (lis *Listener) add(cn *conn) bool {
	lis.mu.Lock()
	victim, ok := lis.acc.Add(&cn.holder)
	closed := lis.takeLocked(victim)
	if ok {
		lis.conns[&cn.holder] = cn
	}
	lis.mu.Unlock()
	lis.closeAll(closed, TooManyConnections)
	return ok
}

// takeLocked returns the connections of holders that acc has removed.
func (lis *Listener) takeLocked(victims ...*bwaccount.Holder) []*conn {
	var conns []*conn
	for _, hld := range victims {
		if cn := lis.conns[hld]; cn != nil {
			conns = append(conns, cn)
			delete(lis.conns, hld)
		}
	}
	return conns
}

// closeAll closes connections that are no longer in acc.
func (lis *Listener) closeAll(conns []*conn, reason Reason) {
	for _, cn := range conns {
		lis.cfg.OnClose(reason, cn.remote())
		_ = cn.Conn.Close()
	}
}

func (lis *Listener) remove(cn *conn) {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.acc.Remove(&cn.holder)
	delete(lis.conns, &cn.holder)
}

// ConnState follows the requests of a connection.
func (lis *Listener) ConnState(inner net.Conn, state http.ConnState) {
	cn := unwrap(inner)
	if cn == nil {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive:
		lis.mu.Lock()
		defer lis.mu.Unlock()
		lis.acc.Enter(&cn.holder, bwaccount.Running)
		cn.isRunning = true
	case http.StateIdle:
		lis.mu.Lock()
		defer lis.mu.Unlock()
		// The server may have read a part of the next request with the last one.
		lis.acc.Keep(&cn.holder, cn.lastRead)
		lis.acc.Enter(&cn.holder, bwaccount.Idle)
		cn.isRunning, cn.meter = false, HeaderMeter{}
	case http.StateHijacked, http.StateClosed:
		lis.remove(cn)
	}
}

// onRead counts bytes that have arrived, and closes connections. It returns ErrClosed if
// the connection itself is closed.
func (lis *Listener) onRead(cn *conn, data []byte, capacity int) error {
	lis.mu.Lock()
	if lis.cfg.Protocol == OtherProtocol {
		lis.acc.Touch(&cn.holder)
		lis.mu.Unlock()
		return nil
	}
	if cn.isRunning {
		if capacity > serverBuffer {
			cn.lastRead = 0
		} else if len(data) > 1 {
			cn.lastRead = bufferCost(data)
		}
		lis.mu.Unlock()
		return nil
	}
	cost := int64(len(data)) * opaqueCost
	if lis.cfg.Protocol == PlainHTTP {
		cost = cn.meter.Add(data)
	}
	cn.lastRead = bufferCost(data)
	lis.acc.Enter(&cn.holder, bwaccount.Header)
	var victims []*bwaccount.Holder
	reason, ok := TooManyFields, cn.meter.Fields() <= lis.cfg.Fields
	if ok {
		reason = HeaderMemory
		victims, ok = lis.acc.Reserve(&cn.holder, cost)
	}
	closed := lis.takeLocked(victims...)
	isHeld := lis.conns[&cn.holder] != nil
	if !ok {
		lis.acc.Remove(&cn.holder)
		delete(lis.conns, &cn.holder)
	}
	lis.mu.Unlock()
	lis.closeAll(closed, HeaderMemory)
	if ok {
		return nil
	}
	if isHeld {
		lis.closeAll([]*conn{cn}, reason)
	}
	return ErrClosed
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	lis    *Listener
	holder bwaccount.Holder
	meter  HeaderMeter
	// isRunning is set from the end of a request's header until its response is written.
	isRunning bool
	// lastRead is the memory that the bytes of the last read may need as a header.
	lastRead int64
	// writeDeadline is the deadline that the server or a handler has set.
	writeDeadline atomic.Pointer[time.Time]
}

func (cn *conn) remote() netip.AddrPort {
	if tcp, ok := cn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// Read reads and counts what has arrived.
func (cn *conn) Read(buf []byte) (int, error) {
	size, err := cn.Conn.Read(buf)
	if size > 0 {
		if closed := cn.lis.onRead(cn, buf[:size], len(buf)); closed != nil {
			return 0, closed
		}
	}
	return size, err
}

// Write writes in parts, each within the write timeout.
func (cn *conn) Write(data []byte) (int, error) {
	if cn.lis.cfg.WriteTimeout == 0 {
		return cn.Conn.Write(data)
	}
	written := 0
	for {
		if err := cn.Conn.SetWriteDeadline(cn.partDeadline()); err != nil {
			return written, err
		}
		size, err := cn.Conn.Write(data[written:min(len(data), written+writeSize)])
		written += size
		if err != nil {
			if nerr, ok := errors.AsType[net.Error](err); ok && nerr.Timeout() {
				cn.lis.cfg.OnClose(ResponseNotRead, cn.remote())
				_ = cn.Close()
			}
			return written, err
		}
		if written == len(data) {
			return written, nil
		}
	}
}

// partDeadline returns the deadline for a part of a response.
func (cn *conn) partDeadline() time.Time {
	deadline := time.Now().Add(cn.lis.cfg.WriteTimeout)
	if own := cn.writeDeadline.Load(); own != nil && !own.IsZero() && own.Before(deadline) {
		return *own
	}
	return deadline
}

// SetWriteDeadline sets a deadline for writes, in addition to the write timeout.
func (cn *conn) SetWriteDeadline(deadline time.Time) error {
	cn.writeDeadline.Store(&deadline)
	return cn.Conn.SetWriteDeadline(deadline)
}

// SetDeadline sets the deadlines for reads and writes.
func (cn *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(cn.SetReadDeadline(deadline), cn.SetWriteDeadline(deadline))
}

// Close closes the connection.
func (cn *conn) Close() error {
	cn.lis.remove(cn)
	return cn.Conn.Close()
}
