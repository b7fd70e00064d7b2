package bwgateway_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// sharedTable is a store's table that several gateways follow.
type sharedTable struct {
	mu      sync.Mutex
	begun   time.Time
	version uint64
	rows    map[string][]byte
	changed map[string]uint64
	// away fails the calls of one gateway, or of all with an empty name.
	away func(gateway string) bool
	// calls counts those of each gateway.
	calls map[string]int
}

func newSharedTable() *sharedTable {
	return &sharedTable{
		begun: time.Now().Add(-time.Hour), version: 1, rows: make(map[string][]byte), changed: make(map[string]uint64),
		away: func(string) bool { return false }, calls: make(map[string]int),
	}
}

// put writes the value of the one row.
func (stb *sharedTable) put(value string) {
	const key = "e1"
	stb.mu.Lock()
	defer stb.mu.Unlock()
	stb.version++
	stb.rows[key], stb.changed[key] = []byte(value), stb.version
}

func (stb *sharedTable) set(change func(*sharedTable)) {
	stb.mu.Lock()
	defer stb.mu.Unlock()
	change(stb)
}

func (stb *sharedTable) total() int {
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
	if stb.away(gateway) {
		return bwgateway.ReadResult{}, errors.New("store is away")
	}
	rdg := bwgateway.ReadResult{Version: stb.version, Now: time.Since(stb.begun)}
	for key, value := range stb.rows {
		if stb.changed[key] > after {
			rdg.Rows = append(rdg.Rows, bwgateway.Row{Key: key, Value: value})
		}
	}
	return rdg, nil
}

// follower is a gateway that follows the table.
type follower struct {
	name string
	prs  *bwgateway.Peers

	mu   sync.Mutex
	rows map[string]string
}

func (flw *follower) value(key string) string {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	return flw.rows[key]
}

const followPause = 200 * time.Millisecond

// startFollowers starts gateways that know each other.
func startFollowers(t *testing.T, stb *sharedTable, names ...string) []*follower {
	t.Helper()
	var flws []*follower
	var anns []bwforward.Announcement
	var states []*bwgateway.ControlState
	for _, name := range names {
		pool := bwforward.NewPool(bwforward.PoolConfig{})
		prs, own := newPeers(t, name, pool.ApplyNote)
		st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: pool, Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Peers: prs})
		st.Start(t.Context())
		states = append(states, st)
		anns = append(anns, own)
		flws = append(flws, &follower{name: name, prs: prs, rows: make(map[string]string)})
	}
	for ix, flw := range flws {
		others := append(append([]bwforward.Announcement(nil), anns[:ix]...), anns[ix+1:]...)
		if err := states[ix].ApplyAnnouncements(t.Context(), others, 0, true); err != nil {
			t.Fatal(err)
		}
		states[ix].Follow(t.Context(), bwgateway.FollowerConfig{
			Table:        "servers",
			PollInterval: followPause,
			ReadTable:    func(context.Context) (bwgateway.ReadResult, error) { return stb.read(flw.name, 0) },
			ReadChanges: func(_ context.Context, after uint64, wait time.Duration) (bwgateway.ReadResult, error) {
				rdg, err := stb.read(flw.name, after)
				if err == nil && len(rdg.Rows) == 0 {
					<-time.After(min(wait, followPause))
				}
				return rdg, err
			},
			Apply: func(_ context.Context, rdg bwgateway.ReadResult, _ bool) error {
				flw.mu.Lock()
				defer flw.mu.Unlock()
				for _, row := range rdg.Rows {
					flw.rows[row.Key] = string(row.Value)
				}
				return nil
			},
		})
	}
	return flws
}

func awaitValue(t *testing.T, flws []*follower, value string) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for _, flw := range flws {
		for flw.value("e1") != value {
			if time.Now().After(end) {
				t.Fatalf("%s has %q, want %q", flw.name, flw.value("e1"), value)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Guards against calls of the store that grow with the number of gateways, and
// against gateways that miss a change because another one has read it.
func TestFollowersShareReadings(t *testing.T) {
	stb := newSharedTable()
	stb.put("first")
	flws := startFollowers(t, stb, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	awaitValue(t, flws, "first")
	before := stb.total()
	const watched = 4 * time.Second
	time.Sleep(watched)
	calls := stb.total() - before
	// Each by itself would make a call in each pause.
	alone := len(flws) * int(watched/followPause)
	if calls > alone/3 || calls == 0 {
		t.Errorf("%d calls in %v, alone the gateways would make %d", calls, watched, alone)
	}
	stb.put("second")
	awaitValue(t, flws, "second")
}

// Guards against a gateway that the store refuses and that falls behind though
// the others are current.
func TestFollowerWithoutStore(t *testing.T) {
	stb := newSharedTable()
	stb.put("first")
	flws := startFollowers(t, stb, "a", "b", "c", "d", "e", "f", "g", "h")
	awaitValue(t, flws, "first")
	stb.set(func(stb *sharedTable) { stb.away = func(gateway string) bool { return gateway == "a" } })
	for _, value := range []string{"second", "third"} {
		stb.put(value)
		awaitValue(t, flws, value)
	}
}

// Guards against news that are taken although readings between are missing, that
// take a table back, or that put off the next call although they are old.
func TestFollowerDoubtsNews(t *testing.T) {
	tests := []struct {
		name string
		news func(known uint64, now time.Duration) bwgateway.TableUpdate
		take bool
		// late says that the next call is put off.
		late bool
	}{
		{"next", func(known uint64, now time.Duration) bwgateway.TableUpdate { return news(known, known+5, now) }, true, true},
		{"overlapping", func(known uint64, now time.Duration) bwgateway.TableUpdate { return news(known-1, known+5, now) }, true, true},
		{"old", func(known uint64, now time.Duration) bwgateway.TableUpdate {
			return news(known, known+5, now-2*time.Second)
		}, true, false},
		{"gap", func(known uint64, now time.Duration) bwgateway.TableUpdate { return news(known+1, known+5, now) }, false, false},
		{"back", func(known uint64, now time.Duration) bwgateway.TableUpdate { return news(known-2, known-1, now) }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stb := newSharedTable()
			stb.version = 10
			stb.put("first")
			// Only the first one reaches the store; the second one tells what it is made to.
			flws := startFollowers(t, stb, "a", "b", "c", "d", "e", "f")
			stb.set(func(stb *sharedTable) { stb.away = func(gateway string) bool { return gateway != "a" } })
			awaitValue(t, flws[:1], "first")
			calls := func() int {
				stb.mu.Lock()
				defer stb.mu.Unlock()
				return stb.calls["a"]
			}
			began, first := time.Now(), calls()
			taken := false
			for time.Since(began) < 5*followPause {
				flws[1].prs.SendUpdate(tt.news(11, time.Since(stb.begun)))
				time.Sleep(10 * time.Millisecond)
				taken = taken || flws[0].value("e1") == "told"
			}
			if taken != tt.take {
				t.Errorf("news were taken: %v, want %v", taken, tt.take)
			}
			if late := calls()-first <= 1; late != tt.late {
				t.Errorf("%d calls in %v, put off: %v, want %v", calls()-first, 5*followPause, late, tt.late)
			}
		})
	}
}

func news(after, version uint64, now time.Duration) bwgateway.TableUpdate {
	rows := []bwgateway.Row{{Key: "e1", Value: []byte("told")}}
	return bwgateway.TableUpdate{Table: "servers", After: after, ReadResult: bwgateway.ReadResult{Rows: rows, Version: version, Now: now}}
}

// Guards against a row that no datagram holds and that therefore reaches only
// the gateway which has read it, or makes all of them ask at once, again and again.
func TestLongRowsAreReadByAll(t *testing.T) {
	stb := newSharedTable()
	stb.put("first")
	flws := startFollowers(t, stb, "a", "b", "c", "d", "e", "f", "g")
	awaitValue(t, flws, "first")
	before := stb.total()
	const watched = 10 * followPause
	for began, number := time.Now(), 0; time.Since(began) < watched; time.Sleep(followPause / 4) {
		number++
		stb.put(string(make([]byte, 20_000+number)))
	}
	// Each may ask as often as it would by itself, at the shortest pauses.
	alone := len(flws) * int(watched/followPause) * 3 / 2
	if calls := stb.total() - before; calls > alone {
		t.Errorf("%d calls in %v, want %d at most", calls, watched, alone)
	}
	last := string(make([]byte, 30_000))
	stb.put(last)
	awaitValue(t, flws, last)
}
