package main

import (
	"bufio"
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

// engine is a stand-in for a model engine or an application engine. It serves one request
// on a channel. SIGUSR1 makes it say that it leaves.
type engine struct {
	id, signature string
	model         bool
	events        int
	step, prefill time.Duration
	work          time.Duration
	unframed      bool
	deadlyPart    string
	slots         int
	leaving       atomic.Bool
	running       atomic.Int64
	mu            sync.Mutex
	record        *os.File
}

// engineRecord is one line of an engine's record.
type engineRecord struct {
	At      time.Time
	Engine  string
	What    string
	Request string
	Events  int               `json:",omitempty"`
	Header  map[string]string `json:",omitempty"`
}

func runEngine(args []string) error {
	fls := flag.NewFlagSet("engine", flag.ContinueOnError)
	eng := &engine{}
	listen := fls.String("listen", "", "address")
	record := fls.String("record", "", "file")
	fls.StringVar(&eng.id, "id", "", "instance ID")
	fls.BoolVar(&eng.model, "model", false, "model engine")
	fls.BoolVar(&eng.unframed, "unframed", false, "streams have neither length nor chunks")
	fls.IntVar(&eng.events, "events", 140, "events of a stream")
	fls.IntVar(&eng.slots, "slots", 64, "slots")
	fls.DurationVar(&eng.step, "step", 30*time.Millisecond, "time between events")
	fls.DurationVar(&eng.prefill, "prefill", 300*time.Millisecond, "time to the first event")
	fls.DurationVar(&eng.work, "work", 15*time.Millisecond, "time of a plain request")
	fls.StringVar(&eng.deadlyPart, "deadly", "", "part of a prompt that crashes the engine")
	if err := fls.Parse(args); err != nil {
		return err
	}
	eng.signature = "3e1b.07.5a2." + eng.id
	file, err := os.OpenFile(*record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	eng.record = file
	lis, err := net.Listen("tcp4", *listen)
	if err != nil {
		return err
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		eng.leaving.Store(true)
	}()
	eng.note("started", "", 0, nil)
	for {
		conn, err := lis.Accept()
		if err != nil {
			return err
		}
		go eng.serve(conn)
	}
}

func (eng *engine) note(what, request string, events int, hdr map[string]string) {
	data, err := json.Marshal(engineRecord{time.Now(), eng.id, what, request, events, hdr})
	if err != nil {
		panic(err)
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	_, _ = eng.record.Write(append(data, '\n'))
}

// answer writes a response with a length.
func (eng *engine) answer(conn net.Conn, status int, req *http.Request, body string, extra ...string) {
	var txt strings.Builder
	fmt.Fprintf(&txt, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	eng.writeHeader(&txt, req, extra...)
	fmt.Fprintf(&txt, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = io.WriteString(conn, txt.String())
}

func (eng *engine) writeHeader(txt *strings.Builder, req *http.Request, extra ...string) {
	if id := req.Header.Get("X-Request-Id"); id != "" {
		fmt.Fprintf(txt, "X-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(txt, "X-Instance-Id: %s\r\nX-Engine-Load: %d,0,%d,100\r\nConnection: close\r\n", eng.id, eng.running.Load(), eng.slots)
	if eng.leaving.Load() {
		txt.WriteString("Server-Leaving: 1\r\n")
	}
	for _, line := range extra {
		txt.WriteString(line + "\r\n")
	}
}

func (eng *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	rdr := bufio.NewReader(conn)
	req, err := http.ReadRequest(rdr)
	if err != nil {
		// A probe opens a channel and sends nothing.
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		status := http.StatusOK
		if eng.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		eng.answer(conn, status, req, "")
		return
	case req.Method == http.MethodGet && req.URL.Path == "/report" && eng.model:
		eng.answer(conn, http.StatusOK, req, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kvUsed":0,"kvTotal":88000,"handles":0}`, "Content-Type: application/json")
		return
	case id == "":
		eng.answer(conn, http.StatusBadRequest, req, "", "X-Not-Executed: 1")
		return
	}
	hdr := map[string]string{"Path": req.URL.RequestURI(), "Host": req.Host, "Target": req.RequestURI, "Tenant": req.Header.Get("X-Tenant-Id"), "LastEventID": req.Header.Get("Last-Event-Id"), "Parts": req.Header.Get("X-Prefix-Hash")}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != eng.id {
		eng.note("misdirected", id, 0, hdr)
		eng.answer(conn, http.StatusMisdirectedRequest, req, "", "X-Not-Executed: 1")
		return
	}
	eng.note("begins", id, 0, hdr)
	eng.running.Add(1)
	defer eng.running.Add(-1)
	// The channel carries one request, so that a read ends when the caller closes it.
	gone := make(chan struct{})
	go func() {
		_, _ = rdr.ReadByte()
		close(gone)
	}()
	if eng.model {
		eng.stream(conn, req, id, gone)
		return
	}
	select {
	case <-time.After(eng.work):
	case <-gone:
		eng.note("dropped", id, 0, nil)
		return
	}
	eng.note("ran", id, 0, nil)
	eng.answer(conn, http.StatusOK, req, "done "+id+"\n", "X-Server-Signature: "+eng.signature)
}

func (eng *engine) stream(conn net.Conn, req *http.Request, id string, gone <-chan struct{}) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	deadly := eng.deadlyPart != "" && hasPart(req.Header.Get("X-Prefix-Hash"), eng.deadlyPart)
	wait := eng.prefill
	for evt := last + 1; ; evt++ {
		select {
		case <-time.After(wait):
		case <-gone:
			eng.note("dropped", id, evt-1, nil)
			return
		}
		wait = eng.step
		if deadly {
			eng.note("crashed", id, evt-1, nil)
			os.Exit(3)
		}
		if evt == last+1 {
			var txt strings.Builder
			txt.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n")
			framing := "Transfer-Encoding: chunked"
			if eng.unframed {
				framing = "Cache-Control: no-store"
			}
			eng.writeHeader(&txt, req, framing, "X-Server-Signature: "+eng.signature)
			if _, err := io.WriteString(conn, txt.String()+"\r\n"); err != nil {
				return
			}
		}
		if evt > eng.events {
			break
		}
		text := fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", evt, id, evt, eng.events)
		if !eng.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			eng.note("dropped", id, evt-1, nil)
			return
		}
	}
	if !eng.unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	eng.note("ran", id, eng.events, nil)
}

// hasPart reports whether a part other than the last has an ID.
func hasPart(text, id string) bool {
	parts := strings.Split(text, ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}
