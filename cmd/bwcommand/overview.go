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

// States and health that need no attention.
const (
	liveState = "Live"
	readyText = "Yes"
)

// write prints the processes that were asked, the fleet, and what needs attention.
func (sts *fleetStatus) write(out io.Writer) {
	ovw := newOverview(sts.Processes)
	bwprint.Linef(out, "Ticket %d in force\n", ovw.head)
	sts.writeProcesses(out)
	ovw.writeMembers(out)
	ovw.writeServices(out)
	ovw.writeTroubles(out, sts.Processes)
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

// overview joins the views of several processes.
type overview struct {
	members   map[bwmodel.MemberID]*memberView
	upstreams map[bwmodel.UpstreamID]*upstreamView
	head      bwmodel.TicketNumber
}

// memberView is one member as several processes see it.
type memberView struct {
	bwadmin.MemberStatus
	states map[string]int
}

// upstreamView is one upstream as several processes see it.
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

// addUpstream keeps the view of a process that follows the upstream and finds a fault in it.
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

// zoneRole groups members for one line.
type zoneRole struct {
	zone bwmodel.ZoneID
	role string
}

func compareZoneRoles(one, two zoneRole) int {
	return cmp.Or(cmp.Compare(one.zone, two.zone), cmp.Compare(one.role, two.role))
}

func (ovw *overview) writeMembers(out io.Writer) {
	counts := make(map[zoneRole]map[string]int)
	for _, vw := range ovw.members {
		key := zoneRole{vw.Zone, vw.Role}
		if counts[key] == nil {
			counts[key] = make(map[string]int)
		}
		counts[key][worst(vw.states, liveState)]++
	}
	bwprint.Linef(out, "\nZONE\tROLE\tMEMBERS")
	for _, key := range slices.SortedFunc(maps.Keys(counts), compareZoneRoles) {
		bwprint.Linef(out, "%s\t%s\t%s", key.zone, key.role, countsText(counts[key]))
	}
}

// serviceSum adds up the upstreams of one service.
type serviceSum struct {
	health                  map[string]int
	running, waiting, slots int
}

func (ovw *overview) writeServices(out io.Writer) {
	sums := make(map[bwmodel.ServiceID]*serviceSum)
	for _, ups := range ovw.upstreams {
		sum := sums[ups.Service]
		if sum == nil {
			sum = &serviceSum{health: make(map[string]int)}
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

// writeTroubles lists everything that is not live or healthy, that is behind
// the tickets, that drains or that did not answer.
func (ovw *overview) writeTroubles(out io.Writer, list []processStatus) {
	lines := processTroubles(list)
	for _, id := range slices.Sorted(maps.Keys(ovw.members)) {
		vw := ovw.members[id]
		if vw.states[liveState] != total(vw.states) || vw.StateNumber < ovw.head {
			age := time.Duration(vw.Age).Round(time.Millisecond)
			lines = append(lines, fmt.Sprintf("%s\t%s\tticket %d, heard %v ago", id, seenText(vw.states), vw.StateNumber, age))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(ovw.upstreams)) {
		vw := ovw.upstreams[name]
		if vw.Health != bwadmin.HealthyUpstream && vw.Health != bwadmin.DrainingUpstream {
			lines = append(lines, fmt.Sprintf("%s\t%s\t%s", name, seenText(vw.healths), vw.Reason))
		}
	}
	lines = append(lines, drainTroubles(list)...)
	bwprint.Linef(out, "\nNEEDS ATTENTION\tSTATE\tDETAIL")
	for _, line := range lines {
		bwprint.Linef(out, "%s", line)
	}
	if len(lines) == 0 {
		bwprint.Linef(out, "(nothing)\t\t")
	}
}

func processTroubles(list []processStatus) []string {
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

// drainTroubles adds up what the processes say of one drain.
func drainTroubles(list []processStatus) []string {
	remaining := make(map[bwadmin.DrainStatus]int)
	for _, pst := range list {
		if pst.err != nil {
			continue
		}
		for _, drn := range pst.Drains.Drains {
			// A leaving member shows by its state already.
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

// worst returns the most frequent state that is not good, or good.
func worst(counts map[string]int, good string) string {
	for _, name := range byCount(counts) {
		if name != good {
			return name
		}
	}
	return good
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// seenText returns the state, with the number of processes that see it when they differ.
func seenText(counts map[string]int) string {
	if len(counts) == 1 {
		return byCount(counts)[0]
	}
	parts := byCount(counts)
	for ix, name := range parts {
		parts[ix] = fmt.Sprintf("%s at %d", name, counts[name])
	}
	return strings.Join(parts, ", ")
}

// countsText returns "3 Live, 1 Suspect", the most frequent state first.
func countsText(counts map[string]int) string {
	names := byCount(counts)
	for ix, name := range names {
		names[ix] = strconv.Itoa(counts[name]) + " " + name
	}
	return strings.Join(names, ", ")
}

func byCount(counts map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counts), func(one, two string) int {
		return cmp.Or(cmp.Compare(counts[two], counts[one]), cmp.Compare(one, two))
	})
}
