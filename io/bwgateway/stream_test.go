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

const lastPiece = 8

// whole is the answer without faults.
func whole(from int) string {
	var text strings.Builder
	for id := from; id <= lastPiece; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

// rest sends the events after the last one that the request names.
func rest(vst *visit) {
	vst.beginStream()
	for id := vst.after() + 1; id <= lastPiece; id++ {
		vst.event(id)
	}
	vst.endStream()
}

// upTo sends events, and then what a fault does.
func upTo(last int, fault func(*visit)) func(*visit) {
	return func(vst *visit) {
		vst.beginStream()
		for id := vst.after() + 1; id <= last; id++ {
			vst.event(id)
		}
		fault(vst)
	}
}

// Guards against pieces that are missing, repeated, torn or out of order when
// an engine is lost in the middle of a stream.
func TestStreamGoesOn(t *testing.T) {
	silence := func(vst *visit) { <-vst.closed }
	tests := []struct {
		name  string
		first func(*visit)
	}{
		{"reset before the head", (*visit).reset},
		{"closed", upTo(3, func(*visit) {})},
		{"reset", upTo(3, func(vst *visit) {
			time.Sleep(20 * time.Millisecond)
			vst.reset()
		})},
		{"torn event", upTo(3, func(vst *visit) { vst.chunk("id: 4\ndata: pi") })},
		{"event twice", upTo(3, func(vst *visit) { vst.event(3) })},
		{"event left out", upTo(3, func(vst *visit) { vst.event(5) })},
		{"event without an ID", upTo(3, func(vst *visit) { vst.chunk("data: piece 4\n\n") })},
		{"silent before the first event", func(vst *visit) { <-vst.closed }},
		{"silent", upTo(3, silence)},
		{"failed", func(vst *visit) { vst.answer("500 Internal Server Error", "oops") }},
		{"not run", func(vst *visit) { vst.answer("503 Service Unavailable", "", notRunHeader+": 1") }},
		{"other upstream", func(vst *visit) { vst.answer("421 Misdirected Request", "", otherHeader+": 1") }},
		{"last event and no end", upTo(lastPiece, func(*visit) {})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newEngine(t, "e1", tt.first), newEngine(t, "e2", rest)
			tg := newGateway(t, []*engine{first, second})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.status != http.StatusOK || rsp.body != whole(1) {
				t.Errorf("status %d, error %v, body\n%s", rsp.status, rsp.err, rsp.body)
			}
			if second.count() != 1 || second.first().body != "prompt" {
				t.Errorf("second engine has %d requests, want 1", second.count())
			}
		})
	}
}

// Guards against a stream that may not be resumed and runs twice, and against
// an end that looks whole.
func TestStreamNotResumable(t *testing.T) {
	second := newEngine(t, "e2", rest)
	tg := newGateway(t, []*engine{newEngine(t, "e1", upTo(3, func(*visit) {})), second}, func(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) {
		cfg.Routes[2].Resumable = false
	})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.err == nil || second.count() != 0 {
		t.Errorf("error %v and %d requests at the second engine, want a broken answer and none", rsp.err, second.count())
	}
}

// Guards against a stream without framing whose engine has died and that is
// passed on as whole, and against one that is whole and is not.
func TestStreamWithoutFraming(t *testing.T) {
	for _, dies := range []bool{false, true} {
		t.Run(fmt.Sprintf("dies %v", dies), func(t *testing.T) {
			var first *engine
			first = newEngine(t, "e1", func(vst *visit) {
				vst.head("200 OK")
				last := lastPiece
				if dies {
					last = 3
					_ = first.lis.Close()
				}
				for id := 1; id <= last; id++ {
					vst.send(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id))
				}
			})
			tg := newGateway(t, []*engine{first, newEngine(t, "e2", rest)})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.body != whole(1) {
				t.Errorf("error %v, body\n%s", rsp.err, rsp.body)
			}
		})
	}
}

// Guards against an engine that repeats what the caller has and loses its
// stream for that, though it sends the rest too.
func TestRepeatedEventsAreDropped(t *testing.T) {
	first := newEngine(t, "e1", func(vst *visit) {
		vst.beginStream()
		for _, id := range []int{1, 2, 3, 2, 3, 4, 5, 6, 7, 8} {
			vst.event(id)
		}
		vst.endStream()
	})
	second := newEngine(t, "e2", rest)
	tg := newGateway(t, []*engine{first, second})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.err != nil || rsp.body != whole(1) || second.count() != 0 {
		t.Errorf("error %v, %d requests at the second engine, body\n%s", rsp.err, second.count(), rsp.body)
	}
}

// Guards against a caller's own resume that starts over.
func TestCallerResumes(t *testing.T) {
	eng := newEngine(t, "e1", rest)
	tg := newGateway(t, []*engine{eng})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt", lastHeader, "5")
	if rsp.err != nil || rsp.body != whole(6) {
		t.Errorf("error %v, body\n%s", rsp.err, rsp.body)
	}
}

// Guards against an engine that is only slow and loses its stream, which makes
// another one read the prompt for nothing.
func TestSlowEngineKeepsItsStream(t *testing.T) {
	slow := newEngine(t, "e1", func(vst *visit) {
		vst.beginStream()
		vst.event(1)
		time.Sleep(400 * time.Millisecond)
		for id := 2; id <= lastPiece; id++ {
			vst.event(id)
		}
		vst.endStream()
	})
	other := newEngine(t, "e2", rest)
	tg := newGateway(t, []*engine{slow, other})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.body != whole(1) || other.count() != 0 {
		t.Errorf("%d requests at the other engine, body\n%s", other.count(), rsp.body)
	}
}

// darkAddress makes connections to an address fail as those to a VM without
// power do.
type darkAddress struct {
	addr netip.AddrPort
	dark atomic.Bool
}

func (drk *darkAddress) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if addr == drk.addr && drk.dark.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var dlr net.Dialer
	return dlr.DialContext(ctx, "tcp4", addr.String())
}

// Guards against a pause that grows because a VM without power is waited for,
// and against a copy of the run that is not used.
func TestDarkEngineIsLeftForItsCopy(t *testing.T) {
	drk := new(darkAddress)
	first := newEngine(t, "e1", upTo(3, func(vst *visit) {
		drk.dark.Store(true)
		<-vst.closed
	}))
	drk.addr = first.upstream().Address
	second := newEngine(t, "e2", rest)
	tg := newGateway(t, []*engine{first, second}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) { cfg.Dial = drk.dial })
	begun := time.Now()
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
	if rsp.err != nil || rsp.body != whole(1) {
		t.Fatalf("error %v, body\n%s", rsp.err, rsp.body)
	}
	// An engine that takes connections would be waited for 800 ms.
	if took := time.Since(begun); took > 600*time.Millisecond {
		t.Errorf("the stream went on after %v", took)
	}
	if got, want := first.first().req.Header.Get(copyToHeader), second.upstream().Address.String(); got != want {
		t.Errorf("copy ordered to %q, want %q", got, want)
	}
	if got, want := second.first().req.Header.Get(copyHeader), second.upstream().Address.String()+"/r1"; got != want {
		t.Errorf("went on from %q, want %q", got, want)
	}
}

// Guards against a run whose copy ended with its engine, and that is not copied
// again: the engine has left the list, or another gateway has seen it fail.
func TestLostCopyIsMadeAgain(t *testing.T) {
	tests := []struct {
		name string
		lose func(*bwforward.Pool, []*engine, *engine)
	}{
		{"left the list", leaveList},
		{"failed", func(pool *bwforward.Pool, _ []*engine, lost *engine) {
			pool.ApplyNote(bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: lost.id})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ordered := make(chan netip.AddrPort, 1)
			var pool *bwforward.Pool
			var engines []*engine
			first := newEngine(t, "e1", func(vst *visit) {
				vst.beginStream()
				vst.event(1)
				for _, eng := range engines {
					if eng.upstream().Address.String() == vst.req.Header.Get(copyToHeader) {
						tt.lose(pool, engines, eng)
					}
				}
				vst.event(2)
				<-ordered
				time.Sleep(50 * time.Millisecond)
				vst.event(3)
				vst.reset()
			})
			engines = []*engine{first, newEngine(t, "e2", rest), newEngine(t, "e3", rest)}
			tg := newGateway(t, engines, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
				pool = cfg.Pool
				cfg.CopyKVCache = func(_ context.Context, _, target netip.AddrPort, request string) (string, error) {
					if request != "r1" {
						return "", errors.New("unknown request")
					}
					ordered <- target
					return "copy-1", nil
				}
			})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.body != whole(1) {
				t.Fatalf("error %v, body\n%s", rsp.err, rsp.body)
			}
			if used := usedCopy(engines[1:]); used != "copy-1" {
				t.Errorf("went on from copy %q, want copy-1", used)
			}
		})
	}
}

// leaveList takes an engine off the list of all.
func leaveList(pool *bwforward.Pool, engines []*engine, lost *engine) {
	var left []bwforward.Upstream
	for _, eng := range engines {
		if eng != lost {
			left = append(left, eng.upstream())
		}
	}
	pool.Update(left)
}

// usedCopy returns the copy that the last of the engines with a request got.
func usedCopy(engines []*engine) string {
	used := ""
	for _, eng := range engines {
		if eng.count() > 0 {
			used = eng.first().req.Header.Get(copyHeader)
		}
	}
	return used
}

// Guards against prompts that are read for callers who can't get an answer any more.
func TestTooLateForThePrompt(t *testing.T) {
	eng := newEngine(t, "e1", rest)
	tg := newGateway(t, []*engine{eng})
	rsp := tg.do(http.MethodPost, "/stream/x", "prompt", leftHeader, "30")
	if rsp.status != http.StatusServiceUnavailable || eng.count() != 0 {
		t.Errorf("status %d and %d requests at the engine, want 503 and none", rsp.status, eng.count())
	}
}

// Guards against an engine that started again under another ID and is unknown
// while the list of upstreams is away.
func TestSuccessorIsIdentified(t *testing.T) {
	found := make(chan bwgateway.Identity, 1)
	first := newEngine(t, "e1", func(vst *visit) { vst.answer("421 Misdirected Request", "", otherHeader+": 1") })
	tg := newGateway(t, []*engine{first, newEngine(t, "e2", rest)}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
		cfg.ListUnavailable = func() bool { return true }
		cfg.Identify = func(_ context.Context, addr netip.AddrPort, _ string) (bwgateway.Identity, error) {
			if addr != first.upstream().Address {
				return bwgateway.Identity{}, errors.New("unknown address")
			}
			return bwgateway.Identity{ID: "e9", Slots: 8}, nil
		}
		cfg.OnSuccessor = func(_ context.Context, old bwforward.Upstream, idy bwgateway.Identity) {
			if old.ID == "e1" {
				found <- idy
			}
		}
	})
	tg.do(http.MethodPost, "/stream/x", "prompt")
	select {
	case idy := <-found:
		if idy.ID != "e9" {
			t.Errorf("identified as %s", idy.ID)
		}
	case <-time.After(5 * time.Second):
		t.Error("the upstream that refused was not asked who it is")
	}
}
