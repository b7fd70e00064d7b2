package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["holders"] = playHolders }

const (
	// serverLimit is the requests a second that each engine in need names.
	serverLimit = 3.0
	// limitWindow, limitFactor and limitSlack are those of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// stableWindow is stableWindowMs, passedBefore the time since when a gateway must
	// have passed on an answer that names the limit.
	stableWindow = 3 * time.Second
	passedBefore = 500 * time.Millisecond
	// rollGap is the time between two stops, restartDelay that until a process that has
	// ended is started again.
	rollGap      = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	// lateWrite is the delay of a write whose answer is lost (1 to 6 s).
	lateWrite = 5 * time.Second
	// lostAnswers is how long answers of the store may be lost.
	lostAnswers = 4500 * time.Millisecond
)

// limitedEngine records the requests that reach an engine in need.
type limitedEngine struct {
	mu sync.Mutex
	// isInNeed makes the engine name its limit. named is the first time that it did,
	// passed the first answer with the limit to each gateway.
	isInNeed bool
	named    time.Time
	passed   map[string]time.Time
	arrivals []time.Time
}

func (lme *limitedEngine) run(eng *engine, wrt http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	gateway := id[:strings.LastIndexByte(id, '-')]
	now := time.Now()
	lme.mu.Lock()
	inNeed := lme.isInNeed
	if at, ok := lme.passed[gateway]; inNeed && ok && now.Sub(at) >= passedBefore && now.Sub(lme.named) >= stableWindow {
		lme.arrivals = append(lme.arrivals, now)
	}
	lme.mu.Unlock()
	if inNeed {
		wrt.Header().Set("Server-Limit", fmt.Sprint(serverLimit))
	}
	runPlain(eng, wrt, req)
	lme.mu.Lock()
	defer lme.mu.Unlock()
	if _, ok := lme.passed[gateway]; inNeed && !ok {
		lme.passed[gateway] = time.Now()
	}
	if inNeed && lme.named.IsZero() {
		lme.named = time.Now()
	}
}

// most returns the largest number of requests in a window of the rule.
func (lme *limitedEngine) most() int {
	lme.mu.Lock()
	defer lme.mu.Unlock()
	most := 0
	for ix, from := range lme.arrivals {
		count, _ := slices.BinarySearchFunc(lme.arrivals[ix:], from.Add(limitWindow), time.Time.Compare)
		most = max(most, count)
	}
	return most
}

// isLeaving reports whether a write is a gateway's announcement that it stops.
func isLeaving(row wireRow) bool {
	var ann struct{ Leaving bool }
	return json.Unmarshal(row.Value, &ann) == nil && ann.Leaving
}

// playHolders checks LIMIT after all gateways were stopped and started in turn, while the
// answers to some writes of the store were lost and the writes were done late.
func playHolders(scr *script) (bool, error) {
	scr.writeManifest(manifest{
		Version:  7,
		Routes:   []manifestRoute{plainRoute("r-filing", "unsafe", "/filing/", filingService)},
		Services: []manifestService{plainService(filingService)},
	})
	zones := []string{"bole", "kality", "merkato"}
	var limited []*limitedEngine
	for ix, zone := range zones {
		lme := &limitedEngine{passed: make(map[string]time.Time)}
		limited = append(limited, lme)
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zone, slots: 6, run: lme.run}); err != nil {
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
	time.Sleep(6 * time.Second)
	if scr.trouble {
		if err := rollWithLostAnswers(scr, gateways); err != nil {
			return false, err
		}
	}
	// All gateways have run without any disruption for longer than stableWindowMs, and
	// know each other, when the engines are in need.
	time.Sleep(14 * time.Second)
	for _, lme := range limited {
		lme.mu.Lock()
		lme.isInNeed = true
		lme.mu.Unlock()
	}
	scr.rec.printf("the engines are in need from now on")
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
				case <-time.After(75 * time.Millisecond):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					scr.send(gwp, request{method: http.MethodPost, path: "/filing/2f", timeout: 600 * time.Millisecond, body: strings.Repeat("f", 600)})
				}()
			}
		}()
	}
	time.Sleep(16 * time.Second)
	close(stop)
	clients.Wait()
	allowed := limitFactor*serverLimit*limitWindow.Seconds() + limitSlack
	broken := false
	for ix, lme := range limited {
		most := lme.most()
		scr.rec.verdict("engine i-filing%d got at most %d requests in 4 s, allowed are %.0f", ix, most, allowed)
		broken = broken || float64(most) > allowed
	}
	return broken, nil
}

// rollWithLostAnswers stops and starts the gateways in turn. Meanwhile the store loses
// the answers to the writes by which they announce that they stop.
func rollWithLostAnswers(scr *script, gateways []*gatewayProcess) error {
	lostUntil := time.Now().Add(lostAnswers)
	scr.sto.mu.Lock()
	writesBefore := scr.sto.writes
	scr.sto.lateBy = lateWrite
	scr.sto.loses = func(row wireRow) bool { return time.Now().Before(lostUntil) && isLeaving(row) }
	scr.sto.mu.Unlock()
	time.AfterFunc(lostAnswers, func() {
		scr.sto.mu.Lock()
		defer scr.sto.mu.Unlock()
		scr.rec.printf("%d of %d writes to the store had their answer lost", scr.sto.lost, scr.sto.writes-writesBefore)
	})
	errs := make(chan error, len(gateways))
	for ix, gwp := range gateways {
		go func() {
			time.Sleep(time.Duration(ix) * rollGap)
			scr.rec.printf("SIGTERM to %s", gwp.name)
			gwp.stop()
			scr.rec.printf("%s has ended", gwp.name)
			time.Sleep(restartDelay)
			if err := gwp.start(); err != nil {
				errs <- err
				return
			}
			scr.rec.printf("%s is started again", gwp.name)
			errs <- gwp.awaitReady()
		}()
	}
	for range gateways {
		if err := <-errs; err != nil {
			return err
		}
	}
	// The last late write is done.
	time.Sleep(lateWrite)
	return nil
}
