package bwgateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// Guards against a routing table from a copy of the store that replaces a newer one, and
// against one that the operator writes after the restore and that is not taken.
func TestTableOfRestoredStore(t *testing.T) {
	// step is a table that the store has in an era, and the version wanted after it. The
	// tables have as many routes as their content says.
	type step struct {
		era, version uint64
		routes       int
		wait         time.Duration
		want         uint64
		wantRoutes   int
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"written again", []step{{1, 13, 3, 0, 13, 3}, {2, 6, 1, 0, 13, 3}, {2, 13, 3, time.Second, 13, 3}, {2, 16, 4, 0, 16, 4}}},
		{"the copy only", []step{{1, 13, 3, 0, 13, 3}, {2, 6, 1, time.Second, 13, 3}, {2, 6, 1, 15 * time.Second, 6, 1}, {2, 7, 2, 0, 7, 2}}},
		{"version given out again", []step{{1, 13, 3, 0, 13, 3}, {2, 13, 5, 0, 13, 5}}},
		{"lower one after the restore", []step{{1, 13, 3, 0, 13, 3}, {2, 6, 1, 0, 13, 3}, {2, 9, 2, 15 * time.Second, 9, 2}}},
		{"written again late", []step{{1, 13, 3, 0, 13, 3}, {2, 6, 1, 5 * time.Second, 13, 3}, {2, 13, 3, 15 * time.Second, 13, 3}}},
		{"stale read without a restore", []step{{1, 13, 3, 0, 13, 3}, {1, 6, 1, 15 * time.Second, 13, 3}}},
		{"stale read after the restore", []step{{1, 13, 3, 0, 13, 3}, {2, 14, 3, 0, 14, 3}, {2, 6, 1, 15 * time.Second, 14, 3}}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{})})
				st.Start(ctx)
				for ix, stp := range tst.steps {
					routes := make([]bwforward.Route, stp.routes)
					tbl := bwforward.NewRoutingTable(bwforward.RoutingTableConfig{Version: stp.version, Routes: routes})
					if err := st.SetTable(ctx, tbl, stp.era); err != nil {
						t.Fatal(err)
					}
					time.Sleep(stp.wait)
					if got := st.Table(); got.Version() != stp.want || got.Routes() != stp.wantRoutes {
						t.Errorf("step %d: version %d with %d routes, want %d with %d", ix+1, got.Version(), got.Routes(), stp.want, stp.wantRoutes)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// restorableTable is a store's table with one row that may be restored.
type restorableTable struct {
	mu      sync.Mutex
	era     uint64
	version uint64
	// value is that of the row, written with changedAt.
	value     string
	changedAt uint64
	calls     int
}

func (rtb *restorableTable) set(change func(*restorableTable)) {
	rtb.mu.Lock()
	defer rtb.mu.Unlock()
	change(rtb)
}

// callCount returns the number of reads since it was reset.
func (rtb *restorableTable) callCount() int {
	rtb.mu.Lock()
	defer rtb.mu.Unlock()
	return rtb.calls
}

func (rtb *restorableTable) put(value string) {
	rtb.version++
	rtb.value, rtb.changedAt = value, rtb.version
}

// read returns the row if it has changed after a version.
func (rtb *restorableTable) read(after uint64) (bwgateway.ReadResult, error) {
	rtb.mu.Lock()
	defer rtb.mu.Unlock()
	rtb.calls++
	if after > rtb.version {
		return bwgateway.ReadResult{}, bwgateway.ErrHistoryLost
	}
	res := bwgateway.ReadResult{Version: rtb.version, Era: rtb.era, Now: time.Hour}
	if rtb.changedAt > after {
		res.Rows = []bwgateway.Row{{Key: "row", Value: []byte(rtb.value)}}
	}
	return res, nil
}

// restoredFollower follows a restorableTable in virtual time.
type restoredFollower struct {
	fol *bwgateway.Follower

	mu      sync.Mutex
	value   string
	updates []bwgateway.TableUpdate
}

func newRestoredFollower(rtb *restorableTable) *restoredFollower {
	rfl := new(restoredFollower)
	rfl.fol = bwgateway.NewFollower(bwgateway.FollowerConfig{
		Table:        "op",
		PollInterval: time.Second,
		ReadTable:    func(context.Context) (bwgateway.ReadResult, error) { return rtb.read(0) },
		ReadChanges: func(_ context.Context, after uint64, _ time.Duration, _ int64) (bwgateway.ReadResult, error) {
			return rtb.read(after)
		},
		Apply: func(_ context.Context, res bwgateway.ReadResult, _ bool) error {
			rfl.mu.Lock()
			defer rfl.mu.Unlock()
			for _, row := range res.Rows {
				rfl.value = string(row.Value)
			}
			return nil
		},
		SendUpdate: func(upd bwgateway.TableUpdate) {
			rfl.mu.Lock()
			defer rfl.mu.Unlock()
			rfl.updates = append(rfl.updates, upd)
		},
		Readers: func() int { return 1 },
		Log:     slog.New(slog.DiscardHandler),
	})
	return rfl
}

func (rfl *restoredFollower) current() string {
	rfl.mu.Lock()
	defer rfl.mu.Unlock()
	return rfl.value
}

// Guards against changes that are never read since they have versions that the follower
// had before the store was restored: with the table behind these versions, at them, and
// past them when the follower reads next; and against a follower that goes on to read the
// whole table.
func TestFollowerOfRestoredStore(t *testing.T) {
	for _, further := range []uint64{0, 1, 2, 5, 50} {
		t.Run(fmt.Sprintf("%d versions later", further), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				rtb := &restorableTable{era: 1, version: 10}
				rtb.set(func(rtb *restorableTable) { rtb.put("first") })
				rfl := newRestoredFollower(rtb)
				rfl.fol.Start(ctx)
				time.Sleep(3 * time.Second)
				copied := uint64(0)
				rtb.set(func(rtb *restorableTable) { copied = rtb.version })
				for range 4 {
					rtb.set(func(rtb *restorableTable) { rtb.put("lost") })
					time.Sleep(1500 * time.Millisecond)
				}
				rtb.set(func(rtb *restorableTable) {
					rtb.era, rtb.version = 2, copied
					rtb.put("after")
					rtb.version += further
				})
				time.Sleep(1500 * time.Millisecond)
				if got := rfl.current(); got != "after" {
					t.Errorf("the follower has %q after the restore, want what was written since", got)
				}
				rtb.set(func(rtb *restorableTable) {
					rtb.put("next")
					rtb.calls = 0
				})
				time.Sleep(5500 * time.Millisecond)
				if got := rfl.current(); got != "next" || rtb.callCount() > 6 {
					t.Errorf("the follower has %q after %d calls, want next after 6 at most", got, rtb.callCount())
				}
				rfl.mu.Lock()
				if !slices.ContainsFunc(rfl.updates, func(upd bwgateway.TableUpdate) bool { return upd.Whole && upd.Era == 2 }) {
					t.Error("the other gateways did not get the table of the restored store")
				}
				rfl.mu.Unlock()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against updates of a gateway that is still in an earlier era of the store, or
// was frozen in it, and against a gateway that does not enter the era that another one
// has seen.
func TestUpdatesOfOtherEras(t *testing.T) {
	update := func(era, after, version uint64, whole bool) bwgateway.TableUpdate {
		return bwgateway.TableUpdate{Table: "op", After: after, Whole: whole, ReadResult: bwgateway.ReadResult{
			Era: era, Version: version, Now: time.Hour, Rows: []bwgateway.Row{{Key: "row", Value: []byte("told")}},
		}}
	}
	tests := []struct {
		name   string
		update bwgateway.TableUpdate
		// wantTold is whether the update is applied, wantRead whether the table is read
		// because of it.
		wantTold, wantRead bool
	}{
		{"same era", update(2, 11, 12, false), true, false},
		{"earlier era", update(1, 11, 50, false), false, false},
		{"earlier era, whole table", update(1, 0, 50, true), false, false},
		{"later era", update(3, 11, 12, false), false, true},
		{"later era, version behind", update(3, 2, 3, false), false, true},
		{"later era, whole table", update(3, 0, 3, true), true, false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				rtb := &restorableTable{era: 2, version: 10}
				rtb.set(func(rtb *restorableTable) { rtb.put("read") })
				rfl := newRestoredFollower(rtb)
				rfl.fol.Start(ctx)
				time.Sleep(100 * time.Millisecond)
				rtb.set(func(rtb *restorableTable) {
					rtb.calls = 0
					if tst.update.Era == 3 {
						rtb.era, rtb.version = 3, 2
						rtb.put("read anew")
					}
				})
				rfl.fol.Receive(tst.update)
				synctest.Wait()
				if told := rfl.current() == "told"; told != tst.wantTold {
					t.Errorf("the update was applied: %v, want %v", told, tst.wantTold)
				}
				time.Sleep(600 * time.Millisecond)
				if read := rtb.callCount() > 0; read != tst.wantRead {
					t.Errorf("the table was read: %v, want %v", read, tst.wantRead)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against gateways that are forgotten, or not known any more to be stopping, when
// the store loses their announcements; against one whose own announcement stays lost; and
// against parts of prompts in quarantine again that were cleared since the copy.
func TestAnnouncementsOfRestoredStore(t *testing.T) {
	quarantine := bwforward.NewQuarantine(bwforward.QuarantineConfig{})
	prs, _ := newPeers(t, "self", func(bwforward.PeerNote) {})
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{
		Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Quarantine: quarantine, Peers: prs,
	})
	st.Start(t.Context())
	written := make(chan bwforward.Announcement, 4)
	st.StartAnnouncing(t.Context(), func(_ context.Context, ann bwforward.Announcement) (bwforward.Announcement, error) {
		written <- ann
		return ann, nil
	})
	const clock = time.Hour
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	apply := func(era uint64, at time.Duration, anns ...bwforward.Announcement) {
		t.Helper()
		if err := st.ApplyAnnouncements(t.Context(), anns, bwgateway.StoreTime{Era: era, Clock: at}, true); err != nil {
			t.Fatal(err)
		}
	}
	announced := func(member bwmodel.MemberID, seen time.Duration, leaving bool, ids ...bwforward.PartID) bwforward.Announcement {
		ann := bwforward.Announcement{Member: member, Address: addr, Seen: seen, Leaving: leaving}
		if len(ids) > 0 {
			ann.Quarantined = []bwforward.AnnouncedParts{{Parts: ids, Until: clock + 10*time.Minute}}
		}
		return ann
	}
	apply(1, clock, announced("a", clock, false), announced("b", clock, true), announced("started since the copy", clock, false))
	<-written
	apply(2, clock+2*time.Second, announced("self", clock-time.Minute, true, "own"), announced("a", clock-time.Minute, false, "cleared"), announced("b", clock-time.Minute, false))
	if vw := st.View(); vw.Members != 4 || vw.ActivePeers != 2 {
		t.Errorf("%d gateways and %d active peers after the restore, want 4 and 2", vw.Members, vw.ActivePeers)
	}
	if got := quarantine.All(); len(got) != 0 {
		t.Errorf("%v in quarantine, from announcements before the restore", got)
	}
	select {
	case <-written:
	case <-time.After(2 * time.Second):
		t.Error("the gateway did not announce itself again")
	}
	apply(2, clock+3*time.Second, announced("a", clock+3*time.Second, false, "new"))
	if got := quarantine.All(); len(got) != 1 {
		t.Errorf("%v in quarantine, want the part that was announced after the restore", got)
	}
}

// Guards against a fleet in which all gateways read the whole table when the store was
// restored, or that is not up to date in time, also when the table does not fit in
// datagrams.
func TestFleetAfterRestore(t *testing.T) {
	for _, gateways := range []int{6, 103, 1000} {
		for _, isLong := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d gateways, long table %v", gateways, isLong), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					flt := startFollowerFleet(ctx, gateways)
					flt.takeCalls()
					flt.change(func() {
						flt.era, flt.version = flt.era+1, 3
						if isLong {
							flt.oversized = flt.version
						}
					})
					if took := flt.awaitVersion(t); took > fleetChangeTime {
						t.Errorf("all gateways are up to date %v after the restore, want at most %v", took, fleetChangeTime)
					}
					most := gateways / 2
					if isLong {
						// Each gateway reads the table itself, after a call for changes in some cases.
						most = 2 * gateways
					}
					if calls := flt.takeCalls(); calls > most+2*handful {
						t.Errorf("%d calls after the restore, want at most %d", calls, most+2*handful)
					}
					cancel()
					time.Sleep(2 * failedCallTime)
				})
			})
		}
	}
}

// Guards against a gateway that starts with a routing table from a copy of the store,
// with routes and keys that were removed since: the announcements are read before the
// table, and after it; and against one that never starts.
func TestStartWithTableOfCopy(t *testing.T) {
	const clock = time.Hour
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	tests := []struct {
		name      string
		announced bwforward.Announcement
		want      uint64
	}{
		{"another gateway uses a later one", bwforward.Announcement{Era: 2, TableVersion: 13}, 0},
		{"announced before the restore", bwforward.Announcement{Era: 1, TableVersion: 13}, 6},
		{"another gateway uses the same", bwforward.Announcement{Era: 2, TableVersion: 6}, 6},
		{"another gateway has none", bwforward.Announcement{Era: 2}, 6},
	}
	for _, tst := range tests {
		for _, tableFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, table first %v", tst.name, tableFirst), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{})})
					st.Start(ctx)
					setTable := func(version uint64) {
						if err := st.SetTable(ctx, bwforward.NewRoutingTable(bwforward.RoutingTableConfig{Version: version}), 2); err != nil {
							t.Fatal(err)
						}
					}
					if tableFirst {
						setTable(6)
					}
					ann := tst.announced
					ann.Member, ann.Address, ann.Seen = "a", addr, clock
					announce := func() {
						if err := st.ApplyAnnouncements(ctx, []bwforward.Announcement{ann}, bwgateway.StoreTime{Era: 2, Clock: clock}, true); err != nil {
							t.Fatal(err)
						}
					}
					announce()
					setTable(6)
					if got := version(st); got != tst.want {
						t.Errorf("version %d is in use, want %d", got, tst.want)
					}
					time.Sleep(11 * time.Second)
					announce()
					if got := version(st); got != 6 {
						t.Errorf("version %d is in use ten seconds later, want 6", got)
					}
					setTable(13)
					if got := version(st); got != 13 {
						t.Errorf("version %d is in use, want 13, which the operator has written", got)
					}
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// version returns the version of the routing table, or 0.
func version(st *bwgateway.ControlState) uint64 {
	if tbl := st.Table(); tbl != nil {
		return tbl.Version()
	}
	return 0
}
