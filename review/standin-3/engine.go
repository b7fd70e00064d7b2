package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engine is the stand-in for one engine, as a process of its own. It writes what it runs
// to its standard output.
type engine struct {
	addr, id, service, zone, store string
	model                          bool
	events                         int
	interval                       time.Duration
	unframed                       bool
	leaving                        atomic.Bool
	born                           int64
	running                        atomic.Int64
	out, reporting                 sync.Mutex
	sequence                       int64
}

func runEngine(args []string) error {
	eng := &engine{born: time.Now().UnixMilli()}
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	fs.StringVar(&eng.addr, "addr", "", "listen address")
	fs.StringVar(&eng.id, "id", "", "engine ID")
	fs.StringVar(&eng.service, "service", "", "service")
	fs.StringVar(&eng.zone, "zone", "z1", "zone")
	fs.StringVar(&eng.store, "store", "", "address of the store")
	fs.BoolVar(&eng.model, "model", false, "model engine")
	fs.IntVar(&eng.events, "events", 40, "events of a stream")
	fs.DurationVar(&eng.interval, "interval", 50*time.Millisecond, "time between events, or of half a plain request")
	fs.BoolVar(&eng.unframed, "unframed", false, "answers have neither a length nor chunks")
	if err := fs.Parse(args); err != nil {
		return err
	}
	lis, err := net.Listen("tcp4", eng.addr)
	// A channel that is closing may still have the port for a moment.
	for range 20 {
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
		lis, err = net.Listen("tcp4", eng.addr)
	}
	if err != nil {
		return err
	}
	go eng.report()
	eng.note("up", "", "")
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	go func() {
		<-drain
		eng.leaving.Store(true)
		eng.reportOnce()
		eng.note("has reported that it is draining", "", "")
	}()
	for {
		conn, err := lis.Accept()
		if err != nil {
			return err
		}
		go eng.serve(conn)
	}
}

// note writes a line about what the engine does.
func (eng *engine) note(what, request, detail string) {
	eng.out.Lock()
	defer eng.out.Unlock()
	line, _ := json.Marshal(engineNote{At: time.Now().UnixMilli(), Engine: eng.id, What: what, Request: request, Detail: detail})
	_, _ = os.Stdout.Write(append(line, '\n'))
}

type engineNote struct {
	At                            int64
	Engine, What, Request, Detail string
}

// entry returns the engine's entry in the store.
func (eng *engine) entry(sequence int64) []byte {
	state := "ready"
	if eng.leaving.Load() {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": eng.service, "address": eng.addr, "zone": eng.zone, "version": "v1", "slots": 64,
		"state": state, "coldRemainingMs": 0, "sequence": sequence, "born": eng.born,
	})
	return data
}

// report writes the engine's entry each 1.2 s.
func (eng *engine) report() {
	for {
		eng.reportOnce()
		time.Sleep(1200 * time.Millisecond)
	}
}

func (eng *engine) reportOnce() {
	eng.reporting.Lock()
	defer eng.reporting.Unlock()
	eng.sequence++
	body, _ := json.Marshal(storeRow{Table: "servers", Key: eng.id, Value: eng.entry(eng.sequence)})
	if rsp, err := http.Post("http://"+eng.store+"/operator", "application/json", bytes.NewReader(body)); err == nil {
		_ = rsp.Body.Close()
	}
}

func (eng *engine) head(status int, request string, more ...string) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "HTTP/1.1 %d %s\r\nX-Instance-Id: %s\r\nX-Engine-Load: %d,0,64\r\n", status, http.StatusText(status), eng.id, eng.running.Load())
	if request != "" {
		fmt.Fprintf(&sb, "X-Request-Id: %s\r\n", request)
	}
	if eng.leaving.Load() {
		sb.WriteString("Server-Leaving: 1\r\n")
	}
	for _, field := range more {
		sb.WriteString(field + "\r\n")
	}
	return sb.String() + "\r\n"
}

func (eng *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	rdr := bufio.NewReader(conn)
	line, err := rdr.ReadString('\n')
	if err != nil {
		return
	}
	req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(line), rdr)))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	switch {
	case req.URL.Path == "/health" && id == "":
		_, _ = io.WriteString(conn, eng.head(200, "", "Content-Length: 0"))
		return
	case req.URL.Path == "/report" && id == "" && eng.model:
		text := `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kvUsed":0,"kvTotal":88000,"handles":0}`
		_, _ = io.WriteString(conn, eng.head(200, "", "Content-Type: application/json", fmt.Sprint("Content-Length: ", len(text)))+text)
		return
	case id == "":
		_, _ = io.WriteString(conn, eng.head(400, "", "X-Not-Executed: 1", "Content-Length: 0"))
		return
	case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != eng.id:
		eng.note("not for this engine", id, req.Header.Get("X-Expect-Instance"))
		_, _ = io.WriteString(conn, eng.head(421, id, "X-Not-Executed: 1", "Content-Length: 0"))
		return
	}
	eng.running.Add(1)
	defer eng.running.Add(-1)
	eng.note("runs", id, strings.TrimRight(line, "\r\n"))
	if eng.model {
		eng.stream(conn, req, id)
	} else {
		eng.plain(conn, id, body)
	}
}

// signature is that of an engine's answer.
func (eng *engine) signature(id string) string { return "X-Server-Signature: sig." + eng.id + "." + id }

// plainBody is the whole body of the answer to a plain request.
func plainBody(id string) string { return strings.Repeat("r"+id+";", 60) + "end" }

func (eng *engine) plain(conn net.Conn, id string, _ []byte) {
	text := plainBody(id)
	head := eng.head(200, id, eng.signature(id), fmt.Sprint("Content-Length: ", len(text)))
	if eng.unframed {
		head = eng.head(200, id, eng.signature(id), "Connection: close")
	}
	time.Sleep(eng.interval)
	_, _ = io.WriteString(conn, head+text[:len(text)/2])
	time.Sleep(eng.interval)
	_, _ = io.WriteString(conn, text[len(text)/2:])
	eng.note("has answered", id, "")
}

func (eng *engine) stream(conn net.Conn, req *http.Request, id string) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fields := []string{eng.signature(id), "Content-Type: text/event-stream", "X-Weight-Versions: 1"}
	if eng.unframed {
		fields = append(fields, "Connection: close")
	} else {
		fields = append(fields, "Transfer-Encoding: chunked")
	}
	if _, err := io.WriteString(conn, eng.head(200, id, fields...)); err != nil {
		return
	}
	for num := last + 1; num <= eng.events; num++ {
		time.Sleep(eng.interval)
		text := fmt.Sprintf("id: %d\ndata: token%d\n\n", num, num)
		if !eng.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			eng.note("stops", id, err.Error())
			return
		}
	}
	if !eng.unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	eng.note("has answered", id, "")
}
