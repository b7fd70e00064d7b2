package bwforward

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Roster counts the gateways that have announced themselves. Its control
// goroutine owns it.
type Roster struct {
	seen map[bwmodel.MemberID]time.Duration
}

const (
	// AnnounceInterval is the time between two announcements, which have a
	// price; the number of gateways changes slowly.
	AnnounceInterval = 15 * time.Second
	// rosterAge is the age of an announcement whose gateway still counts.
	rosterAge = 2*AnnounceInterval + 5*time.Second
)

// Replace takes in all announcements, with the time of each on one steady clock.
func (rst *Roster) Replace(seen map[bwmodel.MemberID]time.Duration) { rst.seen = seen }

// Count returns the gateways whose last announcement is young enough; at least
// this one.
func (rst *Roster) Count(now time.Duration) int {
	count := 0
	for _, at := range rst.seen {
		if now-at < rosterAge {
			count++
		}
	}
	return max(count, 1)
}
