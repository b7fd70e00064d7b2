package bwcommand

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bilberrywick/cmd/bwprint"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
)

// liveState is the state of a member that needs no attention; readyText is printed
// for a process that is ready.
const (
	liveState = "Live"
	readyText = "Yes"
)

// write prints the queried processes, the members and services, and what needs attention.
func (sts *fleetStatus) write(out io.Writer) {
	ovw := newOverview(sts.Processes)
	bwprint.Linef(out, "Ticket %d in force\n", ovw.head)
	sts.writeProcesses(out)
	ovw.writeMembers(out)
	ovw.writeServices(out)
	ovw.writeProblems(out, sts.Processes)
}

func (sts *fleetStatus) writeProcesses(out io.Writer) {
	bwprint.Linef(out, "PROCESS\tADDRESS\tREADY\tTICKET")
	for _, pst := range sts.Processes {
		if pst.err != nil {
			bwprint.Linef(out, "?\t%v\t%s\t-", pst.Address, "no answer")
			continue
		}
		ready := readyText
		if !pst.Ready {
			ready = "No"
		}
		bwprint.Linef(out, "%s\t%v\t%s\t%d", pst.Members.Self, pst.Address, ready, pst.Members.Head)
	}
}

// overview merges the views of several processes.
type overview struct {
	members   map[bwmodel.MemberID]*memberView
	upstreams map[bwmodel.UpstreamID]*upstreamView
	head      bwmodel.TicketNumber
}

// memberView is one member in the merged views; states counts the processes by the
// state that they report for it.
type memberView struct {
	bwadmin.MemberStatus
	states map[string]int
}

// upstreamView is one upstream in the merged views; healths counts the processes by
// the health that they report for it.
type upstreamView struct {
	bwadmin.UpstreamStatus
	healths map[string]int
}

func newOverview(list []processStatus) *overview {
	ovw := &overview{members: make(map[bwmodel.MemberID]*memberView), upstreams: make(map[bwmodel.UpstreamID]*upstreamView)}
	for _, pst := range list {
		if pst.err != nil {
			continue
		}
		ovw.head = max(ovw.head, pst.Members.Head)
		for _, mbr := range pst.Members.Members {
			ovw.addMember(mbr)
		}
		for _, ups := range pst.Upstreams.Upstreams {
			ovw.addUpstream(ups)
		}
	}
	return ovw
}

func (ovw *overview) addMember(mbr bwadmin.MemberStatus) {
	vw := ovw.members[mbr.ID]
	if vw == nil {
		vw = &memberView{MemberStatus: mbr, states: make(map[string]int)}
		ovw.members[mbr.ID] = vw
	}
	vw.states[mbr.State]++
	vw.StateNumber = max(vw.StateNumber, mbr.StateNumber)
	vw.Age = min(vw.Age, mbr.Age)
}

// addUpstream merges one process's view of an upstream. The view shown is that of a
// process that follows the upstream, preferably one that reports it as not healthy.
func (ovw *overview) addUpstream(ups bwadmin.UpstreamStatus) {
	vw := ovw.upstreams[ups.Name]
	if vw == nil {
		vw = &upstreamView{UpstreamStatus: ups, healths: make(map[string]int)}
		ovw.upstreams[ups.Name] = vw
	}
	if ups.Health == bwadmin.NotFollowedUpstream {
		return
	}
	vw.healths[ups.Health]++
	if vw.Health == bwadmin.NotFollowedUpstream || vw.Health == bwadmin.HealthyUpstream {
		vw.UpstreamStatus = ups
	}
}

// zoneRole is the key that groups members into one line of the table.
type zoneRole struct {
	zone bwmodel.ZoneID
	role string
}

func compareZoneRoles(left, right zoneRole) int {
	return cmp.Or(cmp.Compare(left.zone, right.zone), cmp.Compare(left.role, right.role))
}

func (ovw *overview) writeMembers(out io.Writer) {
	counts := make(map[zoneRole]map[string]int)
	for _, vw := range ovw.members {
		key := zoneRole{vw.Zone, vw.Role}
		if counts[key] == nil {
			counts[key] = make(map[string]int)
		}
		counts[key][worstState(vw.states, liveState)]++
	}
	bwprint.Linef(out, "\nZONE\tROLE\tMEMBERS")
	for _, key := range slices.SortedFunc(maps.Keys(counts), compareZoneRoles) {
		bwprint.Linef(out, "%s\t%s\t%s", key.zone, key.role, countsText(counts[key]))
	}
}

// serviceTotals sums over the upstreams of one service; health counts them by health.
type serviceTotals struct {
	health                  map[string]int
	running, waiting, slots int
}

func (ovw *overview) writeServices(out io.Writer) {
	sums := make(map[bwmodel.ServiceID]*serviceTotals)
	for _, ups := range ovw.upstreams {
		sum := sums[ups.Service]
		if sum == nil {
			sum = &serviceTotals{health: make(map[string]int)}
			sums[ups.Service] = sum
		}
		sum.health[ups.Health]++
		sum.running += ups.Running
		sum.waiting += ups.Waiting
		sum.slots += ups.Slots
	}
	bwprint.Linef(out, "\nSERVICE\tUPSTREAMS\tRUNNING/SLOTS\tWAITING")
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[name]
		bwprint.Linef(out, "%s\t%s\t%d/%d\t%d", name, countsText(sum.health), sum.running, sum.slots, sum.waiting)
	}
}

// writeProblems lists processes, members and upstreams that did not respond, are not
// live or healthy, are behind the latest ticket, or are draining.
func (ovw *overview) writeProblems(out io.Writer, list []processStatus) {
	lines := processProblems(list)
	for _, id := range slices.Sorted(maps.Keys(ovw.members)) {
		vw := ovw.members[id]
		if vw.states[liveState] != sumCounts(vw.states) || vw.StateNumber < ovw.head {
			age := time.Duration(vw.Age).Round(time.Millisecond)
			lines = append(lines, fmt.Sprintf("%s\t%s\tticket %d, heard %v ago", id, statesText(vw.states), vw.StateNumber, age))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(ovw.upstreams)) {
		vw := ovw.upstreams[name]
		if vw.Health != bwadmin.HealthyUpstream && vw.Health != bwadmin.DrainingUpstream {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%s", name, statesText(vw.healths), vw.Reason))
		}
	}
	lines = append(lines, drainProblems(list)...)
	bwprint.Linef(out, "\nNEEDS ATTENTION\tSTATE\tDETAIL")
	for _, line := range lines {
		bwprint.Linef(out, "%s", line)
	}
	if len(lines) == 0 {
		bwprint.Linef(out, "(nothing)\t\t")
	}
}

func processProblems(list []processStatus) []string {
	var lines []string
	for _, pst := range list {
		switch {
		case pst.err != nil:
			lines = append(lines, fmt.Sprintf("%v\tNo answer\t%s", pst.Address, pst.Error))
		case !pst.Ready:
			lines = append(lines, fmt.Sprintf("%s\tNot ready\t%s", pst.Members.Self, pst.Reason))
		}
		if pst.err == nil && !pst.Members.StoreLost.IsZero() {
			since := pst.Members.StoreLost.UTC().Format(time.TimeOnly)
			lines = append(lines, fmt.Sprintf("%s\tStore lost\tthe platform's table has not answered since %s UTC", pst.Members.Self, since))
		}
	}
	return lines
}

// drainProblems sums the remaining requests of each drain over all processes.
func drainProblems(list []processStatus) []string {
	remaining := make(map[bwadmin.DrainStatus]int)
	for _, pst := range list {
		if pst.err != nil {
			continue
		}
		for _, drn := range pst.Drains.Drains {
			// The members table already shows a leaving member by its state.
			if drn.Cause != bwadmin.CauseMember {
				remaining[bwadmin.DrainStatus{Kind: drn.Kind, Name: drn.Name, Cause: drn.Cause}] += drn.Remaining
			}
		}
	}
	var lines []string
	for drn, count := range remaining {
		lines = append(lines, fmt.Sprintf("%s\tDraining\t%s, %d requests remain", drn.Name, drn.Cause, count))
	}
	slices.Sort(lines)
	return lines
}

// worstState returns the most frequent state other than normal, or normal when there is none.
func worstState(counts map[string]int, normal string) string {
	for _, name := range namesByCount(counts) {
		if name != normal {
			return name
		}
	}
	return normal
}

func sumCounts(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// statesText returns the state that all processes report, or each reported state
// with the number of processes.
func statesText(counts map[string]int) string {
	if len(counts) == 1 {
		return namesByCount(counts)[0]
	}
	parts := namesByCount(counts)
	for ix, name := range parts {
		parts[ix] = fmt.Sprintf("%s at %d", name, counts[name])
	}
	return strings.Join(parts, ", ")
}

// countsText returns text such as "3 Live, 1 Suspect", the most frequent state first.
func countsText(counts map[string]int) string {
	names := namesByCount(counts)
	for ix, name := range names {
		names[ix] = strconv.Itoa(counts[name]) + " " + name
	}
	return strings.Join(names, ", ")
}

func namesByCount(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(left, right string) int {
		return cmp.Or(cmp.Compare(counts[right], counts[left]), cmp.Compare(left, right))
	})
}
