package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["backoff"] = playBackoff }

const (
	// backOff is the time for which the engine in trouble wants no requests.
	backOff = 20 * time.Second
	// backOffSlack is the time after the answer from which requests count.
	backOffSlack = 500 * time.Millisecond
	// maxAfterBackOff is the number of requests that may still reach the engine.
	maxAfterBackOff = 2
	// badEntryInterval is the time between two entries of the other writer.
	badEntryInterval = 2 * time.Second
)

// backOffCheck counts, for each gateway, the requests that reach an engine after it has
// answered that gateway 503 with Retry-After.
type backOffCheck struct {
	mu      sync.Mutex
	refused map[string]time.Time
	late    map[string]int
}

// arrive counts a request that reaches the engine.
func (chk *backOffCheck) arrive(scr *script, id string) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	gateway := id[:strings.LastIndexByte(id, '-')]
	first, ok := chk.refused[gateway]
	if !ok {
		chk.refused[gateway] = time.Now()
		return
	}
	if since := time.Since(first); since > backOffSlack && since < backOff {
		chk.late[gateway]++
		scr.rec.printf("BUDGET: %s reaches the engine %.1f s after its Retry-After of %v to %s", id, since.Seconds(), backOff, gateway)
	}
}

// playBackoff checks BUDGET for an engine that wants no requests for a time, while
// another writer writes unreadable bytes into the engine's entry now and then.
func playBackoff(scr *script) (bool, error) {
	scr.writeManifest(manifest{
		Version:  7,
		Routes:   []manifestRoute{plainRoute("r-filing", "unsafe", "/filing/", filingService)},
		Services: []manifestService{plainService(filingService)},
	})
	chk := &backOffCheck{refused: make(map[string]time.Time), late: make(map[string]int)}
	inTrouble := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
		chk.arrive(scr, req.Header.Get("X-Request-Id"))
		scr.rec.printf("engine %s answers 503 to %s, Retry-After %v", eng.id, req.Header.Get("X-Request-Id"), backOff)
		eng.refuse(wrt, req, backOff)
	}
	zones := []string{"bole", "kality", "merkato"}
	var engines []*engine
	for ix := range 3 {
		run := runPlain
		if ix == 0 {
			run = inTrouble
		}
		eng, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zones[ix], slots: 6, run: run})
		if err != nil {
			return false, err
		}
		engines = append(engines, eng)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, zone := range zones {
		gwp, err := startGateway(scr, "front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		for range 3 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					scr.send(gwp, request{method: http.MethodPost, path: "/filing/2f", timeout: 600 * time.Millisecond, body: strings.Repeat("f", 600)})
				}
			}()
		}
	}
	// The store and the gateways run without any disruption for longer than
	// stableWindowMs.
	time.Sleep(4 * time.Second)
	for range 8 {
		if scr.trouble {
			scr.rec.printf("another writer writes unreadable bytes into the entry of %s", engines[0].id)
			scr.sto.put("servers", engines[0].id, []byte("\x00\x01{"))
		}
		time.Sleep(badEntryInterval)
	}
	close(stop)
	clients.Wait()
	chk.mu.Lock()
	defer chk.mu.Unlock()
	broken := false
	for gateway := range chk.refused {
		scr.rec.verdict("%d requests reached the engine from %s during the back-off", chk.late[gateway], gateway)
		broken = broken || chk.late[gateway] > maxAfterBackOff
	}
	return broken, nil
}
