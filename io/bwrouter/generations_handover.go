package bwrouter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwhttp"
)

// errRouterStopping means that the router stops before the generation has ended.
var errRouterStopping = errors.New("the router stops; the rest is available through another one")

// HandOver ends every open generation and sends its caller the path at which to
// reconnect. The holder and the agent keep the generation for the next router.
// Requests that wait for admission are refused.
func (gns *Generations) HandOver() { gns.handOver() }

// untilHandOver returns a context that also ends when HandOver is called.
func (gns *Generations) untilHandOver(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(gns.stopping, cancel)
	return ctx, func() { stop(); cancel() }
}

// generationsPath is the prefix of the path for reconnecting to a generation.
const generationsPath = "/v1/generations/"

// reconnectEvent is sent to make a caller reconnect through another router, with
// the event's id as the handle.
type reconnectEvent struct {
	Reason string
	// Path is where any router serves the rest of the generation.
	Path string
}

// reconnectEventName is the type of the event that holds a reconnectEvent.
const reconnectEventName = "reconnect"

// writeHandOver sends the caller the path at which to reconnect. A caller without a
// stream receives the generation from its start there.
func (out *output) writeHandOver() error {
	hd := out.rec.Handle(out.asm.Cursor())
	if !out.stream {
		hd.Cursor = bwstream.Cursor{}
		bwhttp.WriteProblem(out.wrt, bwhttp.Problem{
			Status:     http.StatusServiceUnavailable,
			Title:      "Router stops",
			Detail:     errRouterStopping.Error(),
			Instance:   generationsPath + hd.String(),
			Outcome:    bwhttp.OutcomeUnknown,
			RetryAfter: time.Second,
		})
		return nil
	}
	buf, err := bwhttp.EncodeJSON(reconnectEvent{Reason: errRouterStopping.Error(), Path: generationsPath + hd.String()})
	if err != nil {
		return err
	}
	return out.sendEvent(&bwhttp.Event{ID: hd.String(), Name: reconnectEventName, Data: buf})
}
