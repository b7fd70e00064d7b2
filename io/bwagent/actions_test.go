package bwagent_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

const actionIncarnation bwmodel.Incarnation = 5

var (
	errNotSent  = errors.New("not sent")
	errNoAnswer = errors.New("no answer")
)

// upstream is a plain service that answers as told.
type upstream struct {
	started chan struct{}
	answer  chan error
}

func newUpstream() *upstream {
	return &upstream{started: make(chan struct{}, 8), answer: make(chan error, 8)}
}

func (up *upstream) act(ctx context.Context, _ string, _ bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	up.started <- struct{}{}
	select {
	case err := <-up.answer:
		return bwmodel.HTTPResponse{Status: 200, Body: []byte("paid")}, err
	case <-ctx.Done():
		return bwmodel.HTTPResponse{}, ctx.Err()
	}
}

func (up *upstream) call(ctx context.Context, _ bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	return up.act(ctx, "", bwmodel.HTTPRequest{})
}

func newActions(t *testing.T, cfg bwagent.ActionsConfig) *bwagent.Actions {
	t.Helper()
	cfg.Ledger = bwaction.LedgerConfig{Incarnation: actionIncarnation, Now: time.Now}
	cfg.NotSent = func(err error) bool { return errors.Is(err, errNotSent) }
	acts := bwagent.NewActions(cfg)
	acts.Start(t.Context())
	return acts
}

func dispatch(fence bwmodel.Fence) *bwwire.DispatchRequest {
	return &bwwire.DispatchRequest{Team: "t1", Key: "k1", Fence: fence, Incarnation: actionIncarnation, Expiry: 30 * time.Second}
}

func settle(fence bwmodel.Fence) *bwwire.SettleRequest {
	return &bwwire.SettleRequest{Team: "t1", Key: "k1", Fence: fence, Incarnation: actionIncarnation, Expiry: 30 * time.Second}
}

// Guards against a refusal whose code makes the router report or do something
// else, and against a key that can't run after nothing was sent.
func TestDispatch(t *testing.T) {
	up := newUpstream()
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.act})
	up.answer <- errNotSent
	if _, err := acts.Dispatch(t.Context(), dispatch(1)); bwrpc.CodeOf(err) != bwwire.UpstreamUnreachable {
		t.Fatalf("nothing was sent: got %v, want code %v", err, bwwire.UpstreamUnreachable)
	}
	if _, err := acts.Dispatch(t.Context(), dispatch(1)); bwrpc.CodeOf(err) != bwwire.Stale {
		t.Fatalf("same fence again: got %v, want code %v", err, bwwire.Stale)
	}
	up.answer <- nil
	rsp, err := acts.Dispatch(t.Context(), dispatch(2))
	if err != nil || rsp.State != bwmodel.SettleDone || string(rsp.HTTP.Body) != "paid" {
		t.Fatalf("higher fence: got %+v, %v", rsp, err)
	}
	if _, err := acts.Dispatch(t.Context(), dispatch(3)); bwrpc.CodeOf(err) != bwwire.Duplicate {
		t.Fatalf("key that has run: got %v, want code %v", err, bwwire.Duplicate)
	}
}

// Guards against an action that ends, or whose result is lost, with the
// connection of the router that dispatched it.
func TestActionOutlivesItsRouter(t *testing.T) {
	up := newUpstream()
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.act})
	ctx, cancel := context.WithCancel(t.Context())
	job := &dispatching{acts: acts, ended: make(chan error, 1)}
	go job.run(ctx)
	<-up.started
	cancel()
	if err := <-job.ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("dispatch without its router ended with %v", err)
	}
	if stl, err := acts.Settle(t.Context(), settle(2)); err != nil || stl.State != bwmodel.SettleRunning {
		t.Fatalf("while it runs: got %+v, %v", stl, err)
	}
	up.answer <- nil
	for {
		stl, err := acts.Settle(t.Context(), settle(2))
		if err != nil {
			t.Fatal(err)
		}
		if stl.State == bwmodel.SettleDone {
			break
		}
	}
}

// dispatching is one dispatch in progress.
type dispatching struct {
	acts  *bwagent.Actions
	ended chan error
}

func (dsp *dispatching) run(ctx context.Context) {
	_, err := dsp.acts.Dispatch(ctx, dispatch(1))
	dsp.ended <- err
}

// Guards against an upstream that gets no actions ever again after a drain that
// a later ticket has undone.
func TestActionsAfterAnUndoneDrain(t *testing.T) {
	up := newUpstream()
	leaving := true
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.act, Leaving: func() bool { return leaving }})
	if _, err := acts.Dispatch(t.Context(), dispatch(1)); bwrpc.CodeOf(err) != bwwire.Leaving {
		t.Fatalf("while leaving: got %v, want code %v", err, bwwire.Leaving)
	}
	leaving = false
	up.answer <- nil
	if rsp, err := acts.Dispatch(t.Context(), dispatch(1)); err != nil || rsp.State != bwmodel.SettleDone {
		t.Fatalf("after the drain was undone: got %+v, %v", rsp, err)
	}
}

// Guards against more actions at the upstream than it has slots.
func TestSlotsBoundActions(t *testing.T) {
	up := newUpstream()
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.act, Slots: 1})
	job := &dispatching{acts: acts, ended: make(chan error, 1)}
	go job.run(t.Context())
	<-up.started
	other := dispatch(1)
	other.Key = "k2"
	if _, err := acts.Dispatch(t.Context(), other); bwrpc.CodeOf(err) != bwwire.Overloaded {
		t.Fatalf("second action: got %v, want code %v", err, bwwire.Overloaded)
	}
	up.answer <- nil
	if err := <-job.ended; err != nil {
		t.Fatal(err)
	}
	up.answer <- nil
	if _, err := acts.Dispatch(t.Context(), other); err != nil {
		t.Fatalf("after the first: %v", err)
	}
}

// Guards against a failed call whose code makes the router spend its budget
// although nothing was sent, or repeat for free what the upstream has seen.
func TestCallCodes(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		leaving bool
		want    bwrpc.Code
	}{
		{"not sent", errNotSent, false, bwwire.UpstreamUnreachable},
		{"no answer", errNoAnswer, false, bwwire.UpstreamFailed},
		{"leaving", nil, true, bwwire.Leaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			up := newUpstream()
			up.answer <- tt.err
			cls := bwagent.NewCalls(bwagent.CallsConfig{
				Call:    up.call,
				NotSent: func(err error) bool { return errors.Is(err, errNotSent) },
				Leaving: func() bool { return tt.leaving },
			})
			if _, err := cls.Call(t.Context(), &bwwire.CallRequest{}); bwrpc.CodeOf(err) != tt.want {
				t.Errorf("got %v, want code %v", err, tt.want)
			}
		})
	}
}
