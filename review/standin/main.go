// Program standin plays the scripts of the review: it starts gateways as processes, and
// stand-ins for the store, the engines and the clients, and checks one rule.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a script; run.sh may take 120 s.
const maxTime = 110 * time.Second

// script is one run of a case.
type script struct {
	rec     *recorder
	sto     *store
	dir     string
	trouble bool
	// memoryMb is the memory limit of the gateways' machines.
	memoryMb int
	gateways []*gatewayProcess
	client   *http.Client
}

var cases = map[string]func(*script) (broken bool, err error){}

var errSetup = errors.New("the case could not run")

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return exitNotRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	keep := os.Getenv("KEEP") != ""
	if !keep {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	scr := &script{rec: rec, dir: dir, trouble: *trouble, memoryMb: 284, client: newClient()}
	if scr.sto, err = newStore(rec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := play(scr)
		results <- result{broken, err}
	}()
	var res result
	select {
	case res = <-results:
	case <-time.After(maxTime):
		res.err = fmt.Errorf("%w: no result in %v", errSetup, maxTime)
	}
	for _, gwp := range scr.gateways {
		gwp.end()
	}
	if keep {
		fmt.Println("logs in", dir)
	}
	switch {
	case res.err != nil:
		rec.verdict("not run: %v", res.err)
		return exitNotRun
	case res.broken:
		rec.verdict("the rule was broken")
		return exitBroken
	}
	rec.verdict("the rule held")
	return exitHeld
}

// manifest is the operator's manifest.
type manifest struct {
	Version  int               `json:"version"`
	Routes   []manifestRoute   `json:"routes"`
	Services []manifestService `json:"services"`
	Limits   map[string]int    `json:"limits"`
	Tenants  []manifestTenant  `json:"tenants"`
}

type manifestRoute struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	GapAimMs        int    `json:"gapAimMs,omitempty"`
	MaxAttempts     int    `json:"maxAttempts"`
	Priority        int    `json:"priority"`
	Public          bool   `json:"public"`
	Resumable       bool   `json:"resumable,omitempty"`
	SessionAffinity bool   `json:"sessionAffinity,omitempty"`
}

type manifestService struct {
	Name       string          `json:"name"`
	HealthPath string          `json:"healthPath"`
	MaxConns   int             `json:"maxConns"`
	Protocol   string          `json:"protocol"`
	Engine     *manifestEngine `json:"engine,omitempty"`
}

type manifestEngine struct {
	Slots      int  `json:"slots"`
	KVCapacity int  `json:"kvCapacity"`
	Backups    bool `json:"backups"`
	Moves      bool `json:"moves"`
}

type manifestTenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// writeManifest writes a manifest as the operator.
func (scr *script) writeManifest(mft manifest) {
	mft.Limits = map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	mft.Tenants = []manifestTenant{{Name: "hule930", APIKeys: []string{apiKey}, Priority: 1}}
	data, _ := json.Marshal(mft)
	scr.sto.put("op", "config", data)
	scr.rec.printf("operator writes manifest %d", mft.Version)
}

const host = "ficu95.example"

// plainRoute returns a route for plain requests.
func plainRoute(name, kind, prefix, service string) manifestRoute {
	attempts := 1
	if kind == "safe" {
		attempts = 2
	}
	return manifestRoute{Name: name, Host: host, Prefix: prefix, Kind: kind, Service: service, TimeoutMs: 600, TargetLatencyMs: 100, MaxAttempts: attempts, Priority: 2}
}

// plainService returns a service without model engines.
func plainService(name string) manifestService {
	return manifestService{Name: name, HealthPath: "/health", MaxConns: 110, Protocol: "h1"}
}
