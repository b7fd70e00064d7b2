package bwfakeapp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/standin/bwfakeserver"
)

// App is a stand-in for a plain service. On any path outside /standin/, POST
// runs an action and GET a lookup.
type App struct {
	cfg     Config
	control *bwcontrol.Owner[state, View]
	breaker *bwfakeserver.Breaker
}

// Config configures an App.
type Config struct {
	// Name is part of each response and identifies the instance that sent it.
	Name string
	// Latency is the time that an action or lookup takes.
	Latency time.Duration
	// Faults are the initial faults.
	Faults Faults
	// After returns a channel that receives once after the duration; nil means time.After.
	After func(time.Duration) <-chan time.Time
}

// Faults configures the injected faults. Each count applies to that many of the
// next actions or lookups.
type Faults struct {
	// SlowFactor multiplies the latency; 0 means 1.
	SlowFactor float64
	// DieBefore closes the connection of actions before they are executed.
	DieBefore int
	// DieAfter closes the connection of actions after they are executed.
	DieAfter int
	// DropAnswer executes actions but sends no response; the connection stays open
	// until the client disconnects.
	DropAnswer int
	// CutAnswer executes actions and closes the connection in the middle of the response.
	CutAnswer int
	// BreakAnswer executes actions and lookups and sends a response with an invalid status
	// or field name, each kind in turn.
	BreakAnswer int
	// FailLookups closes the connection of lookups.
	FailLookups int
}

// View contains the executions and request counts of an app.
type View struct {
	// Executions is in the order of execution.
	Executions []Execution
	// Lookups counts the lookups received.
	Lookups int
	// Started counts the actions and lookups received.
	Started int
	// Canceled counts the lookups whose client disconnected.
	Canceled int
}

// Execution is one run of an action.
type Execution struct {
	// Key is the value of the Idempotency-Key header.
	Key  string
	Path string
	Body string
	// Number counts the executions of the app from 1.
	Number int
}

// Response is the JSON body of the app's responses.
type Response struct {
	App  string
	Key  string `json:",omitempty"`
	Path string
	Body string `json:",omitempty"`
	// Number is the number of the execution or lookup.
	Number int
}

type state struct {
	view   View
	faults Faults
}

// New returns an app. Start must be called before it handles requests.
func New(cfg Config) *App {
	if cfg.After == nil {
		cfg.After = time.After
	}
	return &App{cfg: cfg, breaker: bwfakeserver.NewBreaker(), control: bwcontrol.New(bwcontrol.Config[state, View]{
		State: &state{faults: cfg.Faults},
		View:  newView,
	})}
}

// Start starts the goroutine that owns the app's state; it runs until ctx is done.
func (app *App) Start(ctx context.Context) { app.control.Start(ctx) }

// Snapshot returns the executions and request counts so far.
func (app *App) Snapshot() *View { return app.control.Snapshot() }

// ExecutionCount returns the number of executions with a key.
func (vw *View) ExecutionCount(key string) int {
	count := 0
	for _, exe := range vw.Executions {
		if exe.Key == key {
			count++
		}
	}
	return count
}

// SetFaults replaces the faults. It returns an error if ctx is done or the app has stopped.
func (app *App) SetFaults(ctx context.Context, flt Faults) error {
	return app.control.Do(ctx, func(st *state) { st.faults = flt })
}

// Handler returns the app's HTTP handler. PUT /standin/faults accepts a Faults
// and GET /standin/view returns a View, both as JSON.
func (app *App) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", app.serveFaults)
	mux.HandleFunc("GET /standin/view", app.serveView)
	mux.HandleFunc("POST /", app.serveAction)
	mux.HandleFunc("GET /", app.serveLookup)
	return mux
}

// Serve handles requests until ctx is done or the listener fails, and returns
// the listener's error.
func (app *App) Serve(ctx context.Context, lis net.Listener) error {
	srv := &http.Server{Handler: app.Handler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %v: %w", lis.Addr(), err)
	}
	return nil
}

func (app *App) serveAction(wr http.ResponseWriter, hrq *http.Request) {
	body, err := io.ReadAll(hrq.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var flt Faults
	err = app.control.Do(hrq.Context(), func(st *state) {
		st.view.Started++
		flt = st.nextFaults()
	})
	if err != nil || flt.DieBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	// As in a real service, the action completes even if its client has disconnected.
	<-app.cfg.After(app.latency(flt))
	rsp := Response{App: app.cfg.Name, Key: hrq.Header.Get("Idempotency-Key"), Path: hrq.URL.RequestURI(), Body: string(body)}
	err = app.control.Do(context.WithoutCancel(hrq.Context()), func(st *state) { rsp.Number = st.execute(rsp) })
	if err != nil || flt.DieAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	if flt.DropAnswer > 0 {
		<-hrq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if flt.CutAnswer > 0 {
		wr.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(wr, "{")
		panic(http.ErrAbortHandler)
	}
	if flt.BreakAnswer > 0 {
		app.breaker.Respond(wr, hrq, brokenBody)
		return
	}
	writeJSON(wr, rsp)
}

// brokenBody is in no sound response.
const brokenBody = `{"App":"broken"}`

func (app *App) serveLookup(wr http.ResponseWriter, hrq *http.Request) {
	var flt Faults
	rsp := Response{App: app.cfg.Name, Path: hrq.URL.RequestURI()}
	err := app.control.Do(hrq.Context(), func(st *state) {
		st.view.Started++
		st.view.Lookups++
		rsp.Number = st.view.Lookups
		flt = st.faults
		st.faults.FailLookups = max(st.faults.FailLookups-1, 0)
		st.faults.BreakAnswer = max(st.faults.BreakAnswer-1, 0)
	})
	if err != nil || flt.FailLookups > 0 {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-app.cfg.After(app.latency(flt)):
		if flt.BreakAnswer > 0 {
			app.breaker.Respond(wr, hrq, brokenBody)
			return
		}
		writeJSON(wr, rsp)
	case <-hrq.Context().Done():
		_ = app.control.Post(context.WithoutCancel(hrq.Context()), func(st *state) { st.view.Canceled++ })
	}
}

func (app *App) serveFaults(wr http.ResponseWriter, hrq *http.Request) {
	var flt Faults
	if err := json.NewDecoder(hrq.Body).Decode(&flt); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if err := app.SetFaults(hrq.Context(), flt); err != nil {
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
	}
}

func (app *App) serveView(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, app.Snapshot()) }

func (app *App) latency(flt Faults) time.Duration {
	if flt.SlowFactor == 0 {
		return app.cfg.Latency
	}
	return time.Duration(float64(app.cfg.Latency) * flt.SlowFactor)
}

// nextFaults returns the faults for the next action and decrements the first
// count that is not 0.
func (st *state) nextFaults() Faults {
	flt := st.faults
	for _, count := range []*int{&st.faults.DieBefore, &st.faults.DieAfter, &st.faults.DropAnswer, &st.faults.CutAnswer, &st.faults.BreakAnswer} {
		if *count > 0 {
			*count--
			break
		}
	}
	return flt
}

func (st *state) execute(rsp Response) int {
	number := len(st.view.Executions) + 1
	exe := Execution{Key: rsp.Key, Path: rsp.Path, Body: rsp.Body, Number: number}
	st.view.Executions = append(st.view.Executions, exe)
	return number
}

func newView(st *state) *View {
	vw := st.view
	// Without the capacity limit, a later append would write into the published array.
	vw.Executions = vw.Executions[:len(vw.Executions):len(vw.Executions)]
	return &vw
}

func writeJSON(wr http.ResponseWriter, val any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(val)
}
