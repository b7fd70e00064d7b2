package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["promise"] = playPromise }

const (
	// greyShare is the part of its requests that the grey engine fails, and greyTime the
	// time for which it does.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
)

// playPromise checks REFUSED while one of eight engines fails a part of the requests that
// it has run with 503, without X-Not-Executed.
func playPromise(scr *script) (bool, error) {
	var mu sync.Mutex
	isGrey := false
	ran := map[string]bool{}
	runGrey := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
		mu.Lock()
		fails := isGrey && rand.Float64() < greyShare
		ran[req.Header.Get("X-Request-Id")] = true
		mu.Unlock()
		if !fails {
			runPlain(eng, wrt, req)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		scr.rec.printf("engine %s of %s runs %s, and fails it with 503 without X-Not-Executed", eng.id, eng.service, id)
		time.Sleep(15 * time.Millisecond)
		eng.answerHeader(wrt, req)
		wrt.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(wrt, "commit failed")
	}
	scr.writeManifest(manifest{
		Version:  7,
		Routes:   []manifestRoute{plainRoute("r-filing", "unsafe", "/filing/", filingService)},
		Services: []manifestService{plainService(filingService)},
	})
	zones := []string{"bole", "kality", "merkato"}
	for ix := range 8 {
		run := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
			mu.Lock()
			ran[req.Header.Get("X-Request-Id")] = true
			mu.Unlock()
			runPlain(eng, wrt, req)
		}
		if ix == 0 {
			run = runGrey
		}
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zones[ix%3], slots: 6, run: run}); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	promised := 0
	for _, zone := range zones {
		gwp, err := startGateway(scr, "front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		for range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					ans := scr.send(gwp, request{method: http.MethodPost, path: "/filing/2f", timeout: 600 * time.Millisecond, body: strings.Repeat("f", 600)})
					mu.Lock()
					if (ans.status == http.StatusServiceUnavailable || ans.status == http.StatusTooManyRequests) && ran[ans.id] {
						promised++
						scr.rec.printf("REFUSED: %s is answered %d and has run", ans.id, ans.status)
					}
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	isGrey = scr.trouble
	mu.Unlock()
	time.Sleep(greyTime)
	mu.Lock()
	isGrey = false
	mu.Unlock()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	scr.rec.verdict("%d requests that must not run twice were answered 503 or 429 though they had run", promised)
	return promised > 0, nil
}
