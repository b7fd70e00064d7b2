package bwrouter

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwrpc"
)

// Generations serves callers' generations. It resumes them on another engine
// when one fails, and takes over those of a failed router.
type Generations struct {
	open openGenerations
	cfg  GenerationsConfig
	// latencies tracks the time to the first token and between tokens of each service.
	latencies    *latencyTracker
	resumeBudget *bwretry.Budget
	// outputLengths predicts the length of outputs by team and service.
	outputLengths *bwadmit.Predictor
	// prefixIndex maps the beginnings of earlier prompts to the hashes of their cached blocks.
	prefixIndex *bwroute.PrefixIndex
	// stopping ends when HandOver is called.
	stopping context.Context
	handOver context.CancelFunc
}

// GenerationsConfig configures a Generations.
type GenerationsConfig struct {
	// Choose picks the engine for an attempt.
	Choose func(context.Context, bwroute.Request) (bwroute.Choice, error)
	// Admit waits until a request may start, or returns a *bwadmit.RefusedError.
	Admit func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	// CountRequest is called with each request before its admission; it may be nil.
	CountRequest func(bwmodel.GenerationSpec)
	// CountOutput is called with the output, in tokens, of each request that ended; it may be nil.
	CountOutput func(bwmodel.GenerationSpec, int)
	// Service returns the service that serves a model.
	Service func(model string) (bwmodel.Service, bool)
	// ChooseHolder returns the router that should hold the copy of a request's record;
	// false when there is none.
	ChooseHolder func(request bwmodel.RequestID, exclude []netip.AddrPort) (netip.AddrPort, bool)
	// IsKnownAddress reports whether an address belongs to a member of the fleet.
	IsKnownAddress func(netip.AddrPort) bool
	// StateNumber returns the number of the last ticket in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// OnStateNumber is called with the ticket numbers that agents send; it may be nil.
	OnStateNumber func(bwmodel.TicketNumber)
	// OnResume is called when an attempt that resumes a generation produces its first
	// token. It receives the cause of the resume, the time since the connection closed
	// or, after a stall, since the last token, and the number of tokens that the engine
	// computed again. It may be nil.
	OnResume func(cause string, latency time.Duration, recomputed int)
	// Address is the address at which other routers reach this one.
	Address netip.AddrPort
	Records *Records
	Client  *bwrpc.Client
	// StallDetector configures the stall detector of each stream.
	StallDetector bwstream.StallDetectorConfig
	// BlockHashes returns the hashes that engines publish for a prompt's blocks; nil
	// means bwengine.BlockHashes.
	BlockHashes func([]bwmodel.TokenID) []uint64
	// ShouldResume reports whether a generation is resumed when an attempt fails after
	// the first token; nil means always.
	ShouldResume func(cause string) bool
	// ResumeBudget limits the concurrent resumes and, as a share of new requests, the
	// failed ones; a Burst of 0 means 32.
	ResumeBudget bwretry.BudgetConfig
	// MaxAttempts limits the consecutive attempts that produce no token; 0 means 8.
	MaxAttempts int
	// ResumeTimeout limits the time without a token after an attempt is lost; 0 means 30 s.
	ResumeTimeout time.Duration
	// HolderAckTimeout is how long a holder may take to acknowledge; 0 means 1 s.
	HolderAckTimeout time.Duration
	NewRequestID     func() bwmodel.RequestID
	// Metrics receives the sessions' metrics; nil discards them.
	Metrics *bwobserve.Metrics
	Now     func() time.Time
	Log     *slog.Logger
}

const (
	defaultMaxAttempts      = 8
	defaultResumeTimeout    = 30 * time.Second
	defaultHolderAckTimeout = time.Second
)

// NewGenerations returns a Generations, or an error when a required field is unset.
func NewGenerations(cfg GenerationsConfig) (*Generations, error) {
	if cfg.Choose == nil || cfg.Admit == nil || cfg.Service == nil || cfg.ChooseHolder == nil || cfg.IsKnownAddress == nil {
		return nil, errors.New("generations: a required function field is unset")
	}
	if cfg.Records == nil || cfg.Client == nil {
		return nil, errors.New("generations: Records or Client is unset")
	}
	cfg.setDefaults()
	gns := &Generations{
		cfg:           cfg,
		latencies:     newLatencyTracker(),
		resumeBudget:  newResumeBudget(cfg.ResumeBudget),
		outputLengths: new(bwadmit.Predictor),
		prefixIndex:   bwroute.NewPrefixIndex(bwroute.PrefixIndexConfig{}),
	}
	gns.stopping, gns.handOver = context.WithCancel(context.Background())
	return gns, nil
}

// Start runs the control goroutine until the context ends.
func (gns *Generations) Start(ctx context.Context) { gns.latencies.control.Start(ctx) }

// Register adds the callers' routes to a router. The request's context must hold the
// team, set by bwhttp.WithTeam.
func (gns *Generations) Register(rtr *mux.Router) {
	rtr.HandleFunc("/v1/completions", gns.serveCompletion).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/chat/completions", gns.serveChat).Methods(http.MethodPost)
	rtr.HandleFunc("/v1/generations/{handle}", gns.serveReconnect).Methods(http.MethodGet)
}

func (cfg *GenerationsConfig) setDefaults() {
	if cfg.StateNumber == nil {
		cfg.StateNumber = func() bwmodel.TicketNumber { return 0 }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = bwobserve.NewMetrics()
	}
	if cfg.OnStateNumber == nil {
		cfg.OnStateNumber = func(bwmodel.TicketNumber) {}
	}
	if cfg.CountRequest == nil {
		cfg.CountRequest = func(bwmodel.GenerationSpec) {}
	}
	if cfg.CountOutput == nil {
		cfg.CountOutput = func(bwmodel.GenerationSpec, int) {}
	}
	if cfg.OnResume == nil {
		cfg.OnResume = func(string, time.Duration, int) {}
	}
	if cfg.BlockHashes == nil {
		cfg.BlockHashes = bwengine.BlockHashes
	}
	if cfg.ShouldResume == nil {
		cfg.ShouldResume = func(string) bool { return true }
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.ResumeTimeout == 0 {
		cfg.ResumeTimeout = defaultResumeTimeout
	}
	if cfg.HolderAckTimeout == 0 {
		cfg.HolderAckTimeout = defaultHolderAckTimeout
	}
	if cfg.NewRequestID == nil {
		cfg.NewRequestID = randomRequestID
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
}

func (gns *Generations) serveCompletion(wrt http.ResponseWriter, req *http.Request) {
	gns.serveNew(wrt, req, false)
}

func (gns *Generations) serveChat(wrt http.ResponseWriter, req *http.Request) {
	gns.serveNew(wrt, req, true)
}

// serveNew starts a new generation and serves it to its caller.
func (gns *Generations) serveNew(wrt http.ResponseWriter, req *http.Request, chat bool) {
	team, ok := bwhttp.TeamFromContext(req.Context())
	if !ok {
		bwhttp.WriteProblem(wrt, bwhttp.Problem{Status: http.StatusUnauthorized, Title: "No team", Outcome: bwhttp.OutcomeNotRun})
		return
	}
	body, prb := readCompletion(wrt, req, chat)
	if prb != nil {
		bwhttp.WriteProblem(wrt, *prb)
		return
	}
	svc, ok := gns.cfg.Service(body.Model)
	if !ok || svc.Kind != bwmodel.ModelService {
		bwhttp.WriteProblem(wrt, bwhttp.Problem{Status: http.StatusNotFound, Title: "Unknown model", Outcome: bwhttp.OutcomeNotRun})
		return
	}
	if !team.MayCall(svc.Name) {
		bwhttp.WriteProblem(wrt, bwhttp.Problem{Status: http.StatusForbidden, Title: "Service is not open to the team", Outcome: bwhttp.OutcomeNotRun})
		return
	}
	spec, prb := body.spec(team, svc, req.Header.Get(classHeader), gns.cfg.Now())
	if prb != nil {
		bwhttp.WriteProblem(wrt, *prb)
		return
	}
	id := gns.cfg.NewRequestID()
	gns.cfg.CountRequest(spec)
	ctx, cancel := gns.untilHandOver(req.Context())
	defer cancel()
	grant, err := gns.cfg.Admit(ctx, bwadmit.Request{
		ID:      id,
		Service: spec.Service,
		Team:    spec.Team,
		Class:   spec.Class,
		Tokens:  gns.expectedTokens(spec, 0),
	})
	if err != nil {
		bwhttp.WriteProblem(wrt, admitProblem(err))
		return
	}
	rec := bwstream.NewRecord(bwmodel.GenerationRecord{Request: id, Epoch: 1, Spec: spec})
	out := newOutput(wrt, gns.cfg.Now(), body.Stream, body.ReturnTokenIDs, rec, bwstream.Cursor{})
	ses := newSession(gns, rec, out)
	defer func() { gns.cfg.CountOutput(spec, int(ses.rec.Position())) }()
	ses.admission.setGrant(grant)
	gns.resumeBudget.CountRequest()
	ses.serve(req.Context())
}

func randomRequestID() bwmodel.RequestID {
	var id bwmodel.RequestID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// serveReconnect serves the rest of a generation to a caller whose connection was lost.
func (gns *Generations) serveReconnect(wrt http.ResponseWriter, req *http.Request) {
	team, ok := bwhttp.TeamFromContext(req.Context())
	if !ok {
		bwhttp.WriteProblem(wrt, bwhttp.Problem{Status: http.StatusUnauthorized, Title: "No team", Outcome: bwhttp.OutcomeNotRun})
		return
	}
	hd, err := reconnectHandle(mux.Vars(req)["handle"], req.Header.Get("Last-Event-ID"))
	if err != nil {
		bwhttp.WriteProblem(wrt, bwhttp.Problem{Status: http.StatusBadRequest, Title: "Malformed handle", Detail: err.Error(), Outcome: bwhttp.OutcomeUnknown})
		return
	}
	tko := &takeover{gns: gns, team: team.Name, hd: hd}
	if prb := tko.run(req.Context()); prb != nil {
		gns.cfg.Metrics.Takeovers.With("Refused").Inc()
		bwhttp.WriteProblem(wrt, *prb)
		return
	}
	gns.cfg.Metrics.Takeovers.With("Done").Inc()
	ids := req.FormValue("return_token_ids") == "true"
	out := newOutput(wrt, gns.cfg.Now(), true, ids, tko.rec, hd.Cursor)
	ses := newSession(gns, tko.rec, out)
	// The previous router may have started it on an engine.
	ses.mayHaveRun = true
	ses.adopt(req.Context(), tko)
	ses.serve(req.Context())
}

// reconnectHandle returns the handle of the path, or the newer one in Last-Event-ID.
func reconnectHandle(path, last string) (bwstream.Handle, error) {
	hd, err := bwstream.ParseHandle(path)
	if err != nil || last == "" {
		return hd, err
	}
	newer, err := bwstream.ParseHandle(last)
	if err != nil {
		return hd, fmt.Errorf("Last-Event-ID: %w", err)
	}
	if newer.Request != hd.Request {
		return hd, errors.New("Last-Event-ID belongs to another request")
	}
	return newer, nil
}
