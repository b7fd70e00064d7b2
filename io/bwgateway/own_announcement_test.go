package bwgateway_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// announcementTable is the table of the announcements, with one row and its version.
type announcementTable struct {
	t       *testing.T
	version uint64
	row     bwforward.Announcement
	writes  int
	// first is the time of the gateway's first announcement that was written.
	first time.Duration
	// losesAck makes the next write be done without a response.
	losesAck bool
}

var errNoResponse = errors.New("no response")

func (atb *announcementTable) write(_ context.Context, ann bwforward.Announcement) (bwforward.Announcement, error) {
	atb.writes++
	if ann.RowVersion != atb.row.RowVersion {
		return atb.row, bwgateway.ErrAnnouncementReplaced
	}
	atb.put(ann)
	if atb.first == 0 {
		atb.first = ann.AnnouncedSince
	}
	if atb.losesAck {
		atb.losesAck = false
		return bwforward.Announcement{}, errNoResponse
	}
	return atb.row, nil
}

// put writes the row, as a late write does.
func (atb *announcementTable) put(ann bwforward.Announcement) {
	atb.version++
	atb.row = ann
	atb.row.RowVersion = atb.version
}

// ownAnnouncer is a gateway that announces itself to a table.
type ownAnnouncer struct {
	*announcementTable
	st      *bwgateway.ControlState
	startAt time.Time
}

const ownClock = time.Hour

// read makes the gateway read its row at a version of the table.
func (oan *ownAnnouncer) read(row bwforward.Announcement, version uint64) {
	oan.t.Helper()
	at := bwgateway.StoreTime{Version: version, Clock: ownClock + time.Since(oan.startAt)}
	if err := oan.st.ApplyAnnouncements(oan.t.Context(), []bwforward.Announcement{row}, at, false); err != nil {
		oan.t.Fatal(err)
	}
	synctest.Wait()
}

// Guards against a gateway whose row in the store says that it stops, or has its former
// key or address, until the next announcement a minute later: the store has done a write
// late, before or after the gateway has announced its restart; and against a gateway that
// announces itself again and again.
func TestOwnAnnouncementIsKept(t *testing.T) {
	before := bwforward.Announcement{Member: "self", Seen: ownClock - time.Second, RowVersion: 7}
	late := bwforward.Announcement{Member: "self", Seen: ownClock - time.Millisecond, Leaving: true}
	tests := []struct {
		name string
		play func(*ownAnnouncer)
		// writes is the number of writes that are expected.
		writes int
	}{
		{"nothing", func(*ownAnnouncer) {}, 1},
		{"late write after the restart", func(oan *ownAnnouncer) {
			oan.put(late)
			oan.read(oan.row, oan.version)
		}, 2},
		{"late write, read without versions of rows", func(oan *ownAnnouncer) {
			oan.put(late)
			row := oan.row
			row.RowVersion = 0
			oan.read(row, oan.version)
		}, 3},
		{"old row of a stale read", func(oan *ownAnnouncer) { oan.read(before, before.RowVersion) }, 1},
		{"own row", func(oan *ownAnnouncer) { oan.read(oan.row, oan.version+5) }, 1},
		{"lost response", func(oan *ownAnnouncer) {
			oan.losesAck = true
			oan.st.AnnounceQuarantine()
			time.Sleep(4 * time.Second)
		}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			prs, _ := newPeers(t, "self", nil)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				oan := &ownAnnouncer{announcementTable: &announcementTable{t: t, version: 7, row: before}, startAt: time.Now()}
				oan.st = bwgateway.NewControlState(bwgateway.ControlStateConfig{
					Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Peers: prs,
				})
				oan.st.Start(ctx)
				oan.st.StartAnnouncing(ctx, oan.write)
				oan.read(before, 7)
				tt.play(oan)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				// All times of this process are later than those of the one before.
				if oan.row.Leaving || oan.row.Seen <= ownClock || oan.row.AnnouncedSince <= ownClock {
					t.Errorf("the row is %+v", oan.row)
				}
				if oan.first != oan.row.AnnouncedSince {
					t.Errorf("announced since %v, and at first %v", oan.row.AnnouncedSince, oan.first)
				}
				if oan.writes != tt.writes {
					t.Errorf("%d writes, want %d", oan.writes, tt.writes)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a gateway that believes an older announcement of another one, and puts
// parts of prompts into quarantine again that were cleared since.
func TestOlderAnnouncementIsNotUsed(t *testing.T) {
	quarantine := bwforward.NewQuarantine(bwforward.QuarantineConfig{})
	prs, _ := newPeers(t, "self", func(bwforward.PeerNote) {})
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{
		Pool: bwforward.NewPool(bwforward.PoolConfig{}), Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{}), Quarantine: quarantine, Peers: prs,
	})
	st.Start(t.Context())
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	current := bwforward.Announcement{Member: "a", Address: addr, Seen: ownClock}
	older := bwforward.Announcement{Member: "a", Address: addr, Seen: ownClock - 5*time.Second, Leaving: true, Quarantined: []bwforward.AnnouncedParts{{Parts: []bwforward.PartID{"cleared"}, Until: ownClock + time.Minute}}}
	for ix, ann := range []bwforward.Announcement{current, older} {
		for _, full := range []bool{true, false} {
			if err := st.ApplyAnnouncements(t.Context(), []bwforward.Announcement{ann}, bwgateway.StoreTime{Version: uint64(ix), Clock: ownClock}, full); err != nil {
				t.Fatal(err)
			}
			if vw := st.View(); vw.ActivePeers != 1 || vw.Members != 2 {
				t.Errorf("announcement %d, full %v: %d active peers of %d gateways, want 1 of 2", ix, full, vw.ActivePeers, vw.Members)
			}
		}
	}
	if got := quarantine.All(); len(got) > 0 {
		t.Errorf("%v in quarantine", got)
	}
}
