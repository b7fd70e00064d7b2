package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval of an engine's reports (heartbeatMs of the settings).
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in for an engine. It refuses requests for another instance, and
// otherwise passes them to run.
type engine struct {
	rec     *recorder
	sto     *store
	id      string
	service string
	zone    string
	slots   int
	born    time.Time
	// run handles a request whose X-Expect-Instance is right.
	run func(eng *engine, wrt http.ResponseWriter, req *http.Request)

	lis      net.Listener
	srv      *http.Server
	running  atomic.Int64
	sequence atomic.Int64
	stop     context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]bool
}

type engineConfig struct {
	id, service, zone, address string
	slots                      int
	run                        func(eng *engine, wrt http.ResponseWriter, req *http.Request)
}

// startEngine starts an engine that reports to the store and is removed from its list
// after three silent intervals.
func startEngine(rec *recorder, sto *store, cfg engineConfig) (*engine, error) {
	if cfg.address == "" {
		cfg.address = "127.0.0.1:0"
	}
	lis, err := net.Listen("tcp4", cfg.address)
	if err != nil {
		return nil, err
	}
	eng := &engine{rec: rec, sto: sto, id: cfg.id, service: cfg.service, zone: cfg.zone, slots: cfg.slots, born: time.Now(), run: cfg.run, lis: lis, conns: make(map[net.Conn]bool)}
	eng.srv = &http.Server{Handler: http.HandlerFunc(eng.serve), ConnState: eng.track}
	ctx, stop := context.WithCancel(context.Background())
	eng.stop = stop
	go func() { _ = eng.srv.Serve(lis) }()
	go eng.report(ctx)
	rec.printf("engine %s of %s starts at %s", eng.id, eng.service, eng.address())
	return eng, nil
}

func (eng *engine) address() string { return eng.lis.Addr().String() }

func (eng *engine) track(conn net.Conn, state http.ConnState) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(eng.conns, conn)
		return
	}
	eng.conns[conn] = true
}

// report writes the engine's entry at every heartbeat.
func (eng *engine) report(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		eng.writeEntry()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (eng *engine) writeEntry() {
	entry, _ := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.address(), "zone": eng.zone, "version": "v1", "slots": eng.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": eng.sequence.Add(1), "born": eng.born.UnixMilli(),
	})
	eng.sto.put("servers", eng.id, entry)
}

// crash ends the engine for good: its connections are reset and nothing listens at its
// address. Its entry lapses after three intervals if the store is up.
func (eng *engine) crash() {
	eng.rec.printf("engine %s of %s crashes for good", eng.id, eng.service)
	eng.stop()
	_ = eng.lis.Close()
	eng.mu.Lock()
	for conn := range eng.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	eng.mu.Unlock()
	_ = eng.srv.Close()
	time.AfterFunc(3*heartbeat, func() {
		if !eng.sto.down() {
			eng.sto.remove("servers", eng.id)
		}
	})
}

func (eng *engine) serve(wrt http.ResponseWriter, req *http.Request) {
	wrt.Header()["Date"] = nil
	if req.URL.Path == "/health" {
		wrt.Header().Set("X-Instance-Id", eng.id)
		wrt.Header().Set("X-Engine-Load", eng.load())
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != eng.id {
		eng.rec.printf("engine %s of %s answers 421 to %s, which expects %s", eng.id, eng.service, req.Header.Get("X-Request-Id"), want)
		wrt.Header().Set("X-Instance-Id", eng.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	eng.running.Add(1)
	defer eng.running.Add(-1)
	eng.run(eng, wrt, req)
}

func (eng *engine) load() string {
	return fmt.Sprintf("%d,0,%d", eng.running.Load(), eng.slots)
}

// answerHeader sets the headers of an engine's answer.
func (eng *engine) answerHeader(wrt http.ResponseWriter, req *http.Request) {
	hdr := wrt.Header()
	hdr.Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	hdr.Set("X-Server-Signature", signature(eng.id, req.Header.Get("X-Request-Id")))
	hdr.Set("X-Engine-Load", eng.load())
}

func signature(engine, request string) string { return engine + "." + request }

// runPlain runs a plain request in 15 ms.
func runPlain(eng *engine, wrt http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	eng.rec.printf("engine %s of %s runs %s (%s %s)", eng.id, eng.service, req.Header.Get("X-Request-Id"), req.Method, req.RequestURI)
	time.Sleep(15 * time.Millisecond)
	eng.answerHeader(wrt, req)
	_, _ = io.WriteString(wrt, strings.Repeat("x", 800))
}

// refuse answers a request that the engine does not run.
func (eng *engine) refuse(wrt http.ResponseWriter, req *http.Request, retryAfter time.Duration) {
	hdr := wrt.Header()
	hdr.Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	hdr.Set("X-Not-Executed", "1")
	hdr.Set("X-Engine-Load", eng.load())
	if retryAfter > 0 {
		hdr.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
	wrt.WriteHeader(http.StatusServiceUnavailable)
}
