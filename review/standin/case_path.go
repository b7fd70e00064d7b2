package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["path"] = playPath }

// playPath checks UNASKED for requests whose path begins with two slashes.
func playPath(scr *script) (bool, error) {
	path := "/filing/2f?m=4"
	if scr.trouble {
		path = "//filing/2f?m=4"
	}
	var mu sync.Mutex
	changed, ran := 0, 0
	run := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		mu.Lock()
		ran++
		if req.RequestURI != path || req.Host != host {
			changed++
			scr.rec.printf("UNASKED: engine %s runs %s with target %q and host %q, sent were %q and %q", eng.id, id, req.RequestURI, req.Host, path, host)
		}
		mu.Unlock()
		eng.rec.printf("engine %s of %s runs %s: %s %s, host %s", eng.id, eng.service, id, req.Method, req.RequestURI, req.Host)
		eng.answerHeader(wrt, req)
		_, _ = io.WriteString(wrt, strings.Repeat("x", 800))
	}
	scr.writeManifest(manifest{
		Version:  7,
		Routes:   []manifestRoute{plainRoute("r-all", "unsafe", "/", filingService)},
		Services: []manifestService{plainService(filingService)},
	})
	zones := []string{"bole", "kality", "merkato"}
	for ix, zone := range zones {
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zone, slots: 6, run: run}); err != nil {
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
	time.Sleep(4 * time.Second)
	for ix := range 30 {
		kch, err := scr.openChannel(gateways[ix%len(gateways)])
		if err != nil {
			return false, err
		}
		kch.send(request{method: http.MethodPost, path: path, timeout: 600 * time.Millisecond, body: strings.Repeat("f", 600)})
		_ = kch.conn.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	scr.rec.verdict("%d of %d requests that ran had another target or host than was sent", changed, ran)
	if ran == 0 {
		return false, fmt.Errorf("%w: no request ran", errSetup)
	}
	return changed > 0, nil
}
