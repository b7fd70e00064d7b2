package bwfakestore_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwstore"
	"bilberrywick/standin/bwfakestore"
)

func startServer(t *testing.T) (*bwfakestore.Server, *bwstore.Client) {
	t.Helper()
	srv := bwfakestore.New(bwfakestore.Config{PageBytes: 200})
	if err := srv.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	cl, err := bwstore.New(bwstore.Config{
		Table: srv.TableAddress(), Objects: srv.ObjectsAddress(), List: srv.ListAddress(),
		Region: "sk-stred", AccessKey: "a", SecretKey: "s", TableName: "t", Bucket: "b", Timeout: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.Close)
	return srv, cl
}

// Guards against differences between the clients and the stand-in in one of the
// three protocols.
func TestProtocols(t *testing.T) {
	srv, cl := startServer(t)
	ctx := t.Context()
	key := bwstore.Key{Partition: "P", Sort: "s1"}
	if row, err := cl.Table.Get(ctx, key); err != nil || row != nil {
		t.Fatalf("got %v, %v, want no row", row, err)
	}
	if err := cl.Table.Insert(ctx, bwstore.Row{Key: key, Version: 1, Body: []byte("ľ")}); err != nil {
		t.Fatal(err)
	}
	err := cl.Table.Insert(ctx, bwstore.Row{Key: key, Version: 1, Body: []byte("x")})
	var conflict *bwstore.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Failed) != 1 {
		t.Errorf("second insert: got %v, want a conflict", err)
	}
	if err := cl.Table.Replace(ctx, 1, bwstore.Row{Key: key, Version: 2, Body: []byte("m")}); err != nil {
		t.Error(err)
	}
	if err := cl.Table.Replace(ctx, 1, bwstore.Row{Key: key, Version: 2, Body: []byte("n")}); !errors.Is(err, bwstore.ErrConflict) {
		t.Errorf("replace of a stale version: got %v, want a conflict", err)
	}
	if err := cl.Objects.Put(ctx, "a/b", []byte("text")); err != nil {
		t.Fatal(err)
	}
	if body, err := cl.Objects.Get(ctx, "a/b"); err != nil || string(body) != "text" {
		t.Errorf("object: got %q, %v", body, err)
	}
	if body, err := cl.Objects.Get(ctx, "none"); err != nil || body != nil {
		t.Errorf("missing object: got %q, %v", body, err)
	}
	mem := bwmodel.Member{ID: "r1", Role: bwmodel.RouterRole, Zone: "Brezno", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	srv.SetMembers([]bwmodel.Member{mem})
	if got, err := cl.List.Members(ctx); err != nil || len(got) != 1 || got[0] != mem {
		t.Errorf("list: got %v, %v", got, err)
	}
}
