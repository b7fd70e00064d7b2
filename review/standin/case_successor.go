package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["successor"] = playSuccessor }

const (
	filingService = "permit-office"
	noticeService = "notice-office"
	// reuseAfter is the time after the end of an engine from which its address may be
	// used by an engine of another service (reuseAfterS).
	reuseAfter = 2 * time.Second
	// storeOutage is the time for which the store resets all calls, 8 s at most.
	storeOutage = 7900 * time.Millisecond
)

// playSuccessor checks ROUTE while the store is down, one of seven engines of a
// service is lost for good, and its address is used by the first engine of another one.
func playSuccessor(scr *script) (bool, error) {
	var mu sync.Mutex
	wrong := map[string]string{}
	runFor := func(path string) func(*engine, http.ResponseWriter, *http.Request) {
		return func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
			if !strings.HasPrefix(req.RequestURI, path) {
				mu.Lock()
				wrong[req.Header.Get("X-Request-Id")] = eng.id
				mu.Unlock()
				scr.rec.printf("ROUTE: engine %s of %s runs %s for %s", eng.id, eng.service, req.Header.Get("X-Request-Id"), req.RequestURI)
			}
			runPlain(eng, wrt, req)
		}
	}
	scr.writeManifest(manifest{
		Version: 7,
		Routes: []manifestRoute{
			plainRoute("r-filing", "unsafe", "/filing/", filingService),
			plainRoute("r-notice", "unsafe", "/notice/", noticeService),
		},
		Services: []manifestService{plainService(filingService), plainService(noticeService)},
	})
	zones := []string{"bole", "kality", "merkato"}
	var engines []*engine
	for ix := range 7 {
		eng, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zones[ix%3], slots: 6, run: runFor("/filing/")})
		if err != nil {
			return false, err
		}
		engines = append(engines, eng)
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
	time.Sleep(5 * time.Second)
	if scr.trouble {
		lost := engines[0]
		scr.sto.setDown(true)
		time.Sleep(500 * time.Millisecond)
		lost.crash()
		time.Sleep(reuseAfter + 500*time.Millisecond)
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: "i-notice0", service: noticeService, zone: lost.zone, slots: 6, address: lost.address(), run: runFor("/notice/")}); err != nil {
			return false, err
		}
		time.Sleep(storeOutage - reuseAfter - time.Second)
		scr.sto.setDown(false)
		scr.sto.remove("servers", lost.id)
	} else {
		time.Sleep(storeOutage)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	scr.rec.verdict("%d requests of %s were run by %s", len(wrong), filingService, noticeService)
	return len(wrong) > 0, nil
}
