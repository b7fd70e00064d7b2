package bwgateway_test

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/io/bwgateway"
)

// followerFleet is the followers of one table in many gateways, with a store and a
// network in virtual time.
type followerFleet struct {
	mu      sync.Mutex
	rng     *rand.Rand
	started time.Time
	version uint64
	era     uint64
	// oversized is the newest version whose change doesn't fit in datagrams.
	oversized uint64
	calls     int
	gateways  []*followerNode
}

type followerNode struct {
	flt *followerFleet
	fol *bwgateway.Follower
	// storeFails and isolated cut the gateway off the store, and off the others.
	storeFails, isolated bool
	// callTime is the duration of a call; a failing one takes failedCallTime.
	callTime time.Duration
	// lag makes the store answer with an older version.
	lag uint64
	// loss is the share of datagrams that the gateway doesn't get.
	loss         float64
	version, era uint64
}

const (
	// fleetChangeTime is the time after which a change must be in effect, of which the
	// interval between reads is half.
	fleetChangeTime   = 4 * time.Second
	fleetPollInterval = fleetChangeTime / 2
	fleetCallTime     = 6 * time.Millisecond
	failedCallTime    = 800 * time.Millisecond
	datagramTime      = 3 * time.Millisecond
	// handful is the number of gateways that may each read once in an interval, as
	// many as don't share reads.
	handful = 5
)

var errStoreAway = errors.New("store is away")

// startFollowerFleet starts the followers and waits until all have read the table.
func startFollowerFleet(ctx context.Context, gateways int) *followerFleet {
	flt := &followerFleet{rng: rand.New(rand.NewPCG(1, 2)), started: time.Now(), version: 10}
	for range gateways {
		nd := &followerNode{flt: flt, callTime: fleetCallTime}
		nd.fol = bwgateway.NewFollower(bwgateway.FollowerConfig{
			Table:        "servers",
			PollInterval: fleetPollInterval,
			ReadTable:    func(context.Context) (bwgateway.ReadResult, error) { return nd.read(0) },
			ReadChanges: func(_ context.Context, after uint64, _ time.Duration, _ int64) (bwgateway.ReadResult, error) {
				return nd.read(after)
			},
			Apply:      nd.apply,
			SendUpdate: nd.sendUpdate,
			SendProbe: func() {
				nd.send(func(other *followerNode) { other.fol.ReceiveProbe() })
			},
			Readers: func() int { return gateways },
			Log:     slog.New(slog.DiscardHandler),
		})
		flt.gateways = append(flt.gateways, nd)
	}
	for _, nd := range flt.gateways {
		nd.fol.Start(ctx)
	}
	time.Sleep(2 * fleetPollInterval)
	return flt
}

func (nd *followerNode) read(after uint64) (bwgateway.ReadResult, error) {
	nd.flt.mu.Lock()
	nd.flt.calls++
	fails, took, version, era := nd.storeFails, nd.callTime, nd.flt.version-nd.lag, nd.flt.era
	nd.flt.mu.Unlock()
	if fails {
		time.Sleep(failedCallTime)
		return bwgateway.ReadResult{}, errStoreAway
	}
	time.Sleep(took)
	if era == nd.knownEra() {
		version = max(version, after)
	}
	return bwgateway.ReadResult{Version: version, Era: era, Now: time.Hour + time.Since(nd.flt.started)}, nil
}

func (nd *followerNode) apply(_ context.Context, res bwgateway.ReadResult, _ bool) error {
	nd.flt.mu.Lock()
	defer nd.flt.mu.Unlock()
	if res.Era != nd.era {
		nd.era, nd.version = res.Era, 0
	}
	nd.version = max(nd.version, res.Version)
	return nil
}

// knownEra returns the era of the gateway's last read or update.
func (nd *followerNode) knownEra() uint64 {
	nd.flt.mu.Lock()
	defer nd.flt.mu.Unlock()
	return nd.era
}

func (nd *followerNode) sendUpdate(upd bwgateway.TableUpdate) {
	nd.flt.mu.Lock()
	tooLong := upd.After < nd.flt.oversized && nd.flt.oversized <= upd.Version
	nd.flt.mu.Unlock()
	if tooLong {
		upd.After, upd.Whole = upd.Version, false
	}
	nd.send(func(other *followerNode) { other.fol.Receive(upd) })
}

// send delivers a datagram to the other gateways.
func (nd *followerNode) send(deliver func(*followerNode)) {
	nd.flt.mu.Lock()
	defer nd.flt.mu.Unlock()
	for _, other := range nd.flt.gateways {
		if other != nd && !nd.isolated && !other.isolated && nd.flt.rng.Float64() >= other.loss {
			time.AfterFunc(datagramTime, func() { deliver(other) })
		}
	}
}

// change makes a change in the store or the network.
func (flt *followerFleet) change(change func()) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	change()
}

// takeCalls returns the number of calls to the store since the last time.
func (flt *followerFleet) takeCalls() int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	calls := flt.calls
	flt.calls = 0
	return calls
}

// awaitVersion returns the time until all gateways have the store's version.
func (flt *followerFleet) awaitVersion(t *testing.T) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for range int(30 * time.Second / (10 * time.Millisecond)) {
		flt.mu.Lock()
		behind := slices.ContainsFunc(flt.gateways, func(nd *followerNode) bool { return nd.version != flt.version || nd.era != flt.era })
		flt.mu.Unlock()
		if !behind {
			return time.Since(startedAt)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("some gateways are not up to date after 30 s")
	return 0
}

// Guards against a store whose calls grow with the number of gateways, and against
// gateways that are not up to date in time: while a reader is slow, reads an old
// version or is dead, zones don't reach each other, and datagrams are lost.
func TestFleetReadsLikeAHandful(t *testing.T) {
	tests := []struct {
		name     string
		gateways int
		disturb  func(*followerFleet)
		// most is the number of calls for each interval.
		most float64
	}{
		{"6 gateways", 6, func(*followerFleet) {}, handful},
		{"103 gateways", 103, func(*followerFleet) {}, handful},
		{"400 gateways", 400, func(*followerFleet) {}, handful},
		{"slow reader", 103, func(flt *followerFleet) { flt.gateways[3].callTime = 700 * time.Millisecond }, handful},
		{"reader of an old version", 103, func(flt *followerFleet) { flt.gateways[3].lag = 2 }, handful},
		{"dead readers", 103, func(flt *followerFleet) {
			for _, nd := range flt.gateways[:20] {
				nd.storeFails = true
			}
		}, handful},
		{"split between zones", 103, func(flt *followerFleet) {
			for _, nd := range flt.gateways[:3] {
				nd.isolated = true
			}
		}, handful + 3},
		{"lost datagrams", 103, func(flt *followerFleet) {
			for _, nd := range flt.gateways {
				nd.loss = 0.3
			}
		}, 103 / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				flt := startFollowerFleet(ctx, tt.gateways)
				flt.change(func() { tt.disturb(flt) })
				flt.takeCalls()
				const intervals = 20
				for range intervals / 2 {
					flt.change(func() { flt.version++ })
					if tt.name == "reader of an old version" {
						flt.change(func() { flt.gateways[3].version = flt.version })
					}
					if took := flt.awaitVersion(t); took > fleetChangeTime {
						t.Errorf("a change took %v to reach all gateways, want at most %v", took, fleetChangeTime)
					}
					time.Sleep(2*fleetPollInterval - rand.N(time.Second))
				}
				if calls := float64(flt.takeCalls()) / intervals; calls > tt.most {
					t.Errorf("%.1f calls for each interval, want at most %v", calls, tt.most)
				}
				cancel()
				// Calls in progress end.
				time.Sleep(2 * failedCallTime)
			})
		})
	}
}

// Replays an outage of the store that all gateways or a third of them see, during
// which a change comes that doesn't fit in datagrams. Guards against attempts that
// grow with the number of gateways, and against gateways that learn of the
// store's return but are not up to date soon after it.
func TestFleetAfterOutage(t *testing.T) {
	const (
		gateways = 103
		outage   = 10 * time.Second
		// catchUp is the time after which gateways must be up to date again on the
		// smallest deployments.
		catchUp = 3 * time.Second
	)
	tests := []struct {
		name      string
		affected  int
		isolated  bool
		oversized bool
	}{
		{"all", gateways, false, false},
		{"all, with a long change", gateways, false, true},
		{"a third", gateways / 3, false, false},
		{"a third, cut off the others too", gateways / 3, true, false},
		{"a third, cut off, with a long change", gateways / 3, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				flt := startFollowerFleet(ctx, gateways)
				flt.takeCalls()
				cut := func(fails bool) func() {
					return func() {
						for _, nd := range flt.gateways[:tt.affected] {
							nd.storeFails, nd.isolated = fails, fails && tt.isolated
						}
					}
				}
				flt.change(cut(true))
				time.Sleep(outage / 2)
				flt.change(func() {
					flt.version++
					if tt.oversized {
						flt.oversized = flt.version
					}
				})
				time.Sleep(outage / 2)
				// A gateway that does not share its attempts makes one in this time.
				const unshared = failedCallTime + 600*time.Millisecond
				most := tt.affected * int(outage/unshared)
				if !tt.isolated {
					most /= 2
				}
				// The others go on to read, and each of them reads a long change itself.
				most += handful * int(outage/fleetPollInterval)
				if tt.oversized {
					most += gateways - tt.affected
				}
				if calls := flt.takeCalls(); calls > most {
					t.Errorf("%d calls during the outage, want at most %d", calls, most)
				}
				flt.change(cut(false))
				if took := flt.awaitVersion(t); took > catchUp {
					t.Errorf("all gateways are up to date %v after the outage, want %v", took, catchUp)
				}
				cancel()
				// Calls in progress end.
				time.Sleep(2 * failedCallTime)
			})
		})
	}
}
