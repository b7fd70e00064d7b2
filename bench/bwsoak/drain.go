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
	// leaveTime is how long a leaving upstream may still get new work.
	leaveTime = 3 * time.Second
	// leftTime is how long it is watched after that.
	leftTime = 3 * time.Second
	// drainTries bounds the submissions of one drain, which races the operators.
	drainTries = 40
)

// drainer drains an upstream beside the faults of a round.
type drainer struct {
	ses   *session
	rng   *rand.Rand
	ended *sync.WaitGroup
}

func (drn *drainer) run(ctx context.Context) {
	defer drn.ended.Done()
	drn.ses.drain(ctx, drn.rng)
}

// drain marks an upstream as leaving by a ticket, checks that it starts no new
// work after a time, and takes the mark away.
func (ses *session) drain(ctx context.Context, rng *rand.Rand) {
	name := bwmodel.UpstreamID(pickUpstream(ses, rng))
	if !ses.setDraining(ctx, rng, name, true) {
		return
	}
	if bwretry.Pause(ctx, leaveTime) {
		before := ses.started(name)
		bwretry.Pause(ctx, leftTime)
		if after := ses.started(name); after != before {
			ses.rep.RecordViolation("Leaving", string(name), "started %d requests more than %v after the ticket was accepted", after-before, leaveTime)
		}
		ses.rep.AddCount("DrainChecks", 1)
	}
	if !ses.setDraining(ctx, rng, name, false) && ctx.Err() == nil {
		ses.rep.RecordViolation("Drain", string(name), "the drain could not be undone")
	}
}

// setDraining submits tickets until one is accepted.
func (ses *session) setDraining(ctx context.Context, rng *rand.Rand, name bwmodel.UpstreamID, draining bool) bool {
	for try := range drainTries {
		rtr := rng.IntN(routers)
		num := ses.flt.Router(rtr).Fleet().Snapshot().State.Number() + 1
		doc := bwwire.TicketDocument{Number: num, Comment: fmt.Sprintf("%s draining %v, try %d, %x", name, draining, try, rng.Uint64())}
		for _, ups := range ses.flt.FullTicket(num).Upstreams {
			if ups.Name == name {
				ups.Draining = draining
				doc.Upstreams = append(doc.Upstreams, ups)
			}
		}
		if ses.apply(ctx, rtr, doc) == nil {
			return true
		}
		if !bwretry.Pause(ctx, time.Duration(rng.IntN(100))*time.Millisecond) {
			return false
		}
	}
	return false
}

// started returns the number of requests that have reached an upstream.
func (ses *session) started(name bwmodel.UpstreamID) int {
	for _, eng := range ses.flt.Engines {
		if eng.Name == name {
			return int(eng.Fake.Counts().Requests)
		}
	}
	for _, app := range ses.flt.Apps {
		if app.Name == name {
			return app.Fake.Snapshot().Started
		}
	}
	return 0
}
