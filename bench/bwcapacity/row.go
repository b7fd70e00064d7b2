package bwcapacity

import (
	"fmt"
	"io"
	"time"
)

// Row is what one mechanism costs one process, or one outside service, at a scale.
type Row struct {
	Role      string
	Item      string
	Mechanism string
	// Memory is in bytes; Messages, Traffic (bytes) and Processor are per second.
	Memory    float64
	Messages  float64
	Traffic   float64
	Processor time.Duration
	// Control says that the row counts against the budget of control.
	Control bool
	// Unmeasured says which part of the row rests on an assumption.
	Unmeasured string
}

// Budget is what control may cost one node.
type Budget struct {
	// Processor is the processor time in a second.
	Processor time.Duration
	Memory    float64
	Traffic   float64
}

// ControlBudget returns the budget of control of one node: 1.4% of a core,
// 256 MB and 9 KB/s.
func ControlBudget() Budget {
	return Budget{Processor: 14 * time.Millisecond, Memory: 256e6, Traffic: 9e3}
}

// tokenGap is the time between two tokens of a generation at the peak.
const tokenGap = 46 * time.Millisecond

// Roles of the rows.
const (
	routerRole = "router"
	agentRole  = "agent"
	tableRole  = "table"
)

// costs gives the rows access to the slopes by name.
type costs struct {
	mst Measurement
	scl Scale
	err error
}

// at returns a cost at a size, and keeps the first missing slope as an error.
func (cst *costs) at(name string, size float64) float64 {
	slp, err := cst.mst.Slope(name)
	if err != nil && cst.err == nil {
		cst.err = err
	}
	return max(slp.At(size), 0)
}

// nanos returns a processor time for a number of events in a second.
func (cst *costs) nanos(name string, size, events float64) time.Duration {
	return time.Duration(cst.at(name, size) * events)
}

// EstimateCosts works out what each mechanism costs at a scale, or returns an error that
// names a slope that was not measured.
func EstimateCosts(mst Measurement, scl Scale) ([]Row, error) {
	cst := &costs{mst: mst, scl: scl}
	// A router knows all routers and the agents that it follows, an agent the
	// routers of its region.
	rows := cst.sharedRows(routerRole, float64(scl.Routers)+scl.FollowedUpstreams(), routerExchanges)
	rows = append(rows, cst.routerRows()...)
	rows = append(rows, cst.trafficRows()...)
	rows = append(rows, cst.sharedRows(agentRole, float64(scl.Routers)/float64(scl.Regions), agentExchanges)...)
	rows = append(rows, cst.agentRows()...)
	rows = append(rows, cst.tableRows()...)
	return rows, cst.err
}

// WriteMarkdown writes the rows of each role as a table, with the sum of its
// control rows against the budget.
func WriteMarkdown(out io.Writer, rows []Row) error {
	wrt := &writer{out: out}
	for _, role := range []string{routerRole, agentRole, tableRole} {
		wrt.printf("\n### %s\n\n", role)
		wrt.printf("| item | mechanism | memory | messages/s | bytes/s | processor/s | counts as | rests on |\n")
		wrt.printf("|---|---|---|---|---|---|---|---|\n")
		var sum Row
		for _, row := range rows {
			if row.Role != role {
				continue
			}
			kind := "traffic"
			if row.Control {
				kind = "control"
				sum.Memory += row.Memory
				sum.Messages += row.Messages
				sum.Traffic += row.Traffic
				sum.Processor += row.Processor
			}
			rests := row.Unmeasured
			if rests == "" {
				rests = "measured slopes"
			}
			wrt.printf("| %s | %s | %s | %.3g | %s | %s | %s | %s |\n", row.Item, row.Mechanism,
				bytesText(row.Memory), row.Messages, bytesText(row.Traffic), processorText(row.Processor), kind, rests)
		}
		if role != tableRole {
			wrt.printf("| **sum of control** | | %s | %.3g | %s | %s | budget: %s, %s/s, %s | |\n",
				bytesText(sum.Memory), sum.Messages, bytesText(sum.Traffic), processorText(sum.Processor),
				bytesText(ControlBudget().Memory), bytesText(ControlBudget().Traffic), processorText(ControlBudget().Processor))
		}
	}
	return wrt.err
}

// writer keeps the first error of many writes.
type writer struct {
	out io.Writer
	err error
}

func (wrt *writer) printf(format string, args ...any) {
	if wrt.err == nil {
		_, wrt.err = fmt.Fprintf(wrt.out, format, args...)
	}
}

func bytesText(count float64) string {
	switch {
	case count == 0:
		return "–"
	case count >= 1e6:
		return fmt.Sprintf("%.1f MB", count/1e6)
	case count >= 1e3:
		return fmt.Sprintf("%.1f KB", count/1e3)
	}
	return fmt.Sprintf("%.0f B", count)
}

func processorText(dur time.Duration) string {
	switch {
	case dur == 0:
		return "–"
	case dur >= time.Millisecond:
		return fmt.Sprintf("%.2f ms", float64(dur)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.1f µs", float64(dur)/float64(time.Microsecond))
}
