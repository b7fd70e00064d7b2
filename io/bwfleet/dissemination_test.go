package bwfleet_test

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

// maxPropagation is the limit in invariants I6 and I8.
const maxPropagation = 3 * time.Second

// normalPropagation is the limit for a ticket without faults: twice the store
// pollers' interval of 500 ms. Exchanges without pushes take longer.
const normalPropagation = time.Second

// gridSizes lists the numbers of processes; the target is 4,000. The figures in
// docs/notes/dissemination.md were measured with larger sizes.
var gridSizes = flag.String("sizes", "68,136", "numbers of processes")

// hasTicket returns a condition that a process has a ticket.
func hasTicket(num bwmodel.TicketNumber) func(*gridProcess) bool {
	return func(prc *gridProcess) bool { return number(prc.fleet) >= num }
}

// usesAsHolder returns a condition that a process would choose the given
// incarnation of a member as a record's holder.
func usesAsHolder(id bwmodel.MemberID, inc bwmodel.Incarnation) func(*gridProcess) bool {
	return func(prc *gridProcess) bool {
		for _, mem := range bwmember.RecordHolders(prc.self, prc.fleet.Snapshot().Members, bwmodel.RequestID{}) {
			if mem.ID == id && mem.Incarnation == inc {
				return true
			}
		}
		return false
	}
}

func not(cond func(*gridProcess) bool) func(*gridProcess) bool {
	return func(prc *gridProcess) bool { return !cond(prc) }
}

// Guards against a ticket that takes longer than normalPropagation to reach all
// processes, and against traffic that grows with the fleet. The budget is 9 KB/s
// for each process, half of it for payloads.
func TestDisseminationBySize(t *testing.T) {
	for _, size := range strings.Split(*gridSizes, ",") {
		count, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) {
			runOnGrid(t, count, func(t *testing.T, grd *grid) {
				grd.countTraffic(10 * time.Second)
				idle := grd.stats(10 * time.Second)
				t.Logf("without tickets: %s", idle)
				var worst time.Duration
				for num := range 8 {
					time.Sleep(time.Duration(137*num) * time.Millisecond)
					tk := bwmodel.TicketNumber(10 + num)
					grd.store.accept(tk)
					took := timeUntil(grd.procs, hasTicket(tk))
					worst = max(worst, took)
				}
				t.Logf("a ticket reached all processes within %v", worst)
				if worst > normalPropagation {
					t.Errorf("a ticket reached all processes after %v, want at most %v", worst, normalPropagation)
				}
				if idle.maxRouter > 4500 || idle.maxAgent > 4500 {
					t.Errorf("payloads of %d bytes/s for a router and %d for an agent, want at most 4500", idle.maxRouter, idle.maxAgent)
				}
				// The cost of a ticket is the traffic above the rate without tickets.
				grd.countTraffic(10 * time.Second)
				bytes, messages := grd.bytes, grd.messages
				messages, bytes = -messages, -bytes
				for num := range 5 {
					grd.store.accept(bwmodel.TicketNumber(100 + num))
					grd.countTraffic(2 * time.Second)
					messages, bytes = messages+grd.messages, bytes+grd.bytes
				}
				processTickets := float64(5 * len(grd.procs))
				t.Logf("one ticket: %.1f messages and %.0f bytes sent by a process", float64(messages)/processTickets, float64(bytes)/processTickets)
			})
		})
	}
}

// trafficStats is the traffic of one process without headers; bytes per second
// are those sent and received.
type trafficStats struct {
	messages  float64
	router    int
	agent     int
	maxRouter int
	maxAgent  int
}

func (sts trafficStats) String() string {
	return fmt.Sprintf("%.1f messages/s sent by a process, sent and received: router %d bytes/s (at most %d), agent %d bytes/s (at most %d)",
		sts.messages, sts.router, sts.maxRouter, sts.agent, sts.maxAgent)
}

func (grd *grid) stats(span time.Duration) trafficStats {
	sts := trafficStats{messages: float64(grd.messages) / float64(len(grd.procs)) / span.Seconds()}
	var routers, agents, routerSum, agentSum int
	for _, prc := range grd.procs {
		rate := int(float64(prc.sent+prc.received) / span.Seconds())
		if prc.self.Role == bwmodel.RouterRole {
			routers, routerSum, sts.maxRouter = routers+1, routerSum+rate, max(sts.maxRouter, rate)
		} else {
			agents, agentSum, sts.maxAgent = agents+1, agentSum+rate, max(sts.maxAgent, rate)
		}
	}
	sts.router, sts.agent = routerSum/routers, agentSum/agents
	return sts
}

// Guards against a dead router that others still choose as a record's holder
// after 3 s, against a replacement that they don't choose by then, and against
// routers of a failed zone that they still choose.
func TestDeadRouterIsRemoved(t *testing.T) {
	runOnGrid(t, 136, func(t *testing.T, grd *grid) {
		var worst time.Duration
		for ix := range 6 {
			prc := grd.procs[4*(7+4*ix)]
			time.Sleep(time.Duration(ix) * 170 * time.Millisecond)
			grd.kill(prc)
			took := timeUntil(grd.routers(), not(usesAsHolder(prc.self.ID, prc.self.Incarnation)))
			worst = max(worst, took)
			replacement := grd.start(4 * (7 + 4*ix))
			if took := timeUntil(grd.routers(), func(rtr *gridProcess) bool {
				return rtr == replacement || usesAsHolder(replacement.self.ID, replacement.self.Incarnation)(rtr)
			}); took > maxPropagation {
				t.Errorf("replacement of a router known to all after %v, want at most %v", took, maxPropagation)
			}
		}
		t.Logf("dead router removed by all within %v", worst)
		if worst > maxPropagation {
			t.Errorf("dead router removed by all after %v, want at most %v", worst, maxPropagation)
		}
		var failed []*gridProcess
		for _, prc := range grd.procs {
			if prc.self.Zone == "zone-03" && !prc.dead {
				failed = append(failed, prc)
				grd.kill(prc)
			}
		}
		took := timeUntil(grd.routers(), func(rtr *gridProcess) bool {
			for _, prc := range failed {
				if usesAsHolder(prc.self.ID, prc.self.Incarnation)(rtr) {
					return false
				}
			}
			return true
		})
		t.Logf("failed zone removed by all after %v", took)
		if took > maxPropagation {
			t.Errorf("failed zone removed by all after %v, want at most %v", took, maxPropagation)
		}
	})
}

// Guards against a region that misses a ticket while it is partitioned from the
// others, that doesn't catch up after the partition, or whose members stay
// removed.
func TestRegionPartition(t *testing.T) {
	runOnGrid(t, 136, func(t *testing.T, grd *grid) {
		grd.setPartition(true, false)
		time.Sleep(10 * time.Second)
		grd.store.accept(20)
		if took := timeUntil(grd.procs, hasTicket(20)); took > maxPropagation {
			t.Errorf("partition, store reachable: ticket at all processes after %v, want at most %v", took, maxPropagation)
		}
		grd.setPartition(true, true)
		time.Sleep(10 * time.Second)
		grd.store.accept(21)
		var others []*gridProcess
		for _, prc := range grd.procs {
			if prc.region != 0 {
				others = append(others, prc)
			}
		}
		if took := timeUntil(others, hasTicket(21)); took > maxPropagation {
			t.Errorf("partition, one region without the store: ticket at the other regions after %v, want at most %v", took, maxPropagation)
		}
		// A router of the region is replaced during the partition. By its end, the
		// change is no longer part of the messages.
		grd.kill(grd.procs[24])
		replacement := grd.start(24)
		time.Sleep(70 * time.Second)
		grd.setPartition(false, true)
		took := timeUntil(grd.alive(), hasTicket(21))
		t.Logf("partition ended, one region without the store: ticket at all processes after %v", took)
		if took > maxPropagation {
			t.Errorf("partition ended, one region without the store: ticket at all processes after %v, want at most %v", took, maxPropagation)
		}
		grd.setPartition(false, false)
		time.Sleep(20 * time.Second)
		for _, rtr := range grd.routers() {
			if rtr != replacement && !usesAsHolder(replacement.self.ID, replacement.self.Incarnation)(rtr) {
				t.Errorf("%s doesn't list the router that was replaced during the partition", rtr.self.ID)
			}
			live := 0
			for _, ent := range rtr.fleet.Snapshot().Members {
				if ent.Status == bwmember.Live && ent.Member.Role == bwmodel.RouterRole {
					live++
				}
			}
			if live != len(grd.routers())-1 {
				t.Errorf("%s lists %d live routers after the partition, want %d", rtr.self.ID, live, len(grd.routers())-1)
			}
		}
	})
}
