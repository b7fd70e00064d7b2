package bwrpc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/io/bwrpc"
)

type echoRequest struct {
	Text    string
	Address netip.AddrPort
	Wait    time.Duration
}

type echoResponse struct {
	Text    string
	Address netip.AddrPort
	Wait    time.Duration
}

const rejectedCode bwrpc.Code = 100

func startServer(t *testing.T) netip.AddrPort {
	t.Helper()
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	if err != nil {
		t.Fatal(err)
	}
	bwrpc.HandleUnary(srv, "Echo", func(_ context.Context, req *echoRequest) (*echoResponse, error) {
		if req.Text == "" {
			return nil, bwrpc.Errorf(rejectedCode, "text is empty")
		}
		return &echoResponse{Text: req.Text, Address: req.Address, Wait: req.Wait}, nil
	})
	bwrpc.HandleStream(srv, "Repeat", func(_ context.Context, stm *bwrpc.Stream[echoRequest, echoResponse]) error {
		for {
			req, err := stm.Recv()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			if err := stm.Send(&echoResponse{Text: req.Text}); err != nil {
				return err
			}
		}
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	call := &serveCall{srv: srv, lis: lis, done: make(chan error, 1)}
	go call.run(t.Context())
	return lis.Addr().(*net.TCPAddr).AddrPort()
}

type serveCall struct {
	srv  *bwrpc.Server
	lis  net.Listener
	done chan error
}

func (sc *serveCall) run(ctx context.Context) { sc.done <- sc.srv.Serve(ctx, sc.lis) }

// Guards against netip or time values that are lost or changed by the encoding.
func TestCallKeepsTypedValues(t *testing.T) {
	addr := startServer(t)
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	req := &echoRequest{Text: "ľúbivý ሰላም", Address: netip.MustParseAddrPort("[::1]:80"), Wait: 3 * time.Second}
	rsp, err := bwrpc.Call[echoRequest, echoResponse](t.Context(), cl, addr, "Echo", req)
	if err != nil {
		t.Fatal(err)
	}
	if rsp.Text != req.Text || rsp.Address != req.Address || rsp.Wait != req.Wait {
		t.Errorf("got %+v, want the values of %+v", rsp, req)
	}
}

// Guards against a rejection that the client reports as a broken connection. The
// caller would see "outcome unknown" instead of "not run".
func TestErrorCodes(t *testing.T) {
	addr := startServer(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := lis.Addr().(*net.TCPAddr).AddrPort()
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		addr   netip.AddrPort
		method string
		want   bwrpc.Code
	}{
		{"rejected by the handler", addr, "Echo", rejectedCode},
		{"no listener", closed, "Echo", bwrpc.Unreachable},
		{"no such method", addr, "Missing", bwrpc.UnknownMethod},
	}
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := bwrpc.Call[echoRequest, echoResponse](t.Context(), cl, tt.addr, tt.method, &echoRequest{})
			if got := bwrpc.CodeOf(err); got != tt.want {
				t.Errorf("got code %d (%v), want %d", got, err, tt.want)
			}
		})
	}
}

// Guards against lost or reordered messages of a stream.
func TestStreamOrder(t *testing.T) {
	addr := startServer(t)
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	stm, err := bwrpc.OpenStream[echoResponse, echoRequest](t.Context(), cl, addr, "Repeat")
	if err != nil {
		t.Fatal(err)
	}
	for _, txt := range []string{"a", "b", "c"} {
		if err := stm.Send(&echoRequest{Text: txt}); err != nil {
			t.Fatal(err)
		}
		rsp, err := stm.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if rsp.Text != txt {
			t.Errorf("got %q, want %q", rsp.Text, txt)
		}
	}
	if err := stm.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if _, err := stm.Recv(); !errors.Is(err, io.EOF) {
		t.Errorf("after CloseSend got %v, want io.EOF", err)
	}
}
