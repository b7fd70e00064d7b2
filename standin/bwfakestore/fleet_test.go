package bwfakestore_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakestore"
)

type rpcServer struct {
	srv *bwrpc.Server
	lis net.Listener
}

func (rps rpcServer) run(ctx context.Context) { _ = rps.srv.Serve(ctx, rps.lis) }

func listen(t *testing.T, count int) (listeners []net.Listener, addrs []netip.AddrPort) {
	t.Helper()
	for range count {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, lis)
		addrs = append(addrs, lis.Addr().(*net.TCPAddr).AddrPort())
	}
	return listeners, addrs
}

// Guards against an accepted ticket that is not disseminated to the processes that
// don't read the store.
func TestTicketReachesEveryProcess(t *testing.T) {
	platform := bwfakestore.New(bwfakestore.Config{})
	if err := platform.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	store, err := bwstore.New(bwstore.Config{
		Table: platform.TableAddress(), List: platform.ListAddress(), TableName: "t", Region: "r", AccessKey: "a", SecretKey: "s",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	client, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	listeners, seeds := listen(t, 6)
	var fleets []*bwfleet.Fleet
	var changes []<-chan struct{}
	for ix, lis := range listeners {
		role := bwmodel.RouterRole
		if ix >= 4 {
			role = bwmodel.AgentRole
		}
		fl, err := bwfleet.New(bwfleet.Config{
			Self: bwmodel.Member{
				ID: bwmodel.MemberID(fmt.Sprint("m", ix)), Incarnation: 1, Role: role, Zone: "Brezno", Address: seeds[ix],
			},
			Seeds: seeds, Store: bwfleet.NewStore(store), Peers: bwfleet.NewPeers(client),
		})
		if err != nil {
			t.Fatal(err)
		}
		srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
		if err != nil {
			t.Fatal(err)
		}
		fl.Register(srv)
		go rpcServer{srv: srv, lis: lis}.run(t.Context())
		changes = append(changes, fl.Subscribe())
		fl.Start(t.Context())
		fleets = append(fleets, fl)
	}
	doc := bwwire.TicketDocument{Number: 7, Services: []bwwire.ServiceDocument{{
		Name: "pisar-model", Kind: "Model", Class: "Prompt", QueueLimit: 10, Deadline: bwwire.DurationText(time.Second),
	}}}
	if _, err := fleets[5].SubmitTicket(t.Context(), doc); err != nil {
		t.Fatal(err)
	}
	for ix, fl := range fleets {
		for snap := fl.Snapshot(); snap.State.Number() < 7 || !snap.Ready; snap = fl.Snapshot() {
			<-changes[ix]
		}
	}
}
