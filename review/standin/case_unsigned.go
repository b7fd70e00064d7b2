package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unsigned"] = playUnsigned }

const (
	// spoiledEvery is the number of answers of the faulty engine of which it spoils the
	// last one (x .05), and spoiledTime the time for which it does, 5 s at most.
	spoiledEvery = 20
	spoiledTime  = 4900 * time.Millisecond
)

// playUnsigned checks MIXED while one of the engines spoils some of its answers: the
// bytes that it sends instead are no answer of the platform's protocol, as they name no
// request and bear no signature.
func playUnsigned(scr *script) (bool, error) {
	var mu sync.Mutex
	isFaulty, answered := false, 0
	run := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
		mu.Lock()
		spoils := false
		if isFaulty && eng.id == "i-filing0" {
			answered++
			spoils = answered%spoiledEvery == 0
		}
		mu.Unlock()
		if !spoils {
			runPlain(eng, wrt, req)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		scr.rec.printf("engine %s of %s runs %s, and spoils its answer", eng.id, eng.service, req.Header.Get("X-Request-Id"))
		time.Sleep(15 * time.Millisecond)
		conn, _, err := http.NewResponseController(wrt).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n\x00\x17\x2f\x00")
		_ = conn.Close()
	}
	scr.writeManifest(manifest{
		Version:  7,
		Routes:   []manifestRoute{plainRoute("r-filing", "unsafe", "/filing/", filingService)},
		Services: []manifestService{plainService(filingService)},
	})
	zones := []string{"bole", "kality", "merkato"}
	for ix, zone := range zones {
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zone, slots: 6, run: run}); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	unsigned := 0
	for _, zone := range zones {
		gwp, err := startGateway(scr, "front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		for range 4 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					ans := scr.send(gwp, request{method: http.MethodPost, path: "/filing/2f", timeout: 600 * time.Millisecond, body: strings.Repeat("f", 600)})
					if ans.err == nil && ans.status/100 == 2 && ans.signature == "" {
						mu.Lock()
						unsigned++
						mu.Unlock()
						scr.rec.printf("MIXED: %s is answered %d without a signature, body %q", ans.id, ans.status, ans.body)
					}
				}
			}()
		}
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	isFaulty = scr.trouble
	mu.Unlock()
	time.Sleep(spoiledTime)
	mu.Lock()
	isFaulty = false
	mu.Unlock()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	scr.rec.verdict("%d requests were answered with a success without the engine's signature", unsigned)
	return unsigned > 0, nil
}
