package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pour"] = playPour }

const (
	// memoryMb is that of the gateways' machines; the platform kills a process that
	// exceeds it.
	memoryMb = 134
	// memoryCheckInterval is how often the platform looks at a process's memory.
	memoryCheckInterval = 20 * time.Millisecond
	// pourTime is how long the faulty engine answers with bytes without end.
	pourTime = 15 * time.Second
	// maxLost is the number of requests that a machine may lose on kept channels.
	maxLost = 3
	// keptChannels is the number of kept channels to each gateway.
	keptChannels = 12
)

// residentBytes returns the memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// watchMemory kills a gateway that exceeds its memory and starts it again, as the
// platform does, until stop is closed. It returns the number of kills.
func watchMemory(scr *script, gwp *gatewayProcess, stop <-chan struct{}) int {
	kills, most := 0, int64(0)
	for {
		select {
		case <-stop:
			scr.rec.verdict("%s had at most %d MB, allowed are %d, and was killed %d times", gwp.name, most>>20, memoryMb, kills)
			return kills
		case <-time.After(memoryCheckInterval):
		}
		size := residentBytes(gwp.cmd.Process.Pid)
		most = max(most, size)
		if size <= memoryMb<<20 {
			continue
		}
		kills++
		scr.rec.printf("the platform kills %s, which has %d MB", gwp.name, size>>20)
		gwp.end()
		time.Sleep(restartDelay)
		if err := gwp.start(); err != nil {
			scr.rec.printf("%s is not started again: %v", gwp.name, err)
			return kills
		}
		scr.rec.printf("%s is started again", gwp.name)
	}
}

// pour answers with header lines without end, until the caller closes.
func pour(eng *engine, wrt http.ResponseWriter, req *http.Request) {
	conn, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := req.Header.Get("X-Request-Id")
	eng.rec.printf("engine %s answers %s with header lines without end", eng.id, id)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	// The status line arrives alone.
	time.Sleep(5 * time.Millisecond)
	var block strings.Builder
	for line := range 1 << 16 {
		fmt.Fprintf(&block, "X-%06d: abcd\r\n", line)
	}
	lines := block.String()
	sent, start := 0, time.Now()
	for {
		size, err := io.WriteString(conn, lines)
		sent += size
		if err != nil {
			eng.rec.printf("the caller of %s closes after %d bytes and %.1f s", id, sent, time.Since(start).Seconds())
			return
		}
	}
}

// playPour checks LOST for requests to sound engines while an engine of another service
// answers with bytes without end.
func playPour(scr *script) (bool, error) {
	chk := &deadlyCheck{scr: scr}
	var isFaulty atomic.Bool
	var mu sync.Mutex
	ran := map[string]bool{}
	runFiling := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
		mu.Lock()
		ran[req.Header.Get("X-Request-Id")] = true
		mu.Unlock()
		runPlain(eng, wrt, req)
	}
	runReview := func(eng *engine, wrt http.ResponseWriter, req *http.Request) {
		if isFaulty.Load() && eng.id == "i-review0" && req.URL.Path != "/kv-move" {
			pour(eng, wrt, req)
			return
		}
		chk.run(eng, wrt, req)
	}
	scr.writeManifest(manifest{
		Version: 7,
		Routes: []manifestRoute{plainRoute("r-filing", "unsafe", "/filing/", filingService), {
			Name: "r-review", Host: host, Prefix: "/review/", Kind: "streaming", Service: reviewService, TimeoutMs: 25000, TargetLatencyMs: 4500,
			GapAimMs: 700, MaxAttempts: 5, Priority: 1, Resumable: true, SessionAffinity: true,
		}},
		Services: []manifestService{
			plainService(filingService),
			{Name: reviewService, HealthPath: "/health", MaxConns: 370, Protocol: "h1", Engine: &manifestEngine{Slots: 64, KVCapacity: 88000, Backups: true, Moves: true}},
		},
	})
	scr.memoryMb = memoryMb
	zones := []string{"brezno", "banska-bystrica", "zvolen", "polomka"}
	for ix := range 6 {
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-review%d", ix), service: reviewService, zone: zones[ix%4], slots: 64, run: runReview}); err != nil {
			return false, err
		}
		if _, err := startEngine(scr.rec, scr.sto, engineConfig{id: fmt.Sprintf("i-filing%d", ix), service: filingService, zone: zones[ix%4], slots: 6, run: runFiling}); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var clients, watchers sync.WaitGroup
	lost := map[string]int{}
	for _, zone := range zones {
		gwp, err := startGateway(scr, "front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			watchMemory(scr, gwp, stop)
		}()
		clients.Add(keptChannels + 1)
		for range keptChannels {
			go func() {
				defer clients.Done()
				scr.fileOnKeptChannels(gwp, stop, func(ans answer) {
					mu.Lock()
					defer mu.Unlock()
					if ans.err != nil && ran[ans.id] {
						lost[ans.gateway]++
						scr.rec.printf("LOST: %s was passed on to a sound engine, and its channel is closed without an answer: %v", ans.id, ans.err)
					}
				})
			}()
		}
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
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
	isFaulty.Store(scr.trouble)
	time.Sleep(pourTime)
	isFaulty.Store(false)
	time.Sleep(time.Second)
	close(stop)
	watchers.Wait()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for _, gwp := range scr.gateways {
		scr.rec.verdict("%s lost %d requests of kept channels, allowed are %d", gwp.name, lost[gwp.name], maxLost)
		broken = broken || lost[gwp.name] > maxLost
	}
	return broken, nil
}

// fileOnKeptChannels sends payments on a channel, and on a new one when it is closed.
func (scr *script) fileOnKeptChannels(gwp *gatewayProcess, stop <-chan struct{}, check func(answer)) {
	var chn *channel
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if chn == nil {
			var err error
			if chn, err = scr.openChannel(gwp); err != nil {
				continue
			}
		}
		ans := chn.send(request{method: http.MethodPost, path: "/filing/2f", timeout: 600 * time.Millisecond, body: strings.Repeat("f", 600)})
		check(ans)
		if ans.err != nil {
			_ = chn.conn.Close()
			chn = nil
		}
	}
}
