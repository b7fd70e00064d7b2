package bwcommand

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
)

// fleetStatus is what status prints.
type fleetStatus struct {
	Members   *bwadmin.MemberList
	Upstreams *bwadmin.UpstreamList
	Drains    *bwadmin.DrainList
}

func newStatusCommand(cfg *Config) *cobra.Command {
	cn, pr := &connection{cfg: cfg}, &printer{}
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the fleet at a glance, as one process sees it",
		Example: "  bilberrywick status --address 127.0.0.1:7002",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := pr.check(); err != nil {
				return err
			}
			cl, err := cn.client()
			if err != nil {
				return err
			}
			defer cl.Close()
			sts, err := readStatus(cmd.Context(), cl)
			if err != nil {
				return classify(err)
			}
			return pr.print(cmd.OutOrStdout(), sts, sts.write)
		},
	}
	cn.addFlags(cmd)
	pr.addFlags(cmd)
	return cmd
}

func readStatus(ctx context.Context, cl *bwadmin.Client) (*fleetStatus, error) {
	sts := &fleetStatus{}
	var err error
	if sts.Members, err = cl.Members(ctx); err != nil {
		return nil, err
	}
	if sts.Upstreams, err = cl.Upstreams(ctx); err != nil {
		return nil, err
	}
	sts.Drains, err = cl.Drains(ctx)
	return sts, err
}

func (sts *fleetStatus) write(out io.Writer) {
	mbs := sts.Members
	writeLine(out, "Ticket %d in force at %s", mbs.Head, mbs.Self)
	sts.writeMembers(out)
	sts.writeServices(out)
	sts.writeTroubles(out)
}

// zoneRole groups members for one line.
type zoneRole struct {
	zone bwmodel.ZoneID
	role string
}

func (sts *fleetStatus) writeMembers(out io.Writer) {
	counts := make(map[zoneRole]map[string]int)
	for _, mbr := range sts.Members.Members {
		key := zoneRole{mbr.Zone, mbr.Role}
		if counts[key] == nil {
			counts[key] = make(map[string]int)
		}
		counts[key][mbr.State]++
	}
	keys := make([]zoneRole, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareZoneRoles)
	writeLine(out, "\nZONE\tROLE\tMEMBERS")
	for _, key := range keys {
		writeLine(out, "%s\t%s\t%s", key.zone, key.role, countsText(counts[key]))
	}
}

func compareZoneRoles(one, two zoneRole) int {
	return cmp.Or(cmp.Compare(one.zone, two.zone), cmp.Compare(one.role, two.role))
}

// serviceSum adds up the upstreams of one service.
type serviceSum struct {
	health                  map[string]int
	running, waiting, slots int
}

func (sts *fleetStatus) writeServices(out io.Writer) {
	sums := make(map[bwmodel.ServiceID]*serviceSum)
	var names []bwmodel.ServiceID
	for _, ups := range sts.Upstreams.Upstreams {
		sum := sums[ups.Service]
		if sum == nil {
			sum = &serviceSum{health: make(map[string]int)}
			sums[ups.Service] = sum
			names = append(names, ups.Service)
		}
		sum.health[ups.Health]++
		sum.running += ups.Running
		sum.waiting += ups.Waiting
		sum.slots += ups.Slots
	}
	slices.Sort(names)
	writeLine(out, "\nSERVICE\tUPSTREAMS\tRUNNING/SLOTS\tWAITING")
	for _, name := range names {
		sum := sums[name]
		writeLine(out, "%s\t%s\t%d/%d\t%d", name, countsText(sum.health), sum.running, sum.slots, sum.waiting)
	}
}

// writeTroubles lists everything that is not live or healthy, or that drains.
func (sts *fleetStatus) writeTroubles(out io.Writer) {
	writeLine(out, "\nNEEDS ATTENTION\tSTATE\tDETAIL")
	none := true
	for _, mbr := range sts.Members.Members {
		if mbr.State != "Live" || mbr.StateNumber < sts.Members.Head {
			none = false
			writeLine(out, "%s\t%s\tticket %d, heard %v ago", mbr.ID, mbr.State, mbr.StateNumber, time.Duration(mbr.Age))
		}
	}
	for _, ups := range sts.Upstreams.Upstreams {
		if ups.Health != "Healthy" {
			none = false
			writeLine(out, "%s\t%s\t%s", ups.Name, ups.Health, ups.Reason)
		}
	}
	for _, drn := range sts.Drains.Drains {
		none = false
		writeLine(out, "%s\tDraining\t%s, %d requests remain", drn.Name, drn.Cause, drn.Remaining)
	}
	if none {
		writeLine(out, "(nothing)\t\t")
	}
}

// countsText returns "3 Live, 1 Suspect", the most frequent state first.
func countsText(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(one, two string) int {
		return cmp.Or(cmp.Compare(counts[two], counts[one]), cmp.Compare(one, two))
	})
	for ix, name := range names {
		names[ix] = strconv.Itoa(counts[name]) + " " + name
	}
	return strings.Join(names, ", ")
}
