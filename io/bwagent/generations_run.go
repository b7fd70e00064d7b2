package bwagent

import (
	"context"
	"errors"
	"sync/atomic"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// generationRun reads one attempt from the engine and publishes its progress.
type generationRun struct {
	cfg    GenerationsConfig
	req    *bwwire.GenerateRequest
	ctx    context.Context
	cancel context.CancelFunc
	// start is the position of the attempt's first token.
	start    bwmodel.Position
	progress atomic.Pointer[generationProgress]
}

// generationProgress is an immutable view of a run. Views share the tokens'
// memory, which only grows behind the end of an older view.
type generationProgress struct {
	issued []bwmodel.Token
	prompt []bwmodel.TokenID
	cached int
	finish bwmodel.FinishReason
	err    error
	// next is closed when a newer view is published.
	next chan struct{}
}

func newGenerationRun(ctx context.Context, cfg GenerationsConfig, req *bwwire.GenerateRequest) *generationRun {
	run := &generationRun{cfg: cfg, req: req, start: bwmodel.Position(len(req.Issued))}
	run.ctx, run.cancel = context.WithCancel(ctx)
	run.progress.Store(&generationProgress{issued: req.Issued, prompt: req.PromptTokens, next: make(chan struct{})})
	return run
}

func (run *generationRun) ended() bool {
	prg := run.progress.Load()
	return prg.finish != "" || prg.err != nil
}

func (run *generationRun) run() {
	defer run.cancel()
	remaining := run.req.Spec.MaxTokens - len(run.req.Issued)
	if remaining <= 0 {
		run.publish(bwengine.Chunk{Finish: bwmodel.FinishLength}, nil)
		return
	}
	gen, err := run.cfg.Generate(run.ctx, run.completion(remaining))
	if err != nil {
		run.publish(bwengine.Chunk{}, err)
		return
	}
	defer gen.Close()
	for !run.ended() {
		out, err := gen.Next()
		run.publish(out, err)
	}
}

// publish notes an output before any router can be sent it.
func (run *generationRun) publish(out bwengine.Chunk, err error) {
	old := run.progress.Load()
	prg := &generationProgress{
		issued: append(old.issued, out.Tokens...),
		prompt: old.prompt,
		cached: old.cached,
		finish: out.Finish,
		err:    err,
		next:   make(chan struct{}),
	}
	if len(out.PromptTokens) > 0 {
		prg.cached = out.CachedTokens
		if len(prg.prompt) == 0 {
			prg.prompt = out.PromptTokens
		}
	}
	run.progress.Store(prg)
	close(old.next)
}

func (run *generationRun) completion(remaining int) bwengine.Completion {
	spec := run.req.Spec
	cmp := bwengine.Completion{
		Model:       spec.Model,
		Prompt:      spec.Prompt,
		Messages:    spec.Messages,
		MaxTokens:   remaining,
		Temperature: spec.Temperature,
		Seed:        spec.Seed,
		Stop:        spec.Stop,
		Priority:    run.req.Priority,
	}
	if len(run.req.PromptTokens) > 0 {
		cmp.PromptTokens = make([]bwmodel.TokenID, 0, len(run.req.PromptTokens)+len(run.req.Issued))
		cmp.PromptTokens = append(cmp.PromptTokens, run.req.PromptTokens...)
		for _, tok := range run.req.Issued {
			cmp.PromptTokens = append(cmp.PromptTokens, tok.ID)
		}
	}
	return cmp
}

// record returns the whole record as this agent knows it.
func (run *generationRun) record(prg *generationProgress, ep bwmodel.Epoch) *bwmodel.GenerationRecord {
	return &bwmodel.GenerationRecord{
		Request:      run.req.Request,
		Epoch:        ep,
		Attempt:      run.req.Attempt,
		Spec:         run.req.Spec,
		PromptTokens: prg.prompt,
		Issued:       prg.issued,
		Agent:        run.cfg.Address,
		Finish:       prg.finish,
	}
}

// feeder sends a run's progress to one router.
type feeder struct {
	cfg      GenerationsConfig
	run      *generationRun
	sub      *subscription
	pos      bwmodel.Position
	epoch    bwmodel.Epoch
	attached bool
	send     func(*bwwire.GenerateEvent) error
	begun    bool
}

// serve sends until the generation ends, the router goes away or is replaced.
func (fdr *feeder) serve() error {
	for {
		prg := fdr.run.progress.Load()
		if err := fdr.forward(prg); err != nil {
			return err
		}
		switch {
		case prg.finish != "":
			return nil
		case prg.err != nil:
			return refuseUpstream(prg.err)
		}
		select {
		case <-prg.next:
		case <-fdr.sub.ctx.Done():
			return fdr.sub.refusal()
		}
	}
}

// forward sends what the router has not been sent yet.
func (fdr *feeder) forward(prg *generationProgress) error {
	evt := &bwwire.GenerateEvent{
		Attempt:     fdr.run.req.Attempt,
		Position:    fdr.pos,
		Finish:      prg.finish,
		StateNumber: fdr.cfg.StateNumber(),
	}
	if fdr.attached {
		evt.Record = fdr.run.record(prg, fdr.epoch)
		evt.Position = bwmodel.Position(len(prg.issued))
		fdr.pos = evt.Position
		fdr.attached = false
		fdr.begun = len(prg.prompt) > 0
		return fdr.send(evt)
	}
	evt.Tokens = prg.issued[min(fdr.pos, bwmodel.Position(len(prg.issued))):]
	if len(evt.Tokens) == 0 && prg.finish == "" {
		return nil
	}
	if !fdr.begun {
		evt.PromptTokens = prg.prompt
		evt.CachedTokens = prg.cached
		fdr.begun = true
	}
	fdr.pos += bwmodel.Position(len(evt.Tokens))
	return fdr.send(evt)
}

// refuseUpstream translates an engine's failure for the router.
func refuseUpstream(err error) error {
	var eng *bwengine.Error
	if errors.As(err, &eng) && eng.Kind == bwengine.Refused {
		switch {
		case eng.Status == 429 || eng.Status == 503:
			return bwrpc.Errorf(bwwire.Overloaded, "%w", err)
		case eng.Status >= 400 && eng.Status < 500 && eng.Status != 404 && eng.Status != 408:
			return bwrpc.Errorf(bwwire.Invalid, "%w", err)
		}
	}
	return bwrpc.Errorf(bwwire.UpstreamFailed, "%w", err)
}
