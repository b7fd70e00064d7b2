package bwmodel

import "time"

// LoadReport is the load that an upstream has reported; it arrives with a delay.
type LoadReport struct {
	// Age is the time since the upstream measured the load.
	Age     time.Duration
	Running int
	Waiting int
	Slots   int
	// TokenRate is the number of tokens per second that each running request gets.
	TokenRate      float64
	Models         []string
	QueuedTokens   int
	UpstreamIsDown bool
}

// CacheEvent reports that an engine has stored or evicted a prefix block.
type CacheEvent struct {
	// Sequence grows by one with each event; a gap means that events were lost.
	Sequence uint64
	Block    uint64
	Evicted  bool
}
