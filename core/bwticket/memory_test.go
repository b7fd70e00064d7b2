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

// fault is what happens to one commit of the memory store.
type fault int

const (
	none fault = iota
	// answerLost applies the commit and reports it as unsure.
	answerLost
	// requestLost does not apply the commit and reports it as unsure.
	requestLost
	// delayed applies the commit only at a later call of deliver.
	delayed
	away
)

// memory is a ticket store in memory that injects faults.
type memory struct {
	mu     sync.Mutex
	state  *bwticket.State
	rows   map[bwmodel.TicketNumber]bwticket.AcceptedTicket
	faults []fault
	late   []bwticket.AcceptedTicket
	down   bool
}

func newMemory(faults ...fault) *memory {
	return &memory{
		state:  bwticket.NewState(bwticket.StateConfig{}),
		rows:   make(map[bwmodel.TicketNumber]bwticket.AcceptedTicket),
		faults: faults,
	}
}

func (mem *memory) registry() *bwticket.Registry {
	return &bwticket.Registry{
		ReadState:  mem.readState,
		ReadTicket: mem.readTicket,
		Commit:     mem.commit,
		Digest:     digest,
		Pause:      func(ctx context.Context) error { return ctx.Err() },
	}
}

func (mem *memory) readState(context.Context) (*bwticket.State, error) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	if mem.down {
		return nil, bwticket.ErrUnavailable
	}
	return mem.state, nil
}

func (mem *memory) readTicket(_ context.Context, num bwmodel.TicketNumber) (*bwticket.AcceptedTicket, error) {
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

func (mem *memory) commit(_ context.Context, acc bwticket.AcceptedTicket) error {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	next := none
	if len(mem.faults) > 0 {
		next, mem.faults = mem.faults[0], mem.faults[1:]
	}
	switch next {
	case away:
		return bwticket.ErrUnavailable
	case requestLost:
		return bwticket.ErrOutcomeUnknown
	case delayed:
		mem.late = append(mem.late, acc)
		return bwticket.ErrOutcomeUnknown
	}
	err := mem.apply(acc)
	if next == answerLost {
		return bwticket.ErrOutcomeUnknown
	}
	return err
}

// deliver applies the delayed commits and returns how many took effect.
func (mem *memory) deliver() int {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	took := 0
	for _, acc := range mem.late {
		if mem.apply(acc) == nil {
			took++
		}
	}
	mem.late = nil
	return took
}

func (mem *memory) apply(acc bwticket.AcceptedTicket) error {
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
