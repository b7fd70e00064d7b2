package bwwire

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// AgentStatusEvent is an agent's report, sent every second and on each change.
// Its fields have short keys and are omitted while unchanged, since a router at
// target scale subscribes to 96 agents within a budget of 9 KB/s.
type AgentStatusEvent struct {
	// Member is set in the first event of a stream and when the member changes.
	Member      *bwmodel.Member      `cbor:"1,keyasint,omitempty"`
	StateNumber bwmodel.TicketNumber `cbor:"2,keyasint,omitempty"`
	// Clock is the agent's monotonic clock, counted from its start.
	Clock time.Duration `cbor:"3,keyasint"`
	// Load is set when it differs from that of the previous event of the stream.
	Load  *LoadMessage `cbor:"4,keyasint,omitempty"`
	Cache []CacheRun   `cbor:"5,keyasint,omitempty"`
}

// LoadMessage is the wire form of bwmodel.LoadReport.
type LoadMessage struct {
	// Age is the age of the report when it was sent.
	Age            time.Duration `cbor:"1,keyasint,omitempty"`
	Running        int           `cbor:"2,keyasint,omitempty"`
	Waiting        int           `cbor:"3,keyasint,omitempty"`
	Slots          int           `cbor:"4,keyasint,omitempty"`
	TokenRate      float64       `cbor:"5,keyasint,omitempty"`
	Models         []string      `cbor:"6,keyasint,omitempty"`
	QueuedTokens   int           `cbor:"7,keyasint,omitempty"`
	UpstreamIsDown bool          `cbor:"8,keyasint,omitempty"`
}

// NewLoadMessage returns the wire form of a report.
func NewLoadMessage(rep bwmodel.LoadReport) *LoadMessage {
	msg := LoadMessage(rep)
	return &msg
}

// Report converts the message to a bwmodel.LoadReport.
func (msg LoadMessage) Report() bwmodel.LoadReport { return bwmodel.LoadReport(msg) }

// CacheRun is a run of cache events with consecutive sequence numbers.
type CacheRun struct {
	// First is the sequence number of the first event.
	First  uint64   `cbor:"1,keyasint"`
	Blocks []uint64 `cbor:"2,keyasint"`
	// Evicted lists the indexes of blocks that were evicted; the others were stored.
	Evicted []int `cbor:"3,keyasint,omitempty"`
}

// NewCacheRuns groups events into runs. Each gap in the sequence numbers starts a
// new run, so that the receiver detects missing events.
func NewCacheRuns(events []bwmodel.CacheEvent) []CacheRun {
	var runs []CacheRun
	for _, event := range events {
		last := len(runs) - 1
		if last < 0 || runs[last].First+uint64(len(runs[last].Blocks)) != event.Sequence {
			runs = append(runs, CacheRun{First: event.Sequence})
			last++
		}
		if event.Evicted {
			runs[last].Evicted = append(runs[last].Evicted, len(runs[last].Blocks))
		}
		runs[last].Blocks = append(runs[last].Blocks, event.Block)
	}
	return runs
}

// CacheEvents returns the events of the runs, and ignores indexes that are out of range.
func CacheEvents(runs []CacheRun) []bwmodel.CacheEvent {
	var events []bwmodel.CacheEvent
	for _, run := range runs {
		begin := len(events)
		for ix, block := range run.Blocks {
			events = append(events, bwmodel.CacheEvent{Sequence: run.First + uint64(ix), Block: block})
		}
		for _, ix := range run.Evicted {
			if ix >= 0 && ix < len(run.Blocks) {
				events[begin+ix].Evicted = true
			}
		}
	}
	return events
}
