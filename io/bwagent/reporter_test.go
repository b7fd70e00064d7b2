package bwagent_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// rpcServer serves a bwrpc.Server on a loopback listener.
type rpcServer struct {
	srv *bwrpc.Server
	lis net.Listener
}

func (rps *rpcServer) run(ctx context.Context) { _ = rps.srv.Serve(ctx, rps.lis) }

func serve(t *testing.T, srv *bwrpc.Server) netip.AddrPort {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rps := &rpcServer{srv: srv, lis: lis}
	go rps.run(t.Context())
	return lis.Addr().(*net.TCPAddr).AddrPort()
}

func newServer(t *testing.T) *bwrpc.Server {
	t.Helper()
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

func newClient(t *testing.T) *bwrpc.Client {
	t.Helper()
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	return cl
}

// Guards against a router that receives an upstream's leaving state only with the
// next periodic report: the interval here is an hour.
func TestLeavingIsReportedAtOnce(t *testing.T) {
	rep := bwagent.NewReporter(bwagent.ReporterConfig{
		Upstream: "pisar-1",
		Service:  "pisar-model",
		Interval: time.Hour,
		ReadLoad: func(context.Context) (bwmodel.LoadReport, error) {
			return bwmodel.LoadReport{Slots: 4}, nil
		},
		ReadCacheEvents: func(_ context.Context, after uint64) ([]bwmodel.CacheEvent, error) {
			return []bwmodel.CacheEvent{{Sequence: after + 1, Block: 7}}, nil
		},
		StateNumber: func() bwmodel.TicketNumber { return 3 },
	})
	srv := newServer(t)
	rep.Register(srv)
	rep.Start(t.Context())
	addr := serve(t, srv)
	stm, err := bwrpc.OpenStream[bwwire.AgentStatusEvent, bwwire.StatusRequest](t.Context(), newClient(t), addr, bwwire.AgentStatus)
	if err != nil {
		t.Fatal(err)
	}
	if err := stm.Send(&bwwire.StatusRequest{From: "router-1"}); err != nil {
		t.Fatal(err)
	}
	first, err := stm.Recv()
	if err != nil {
		t.Fatal(err)
	}
	if first.Member == nil || first.Member.Leaving || first.StateNumber != 3 {
		t.Errorf("first report is %+v, want not leaving and state number 3", first)
	}
	if err := rep.SetLeaving(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	second, err := stm.Recv()
	if err != nil {
		t.Fatal(err)
	}
	if second.Member == nil || !second.Member.Leaving {
		t.Errorf("second report is %+v, want leaving", second)
	}
	if second.Clock < first.Clock {
		t.Errorf("clock decreased from %v to %v", first.Clock, second.Clock)
	}
}

// Guards against a gap in the sequence numbers of cache events that is lost when they
// are grouped into runs, and against evictions that are decoded as stored blocks.
func TestCacheRunsKeepEveryEvent(t *testing.T) {
	events := []bwmodel.CacheEvent{
		{Sequence: 4, Block: 10},
		{Sequence: 5, Block: 11, Evicted: true},
		{Sequence: 9, Block: 12},
		{Sequence: 10, Block: 10, Evicted: true},
	}
	runs := bwwire.NewCacheRuns(events)
	if len(runs) != 2 {
		t.Errorf("got %d runs, want 2: the sequence numbers have one gap", len(runs))
	}
	if got := bwwire.CacheEvents(runs); !slices.Equal(got, events) {
		t.Errorf("got %+v, want %+v", got, events)
	}
}
