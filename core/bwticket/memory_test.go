package bwticket_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// storeFault is a fault injected into one commit of a memoryStore.
type storeFault int

const (
	noFault storeFault = iota
	// responseLost applies the commit and returns bwticket.ErrOutcomeUnknown.
	responseLost
	// requestLost does not apply the commit and returns bwticket.ErrOutcomeUnknown.
	requestLost
	// writeDelayed applies the commit only at a later call of applyDelayed, and
	// returns bwticket.ErrOutcomeUnknown.
	writeDelayed
	unavailable
)

// memoryStore is a ticket store in memory that injects faults.
type memoryStore struct {
	mu             sync.Mutex
	state          *bwticket.State
	rows           map[bwmodel.TicketNumber]bwticket.AcceptedTicket
	faults         []storeFault
	delayedCommits []bwticket.AcceptedTicket
	down           bool
}

func newMemoryStore(faults ...storeFault) *memoryStore {
	return &memoryStore{
		state:  bwticket.NewState(bwticket.StateConfig{}),
		rows:   make(map[bwmodel.TicketNumber]bwticket.AcceptedTicket),
		faults: faults,
	}
}

func (mem *memoryStore) registry() *bwticket.Registry {
	return &bwticket.Registry{
		ReadState:  mem.readState,
		ReadTicket: mem.readTicket,
		Commit:     mem.commit,
		Digest:     digest,
		Pause:      func(ctx context.Context) error { return ctx.Err() },
	}
}

func (mem *memoryStore) readState(context.Context) (*bwticket.State, error) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	if mem.down {
		return nil, bwticket.ErrUnavailable
	}
	return mem.state, nil
}

func (mem *memoryStore) readTicket(_ context.Context, num bwmodel.TicketNumber) (*bwticket.AcceptedTicket, error) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	if mem.down {
		return nil, bwticket.ErrUnavailable
	}
	acc, ok := mem.rows[num]
	if !ok {
		return nil, nil
	}
	return &acc, nil
}

func (mem *memoryStore) commit(_ context.Context, acc bwticket.AcceptedTicket) error {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	flt := noFault
	if len(mem.faults) > 0 {
		flt, mem.faults = mem.faults[0], mem.faults[1:]
	}
	switch flt {
	case unavailable:
		return bwticket.ErrUnavailable
	case requestLost:
		return bwticket.ErrOutcomeUnknown
	case writeDelayed:
		mem.delayedCommits = append(mem.delayedCommits, acc)
		return bwticket.ErrOutcomeUnknown
	}
	err := mem.apply(acc)
	if flt == responseLost {
		return bwticket.ErrOutcomeUnknown
	}
	return err
}

// applyDelayed applies the delayed commits and returns how many took effect.
func (mem *memoryStore) applyDelayed() int {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	applied := 0
	for _, acc := range mem.delayedCommits {
		if mem.apply(acc) == nil {
			applied++
		}
	}
	mem.delayedCommits = nil
	return applied
}

func (mem *memoryStore) apply(acc bwticket.AcceptedTicket) error {
	if _, ok := mem.rows[acc.Ticket.Number]; ok || mem.state.Number() != acc.Previous {
		return bwticket.ErrHeadChanged
	}
	st, err := mem.state.Apply(acc)
	if err != nil {
		return bwticket.ErrHeadChanged
	}
	mem.state = st
	mem.rows[acc.Ticket.Number] = acc
	return nil
}

func digest(tk bwticket.Ticket) (bwticket.Digest, error) {
	return sha256.Sum256(fmt.Appendf(nil, "%+v", tk)), nil
}

func service(name bwmodel.ServiceID) bwmodel.Service {
	return bwmodel.Service{
		Name: name, Kind: bwmodel.ModelService, Class: bwmodel.PromptClass, QueueLimit: 10, Deadline: time.Second,
	}
}

func upstream(name bwmodel.UpstreamID, svc bwmodel.ServiceID, port uint16) bwmodel.Upstream {
	return bwmodel.Upstream{
		Name: name, Service: svc, Region: "sk-stred", Zone: "Brezno", Slots: 4,
		Agent: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
	}
}

func team(name bwmodel.TeamID, key byte) bwmodel.Team {
	return bwmodel.Team{Name: name, Weight: 1, Keys: []bwmodel.TeamKey{{Hash: [32]byte{key}}}}
}

// ticket sets one service, whose queue limit makes the content distinct.
func ticket(num bwmodel.TicketNumber, content int) bwticket.Ticket {
	svc := service("review-desk")
	svc.QueueLimit = content
	return bwticket.Ticket{Number: num, Services: []bwmodel.Service{svc}}
}
