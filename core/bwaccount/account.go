package bwaccount

import (
	"time"
)

// Phase is what a connection is doing. The zero value is Fresh.
type Phase int

// Phases of a connection.
const (
	// Fresh connections have not sent anything yet.
	Fresh Phase = iota
	// Header means that a part of a request's header has arrived.
	Header
	// Idle connections have had a request and wait for the next one.
	Idle
	// Body means that a request's body arrives; the request does not run yet.
	Body
	// Running means that a request is in progress.
	Running
	phaseCount
)

// honestTime is the time in which an ordinary caller's header arrives: it sends it in one
// piece after it has connected. After it, unfinished requests are closed before idle
// connections of callers that had a request.
const honestTime = time.Second

// Account holds the connections of one listener. It is not safe for concurrent use.
type Account struct {
	cfg Config
	// phases has the connections of each phase, in the order in which they entered it.
	phases [phaseCount]holderList
	count  int
	header int64
}

// Config configures an Account.
type Config struct {
	// Connections limits the number of connections.
	Connections int
	// HeaderBytes limits the memory of the headers of all connections.
	HeaderBytes int64
	// EvictRunning allows to close connections with a request in progress for new ones.
	EvictRunning bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Holder is a connection's part of an account. The zero value is ready to be added.
type Holder struct {
	phase  Phase
	since  time.Time
	header int64
	held   bool

	previous, next *Holder
}

// HeaderBytes returns the memory that is reserved for the connection's header.
func (hld *Holder) HeaderBytes() int64 { return hld.header }

// New returns an empty Account.
func New(cfg Config) *Account {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Account{cfg: cfg}
}

// SetLimits changes the limits of Config. Connections above the new ones are closed as
// further ones arrive.
func (acc *Account) SetLimits(connections int, headerBytes int64) {
	acc.cfg.Connections, acc.cfg.HeaderBytes = connections, headerBytes
}

// Connections returns the number of connections.
func (acc *Account) Connections() int { return acc.count }

// HeaderBytes returns the memory that is reserved for headers.
func (acc *Account) HeaderBytes() int64 { return acc.header }

// Add adds a new connection. If there are too many, it removes another one and returns it
// as victim, which the caller closes; ok is false if there is none to close, and the new
// connection was not added.
func (acc *Account) Add(hld *Holder) (victim *Holder, ok bool) {
	if acc.count >= acc.cfg.Connections {
		if victim = acc.connectionVictim(); victim == nil {
			return nil, false
		}
		acc.Remove(victim)
	}
	*hld = Holder{held: true}
	acc.count++
	acc.enter(hld, Fresh)
	return victim, true
}

// connectionVictim returns the connection to close for a new one, or nil.
func (acc *Account) connectionVictim() *Holder {
	unfinished := older(acc.phases[Fresh].first, acc.phases[Header].first)
	if unfinished != nil && acc.cfg.Now().Sub(unfinished.since) >= honestTime {
		return unfinished
	}
	if idle := acc.phases[Idle].first; idle != nil {
		return idle
	}
	if unfinished == nil {
		unfinished = acc.phases[Body].first
	}
	if unfinished != nil || !acc.cfg.EvictRunning {
		return unfinished
	}
	return acc.phases[Running].first
}

func older(one, two *Holder) *Holder {
	if one == nil || two != nil && two.since.Before(one.since) {
		return two
	}
	return one
}

// Remove removes a connection with all that is reserved for it. A connection that was
// removed before stays so.
func (acc *Account) Remove(hld *Holder) {
	if !hld.held {
		return
	}
	acc.phases[hld.phase].remove(hld)
	acc.count--
	acc.header -= hld.header
	hld.header, hld.held = 0, false
}

// Enter moves a connection to a phase. One that is in it already stays at its place.
func (acc *Account) Enter(hld *Holder, phase Phase) {
	if !hld.held || hld.phase == phase {
		return
	}
	acc.phases[hld.phase].remove(hld)
	acc.enter(hld, phase)
}

func (acc *Account) enter(hld *Holder, phase Phase) {
	hld.phase, hld.since = phase, acc.cfg.Now()
	acc.phases[phase].append(hld)
}

// Touch makes an idle connection the last one to be closed of those that are idle.
func (acc *Account) Touch(hld *Holder) {
	if !hld.held {
		return
	}
	acc.phases[hld.phase].remove(hld)
	acc.enter(hld, Idle)
}

// Keep reduces the memory that is reserved for a connection's header to a size.
func (acc *Account) Keep(hld *Holder, size int64) {
	if hld.held && size < hld.header {
		acc.header -= hld.header - size
		hld.header = size
	}
}

// Reserve reserves memory for a header. If that exceeds the limit, it removes connections
// and returns them as victims, which the caller closes: first those whose headers began
// before this one and are unfinished, then those that have been idle longest. If that is
// not enough, or the connection is no longer held, the connection itself is removed and
// ok is false.
func (acc *Account) Reserve(hld *Holder, size int64) (victims []*Holder, ok bool) {
	if !hld.held {
		return nil, false
	}
	acc.header += size
	hld.header += size
	for acc.header > acc.cfg.HeaderBytes {
		victim := acc.headerVictim(hld)
		acc.Remove(victim)
		if victim == hld {
			return victims, false
		}
		victims = append(victims, victim)
	}
	return victims, true
}

// headerVictim returns the connection to close for the header of another one, which may
// be that itself.
func (acc *Account) headerVictim(hld *Holder) *Holder {
	if first := acc.phases[Header].first; first != nil && first != hld {
		return first
	}
	for idle := acc.phases[Idle].first; idle != nil; idle = idle.next {
		if idle.header > 0 && idle != hld {
			return idle
		}
	}
	return hld
}

// holderList is a list of holders that needs no memory of its own.
type holderList struct{ first, last *Holder }

func (lst *holderList) append(hld *Holder) {
	hld.previous, hld.next = lst.last, nil
	if lst.last == nil {
		lst.first = hld
	} else {
		lst.last.next = hld
	}
	lst.last = hld
}

func (lst *holderList) remove(hld *Holder) {
	if hld.previous == nil {
		lst.first = hld.next
	} else {
		hld.previous.next = hld.next
	}
	if hld.next == nil {
		lst.last = hld.previous
	} else {
		hld.next.previous = hld.previous
	}
	hld.previous, hld.next = nil, nil
}
