package bwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwwire"
)

const (
	// drainGrace is how long a draining upstream may still receive new requests.
	drainGrace = 3 * time.Second
	// drainCheckTime is the time after drainGrace in which it must receive none.
	drainCheckTime = 3 * time.Second
	// maxDrainSubmissions limits the ticket submissions of one drain, which compete
	// with those of the operators for the ticket numbers.
	maxDrainSubmissions = 40
)

// drainWorker drains an upstream during the faults of a round.
type drainWorker struct {
	ses   *session
	rng   *rand.Rand
	ended *sync.WaitGroup
}

func (dw *drainWorker) run(ctx context.Context) {
	defer dw.ended.Done()
	dw.ses.drainUpstream(ctx, dw.rng)
}

// drainUpstream sets an upstream to draining by a ticket, checks that it receives
// no request after a grace period, and ends the drain.
func (ses *session) drainUpstream(ctx context.Context, rng *rand.Rand) {
	name := bwmodel.UpstreamID(pickUpstream(ses, rng))
	if !ses.setDraining(ctx, rng, name, true) {
		return
	}
	if bwretry.Pause(ctx, drainGrace) {
		before := ses.startedRequests(name)
		bwretry.Pause(ctx, drainCheckTime)
		if after := ses.startedRequests(name); after != before {
			ses.recorder.RecordViolation("Leaving", string(name), "started %d requests more than %v after the ticket was accepted", after-before, drainGrace)
		}
		ses.recorder.AddCount("DrainChecks", 1)
	}
	if !ses.setDraining(ctx, rng, name, false) && ctx.Err() == nil {
		ses.recorder.RecordViolation("Drain", string(name), "the drain could not be undone")
	}
}

// setDraining submits tickets that set or clear the draining state until one is
// accepted. It returns false if none is.
func (ses *session) setDraining(ctx context.Context, rng *rand.Rand, name bwmodel.UpstreamID, draining bool) bool {
	for attempt := range maxDrainSubmissions {
		rtr := rng.IntN(routerCount)
		num := ses.fleet.Router(rtr).Fleet().Snapshot().State.Number() + 1
		doc := bwwire.TicketDocument{Number: num, Comment: fmt.Sprintf("%s draining %v, try %d, %x", name, draining, attempt, rng.Uint64())}
		for _, ups := range ses.fleet.FullTicket(num).Upstreams {
			if ups.Name == name {
				ups.Draining = draining
				doc.Upstreams = append(doc.Upstreams, ups)
			}
		}
		if ses.submitTicket(ctx, rtr, doc) == nil {
			return true
		}
		if !bwretry.Pause(ctx, time.Duration(rng.IntN(100))*time.Millisecond) {
			return false
		}
	}
	return false
}

// startedRequests returns the number of requests that an upstream has received.
func (ses *session) startedRequests(name bwmodel.UpstreamID) int {
	for _, eng := range ses.fleet.Engines {
		if eng.Name == name {
			return int(eng.Fake.Counts().Requests)
		}
	}
	for _, app := range ses.fleet.Apps {
		if app.Name == name {
			return app.Fake.Snapshot().Started
		}
	}
	return 0
}
