package bwfakeserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// Server runs a script for each request, on a connection of its own.
type Server struct {
	cfg      Config
	lis      net.Listener
	requests atomic.Int64
}

// Config configures a Server.
type Config struct {
	// Respond sends the response; the connection is closed when it returns.
	Respond func(*Exchange)
}

// Exchange is one request whose body has not been read.
type Exchange struct {
	Request *http.Request
	Conn    net.Conn
}

// Start listens on a loopback address. It returns the listener's error.
func Start(cfg Config) (*Server, error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake server: %w", err)
	}
	srv := &Server{cfg: cfg, lis: lis}
	go srv.run()
	return srv, nil
}

// Address returns the address on which the server listens.
func (srv *Server) Address() netip.AddrPort { return srv.lis.Addr().(*net.TCPAddr).AddrPort() }

// Requests returns the number of requests whose head has arrived.
func (srv *Server) Requests() int { return int(srv.requests.Load()) }

// Close closes the listener; connections remain until their script ends.
func (srv *Server) Close() { _ = srv.lis.Close() }

func (srv *Server) run() {
	for {
		conn, err := srv.lis.Accept()
		if err != nil {
			return
		}
		ssn := &session{srv: srv, conn: conn}
		go ssn.run()
	}
}

type session struct {
	srv  *Server
	conn net.Conn
}

func (ssn *session) run() {
	defer func() { _ = ssn.conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(ssn.conn))
	if err != nil {
		return
	}
	ssn.srv.requests.Add(1)
	ssn.srv.cfg.Respond(&Exchange{Request: req, Conn: ssn.conn})
}

// ReadBody reads the body of the request to its end.
func (exc *Exchange) ReadBody() { _, _ = io.Copy(io.Discard, exc.Request.Body) }

// Send sends bytes as they are.
func (exc *Exchange) Send(text string) { _, _ = io.WriteString(exc.Conn, text) }

// Reset ends the connection with a reset. It needs a connection of a Server.
func (exc *Exchange) Reset() {
	_ = exc.Conn.(*net.TCPConn).SetLinger(0)
	_ = exc.Conn.Close()
}
