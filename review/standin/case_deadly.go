package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

const (
	reviewService = "review-desk"
	// deadlyPart crashes each engine that begins to write an answer on it.
	deadlyPart = "dead0001"
	// deadlyInterval is the time between two requests with it, and deadlyRequests their
	// number.
	deadlyInterval = 5 * time.Second
	deadlyRequests = 5
	// engineDown is the time until a crashed engine is back.
	engineDown = 3 * time.Second
	// crashesToFind is the number of crashes, and maxDeadly the number of requests that
	// may reach engines later than stableWindow after the last of these.
	crashesToFind = 5
	maxDeadly     = 3
	// streamEvents and eventGap describe the answers.
	streamEvents = 20
	eventGap     = 50 * time.Millisecond
	prefillTime  = 100 * time.Millisecond
)

// deadlyCheck records the crashes and the requests with the deadly part.
type deadlyCheck struct {
	scr *script

	mu      sync.Mutex
	crashes []time.Time
	late    int
	started int
}

// arrive counts a request with the deadly part that reaches an engine.
func (chk *deadlyCheck) arrive(eng *engine, id string) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	if len(chk.crashes) < crashesToFind {
		return
	}
	if since := time.Since(chk.crashes[crashesToFind-1]); since > stableWindow {
		chk.late++
		chk.scr.rec.printf("BUDGET: %s with the deadly part reaches engine %s, %.1f s after the fifth crash", id, eng.id, since.Seconds())
	}
}

func (chk *deadlyCheck) crash(eng *engine) {
	chk.mu.Lock()
	chk.crashes = append(chk.crashes, time.Now())
	count := len(chk.crashes)
	chk.mu.Unlock()
	chk.scr.rec.printf("crash %d: engine %s", count, eng.id)
	eng.crash()
	time.AfterFunc(engineDown, func() {
		if err := chk.startEngine(eng.zone, eng.address()); err != nil {
			chk.scr.rec.printf("engine is not back: %v", err)
		}
	})
}

// startEngine starts an engine with a new ID.
func (chk *deadlyCheck) startEngine(zone, address string) error {
	chk.mu.Lock()
	id := fmt.Sprintf("i-review%02d", chk.started)
	chk.started++
	chk.mu.Unlock()
	_, err := startEngine(chk.scr.rec, chk.scr.sto, engineConfig{id: id, service: reviewService, zone: zone, slots: 64, address: address, run: chk.run})
	return err
}

// run answers a stream from the event after Last-Event-Id. With the deadly part the
// engine crashes when it has begun to write.
func (chk *deadlyCheck) run(eng *engine, wrt http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/kv-move" {
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id, parts := req.Header.Get("X-Request-Id"), strings.Split(req.Header.Get("X-Prefix-Hash"), ",")
	isDeadly := false
	for _, part := range parts[:len(parts)-1] {
		isDeadly = isDeadly || strings.HasPrefix(part, deadlyPart+":")
	}
	chk.scr.rec.printf("engine %s runs %s, Last-Event-Id %q, deadly %v", eng.id, id, req.Header.Get("Last-Event-Id"), isDeadly)
	if isDeadly {
		chk.arrive(eng, id)
	}
	time.Sleep(prefillTime)
	eng.answerHeader(wrt, req)
	wrt.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(wrt, "id: %d\ndata: %s\n\n", event, strings.Repeat("t", 40)); err != nil {
			return
		}
		if err := http.NewResponseController(wrt).Flush(); err != nil {
			return
		}
		if isDeadly {
			time.Sleep(5 * time.Millisecond)
			chk.crash(eng)
			return
		}
		time.Sleep(eventGap)
	}
}

// playDeadly checks BUDGET while requests with a part that crashes engines come. Each
// engine crashes after the first event that it writes.
func playDeadly(scr *script) (bool, error) {
	chk := &deadlyCheck{scr: scr}
	scr.writeManifest(manifest{
		Version: 7,
		Routes: []manifestRoute{{
			Name: "r-review", Host: host, Prefix: "/review/", Kind: "streaming", Service: reviewService, TimeoutMs: 25000, TargetLatencyMs: 4500,
			GapAimMs: 700, MaxAttempts: 5, Priority: 1, Resumable: true, SessionAffinity: true,
		}},
		Services: []manifestService{{Name: reviewService, HealthPath: "/health", MaxConns: 370, Protocol: "h1", Engine: &manifestEngine{Slots: 64, KVCapacity: 88000, Backups: true, Moves: true}}},
	})
	zones := []string{"bole", "kality", "merkato"}
	for ix := range 18 {
		if err := chk.startEngine(zones[ix%3], ""); err != nil {
			return false, err
		}
	}
	var gateways []*gatewayProcess
	for _, zone := range zones {
		gwp, err := startGateway(scr, "front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, gwp)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, gwp := range gateways {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(700 * time.Millisecond):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					scr.send(gwp, streamRequest(""))
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	for ix := range deadlyRequests {
		if scr.trouble {
			clients.Add(1)
			go func() {
				defer clients.Done()
				scr.send(gateways[ix%len(gateways)], streamRequest(deadlyPart))
			}()
		}
		time.Sleep(deadlyInterval)
	}
	close(stop)
	clients.Wait()
	chk.mu.Lock()
	defer chk.mu.Unlock()
	scr.rec.verdict("%d crashes; %d requests with the deadly part reached engines later than %v after the fifth, allowed are %d", len(chk.crashes), chk.late, stableWindow, maxDeadly)
	return chk.late > maxDeadly, nil
}

// streamRequest returns a request whose prompt has a part that others share, and one
// more if it is not empty.
func streamRequest(part string) request {
	count := requestCount.Add(1)
	prefix := fmt.Sprintf("5c1e%04x:200", count%5000)
	if part != "" {
		prefix += "," + part + ":300"
	}
	return request{
		method: http.MethodPost, path: "/review/2f", timeout: 25 * time.Second, body: strings.Repeat("p", 8000),
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "8200,160", "X-Prefix-Hash": prefix + fmt.Sprintf(",e440%06x:8000", count)},
	}
}
