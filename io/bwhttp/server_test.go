package bwhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"bilberrywick/io/bwhttp"
)

func startServer(t *testing.T, bounds bwhttp.Limits, hdl http.HandlerFunc) netip.AddrPort {
	t.Helper()
	srv, err := bwhttp.Listen(bwhttp.ServerConfig{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: hdl,
		Limits:  bounds,
	})
	if err != nil {
		t.Fatal(err)
	}
	srv.Start()
	t.Cleanup(func() {
		_ = srv.Close()
		<-srv.Done()
		if err := srv.Err(); err != nil {
			t.Error(err)
		}
	})
	return srv.Address()
}

func dial(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func serveOK(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") }

// Guards against a slow writer of a header or body that holds its connection;
// without the bounds the reads below would never end.
func TestSlowWritersAreCutOff(t *testing.T) {
	bounds := bwhttp.Limits{HeaderTimeout: 50 * time.Millisecond, BodyTimeout: 50 * time.Millisecond}
	addr := startServer(t, bounds, serveOK)
	tests := []struct {
		name, sent, want string
	}{
		{"header", "POST / HTTP/1.1\r\nHost: x\r\nX-Slow: ", ""},
		{"body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "HTTP/1.1 408"},
		{"declared length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn := dial(t, addr)
			if _, err := io.WriteString(conn, tt.sent); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasPrefix(string(got), tt.want) {
				t.Errorf("got %q, want prefix %q", got, tt.want)
			}
		})
	}
}

// Guards against a body timeout that ends a long response.
func TestStreamOutlivesBodyTimeout(t *testing.T) {
	bounds := bwhttp.Limits{BodyTimeout: 30 * time.Millisecond, WriteTimeout: 30 * time.Millisecond}
	addr := startServer(t, bounds, func(rw http.ResponseWriter, rq *http.Request) {
		select {
		case <-rq.Context().Done():
		case <-time.After(150 * time.Millisecond):
			serveOK(rw, rq)
		}
	})
	rsp, err := http.Post("http://"+addr.String(), bwhttp.JSONContentType, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(rsp.Body)
	if err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against streams above the bound that are admitted, and against slots
// that are not given back.
func TestStreamsAreBounded(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	addr := startServer(t, bwhttp.Limits{Streams: 1}, func(rw http.ResponseWriter, rq *http.Request) {
		entered <- struct{}{}
		<-leave
		serveOK(rw, rq)
	})
	first := dial(t, addr)
	_, _ = fmt.Fprint(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	if got := status(t, addr); got != http.StatusServiceUnavailable {
		t.Errorf("second stream: status %d", got)
	}
	leave <- struct{}{}
	rsp, err := http.ReadResponse(bufio.NewReader(first), nil)
	if err != nil || rsp.StatusCode != http.StatusOK {
		t.Fatalf("first stream: %v, %v", rsp, err)
	}
	hs := &handshake{entered: entered, leave: leave}
	go hs.run()
	if got := status(t, addr); got != http.StatusOK {
		t.Errorf("after the first stream: status %d", got)
	}
}

type handshake struct{ entered, leave chan struct{} }

// run lets one request through.
func (hs *handshake) run() {
	<-hs.entered
	hs.leave <- struct{}{}
}

func status(t *testing.T, addr netip.AddrPort) int {
	t.Helper()
	rsp, err := http.Get("http://" + addr.String())
	if err != nil {
		t.Fatal(err)
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode
}

type stopper struct {
	srv  *bwhttp.Server
	done chan error
}

func (stp *stopper) run(ctx context.Context) { stp.done <- stp.srv.Shutdown(ctx) }

// Guards against a shutdown that cuts off a request in progress.
func TestShutdownWaits(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	srv, err := bwhttp.Listen(bwhttp.ServerConfig{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
			close(entered)
			<-leave
			serveOK(rw, rq)
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	srv.Start()
	conn := dial(t, srv.Address())
	_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	stp := &stopper{srv: srv, done: make(chan error)}
	go stp.run(t.Context())
	<-srv.Done()
	close(leave)
	if err := <-stp.done; err != nil {
		t.Error(err)
	}
	rsp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || rsp.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v", rsp, err)
	}
}

// Guards against a load balancer that gets no reason, or takes a process that
// drains for one that is dead.
func TestHealthAndReadyHandlers(t *testing.T) {
	var reason error
	ready := bwhttp.ReadyHandler(func() error { return reason })
	tests := []struct {
		name   string
		hdl    http.Handler
		reason error
		status int
		body   string
	}{
		{"healthy", bwhttp.HealthHandler(), nil, http.StatusOK, `{"Healthy":true}`},
		{"ready", ready, nil, http.StatusOK, `{"Ready":true}`},
		{"not ready", ready, errors.New("the process is stopping"), http.StatusServiceUnavailable, `{"Ready":false,"Reason":"the process is stopping"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reason = tt.reason
			rec := httptest.NewRecorder()
			tt.hdl.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
			if rec.Code != tt.status || strings.TrimSpace(rec.Body.String()) != tt.body {
				t.Errorf("status %d, body %s", rec.Code, rec.Body)
			}
		})
	}
}

// Guards against bodies that take all memory, and against memory that stays
// counted after its request.
func TestBodyMemoryIsBounded(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	addr := startServer(t, bwhttp.Limits{BodyMemoryBytes: 1000}, func(rw http.ResponseWriter, rq *http.Request) {
		entered <- struct{}{}
		<-leave
		serveOK(rw, rq)
	})
	first := dial(t, addr)
	_, _ = fmt.Fprintf(first, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 600\r\n\r\n%s", strings.Repeat("x", 600))
	<-entered
	if got := post(t, addr, 600); got != http.StatusServiceUnavailable {
		t.Errorf("second body: status %d", got)
	}
	leave <- struct{}{}
	if rsp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || rsp.StatusCode != http.StatusOK {
		t.Fatalf("first body: %v, %v", rsp, err)
	}
	hs := &handshake{entered: entered, leave: leave}
	go hs.run()
	if got := post(t, addr, 600); got != http.StatusOK {
		t.Errorf("after the first body: status %d", got)
	}
}

func post(t *testing.T, addr netip.AddrPort, size int) int {
	t.Helper()
	rsp, err := http.Post("http://"+addr.String(), "text/plain", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode
}

// Guards against connections without a bound, and against one that stays
// counted after it was closed.
func TestConnectionsAreBounded(t *testing.T) {
	addr := startServer(t, bwhttp.Limits{Connections: 1}, serveOK)
	first := dial(t, addr)
	_, _ = io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if rsp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || rsp.StatusCode != http.StatusOK {
		t.Fatalf("first connection: %v, %v", rsp, err)
	}
	if got, err := io.ReadAll(dial(t, addr)); len(got) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("second connection: got %q, %v, want it closed", got, err)
	}
	_ = first.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		conn := dial(t, addr)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if rsp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && rsp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Error("no connection is admitted after the first was closed")
}
