package bwgateway_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

const lastEventID = 8

// expectedBody returns the body of a stream without failures, from an event on.
func expectedBody(from int) string {
	var text strings.Builder
	for id := from; id <= lastEventID; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

// sendRemaining sends the events after the last event ID of the request.
func sendRemaining(att *attempt) {
	att.beginStream()
	for id := att.resumeAfter() + 1; id <= lastEventID; id++ {
		att.event(id)
	}
	att.endStream()
}

// sendUpTo returns a script that sends the events up to last and then runs fault.
func sendUpTo(last int, fault func(*attempt)) func(*attempt) {
	return func(att *attempt) {
		att.beginStream()
		for id := att.resumeAfter() + 1; id <= last; id++ {
			att.event(id)
		}
		fault(att)
	}
}

// Guards against events that are missing, repeated, truncated or out of order
// when an engine fails in the middle of a stream.
func TestStreamResumesOnOtherEngine(t *testing.T) {
	unresponsive := func(att *attempt) { <-att.closed }
	tests := []struct {
		name  string
		first func(*attempt)
	}{
		{"reset before the header", (*attempt).reset},
		{"closed", sendUpTo(3, func(*attempt) {})},
		{"reset", sendUpTo(3, func(att *attempt) {
			time.Sleep(20 * time.Millisecond)
			att.reset()
		})},
		{"truncated event", sendUpTo(3, func(att *attempt) { att.chunk("id: 4\ndata: pi") })},
		{"event repeated", sendUpTo(3, func(att *attempt) { att.event(3) })},
		{"event skipped", sendUpTo(3, func(att *attempt) { att.event(5) })},
		{"event without an ID", sendUpTo(3, func(att *attempt) { att.chunk("data: piece 4\n\n") })},
		{"silent before the first event", func(att *attempt) { <-att.closed }},
		{"silent", sendUpTo(3, unresponsive)},
		{"failed", func(att *attempt) { att.respond("500 Internal Server Error", "oops") }},
		{"not run", func(att *attempt) { att.respond("503 Service Unavailable", "", notRunHeader+": 1") }},
		{"other upstream", func(att *attempt) { att.respond("421 Misdirected Request", "", responderHeader+": e9") }},
		{"last event without the end of the stream", sendUpTo(lastEventID, func(*attempt) {})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newFakeEngine(t, "e1", tt.first), newFakeEngine(t, "e2", sendRemaining)
			tg := newGateway(t, []*fakeEngine{first, second})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.status != http.StatusOK || rsp.body != expectedBody(1) {
				t.Errorf("status %d, error %v, body\n%s", rsp.status, rsp.err, rsp.body)
			}
			if second.count() != 1 || second.firstAttempt().body != "prompt" {
				t.Errorf("the second engine received %d requests, want 1", second.count())
			}
		})
	}
}

// Guards against running a non-resumable stream twice, and against a failed
// one that looks complete.
func TestStreamNotResumable(t *testing.T) {
	second := newFakeEngine(t, "e2", sendRemaining)
	tg := newGateway(t, []*fakeEngine{newFakeEngine(t, "e1", sendUpTo(3, func(*attempt) {})), second}, func(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) {
		cfg.Routes[2].Resumable = false
	})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.err == nil || second.count() != 0 {
		t.Errorf("error %v and %d requests at the second engine, want a broken response and none", rsp.err, second.count())
	}
}

// Guards against a stream without framing that is forwarded as complete
// although its engine crashed, and against one that is treated as incomplete
// although it is complete.
func TestStreamWithoutFraming(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprintf("crashes %v", crashes), func(t *testing.T) {
			var first *fakeEngine
			first = newFakeEngine(t, "e1", func(att *attempt) {
				att.sendHeader("200 OK")
				last := lastEventID
				if crashes {
					last = 3
					_ = first.lis.Close()
				}
				for id := 1; id <= last; id++ {
					att.send(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id))
				}
			})
			tg := newGateway(t, []*fakeEngine{first, newFakeEngine(t, "e2", sendRemaining)})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.body != expectedBody(1) {
				t.Errorf("error %v, body\n%s", rsp.err, rsp.body)
			}
		})
	}
}

// Guards against giving up on an engine that repeats events which the caller
// already has and then sends the rest.
func TestRepeatedEventsAreDropped(t *testing.T) {
	first := newFakeEngine(t, "e1", func(att *attempt) {
		att.beginStream()
		for _, id := range []int{1, 2, 3, 2, 3, 4, 5, 6, 7, 8} {
			att.event(id)
		}
		att.endStream()
	})
	second := newFakeEngine(t, "e2", sendRemaining)
	tg := newGateway(t, []*fakeEngine{first, second})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.err != nil || rsp.body != expectedBody(1) || second.count() != 0 {
		t.Errorf("error %v, %d requests at the second engine, body\n%s", rsp.err, second.count(), rsp.body)
	}
}

// Guards against a stream that starts over although the caller's request resumes one.
func TestCallerResumes(t *testing.T) {
	eng := newFakeEngine(t, "e1", sendRemaining)
	tg := newGateway(t, []*fakeEngine{eng})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt", lastEventHeader, "5")
	if rsp.err != nil || rsp.body != expectedBody(6) {
		t.Errorf("error %v, body\n%s", rsp.err, rsp.body)
	}
}

// Guards against giving up on an engine that is only slow, which causes a
// needless prefill on another one.
func TestSlowEngineKeepsItsStream(t *testing.T) {
	slow := newFakeEngine(t, "e1", func(att *attempt) {
		att.beginStream()
		att.event(1)
		time.Sleep(400 * time.Millisecond)
		for id := 2; id <= lastEventID; id++ {
			att.event(id)
		}
		att.endStream()
	})
	other := newFakeEngine(t, "e2", sendRemaining)
	tg := newGateway(t, []*fakeEngine{slow, other})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.body != expectedBody(1) || other.count() != 0 {
		t.Errorf("%d requests at the other engine, body\n%s", other.count(), rsp.body)
	}
}

// unreachableAddress makes connections to an address time out, as those to a VM
// without power do.
type unreachableAddress struct {
	addr        netip.AddrPort
	unreachable atomic.Bool
}

func (una *unreachableAddress) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if addr == una.addr && una.unreachable.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var dlr net.Dialer
	return dlr.DialContext(ctx, "tcp4", addr.String())
}

// Guards against a long pause in a stream because the gateway waits for a VM
// without power, and against not using the KV cache copy.
func TestUnreachableEngineIsReplacedByBackup(t *testing.T) {
	una := new(unreachableAddress)
	first := newFakeEngine(t, "e1", sendUpTo(3, func(att *attempt) {
		una.unreachable.Store(true)
		<-att.closed
	}))
	una.addr = first.upstream().Address
	second := newFakeEngine(t, "e2", sendRemaining)
	tg := newGateway(t, []*fakeEngine{first, second}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) { cfg.Dial = una.dial })
	startedAt := time.Now()
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.err != nil || rsp.body != expectedBody(1) {
		t.Fatalf("error %v, body\n%s", rsp.err, rsp.body)
	}
	// For an engine that accepts connections the gateway would wait 800 ms.
	if took := time.Since(startedAt); took > 600*time.Millisecond {
		t.Errorf("the stream took %v, want at most 600 ms", took)
	}
	if got, want := first.firstAttempt().req.Header.Get(copyTargetHeader), second.upstream().Address.String(); got != want {
		t.Errorf("copy target %q, want %q", got, want)
	}
	if got, want := second.firstAttempt().req.Header.Get(copyHeader), second.upstream().Address.String()+"/r1"; got != want {
		t.Errorf("resumed from copy %q, want %q", got, want)
	}
}

// Guards against a generation that is not copied again after the engine with
// its copy has left the list, or after another gateway has reported that
// engine as failed; and against one that stays without a copy, or with one in its own
// zone, since no other engine was known when it began.
func TestLostCopyIsRecreated(t *testing.T) {
	knowAll := func(pool *bwforward.Pool, engines []*fakeEngine, _ *fakeEngine) { removeFromPool(pool, engines, nil) }
	tests := []struct {
		name string
		// known is the number of engines that are known when the stream begins; two are of
		// one zone.
		known    int
		loseCopy func(pool *bwforward.Pool, engines []*fakeEngine, lost *fakeEngine)
	}{
		{"left the list", 3, removeFromPool},
		{"failed", 3, func(pool *bwforward.Pool, _ []*fakeEngine, lost *fakeEngine) {
			pool.ApplyNote(bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: lost.id})
		}},
		{"no engine was known", 1, knowAll},
		{"no engine of another zone was known", 2, knowAll},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			copyTargets := make(chan netip.AddrPort, 1)
			var pool *bwforward.Pool
			var engines []*fakeEngine
			first := newFakeEngine(t, "e1", func(att *attempt) {
				att.beginStream()
				att.event(1)
				var lost *fakeEngine
				for _, eng := range engines {
					if eng.upstream().Address.String() == att.req.Header.Get(copyTargetHeader) {
						lost = eng
					}
				}
				tt.loseCopy(pool, engines, lost)
				id := 2
				for ; len(copyTargets) == 0 && id < lastEventID-1; id++ {
					att.event(id)
					time.Sleep(300 * time.Millisecond)
				}
				att.event(id)
				att.reset()
			})
			engines = []*fakeEngine{first, newFakeEngine(t, "e2", sendRemaining), newFakeEngine(t, "e3", sendRemaining)}
			if tt.known == 2 {
				engines[1].zone = first.zone
			}
			tg := newGateway(t, engines, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
				pool = cfg.Pool
				cfg.CopyKVCache = func(_ context.Context, _, target netip.AddrPort, request string) (string, error) {
					if request != "r1" {
						return "", errors.New("unknown request")
					}
					copyTargets <- target
					return "copy-1", nil
				}
			})
			removeFromPool(pool, engines[:tt.known], nil)
			// The stream begins at the first engine.
			pool.ApplyNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e2", Prompt: 8000})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.body != expectedBody(1) {
				t.Fatalf("error %v, body\n%s", rsp.err, rsp.body)
			}
			if used := usedCopy(engines[1:]); used != "copy-1" {
				t.Errorf("resumed from copy %q, want copy-1", used)
			}
			if target := engines[2].upstream().Address; tt.known == 2 && (len(copyTargets) == 0 || <-copyTargets != target) {
				t.Errorf("no copy at the engine of another zone, %v", target)
			}
		})
	}
}

// removeFromPool removes an engine from the pool, which has the others then.
func removeFromPool(pool *bwforward.Pool, engines []*fakeEngine, lost *fakeEngine) {
	var remaining []bwforward.Upstream
	for _, eng := range engines {
		if eng != lost {
			remaining = append(remaining, eng.upstream())
		}
	}
	pool.Update(remaining)
}

// usedCopy returns the copy name that the last engine with a request received.
func usedCopy(engines []*fakeEngine) string {
	used := ""
	for _, eng := range engines {
		if eng.count() > 0 {
			used = eng.firstAttempt().req.Header.Get(copyHeader)
		}
	}
	return used
}

// Guards against prefills for callers whose remaining time is too short.
func TestStreamWithTooLittleTimeIsRefused(t *testing.T) {
	eng := newFakeEngine(t, "e1", sendRemaining)
	tg := newGateway(t, []*fakeEngine{eng})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt", timeoutHeader, "30")
	if rsp.status != http.StatusServiceUnavailable || eng.count() != 0 {
		t.Errorf("status %d and %d requests at the engine, want 503 and none", rsp.status, eng.count())
	}
}
