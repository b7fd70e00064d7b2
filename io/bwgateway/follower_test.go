package bwgateway_test

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// sharedTable is a store's table that several gateways follow.
type sharedTable struct {
	mu        sync.Mutex
	startedAt time.Time
	version   uint64
	rows      map[string][]byte
	changedAt map[string]uint64
	// fails reports whether the calls of a gateway fail.
	fails func(gateway string) bool
	// calls counts the calls of each gateway.
	calls map[string]int
}

func newSharedTable() *sharedTable {
	return &sharedTable{
		startedAt: time.Now().Add(-time.Hour), version: 1, rows: make(map[string][]byte), changedAt: make(map[string]uint64),
		fails: func(string) bool { return false }, calls: make(map[string]int),
	}
}

// put writes a value to the table's only row.
func (stb *sharedTable) put(value string) {
	const key = "e1"
	stb.mu.Lock()
	defer stb.mu.Unlock()
	stb.version++
	stb.rows[key], stb.changedAt[key] = []byte(value), stb.version
}

func (stb *sharedTable) set(change func(*sharedTable)) {
	stb.mu.Lock()
	defer stb.mu.Unlock()
	change(stb)
}

func (stb *sharedTable) totalCalls() int {
	stb.mu.Lock()
	defer stb.mu.Unlock()
	sum := 0
	for _, count := range stb.calls {
		sum += count
	}
	return sum
}

func (stb *sharedTable) read(gateway string, after uint64) (bwgateway.ReadResult, error) {
	stb.mu.Lock()
	defer stb.mu.Unlock()
	stb.calls[gateway]++
	if stb.fails(gateway) {
		return bwgateway.ReadResult{}, errors.New("store is unavailable")
	}
	res := bwgateway.ReadResult{Version: stb.version, Now: time.Since(stb.startedAt)}
	for key, value := range stb.rows {
		if stb.changedAt[key] > after {
			res.Rows = append(res.Rows, bwgateway.Row{Key: key, Value: value})
		}
	}
	return res, nil
}

// testFollower is a gateway that follows the table.
type testFollower struct {
	name  string
	peers *bwgateway.Peers

	mu   sync.Mutex
	rows map[string]string
}

func (tfl *testFollower) value(key string) string {
	tfl.mu.Lock()
	defer tfl.mu.Unlock()
	return tfl.rows[key]
}

const pollInterval = 200 * time.Millisecond

// startFollowers starts gateways that have each other's announcements.
func startFollowers(t *testing.T, stb *sharedTable, names ...string) []*testFollower {
	t.Helper()
	var followers []*testFollower
	var anns []bwforward.Announcement
	var states []*bwgateway.ControlState
	for _, name := range names {
		pool := bwforward.NewPool(bwforward.PoolConfig{})
		prs, ann := newPeers(t, name, pool.ApplyNote)
		st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: pool, Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Peers: prs})
		st.Start(t.Context())
		states = append(states, st)
		anns = append(anns, ann)
		followers = append(followers, &testFollower{name: name, peers: prs, rows: make(map[string]string)})
	}
	for ix, tfl := range followers {
		others := append(append([]bwforward.Announcement(nil), anns[:ix]...), anns[ix+1:]...)
		if err := states[ix].ApplyAnnouncements(t.Context(), others, bwgateway.StoreTime{}, true); err != nil {
			t.Fatal(err)
		}
		states[ix].Follow(t.Context(), bwgateway.FollowerConfig{
			Table:        "servers",
			PollInterval: pollInterval,
			ReadTable:    func(context.Context) (bwgateway.ReadResult, error) { return stb.read(tfl.name, 0) },
			ReadChanges: func(_ context.Context, after uint64, wait time.Duration, _ int64) (bwgateway.ReadResult, error) {
				res, err := stb.read(tfl.name, after)
				if err == nil && len(res.Rows) == 0 {
					<-time.After(min(wait, pollInterval))
				}
				return res, err
			},
			Apply: func(_ context.Context, res bwgateway.ReadResult, _ bool) error {
				tfl.mu.Lock()
				defer tfl.mu.Unlock()
				for _, row := range res.Rows {
					tfl.rows[row.Key] = string(row.Value)
				}
				return nil
			},
		})
	}
	return followers
}

func awaitValue(t *testing.T, followers []*testFollower, value string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, tfl := range followers {
		for tfl.value("e1") != value {
			if time.Now().After(deadline) {
				t.Fatalf("%s has %q, want %q", tfl.name, tfl.value("e1"), value)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Guards against a number of store calls that grows with the number of
// gateways, and against gateways that miss a change because another one has
// read it.
func TestFollowersShareReads(t *testing.T) {
	stb := newSharedTable()
	stb.put("first")
	followers := startFollowers(t, stb, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	awaitValue(t, followers, "first")
	callsBefore := stb.totalCalls()
	const observed = 4 * time.Second
	time.Sleep(observed)
	calls := stb.totalCalls() - callsBefore
	// Without sharing, each gateway makes one call per interval.
	unsharedCalls := len(followers) * int(observed/pollInterval)
	if calls > unsharedCalls/3 || calls == 0 {
		t.Errorf("%d calls in %v, want more than 0 and at most a third of the %d without sharing", calls, observed, unsharedCalls)
	}
	stb.put("second")
	awaitValue(t, followers, "second")
}

// Guards against a gateway without access to the store that misses changes
// which the other gateways read.
func TestFollowerStaysCurrentWithoutStore(t *testing.T) {
	stb := newSharedTable()
	stb.put("first")
	followers := startFollowers(t, stb, "a", "b", "c", "d", "e", "f", "g", "h")
	awaitValue(t, followers, "first")
	stb.set(func(stb *sharedTable) { stb.fails = func(gateway string) bool { return gateway == "a" } })
	for _, value := range []string{"second", "third"} {
		stb.put(value)
		awaitValue(t, followers, value)
	}
}

// Guards against updates that are applied although earlier changes are
// missing, that revert a table to an older version, or that postpone the next
// call although they are old.
func TestFollowerChecksUpdates(t *testing.T) {
	tests := []struct {
		name        string
		update      func(ver uint64, now time.Duration) bwgateway.TableUpdate
		wantApplied bool
		// wantPostponed means that the update postpones the next call.
		wantPostponed bool
	}{
		{"next", func(ver uint64, now time.Duration) bwgateway.TableUpdate { return newUpdate(ver, ver+5, now) }, true, true},
		{"overlapping", func(ver uint64, now time.Duration) bwgateway.TableUpdate { return newUpdate(ver-1, ver+5, now) }, true, true},
		{"old", func(ver uint64, now time.Duration) bwgateway.TableUpdate {
			return newUpdate(ver, ver+5, now-2*time.Second)
		}, true, false},
		{"gap", func(ver uint64, now time.Duration) bwgateway.TableUpdate { return newUpdate(ver+1, ver+5, now) }, false, false},
		{"back", func(ver uint64, now time.Duration) bwgateway.TableUpdate { return newUpdate(ver-2, ver-1, now) }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stb := newSharedTable()
			stb.version = 10
			stb.put("first")
			// Only the first gateway can read the store; the second one sends the update.
			followers := startFollowers(t, stb, "a", "b", "c", "d", "e", "f")
			stb.set(func(stb *sharedTable) { stb.fails = func(gateway string) bool { return gateway != "a" } })
			awaitValue(t, followers[:1], "first")
			calls := func() int {
				stb.mu.Lock()
				defer stb.mu.Unlock()
				return stb.calls["a"]
			}
			startedAt, first := time.Now(), calls()
			applied := false
			for time.Since(startedAt) < 5*pollInterval {
				followers[1].peers.SendUpdate(tt.update(11, time.Since(stb.startedAt)))
				time.Sleep(10 * time.Millisecond)
				applied = applied || followers[0].value("e1") == "told"
			}
			if applied != tt.wantApplied {
				t.Errorf("update applied: %v, want %v", applied, tt.wantApplied)
			}
			if postponed := calls()-first <= 1; postponed != tt.wantPostponed {
				t.Errorf("%d calls in %v, postponed: %v, want %v", calls()-first, 5*pollInterval, postponed, tt.wantPostponed)
			}
		})
	}
}

func newUpdate(after, ver uint64, now time.Duration) bwgateway.TableUpdate {
	rows := []bwgateway.Row{{Key: "e1", Value: []byte("told")}}
	return bwgateway.TableUpdate{Table: "servers", After: after, ReadResult: bwgateway.ReadResult{Rows: rows, Version: ver, Now: now}}
}

// Guards against a row too long for a datagram that reaches only the gateway
// which reads it, or that makes all gateways call the store at once
// repeatedly.
func TestOversizedRowsReachAllFollowers(t *testing.T) {
	stb := newSharedTable()
	stb.put("first")
	followers := startFollowers(t, stb, "a", "b", "c", "d", "e", "f", "g")
	awaitValue(t, followers, "first")
	callsBefore := stb.totalCalls()
	const observed = 10 * pollInterval
	for startedAt, number := time.Now(), 0; time.Since(startedAt) < observed; time.Sleep(pollInterval / 4) {
		number++
		stb.put(string(make([]byte, 20_000+number)))
	}
	// Each gateway may call as often as without sharing, at the shortest intervals.
	maxCalls := len(followers) * int(observed/pollInterval) * 3 / 2
	if calls := stb.totalCalls() - callsBefore; calls > maxCalls {
		t.Errorf("%d calls in %v, want at most %d", calls, observed, maxCalls)
	}
	last := string(make([]byte, 30_000))
	stb.put(last)
	awaitValue(t, followers, last)
}

// Guards against updates with all versions of a row, which are too long for the
// datagrams, so that a gateway which the store refuses does not get any of them.
func TestUpdateHasNewestRowsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		row := func(key, value string) bwgateway.Row { return bwgateway.Row{Key: key, Value: []byte(value)} }
		updates := make(chan bwgateway.TableUpdate, 1)
		fol := bwgateway.NewFollower(bwgateway.FollowerConfig{
			Table:        "op",
			PollInterval: pollInterval,
			ReadTable:    func(context.Context) (bwgateway.ReadResult, error) { return bwgateway.ReadResult{Version: 1}, nil },
			ReadChanges: func(context.Context, uint64, time.Duration, int64) (bwgateway.ReadResult, error) {
				return bwgateway.ReadResult{Version: 6, Rows: []bwgateway.Row{row("a", "1"), row("b", "1"), row("a", "2"), {Key: "b", Deleted: true}, row("a", "3")}}, nil
			},
			Apply: func(context.Context, bwgateway.ReadResult, bool) error { return nil },
			SendUpdate: func(upd bwgateway.TableUpdate) {
				updates <- upd
				cancel()
			},
			Readers: func() int { return 1 },
			Log:     slog.New(slog.DiscardHandler),
		})
		fol.Start(ctx)
		upd := <-updates
		want := []bwgateway.Row{{Key: "b", Deleted: true}, row("a", "3")}
		if !reflect.DeepEqual(upd.Rows, want) || upd.After != 1 || upd.Version != 6 {
			t.Errorf("got %+v, want the rows %+v", upd, want)
		}
	})
}
