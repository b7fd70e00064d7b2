package bwgateway

import "time"

// eventWindow measures the time between events, for a number of them in a row.
type eventWindow struct {
	startedAt time.Time
	events    int
	// waited is the time in which the gateway waited for the engine. The rest went to
	// writes to the caller.
	waited time.Duration
}

const (
	// windowEvents is the number of events in a row whose time is observed. They take
	// about 0.2 s at current engines, so that network delays don't matter.
	windowEvents = 32
	// minWaitedShare is the part of the time that the gateway must have waited for the
	// engine. A caller that reads slowly slows its events too.
	minWaitedShare = 0.8
)

// observeEvent adds an event received at now, before lastReceived is set.
func (sat *streamAttempt) observeEvent(now time.Time) {
	win := &sat.window
	if sat.eventCount == 0 {
		*win = eventWindow{startedAt: now}
		return
	}
	win.events++
	win.waited += now.Sub(sat.lastReceived)
	if win.events < windowEvents {
		return
	}
	took := now.Sub(win.startedAt)
	if win.waited >= scale(took, minWaitedShare) {
		nt, ok := sat.gw.cfg.Pool.ObserveEvents(sat.node, win.events, took)
		sat.shareSpeed(nt, ok, now)
	}
	*win = eventWindow{startedAt: now}
}
