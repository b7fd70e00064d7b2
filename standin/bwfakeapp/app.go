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
)

// App is a stand-in for a plain service: POST runs an action and GET a lookup,
// on any path outside /standin/.
type App struct {
	cfg Config
	own *bwcontrol.Owner[state, View]
}

// Config configures an App.
type Config struct {
	// Name is part of each answer, so that a test sees which instance answered.
	Name string
	// Latency is the time that an action or lookup takes.
	Latency time.Duration
	Faults  Faults
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
}

// Faults changes how the app behaves; the counts apply to the next actions.
type Faults struct {
	// SlowFactor multiplies the latency; 0 means 1.
	SlowFactor float64
	// DieBefore closes the connection of actions before they are executed.
	DieBefore int
	// DieAfter closes the connection of actions after they are executed.
	DieAfter int
	// DropAnswer executes actions and never answers, until the client gives up.
	DropAnswer int
	// CutAnswer executes actions and ends the connection in the middle of the answer.
	CutAnswer int
	// FailLookups closes the connection of lookups.
	FailLookups int
}

// View is what the app has done.
type View struct {
	// Executions is in the order of execution.
	Executions []Execution
	Lookups    int
	// Started counts the actions and lookups that have arrived.
	Started int
	// Canceled counts lookups whose client gave up.
	Canceled int
}

// Execution is one run of an action.
type Execution struct {
	Key  string
	Path string
	Body string
	// Number counts the executions of the app from 1.
	Number int
}

// Response is the body of the app's answers.
type Response struct {
	App  string
	Key  string `json:",omitempty"`
	Path string
	Body string `json:",omitempty"`
	// Number is the execution's number, or the lookup's.
	Number int
}

type state struct {
	view   View
	faults Faults
}

// New returns an app; Start must be called before it serves.
func New(cfg Config) *App {
	if cfg.After == nil {
		cfg.After = time.After
	}
	return &App{cfg: cfg, own: bwcontrol.New(bwcontrol.Config[state, View]{
		State: &state{faults: cfg.Faults},
		View:  viewState,
	})}
}

// Start runs the goroutine that owns the app's records until the context ends.
func (app *App) Start(ctx context.Context) { app.own.Start(ctx) }

// Snapshot returns what the app has done so far.
func (app *App) Snapshot() *View { return app.own.Snapshot() }

// ExecutionCount returns how often an action was executed under a key.
func (vw *View) ExecutionCount(key string) int {
	count := 0
	for _, exe := range vw.Executions {
		if exe.Key == key {
			count++
		}
	}
	return count
}

// SetFaults replaces the faults, or returns the owner's error.
func (app *App) SetFaults(ctx context.Context, flt Faults) error {
	return app.own.Do(ctx, func(st *state) { st.faults = flt })
}

// Handler returns the app's HTTP handler; /standin/faults takes a Faults by PUT,
// and /standin/view returns a View.
func (app *App) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", app.serveFaults)
	mux.HandleFunc("GET /standin/view", app.serveView)
	mux.HandleFunc("POST /", app.serveAction)
	mux.HandleFunc("GET /", app.serveLookup)
	return mux
}

// Serve answers requests until the context ends or the listener fails.
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
	err = app.own.Do(hrq.Context(), func(st *state) {
		st.view.Started++
		flt = st.takeFaults()
	})
	if err != nil || flt.DieBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	// The action runs to its end even when its client has gone, as in a real service.
	<-app.cfg.After(app.latency(flt))
	ans := Response{App: app.cfg.Name, Key: hrq.Header.Get("Idempotency-Key"), Path: hrq.URL.RequestURI(), Body: string(body)}
	err = app.own.Do(context.WithoutCancel(hrq.Context()), func(st *state) { ans.Number = st.execute(ans) })
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
	writeJSON(wr, ans)
}

func (app *App) serveLookup(wr http.ResponseWriter, hrq *http.Request) {
	var flt Faults
	ans := Response{App: app.cfg.Name, Path: hrq.URL.RequestURI()}
	err := app.own.Do(hrq.Context(), func(st *state) {
		st.view.Started++
		st.view.Lookups++
		ans.Number = st.view.Lookups
		flt = st.faults
		st.faults.FailLookups = max(st.faults.FailLookups-1, 0)
	})
	if err != nil || flt.FailLookups > 0 {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-app.cfg.After(app.latency(flt)):
		writeJSON(wr, ans)
	case <-hrq.Context().Done():
		_ = app.own.Post(context.WithoutCancel(hrq.Context()), func(st *state) { st.view.Canceled++ })
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

// takeFaults returns the faults of the next action and uses up their counts.
func (st *state) takeFaults() Faults {
	flt := st.faults
	for _, count := range []*int{&st.faults.DieBefore, &st.faults.DieAfter, &st.faults.DropAnswer, &st.faults.CutAnswer} {
		if *count > 0 {
			*count--
			break
		}
	}
	return flt
}

func (st *state) execute(ans Response) int {
	number := len(st.view.Executions) + 1
	exe := Execution{Key: ans.Key, Path: ans.Path, Body: ans.Body, Number: number}
	st.view.Executions = append(st.view.Executions, exe)
	return number
}

func viewState(st *state) *View {
	vw := st.view
	// The capacity is cut, so that a later append can't change the published part.
	vw.Executions = vw.Executions[:len(vw.Executions):len(vw.Executions)]
	return &vw
}

func writeJSON(wr http.ResponseWriter, val any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(val)
}
