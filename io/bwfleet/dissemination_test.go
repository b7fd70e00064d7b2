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

// limit is the time of invariants I6 and I8.
const limit = 3 * time.Second

// gridSizes are the numbers of processes; the target is 4,000. The figures of
// docs/notes/dissemination.md come from larger sizes.
var gridSizes = flag.String("sizes", "68,136", "numbers of processes")

// has returns a condition that a process has a ticket.
func has(num bwmodel.TicketNumber) func(*gridProcess) bool {
	return func(prc *gridProcess) bool { return number(prc.fleet) >= num }
}

// holds returns a condition that a process would give a record to a member,
// in the run with an incarnation.
func holds(id bwmodel.MemberID, inc bwmodel.Incarnation) func(*gridProcess) bool {
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

// Guards against a ticket that is not everywhere within 3 s, and against
// traffic that grows with the fleet: 9 KB/s for each process is the budget, of
// which payloads may take half.
func TestDisseminationBySize(t *testing.T) {
	for _, size := range strings.Split(*gridSizes, ",") {
		count, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) {
			onGrid(t, count, func(t *testing.T, grd *grid) {
				grd.measure(10 * time.Second)
				quiet := grd.figures(10 * time.Second)
				t.Logf("quiet: %s", quiet)
				var worst time.Duration
				for num := range 8 {
					time.Sleep(time.Duration(137*num) * time.Millisecond)
					tk := bwmodel.TicketNumber(10 + num)
					grd.store.accept(tk)
					took := until(grd.procs, has(tk))
					worst = max(worst, took)
				}
				t.Logf("ticket everywhere after %v at most", worst)
				if worst > limit {
					t.Errorf("ticket everywhere after %v, want at most %v", worst, limit)
				}
				if quiet.maxRouter > 4500 || quiet.maxAgent > 4500 {
					t.Errorf("payloads of %d bytes/s for a router and %d for an agent, want at most 4500", quiet.maxRouter, quiet.maxAgent)
				}
				// A ticket costs what is sent above the quiet rate.
				grd.measure(10 * time.Second)
				base, messages := grd.bytes, grd.messages
				messages, base = -messages, -base
				for num := range 5 {
					grd.store.accept(bwmodel.TicketNumber(100 + num))
					grd.measure(2 * time.Second)
					messages, base = messages+grd.messages, base+grd.bytes
				}
				each := float64(5 * len(grd.procs))
				t.Logf("one change: %.1f messages and %.0f bytes sent by a process", float64(messages)/each, float64(base)/each)
			})
		})
	}
}

// figures are the traffic of one process, sent and received, without headers.
type figures struct {
	messages  float64
	router    int
	agent     int
	maxRouter int
	maxAgent  int
}

func (fig figures) String() string {
	return fmt.Sprintf("%.1f messages/s sent by a process, sent and received: router %d bytes/s (at most %d), agent %d bytes/s (at most %d)",
		fig.messages, fig.router, fig.maxRouter, fig.agent, fig.maxAgent)
}

func (grd *grid) figures(span time.Duration) figures {
	fig := figures{messages: float64(grd.messages) / float64(len(grd.procs)) / span.Seconds()}
	var routers, agents, routerSum, agentSum int
	for _, prc := range grd.procs {
		rate := int(float64(prc.sent+prc.received) / span.Seconds())
		if prc.self.Role == bwmodel.RouterRole {
			routers, routerSum, fig.maxRouter = routers+1, routerSum+rate, max(fig.maxRouter, rate)
		} else {
			agents, agentSum, fig.maxAgent = agents+1, agentSum+rate, max(fig.maxAgent, rate)
		}
	}
	fig.router, fig.agent = routerSum/routers, agentSum/agents
	return fig
}

// Guards against a dead router that others still give records to after 3 s,
// against a replaced one that they don't find, and against a lost zone.
func TestDeadRouterDropsOut(t *testing.T) {
	onGrid(t, 136, func(t *testing.T, grd *grid) {
		var worst time.Duration
		for ix := range 6 {
			prc := grd.procs[4*(7+4*ix)]
			time.Sleep(time.Duration(ix) * 170 * time.Millisecond)
			grd.kill(prc)
			took := until(grd.routers(), not(holds(prc.self.ID, prc.self.Incarnation)))
			worst = max(worst, took)
			next := grd.start(4 * (7 + 4*ix))
			if took := until(grd.routers(), func(rtr *gridProcess) bool {
				return rtr == next || holds(next.self.ID, next.self.Incarnation)(rtr)
			}); took > limit {
				t.Errorf("replaced router known after %v, want at most %v", took, limit)
			}
		}
		t.Logf("dead router dropped after %v at most", worst)
		if worst > limit {
			t.Errorf("dead router dropped after %v, want at most %v", worst, limit)
		}
		var lost []*gridProcess
		for _, prc := range grd.procs {
			if prc.self.Zone == "zone-03" && !prc.dead {
				lost = append(lost, prc)
				grd.kill(prc)
			}
		}
		took := until(grd.routers(), func(rtr *gridProcess) bool {
			for _, prc := range lost {
				if holds(prc.self.ID, prc.self.Incarnation)(rtr) {
					return false
				}
			}
			return true
		})
		t.Logf("lost zone dropped after %v", took)
		if took > limit {
			t.Errorf("lost zone dropped after %v, want at most %v", took, limit)
		}
	})
}

// Guards against a region that misses a ticket while it is cut off from the
// others, that does not catch up when it returns, or that loses its members.
func TestRegionSplitsAndHeals(t *testing.T) {
	onGrid(t, 136, func(t *testing.T, grd *grid) {
		grd.cut(true, false)
		time.Sleep(10 * time.Second)
		grd.store.accept(20)
		if took := until(grd.procs, has(20)); took > limit {
			t.Errorf("split, store reachable: ticket everywhere after %v, want at most %v", took, limit)
		}
		grd.cut(true, true)
		time.Sleep(10 * time.Second)
		grd.store.accept(21)
		var others []*gridProcess
		for _, prc := range grd.procs {
			if prc.region != 0 {
				others = append(others, prc)
			}
		}
		if took := until(others, has(21)); took > limit {
			t.Errorf("split, one region without the store: ticket elsewhere after %v, want at most %v", took, limit)
		}
		time.Sleep(70 * time.Second)
		grd.cut(false, true)
		took := until(grd.procs, has(21))
		t.Logf("region back, without the store: ticket everywhere after %v", took)
		if took > limit {
			t.Errorf("region back, without the store: ticket everywhere after %v, want at most %v", took, limit)
		}
		grd.cut(false, false)
		time.Sleep(20 * time.Second)
		for _, rtr := range grd.routers() {
			live := 0
			for _, ent := range rtr.fleet.Snapshot().Members {
				if ent.Status == bwmember.Live && ent.Member.Role == bwmodel.RouterRole {
					live++
				}
			}
			if live != len(grd.routers())-1 {
				t.Errorf("%s sees %d live routers after the split, want %d", rtr.self.ID, live, len(grd.routers())-1)
			}
		}
	})
}
