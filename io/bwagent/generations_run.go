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
	// startPosition is the position of the attempt's first token.
	startPosition bwmodel.Position
	progress      atomic.Pointer[generationProgress]
}

// generationProgress is an immutable view of a run. Views share the memory of the
// tokens: new tokens are appended after the end of the older views.
type generationProgress struct {
	issued       []bwmodel.Token
	promptTokens []bwmodel.TokenID
	cachedTokens int
	finish       bwmodel.FinishReason
	err          error
	// updated is closed when a newer view is published.
	updated chan struct{}
}

func newGenerationRun(ctx context.Context, cfg GenerationsConfig, req *bwwire.GenerateRequest) *generationRun {
	run := &generationRun{cfg: cfg, req: req, startPosition: bwmodel.Position(len(req.Issued))}
	run.ctx, run.cancel = context.WithCancel(ctx)
	run.progress.Store(&generationProgress{issued: req.Issued, promptTokens: req.PromptTokens, updated: make(chan struct{})})
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
	gen, err := run.cfg.Generate(run.ctx, run.newCompletion(remaining))
	if err != nil {
		run.publish(bwengine.Chunk{}, err)
		return
	}
	defer gen.Close()
	for !run.ended() {
		chunk, err := gen.Next()
		run.publish(chunk, err)
	}
}

// publish records a chunk, or the error that ended the run, before it is sent to a
// router.
func (run *generationRun) publish(chunk bwengine.Chunk, err error) {
	prev := run.progress.Load()
	prg := &generationProgress{
		issued:       append(prev.issued, chunk.Tokens...),
		promptTokens: prev.promptTokens,
		cachedTokens: prev.cachedTokens,
		finish:       chunk.Finish,
		err:          err,
		updated:      make(chan struct{}),
	}
	if len(chunk.PromptTokens) > 0 {
		prg.cachedTokens = chunk.CachedTokens
		if len(prg.promptTokens) == 0 {
			prg.promptTokens = chunk.PromptTokens
		}
	}
	run.progress.Store(prg)
	close(prev.updated)
}

func (run *generationRun) newCompletion(remaining int) bwengine.Completion {
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

// record returns the generation's record with all tokens in prg.
func (run *generationRun) record(prg *generationProgress, ep bwmodel.Epoch) *bwmodel.GenerationRecord {
	return &bwmodel.GenerationRecord{
		Request:      run.req.Request,
		Epoch:        ep,
		Attempt:      run.req.Attempt,
		Spec:         run.req.Spec,
		PromptTokens: prg.promptTokens,
		Issued:       prg.issued,
		Agent:        run.cfg.Address,
		Finish:       prg.finish,
	}
}

// progressSender sends a run's progress to one router.
type progressSender struct {
	cfg           GenerationsConfig
	run           *generationRun
	sub           *subscription
	pos           bwmodel.Position
	epoch         bwmodel.Epoch
	recordPending bool
	send          func(*bwwire.GenerateEvent) error
	promptSent    bool
}

// serve sends progress until the generation ends or the subscription is canceled,
// because the router has disconnected or was replaced or the agent is leaving.
func (snd *progressSender) serve() error {
	for {
		prg := snd.run.progress.Load()
		if err := snd.sendProgress(prg); err != nil {
			return err
		}
		switch {
		case prg.finish != "":
			return nil
		case prg.err != nil:
			return rpcEngineError(prg.err)
		}
		select {
		case <-prg.updated:
		case <-snd.sub.ctx.Done():
			return snd.sub.endError()
		}
	}
}

// sendProgress sends the tokens that were not sent to the router yet. The first
// event of an attached router has the complete record instead.
func (snd *progressSender) sendProgress(prg *generationProgress) error {
	evt := &bwwire.GenerateEvent{
		Attempt:     snd.run.req.Attempt,
		Position:    snd.pos,
		Finish:      prg.finish,
		StateNumber: snd.cfg.StateNumber(),
	}
	if snd.recordPending {
		evt.Record = snd.run.record(prg, snd.epoch)
		evt.Position = bwmodel.Position(len(prg.issued))
		snd.pos = evt.Position
		snd.recordPending = false
		snd.promptSent = len(prg.promptTokens) > 0
		return snd.send(evt)
	}
	evt.Tokens = prg.issued[min(snd.pos, bwmodel.Position(len(prg.issued))):]
	if len(evt.Tokens) == 0 && prg.finish == "" {
		return nil
	}
	if !snd.promptSent {
		evt.PromptTokens = prg.promptTokens
		evt.CachedTokens = prg.cachedTokens
		snd.promptSent = true
	}
	snd.pos += bwmodel.Position(len(evt.Tokens))
	return snd.send(evt)
}

// rpcEngineError adds the RPC code for routers to an error of the engine.
func rpcEngineError(err error) error {
	var engErr *bwengine.Error
	if errors.As(err, &engErr) && engErr.Kind == bwengine.Refused {
		switch {
		case engErr.Status == 429 || engErr.Status == 503:
			return bwrpc.Errorf(bwwire.Overloaded, "%w", err)
		case engErr.Status >= 400 && engErr.Status < 500 && engErr.Status != 404 && engErr.Status != 408:
			return bwrpc.Errorf(bwwire.Invalid, "%w", err)
		}
	}
	return bwrpc.Errorf(bwwire.UpstreamFailed, "%w", err)
}
