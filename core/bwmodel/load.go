package bwmodel

import "time"

// LoadReport is what an upstream said of itself, late.
type LoadReport struct {
	// Age is the time since the upstream measured it.
	Age     time.Duration
	Running int
	Waiting int
	Slots   int
	// TokenRate is the tokens per second that one running request gets.
	TokenRate      float64
	Models         []string
	QueuedTokens   int
	UpstreamIsDown bool
}

// CacheEvent says that an engine has stored or evicted a prefix block.
type CacheEvent struct {
	// Sequence grows by one for each event; a gap means lost events.
	Sequence uint64
	Block    uint64
	Evicted  bool
}
