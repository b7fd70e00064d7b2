package bwrouter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwhttp"
)

// errStopped says that the router stops before the generation has ended.
var errStopped = errors.New("the router stops; the rest is available through another one")

// HandOver ends every generation that is still open with an event that asks its
// caller to reconnect; the holder and the agent keep it for the next router.
// Requests that still wait for a place are refused.
func (gns *Generations) HandOver() { gns.handOver() }

// until returns a context that ends with HandOver too.
func (gns *Generations) until(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(gns.stopping, cancel)
	return ctx, func() { stop(); cancel() }
}

// generationsPath is where the rest of a generation is.
const generationsPath = "/v1/generations/"

// reconnectEvent asks a caller to get the rest through another router, with
// the event's id as the handle.
type reconnectEvent struct {
	Reason string
	// Path is where any router gives the rest.
	Path string
}

// reconnectName is the type of the event that holds a reconnectEvent.
const reconnectName = "reconnect"

// handOver tells the caller where the rest is. Without a stream the answer
// starts anew there.
func (out *output) handOver() error {
	hd := out.rec.Handle(out.asm.Cursor())
	if !out.stream {
		hd.Cursor = bwstream.Cursor{}
		bwhttp.WriteProblem(out.wrt, bwhttp.Problem{
			Status:     http.StatusServiceUnavailable,
			Title:      "Router stops",
			Detail:     errStopped.Error(),
			Instance:   generationsPath + hd.String(),
			Outcome:    bwhttp.OutcomeUnknown,
			RetryAfter: time.Second,
		})
		return nil
	}
	buf, err := bwhttp.EncodeJSON(reconnectEvent{Reason: errStopped.Error(), Path: generationsPath + hd.String()})
	if err != nil {
		return err
	}
	return out.send(&bwhttp.Event{ID: hd.String(), Name: reconnectName, Data: buf})
}
