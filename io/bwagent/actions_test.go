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
	errNotSent    = errors.New("not sent")
	errNoResponse = errors.New("no response")
)

// fakeUpstream is a plain service whose responses are taken from a channel.
type fakeUpstream struct {
	started   chan struct{}
	responses chan error
}

func newFakeUpstream() *fakeUpstream {
	return &fakeUpstream{started: make(chan struct{}, 8), responses: make(chan error, 8)}
}

func (up *fakeUpstream) runAction(ctx context.Context, _ string, _ bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	up.started <- struct{}{}
	select {
	case err := <-up.responses:
		return bwmodel.HTTPResponse{Status: 200, Body: []byte("paid")}, err
	case <-ctx.Done():
		return bwmodel.HTTPResponse{}, ctx.Err()
	}
}

func (up *fakeUpstream) call(ctx context.Context, _ bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	return up.runAction(ctx, "", bwmodel.HTTPRequest{})
}

func newActions(t *testing.T, cfg bwagent.ActionsConfig) *bwagent.Actions {
	t.Helper()
	cfg.Ledger = bwaction.LedgerConfig{Incarnation: actionIncarnation, Now: time.Now}
	cfg.NotSent = func(err error) bool { return errors.Is(err, errNotSent) }
	acts := bwagent.NewActions(cfg)
	acts.Start(t.Context())
	return acts
}

func newDispatchRequest(fence bwmodel.Fence) *bwwire.DispatchRequest {
	return &bwwire.DispatchRequest{Team: "t1", Key: "k1", Fence: fence, Incarnation: actionIncarnation, Expiry: 30 * time.Second}
}

func newSettleRequest(fence bwmodel.Fence) *bwwire.SettleRequest {
	return &bwwire.SettleRequest{Team: "t1", Key: "k1", Fence: fence, Incarnation: actionIncarnation, Expiry: 30 * time.Second}
}

// Guards against a refusal with a wrong code, which makes the router report a wrong
// outcome, and against a key that can't run anymore after nothing was sent.
func TestDispatchResults(t *testing.T) {
	up := newFakeUpstream()
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.runAction})
	up.responses <- errNotSent
	if _, err := acts.Dispatch(t.Context(), newDispatchRequest(1)); bwrpc.CodeOf(err) != bwwire.UpstreamUnreachable {
		t.Fatalf("nothing was sent: got %v, want code %v", err, bwwire.UpstreamUnreachable)
	}
	if _, err := acts.Dispatch(t.Context(), newDispatchRequest(1)); bwrpc.CodeOf(err) != bwwire.Stale {
		t.Fatalf("same fence again: got %v, want code %v", err, bwwire.Stale)
	}
	up.responses <- nil
	rsp, err := acts.Dispatch(t.Context(), newDispatchRequest(2))
	if err != nil || rsp.State != bwmodel.SettleDone || string(rsp.HTTP.Body) != "paid" {
		t.Fatalf("higher fence: got %+v, %v", rsp, err)
	}
	if _, err := acts.Dispatch(t.Context(), newDispatchRequest(3)); bwrpc.CodeOf(err) != bwwire.Duplicate {
		t.Fatalf("key that has run: got %v, want code %v", err, bwwire.Duplicate)
	}
}

// Guards against an action that is canceled, or whose result is lost, when the
// router that dispatched it disconnects.
func TestActionContinuesAfterRouterDisconnects(t *testing.T) {
	up := newFakeUpstream()
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.runAction})
	ctx, cancel := context.WithCancel(t.Context())
	job := &dispatchCall{acts: acts, ended: make(chan error, 1)}
	go job.run(ctx)
	<-up.started
	cancel()
	if err := <-job.ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("dispatch after its router disconnected: got %v, want a canceled context", err)
	}
	if stl, err := acts.Settle(t.Context(), newSettleRequest(2)); err != nil || stl.State != bwmodel.SettleRunning {
		t.Fatalf("settle while the action runs: got %+v, %v", stl, err)
	}
	up.responses <- nil
	for {
		stl, err := acts.Settle(t.Context(), newSettleRequest(2))
		if err != nil {
			t.Fatal(err)
		}
		if stl.State == bwmodel.SettleDone {
			break
		}
	}
}

// dispatchCall is one dispatch in progress.
type dispatchCall struct {
	acts  *bwagent.Actions
	ended chan error
}

func (dsp *dispatchCall) run(ctx context.Context) {
	_, err := dsp.acts.Dispatch(ctx, newDispatchRequest(1))
	dsp.ended <- err
}

// Guards against an upstream that never accepts actions again after its drain was
// canceled by a later ticket.
func TestActionsAfterAnUndoneDrain(t *testing.T) {
	up := newFakeUpstream()
	leaving := true
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.runAction, Leaving: func() bool { return leaving }})
	if _, err := acts.Dispatch(t.Context(), newDispatchRequest(1)); bwrpc.CodeOf(err) != bwwire.Leaving {
		t.Fatalf("while leaving: got %v, want code %v", err, bwwire.Leaving)
	}
	leaving = false
	up.responses <- nil
	if rsp, err := acts.Dispatch(t.Context(), newDispatchRequest(1)); err != nil || rsp.State != bwmodel.SettleDone {
		t.Fatalf("after the drain was canceled: got %+v, %v", rsp, err)
	}
}

// Guards against more concurrent actions at the upstream than it has slots.
func TestSlotsLimitActions(t *testing.T) {
	up := newFakeUpstream()
	acts := newActions(t, bwagent.ActionsConfig{RunAction: up.runAction, Slots: 1})
	job := &dispatchCall{acts: acts, ended: make(chan error, 1)}
	go job.run(t.Context())
	<-up.started
	second := newDispatchRequest(1)
	second.Key = "k2"
	if _, err := acts.Dispatch(t.Context(), second); bwrpc.CodeOf(err) != bwwire.Overloaded {
		t.Fatalf("second action while the first runs: got %v, want code %v", err, bwwire.Overloaded)
	}
	up.responses <- nil
	if err := <-job.ended; err != nil {
		t.Fatal(err)
	}
	up.responses <- nil
	if _, err := acts.Dispatch(t.Context(), second); err != nil {
		t.Fatalf("second action after the end of the first: %v", err)
	}
}

// Guards against a failed call with a wrong code, which makes the router charge its
// retry budget although nothing was sent, or retry without a charge although the
// upstream may have run the call.
func TestCallErrorCodes(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		leaving bool
		want    bwrpc.Code
	}{
		{"not sent", errNotSent, false, bwwire.UpstreamUnreachable},
		{"no response", errNoResponse, false, bwwire.UpstreamFailed},
		{"leaving", nil, true, bwwire.Leaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			up := newFakeUpstream()
			up.responses <- tt.err
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
