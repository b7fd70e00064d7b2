package bwrouter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwobserve"
)

// Labels for the failed attempts of an upstream.
const (
	errorRefused = "Refused"
	errorFailed  = "Failed"
)

// Admit waits until the queue of the service admits the work, or returns a
// *bwadmit.RefusedError or ErrNoService.
func (svs *Services) Admit(ctx context.Context, req bwadmit.Request) (bwadmit.Grant, error) {
	svc := svs.control.Snapshot().services[req.Service]
	if svc == nil {
		return bwadmit.Grant{}, fmt.Errorf("service %q: %w", req.Service, ErrNoService)
	}
	grant, err := svc.queue.Admit(ctx, req)
	var refused *bwadmit.RefusedError
	if errors.As(err, &refused) {
		svs.cfg.Metrics.Refusals.With(string(req.Service), string(refused.Reason)).Inc()
		return grant, err
	}
	if err == nil {
		svs.cfg.Metrics.QueueWait.With(string(req.Service), req.Class.String()).Update(grant.Waited.Seconds())
		grant.Finish = svs.countWork(req.Team, grant.Finish)
	}
	return grant, err
}

// countWork returns a Finish that counts a team's tokens.
func (svs *Services) countWork(team bwmodel.TeamID, finish func(int)) func(int) {
	return func(tokens int) {
		svs.cfg.Metrics.TeamTokens.With(string(team)).Add(tokens)
		finish(tokens)
	}
}

// countErrors returns a Finish that counts an upstream's failed attempts.
func (svs *Services) countErrors(choice bwroute.Choice) func(bwroute.Outcome) {
	return func(out bwroute.Outcome) {
		switch {
		case out.Refused:
			svs.cfg.Metrics.UpstreamErrors.With(string(choice.Upstream.Name), errorRefused).Inc()
		case out.Failed:
			svs.cfg.Metrics.UpstreamErrors.With(string(choice.Upstream.Name), errorFailed).Inc()
		}
		choice.Finish(out)
	}
}

func (svs *Services) logChoice(ctx context.Context, req bwroute.Request, dec bwroute.Decision) {
	svs.cfg.Metrics.UpstreamChoices.With(string(dec.Chosen), string(dec.Reason)).Inc()
	if !svs.cfg.Log.Enabled(ctx, slog.LevelInfo) {
		return
	}
	line := &bwobserve.Decision{
		Kind:       "Route",
		Request:    req.ID,
		Team:       req.Team,
		Service:    req.Service,
		Choice:     dec.Chosen,
		Reason:     string(dec.Reason),
		Candidates: make([]bwobserve.Candidate, 0, len(dec.Candidates)),
	}
	for _, cnd := range dec.Candidates {
		line.Candidates = append(line.Candidates, bwobserve.Candidate{Upstream: cnd.Upstream, Cost: cnd.Cost.Seconds()})
	}
	bwobserve.LogDecision(ctx, svs.cfg.Log, line)
}

// refresh makes the choosers compare their upstreams, and sets the gauges; it runs
// in the control goroutine.
func (svs *Services) refresh(st *servicesState) {
	for name, svc := range st.services {
		svc.chooser.Refresh()
		load := svc.queue.Load()
		svs.cfg.Metrics.QueueLength.With(string(name), bwmodel.PromptClass.String()).Set(float64(load.WaitingPrompt))
		svs.cfg.Metrics.QueueLength.With(string(name), bwmodel.DeferrableClass.String()).Set(float64(load.WaitingDeferrable))
		for _, vw := range svc.chooser.UpstreamViews() {
			ups := string(vw.Upstream.Name)
			svs.cfg.Metrics.UpstreamLimit.With(ups).Set(float64(vw.Limit))
			svs.cfg.Metrics.UpstreamSlowFactor.With(ups).Set(vw.SlowFactor)
		}
	}
}
