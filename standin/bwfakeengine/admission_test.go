package bwfakeengine_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwrouter"
)

// fakeAdmission admits all requests, records the calls and lets a test preempt
// running work.
type fakeAdmission struct {
	mu                sync.Mutex
	requests          []bwadmit.Request
	preempts          []chan struct{}
	finishedTokens    []int
	maxProgress       int
	firstTokenReports int
	choiceRequests    []bwroute.Request
	// admitResumed blocks the admission of resumed work until it is closed.
	admitResumed chan struct{}
}

func (adm *fakeAdmission) admit(ctx context.Context, req bwadmit.Request) (bwadmit.Grant, error) {
	if req.Resumed {
		select {
		case <-adm.admitResumed:
		case <-ctx.Done():
			return bwadmit.Grant{}, ctx.Err()
		}
	}
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.requests = append(adm.requests, req)
	preempt := make(chan struct{})
	adm.preempts = append(adm.preempts, preempt)
	return bwadmit.Grant{Preempt: preempt, Finish: adm.reportFinish, Progress: adm.reportProgress}, nil
}

func (adm *fakeAdmission) reportFinish(tokens int) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.finishedTokens = append(adm.finishedTokens, tokens)
}

func (adm *fakeAdmission) reportProgress(tokens int) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.maxProgress = max(adm.maxProgress, tokens)
}

func (adm *fakeAdmission) configure(cfg *bwrouter.GenerationsConfig) {
	choose := cfg.Choose
	cfg.Admit = adm.admit
	cfg.Choose = func(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
		cho, err := choose(ctx, req)
		cho.ReportFirstToken = adm.reportFirstToken
		adm.mu.Lock()
		defer adm.mu.Unlock()
		adm.choiceRequests = append(adm.choiceRequests, req)
		return cho, err
	}
}

func (adm *fakeAdmission) reportFirstToken(time.Duration) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.firstTokenReports++
}

// awaitSequences waits until the engines have a number of sequences, running or queued.
func (cl *cluster) awaitSequences(count int) {
	cl.t.Helper()
	cl.waitUntil(func() bool {
		total := 0
		for _, nd := range cl.nodes {
			run, wait := nd.engine.SequenceCounts()
			total += run + wait
		}
		return total == count
	})
}

// waitUntil polls a condition. After maxPolls it fails the test instead of hanging.
func (cl *cluster) waitUntil(done func() bool) {
	cl.t.Helper()
	const maxPolls = 20000
	for range maxPolls {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	cl.t.Fatal("condition did not become true")
}

func (adm *fakeAdmission) hasFinished(grants int) func() bool {
	return func() bool {
		adm.mu.Lock()
		defer adm.mu.Unlock()
		return len(adm.finishedTokens) == grants
	}
}

// Guards against preempted work that keeps its engine, and against an incomplete
// response after it resumes.
func TestPreemptedWorkResumes(t *testing.T) {
	const tokens = 200
	adm := &fakeAdmission{admitResumed: make(chan struct{})}
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, configure: adm.configure})
	cal := cl.post(cl.routers[0], "dlhý odkladný návrh", tokens)
	cal.read(20)
	close(adm.preempts[0])
	cl.waitUntil(func() bool { return cl.nodes[0].engine.Counts().Canceled == 1 })
	cl.awaitSequences(0)
	close(adm.admitResumed)
	cal.read(allTokens)
	cal.checkResponse("dlhý odkladný návrh", tokens)
	cl.waitUntil(adm.hasFinished(2))
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if len(adm.requests) != 2 || !adm.requests[1].Resumed {
		t.Fatalf("admission requests %+v, want two, the second as resumed", adm.requests)
	}
	if sum := adm.finishedTokens[0] + adm.finishedTokens[1]; len(adm.finishedTokens) != 2 || sum != tokens || adm.maxProgress == 0 {
		t.Errorf("grants ended with %v tokens and progress %d, want %d in two grants and a progress above 0", adm.finishedTokens, adm.maxProgress, tokens)
	}
	if adm.firstTokenReports != 2 {
		t.Errorf("%d attempts reported their first token, want 2", adm.firstTokenReports)
	}
}

// Guards against admission and choice that estimate the output length by
// max_tokens instead of the usual length of the team's outputs.
func TestExpectedLength(t *testing.T) {
	adm := new(fakeAdmission)
	eng := fastEngine
	eng.StopEvery = 40
	cl := newClusterWith(t, clusterConfig{engines: 1, routers: 2, engine: eng, configure: adm.configure})
	const rounds, limit = 12, 100000
	for round := range rounds {
		cl.post(cl.routers[0], "krátke venovanie 7", limit).read(allTokens)
		cl.waitUntil(adm.hasFinished(round + 1))
	}
	want := adm.finishedTokens[0]
	last := adm.requests[rounds-1].Tokens
	if last != want || adm.choiceRequests[rounds-1].Tokens != want {
		t.Errorf("estimate of %d tokens in admission and %d in the choice, want %d", last, adm.choiceRequests[rounds-1].Tokens, want)
	}
	if first := adm.requests[0].Tokens; first >= limit || first == want {
		t.Errorf("estimate of %d tokens before any output, want the default", first)
	}
}
