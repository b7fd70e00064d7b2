package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	configTime   = 2 * time.Second
	// heartbeat is the time between two status reports of an engine.
	heartbeat = 1200 * time.Millisecond
)

const host = "ficu95.example"

// installation is a gateway with its store and engines.
type installation struct {
	dir     string
	binary  string
	store   *store
	started time.Time
	trouble bool
	mu      sync.Mutex
	record  *os.File
	closed  bool
	procs   []*process
	client  *http.Client
}

// process is a process that the case has started.
type process struct {
	*exec.Cmd
	// ended is closed when it has ended.
	ended chan struct{}
}

// engineProcess is an engine with what it writes into the store.
type engineProcess struct {
	inst    *installation
	id      string
	service string
	addr    string
	args    []string
	cmd     *process
	born    int64
	mu      sync.Mutex
	// silent ends its status reports.
	silent     bool
	sequence   int
	reportedAt time.Time
}

func newInstallation(binary, record string, trouble bool) (*installation, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	str, err := newStore()
	if err != nil {
		return nil, err
	}
	return &installation{
		dir: dir, binary: binary, store: str, started: time.Now(), trouble: trouble, record: file,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}, nil
}

// logf writes a line to the record.
func (inst *installation) logf(format string, args ...any) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	_, _ = fmt.Fprintf(inst.record, "%7.3f  %s\n", time.Since(inst.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and appends the engines' records and the gateway's log.
func (inst *installation) close() {
	inst.mu.Lock()
	procs := inst.procs
	inst.procs, inst.closed = nil, true
	inst.mu.Unlock()
	for _, prc := range procs {
		_ = prc.Process.Signal(syscall.SIGCONT)
		_ = prc.Process.Kill()
		<-prc.ended
	}
	_ = inst.store.srv.Close()
	_, _ = fmt.Fprintln(inst.record, "\nWhat the engines recorded:")
	for _, rec := range inst.runs() {
		_, _ = fmt.Fprintf(inst.record, "%7.3f  %-8s %-12s %s events %d %v\n", rec.At.Sub(inst.started).Seconds(), rec.Engine, rec.What, rec.Request, rec.Events, rec.Header)
	}
	_, _ = fmt.Fprintln(inst.record, "\nThe gateways' logs:")
	logs, _ := filepath.Glob(filepath.Join(inst.dir, "*.log"))
	for _, name := range logs {
		if data, err := os.ReadFile(name); err == nil {
			_, _ = inst.record.Write(data)
		}
	}
	_ = inst.record.Close()
	_ = os.RemoveAll(inst.dir)
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

var errClosed = errors.New("the case has ended")

func (inst *installation) start(cmd *exec.Cmd) (*process, error) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.closed {
		return nil, errClosed
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	prc := &process{Cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(prc.ended)
	}()
	inst.procs = append(inst.procs, prc)
	return prc, nil
}

// gateway is one of the project's gateways.
type gateway struct {
	inst            *installation
	name            string
	callers, status string
	settings        string
	cmd             *process
}

// startGateway starts the only gateway of an installation.
func (inst *installation) startGateway() (*gateway, error) { return inst.addGateway("front-bole-1") }

// addGateway starts a gateway with the command of the deploy file, and waits until it is
// ready.
func (inst *installation) addGateway(name string) (*gateway, error) {
	gwp := &gateway{inst: inst, name: name, callers: freeAddress(), status: freeAddress(), settings: filepath.Join(inst.dir, name+".yaml")}
	settings, err := json.Marshal(map[string]any{
		"Member": name, "Zone": "bole", "Region": "addis", "Callers": gwp.callers, "Status": gwp.status, "Peers": freeAddress(),
		"Store": inst.store.addr, "GraceTime": "8s", "LeaveTime": "2000ms", "ChangeTime": "2000ms", "RetryShare": 0.8, "RetrySlack": 150,
		"RetryWindow": "10s", "MemoryLimit": 284,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(gwp.settings, settings, 0o600); err != nil {
		return nil, err
	}
	return gwp, gwp.start()
}

func (gwp *gateway) start() error {
	inst := gwp.inst
	log, err := os.OpenFile(filepath.Join(inst.dir, gwp.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(inst.binary, "serve", "--settings", gwp.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if gwp.cmd, err = inst.start(cmd); err != nil {
		return err
	}
	inst.logf("gateway %s started, callers at %s", gwp.name, gwp.callers)
	for range 200 {
		rsp, err := inst.client.Get("http://" + gwp.status + "/ready")
		if err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				inst.logf("gateway %s is ready", gwp.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("gateway is not ready")
}

// addEngine starts an engine process that reports to the store.
func (inst *installation) addEngine(id, service, addr string, args ...string) (*engineProcess, error) {
	if addr == "" {
		addr = freeAddress()
	}
	eng := &engineProcess{inst: inst, id: id, service: service, addr: addr, args: args, born: time.Now().UnixMilli()}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"engine", "-id", id, "-listen", addr, "-record", filepath.Join(inst.dir, "engine-"+id+".json")}, args...)...)
	cmd.Stderr = os.Stderr
	if eng.cmd, err = inst.start(cmd); err != nil {
		return nil, err
	}
	for range 100 {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	inst.logf("engine %s of %s started at %s", id, service, addr)
	eng.report()
	go eng.loop()
	return eng, nil
}

// report writes the engine's entry.
func (eng *engineProcess) report() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.silent {
		return
	}
	eng.sequence++
	eng.reportedAt = time.Now()
	eng.inst.store.put("servers", eng.id, map[string]any{
		"service": eng.service, "address": eng.addr, "zone": "bole", "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": eng.sequence, "born": eng.born,
	})
}

func (eng *engineProcess) loop() {
	for {
		time.Sleep(heartbeat)
		eng.report()
		eng.mu.Lock()
		silent := eng.silent
		eng.mu.Unlock()
		if silent {
			return
		}
	}
}

// lastReport returns the time of the last report.
func (eng *engineProcess) lastReport() time.Time {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.reportedAt
}

// stopReports ends the status reports.
func (eng *engineProcess) stopReports() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.silent = true
}

// lapse removes the entry of a crashed engine after three intervals of silence.
func (eng *engineProcess) lapse() {
	eng.stopReports()
	time.AfterFunc(3*heartbeat, func() { eng.inst.store.remove("servers", eng.id) })
}

// runs returns the records of all engines in order.
func (inst *installation) runs() []engineRecord {
	var recs []engineRecord
	files, _ := filepath.Glob(filepath.Join(inst.dir, "engine-*.json"))
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		for line := range bytes.Lines(data) {
			var rec engineRecord
			if json.Unmarshal(line, &rec) == nil {
				recs = append(recs, rec)
			}
		}
	}
	sort.SliceStable(recs, func(ia, ib int) bool { return recs[ia].At.Before(recs[ib].At) })
	return recs
}

// result is what a consumer has seen of one request.
type result struct {
	id     string
	sentAt time.Time
	status int
	events int
	body   string
	// complete is set if the response ended as HTTP says.
	complete bool
	err      error
	engine   string
}

// send sends one request on a new channel and reads the answer.
func (inst *installation) send(gwp *gateway, method, path, id, key string, limit time.Duration, body string, hdr ...string) result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gwp.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	for ix := 0; ix+1 < len(hdr); ix += 2 {
		req.Header.Set(hdr[ix], hdr[ix+1])
	}
	res := result{id: id, sentAt: time.Now()}
	rsp, err := inst.client.Do(req)
	if err != nil {
		res.err = err
		inst.logf("%s sent at %.3f: no answer: %v", id, res.sentAt.Sub(inst.started).Seconds(), err)
		return res
	}
	defer func() { _ = rsp.Body.Close() }()
	res.status, res.engine = rsp.StatusCode, rsp.Header.Get("X-Server-Signature")
	var text strings.Builder
	rdr := bufio.NewReader(rsp.Body)
	for {
		line, err := rdr.ReadString('\n')
		text.WriteString(line)
		if strings.HasPrefix(line, "id:") {
			res.events++
		}
		if err != nil {
			res.complete = errors.Is(err, io.EOF)
			res.err = err
			break
		}
	}
	res.body = text.String()
	inst.logf("%s sent at %.3f: status %d, signature %q, %d events, %d bytes, complete %v (%v)", id, res.sentAt.Sub(inst.started).Seconds(), res.status, res.engine, res.events, len(res.body), res.complete, res.err)
	return res
}

// manifestOptions changes the manifest of a small deployment.
type manifestOptions struct {
	version  int
	keys     []string
	attempts int
}

// manifest returns the operator's manifest: streams of a model service, actions and
// look-ups of an application service.
func manifest(opt manifestOptions) map[string]any {
	if opt.attempts == 0 {
		opt.attempts = 5
	}
	return map[string]any{
		"version": opt.version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 4500, "priority": 1,
				"service": "huvo11a", "maxAttempts": opt.attempts, "public": false, "sessionAffinity": true, "resumable": true, "gapAimMs": 700},
			map[string]any{"name": "r-order", "host": host, "prefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2,
				"service": "wuno96b", "maxAttempts": 1, "public": false},
			map[string]any{"name": "r-look", "host": host, "prefix": "/pufi791/", "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2,
				"service": "wuno96b", "maxAttempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 88000, "kvBytes": 163840, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": opt.keys, "priority": 1}},
	}
}
