package bwgateway_test

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// noteLog collects the notes that a gateway sends about parts of prompts.
type noteLog struct {
	mu    sync.Mutex
	notes []bwforward.PeerNote
}

func (nlg *noteLog) add(nt bwforward.PeerNote) {
	nlg.mu.Lock()
	defer nlg.mu.Unlock()
	if nt.Kind.ReachesAll() {
		nlg.notes = append(nlg.notes, nt)
	}
}

func (nlg *noteLog) count(kind bwforward.PeerNoteKind) int {
	nlg.mu.Lock()
	defer nlg.mu.Unlock()
	count := 0
	for _, nt := range nlg.notes {
		if nt.Kind == kind {
			count++
		}
	}
	return count
}

// newQuarantineGateway returns a gateway with a number of engines that run a script,
// and its notes.
func newQuarantineGateway(t *testing.T, engines int, script func(*attempt), opts ...gatewayOption) (*testGateway, *noteLog) {
	t.Helper()
	nlg := new(noteLog)
	var engs []*fakeEngine
	for ix := range engines {
		engs = append(engs, newFakeEngine(t, bwmodel.UpstreamID("e"+strconv.Itoa(ix+1)), script))
	}
	opts = append(opts, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) { cfg.SendNote = nlg.add })
	return newGateway(t, engs, opts...), nlg
}

// slowCrash crashes an engine so much after it has the request that crashes count one
// by one.
func slowCrash(att *attempt) {
	time.Sleep(200 * time.Millisecond)
	att.crash()
}

// Guards against a stream that crashes as many engines as its route allows, against
// callers that come back to the same end, and against a refusal that says a prompt has
// not run although it has.
func TestDeadlyPromptIsRefused(t *testing.T) {
	announced := 0
	tg, nlg := newQuarantineGateway(t, 6, slowCrash, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
		cfg.OnQuarantine = func() { announced++ }
	})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt", partsHeader, "a dead")
	if rsp.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502 after runs", rsp.status)
	}
	if got := nlg.count(bwforward.CrashNote); got != 3 {
		t.Errorf("%d engines crashed, want 3", got)
	}
	if nlg.count(bwforward.QuarantineNote) != 1 || announced != 1 {
		t.Errorf("notes %+v, announced %d times", nlg.notes, announced)
	}
	rsp = tg.do(http.MethodPost, "/stream/x", "prompt", partsHeader, "dead b a")
	if wait, err := strconv.ParseFloat(rsp.header.Get(retryHeader), 64); rsp.status != http.StatusServiceUnavailable || err != nil || wait < 60 {
		t.Errorf("status %d, retry after %q, want 503 with the rest of the quarantine", rsp.status, rsp.header.Get(retryHeader))
	}
	if got := nlg.count(bwforward.CrashNote); got != 3 {
		t.Errorf("%d engines crashed after the refusal, want 3", got)
	}
}

// Guards against sound parts that are suspected since responses were lost, streams
// broke off later, or engines refused, failed or were silent.
func TestLostResponsesAreNoCrashes(t *testing.T) {
	tests := []struct {
		name   string
		script func(*attempt)
	}{
		{"response lost", func(*attempt) { time.Sleep(200 * time.Millisecond) }},
		{"connection reset", func(att *attempt) {
			time.Sleep(200 * time.Millisecond)
			att.reset()
		}},
		{"failed", func(att *attempt) { att.respond("500 Internal Server Error", "oops") }},
		{"not run", func(att *attempt) { att.respond("503 Service Unavailable", "", notRunHeader+": 1") }},
		{"broken off later", func(att *attempt) {
			att.beginStream()
			for id := att.resumeAfter() + 1; id < lastEventID; id++ {
				att.event(id)
				time.Sleep(100 * time.Millisecond)
			}
			att.crash()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tg, nlg := newQuarantineGateway(t, 6, tt.script)
			tg.do(http.MethodPost, "/stream/x", "prompt", partsHeader, "sound")
			if got := nlg.count(bwforward.CrashNote); got != 0 {
				t.Errorf("%d crashes were announced", got)
			}
		})
	}
}

// Guards against engines that restart so soon that their crash is not seen.
func TestCrashOfEngineThatRestartsAtOnce(t *testing.T) {
	tg, nlg := newQuarantineGateway(t, 6, (*attempt).reset, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
		cfg.Identify = func(context.Context, netip.AddrPort, string) (bwgateway.Identity, error) {
			return bwgateway.Identity{ID: "next"}, nil
		}
	})
	tg.do(http.MethodPost, "/stream/x", "prompt", partsHeader, "dead")
	if nlg.count(bwforward.CrashNote) == 0 {
		t.Error("no crash was announced")
	}
}

// Guards against prompts that wait at an engine, and crash it, although another
// gateway has announced that they will, and against one that is refused although
// another gateway serves it.
func TestNotesOfQuarantine(t *testing.T) {
	waiting := make(chan *attempt, 1)
	tg, nlg := newQuarantineGateway(t, 1, func(att *attempt) {
		waiting <- att
		<-att.closed
	})
	answer := make(chan response, 1)
	clr := &quarantineCaller{tg: tg, answer: answer}
	go clr.run()
	att := <-waiting
	tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.QuarantineNote, Parts: parts("dead"), Left: time.Minute})
	select {
	case <-att.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the prompt still waits at the engine")
	}
	if rsp := <-answer; rsp.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", rsp.status)
	}
	tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.ServedNote, Parts: parts("dead")})
	go clr.run()
	select {
	case <-waiting:
	case rsp := <-answer:
		t.Fatalf("status %d for a prompt that was cleared", rsp.status)
	}
	tg.gw.HandleNote(bwforward.PeerNote{Kind: bwforward.QuarantineNote, Parts: parts("dead other"), Left: bwforward.QuarantineTime})
	if got := nlg.count(bwforward.ServedNote); got != 1 || !slices.Equal(nlg.notes[0].Parts, parts("dead")) {
		t.Errorf("notes %+v, want one that the part is served", nlg.notes)
	}
}

// quarantineCaller sends a stream with the part dead.
type quarantineCaller struct {
	tg     *testGateway
	answer chan<- response
}

func (qcl *quarantineCaller) run() {
	qcl.answer <- qcl.tg.do(http.MethodPost, "/stream/x", "prompt", partsHeader, "dead")
}
