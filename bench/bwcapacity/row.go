package bwcapacity

import (
	"fmt"
	"io"
	"time"
)

// Row holds the cost of one mechanism for one process, or for one external
// service, at a scale.
type Row struct {
	Role      string
	Item      string
	Mechanism string
	// Memory is in bytes; Messages, Traffic (bytes) and Processor (CPU time) are
	// per second.
	Memory    float64
	Messages  float64
	Traffic   float64
	Processor time.Duration
	// Control is set when the row counts against the control-plane budget.
	Control bool
	// Unmeasured describes the part of the row that is assumed, not measured.
	Unmeasured string
}

// Budget limits the cost of the control plane on one node.
type Budget struct {
	// Processor is the CPU time per second.
	Processor time.Duration
	// Memory is in bytes.
	Memory float64
	// Traffic is in bytes per second.
	Traffic float64
}

// ControlBudget returns the control-plane budget of one node: 1.4% of a core,
// 256 MB and 9 KB/s.
func ControlBudget() Budget {
	return Budget{Processor: 14 * time.Millisecond, Memory: 256e6, Traffic: 9e3}
}

// tokenGap is the time between two tokens of a generation at the peak.
const tokenGap = 46 * time.Millisecond

// Values of Row.Role.
const (
	routerRole = "router"
	agentRole  = "agent"
	tableRole  = "table"
)

// costModel computes costs from the measured slopes for a scale.
type costModel struct {
	mst Measurement
	scl Scale
	err error
}

// cost returns the cost at a size by the named slope. It stores the error of the
// first missing slope in err.
func (cst *costModel) cost(name string, size float64) float64 {
	slp, err := cst.mst.Slope(name)
	if err != nil && cst.err == nil {
		cst.err = err
	}
	return max(slp.At(size), 0)
}

// cpuTime returns the CPU time per second of a number of events per second.
func (cst *costModel) cpuTime(name string, size, events float64) time.Duration {
	return time.Duration(cst.cost(name, size) * events)
}

// EstimateCosts estimates the cost of each mechanism at a scale. It returns an
// error that names the first slope that was not measured.
func EstimateCosts(mst Measurement, scl Scale) ([]Row, error) {
	cst := &costModel{mst: mst, scl: scl}
	// The directory of a router lists all routers and the agents that it follows;
	// that of an agent lists the routers of its region.
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
	wrt := &errorWriter{out: out}
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
			basis := row.Unmeasured
			if basis == "" {
				basis = "measured slopes"
			}
			wrt.printf("| %s | %s | %s | %.3g | %s | %s | %s | %s |\n", row.Item, row.Mechanism,
				bytesText(row.Memory), row.Messages, bytesText(row.Traffic), cpuTimeText(row.Processor), kind, basis)
		}
		if role != tableRole {
			wrt.printf("| **sum of control** | | %s | %.3g | %s | %s | budget: %s, %s/s, %s | |\n",
				bytesText(sum.Memory), sum.Messages, bytesText(sum.Traffic), cpuTimeText(sum.Processor),
				bytesText(ControlBudget().Memory), bytesText(ControlBudget().Traffic), cpuTimeText(ControlBudget().Processor))
		}
	}
	return wrt.err
}

// errorWriter stores the first write error and skips all later writes.
type errorWriter struct {
	out io.Writer
	err error
}

func (wrt *errorWriter) printf(format string, args ...any) {
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

func cpuTimeText(dur time.Duration) string {
	switch {
	case dur == 0:
		return "–"
	case dur >= time.Millisecond:
		return fmt.Sprintf("%.2f ms", float64(dur)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.1f µs", float64(dur)/float64(time.Microsecond))
}
