package bwfakeapp_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwstore"
	"bilberrywick/standin/bwfakeserver"
)

const (
	clientTimeout = 20 * time.Second
	// firstChunk and lastChunk are events of a generation.
	firstChunk = `data: {"choices":[{"token_ids":[],"logprobs":{"content":[]}}]}` + "\n\n"
	lastChunk  = `data: {"choices":[{"token_ids":[],"finish_reason":"stop","logprobs":{"content":[]}}]}` + "\n\n"
)

var errOutcomeUnknown = errors.New("outcome of the action is unknown")

func engineClient(addr netip.AddrPort) *bwengine.EngineClient {
	return bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: addr, ReportTimeout: clientTimeout, OrderTimeout: clientTimeout})
}

func storeClient(addr netip.AddrPort) *bwstore.Client {
	// A configuration with an error would have no clients, which fails each operation.
	cl, _ := bwstore.New(bwstore.Config{Table: addr, Objects: addr, List: addr, Region: "r", AccessKey: "a", SecretKey: "s", TableName: "t", Bucket: "b", Timeout: clientTimeout})
	return cl
}

// failure drops the result of an operation.
func failure[T any](_ T, err error) error { return err }

// clientOperations has all operations of the product's HTTP clients. Failed means for each
// that the request may have been executed and has no valid response.
func clientOperations(t *testing.T) []bwfakeserver.Operation {
	ctx, request := t.Context(), bwmodel.HTTPRequest{Method: http.MethodGet, Path: "/x"}
	service := func(addr netip.AddrPort) *bwengine.ServiceClient {
		return bwengine.NewServiceClient(bwengine.ServiceClientConfig{Address: addr})
	}
	text := func(body string) bwfakeserver.Content { return bwfakeserver.Content{Body: body} }
	return []bwfakeserver.Operation{
		{Name: "service call", Content: text("whole"), Failed: hasNoResponse, Send: func(addr netip.AddrPort, _ string) error { return failure(service(addr).Call(ctx, request)) }},
		{Name: "service action", Content: text("whole"), Uploads: true, Failed: hasNoResponse, Send: func(addr netip.AddrPort, payload string) error {
			return failure(service(addr).RunAction(ctx, "k1", bwmodel.HTTPRequest{Method: http.MethodPost, Path: "/x", Body: []byte(payload)}))
		}},
		{Name: "call through router and agent", Content: text("whole"), Failed: isUnknown, Send: func(addr netip.AddrPort, _ string) (err error) {
			t.Run("call", func(t *testing.T) {
				err = outcomeError(startStackAt(t, addr).send(t, http.MethodGet, "/v1/services/desk/calls/permits/12", "", ""))
			})
			return err
		}},
		{Name: "action through router and agent", Content: text("whole"), Uploads: true, Failed: isUnknown, Send: func(addr netip.AddrPort, payload string) (err error) {
			t.Run("action", func(t *testing.T) { err = sendThrice(t, startStackAt(t, addr), payload) })
			return err
		}},
		{Name: "generation", Content: text(lastChunk), Part: firstChunk, Uploads: true, Failed: isEngineFailure, Send: func(addr netip.AddrPort, payload string) error { return generate(ctx, addr, payload) }},
		{Name: "load report", Content: text("{}"), Failed: isEngineFailure, Send: func(addr netip.AddrPort, _ string) error { return failure(engineClient(addr).ReadLoad(ctx)) }},
		{Name: "order", Content: text("done"), Uploads: true, Failed: isEngineFailure, Send: func(addr netip.AddrPort, payload string) error {
			return engineClient(addr).SendOrder(ctx, bwengine.Order{Load: payload})
		}},
		{Name: "administration", Content: text("{}"), Uploads: true, Failed: hasNoStatus, Send: func(addr netip.AddrPort, payload string) error {
			return failure(bwhttp.Post[struct{}](ctx, bwhttp.NewClient(bwhttp.ClientConfig{Address: addr, Timeout: clientTimeout}), "/x", nil, payload))
		}},
		{Name: "list of VMs", Content: text(`{"VMs":[]}`), Failed: isUnavailable, Send: func(addr netip.AddrPort, _ string) error { return failure(storeClient(addr).List.Members(ctx)) }},
		{Name: "table, read", Content: text("{}"), Failed: isUnavailable, Send: func(addr netip.AddrPort, _ string) error { return failure(storeClient(addr).Table.Query(ctx, "p", "")) }},
		{Name: "table, write", Content: text("{}"), Uploads: true, Failed: isUnknown, Send: func(addr netip.AddrPort, payload string) error {
			return storeClient(addr).Table.Write(ctx, tableWrites(payload)...)
		}},
		{Name: "object, read", Content: text("whole"), Failed: isUnavailable, Send: func(addr netip.AddrPort, _ string) error { return failure(storeClient(addr).Objects.Get(ctx, "o")) }},
		{Name: "object, write", Uploads: true, Failed: isUnknown, Send: func(addr netip.AddrPort, payload string) error {
			return storeClient(addr).Objects.Put(ctx, "o", []byte(payload))
		}},
	}
}

func hasNoResponse(err error) bool { return errors.Is(err, bwengine.ErrNoResponse) }
func isUnavailable(err error) bool { return errors.Is(err, bwstore.ErrUnavailable) }

func isUnknown(err error) bool {
	return errors.Is(err, bwstore.ErrOutcomeUnknown) || errors.Is(err, errOutcomeUnknown)
}

func isEngineFailure(err error) bool {
	engErr, ok := errors.AsType[*bwengine.Error](err)
	return ok && engErr.Kind == bwengine.Failed
}

func hasNoStatus(err error) bool {
	_, ok := errors.AsType[*bwhttp.StatusError](err)
	return err != nil && !ok
}

// sendThrice sends an action twice and requests its outcome, which must be the same.
func sendThrice(t *testing.T, stk *stack, payload string) error {
	first := outcomeError(stk.send(t, http.MethodPost, payPath, "k1", payload))
	for _, again := range []response{stk.send(t, http.MethodPost, payPath, "k1", payload), stk.send(t, http.MethodGet, "/v1/actions/k1", "", "")} {
		if !errors.Is(outcomeError(again), first) {
			t.Errorf("got %+v after error %v", again, first)
		}
	}
	return first
}

func outcomeError(rsp response) error {
	if rsp.status == http.StatusBadGateway && strings.Contains(rsp.body, `"Outcome":"Unknown"`) {
		return errOutcomeUnknown
	}
	if rsp.status != http.StatusOK || rsp.body != "whole" {
		return errors.New(rsp.body)
	}
	return nil
}

func generate(ctx context.Context, addr netip.AddrPort, prompt string) error {
	gen, err := engineClient(addr).Generate(ctx, bwengine.Completion{Model: "m", Prompt: prompt})
	if err != nil {
		return err
	}
	defer gen.Close()
	for err == nil {
		_, err = gen.Next()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// tableWrites returns writes of rows that hold the payload together.
func tableWrites(payload string) []bwstore.Write {
	var writes []bwstore.Write
	for part := range slices.Chunk([]byte(payload), bwstore.MaxBodyBytes) {
		key := bwstore.Key{Partition: "p", Sort: strconv.Itoa(len(writes))}
		writes = append(writes, bwstore.Write{Row: bwstore.Row{Key: key, Version: 1, Body: part}, If: bwstore.IfAbsent()})
	}
	return writes
}

// Guards against responses that are used although they are broken, and against sound ones
// that are not: a status that no response may have, an invalid field name, which other
// programs take for something else, and a part of a response that looks complete since the
// server broke off while the request was still written.
func TestBrokenResponses(t *testing.T) {
	for _, problem := range bwfakeserver.Play(clientOperations(t), bwfakeserver.Responses()) {
		t.Error(problem)
	}
}
