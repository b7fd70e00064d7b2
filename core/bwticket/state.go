package bwticket

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// Errors of State.Apply.
var (
	// ErrStaleTicket is returned for a ticket whose number is not above the state's.
	ErrStaleTicket = errors.New("ticket number is not above the number in effect")
	// ErrGap is returned for a ticket that doesn't directly follow the state.
	ErrGap = errors.New("a ticket before this one is missing")
)

// Entry is an object and the number of the ticket that set it.
type Entry[T any] struct {
	SetBy  bwmodel.TicketNumber
	Object T
}

// State is an immutable configuration: all objects in effect at a ticket number.
type State struct {
	number           bwmodel.TicketNumber
	services         map[bwmodel.ServiceID]Entry[bwmodel.Service]
	teams            map[bwmodel.TeamID]Entry[bwmodel.Team]
	upstreams        map[bwmodel.UpstreamID]Entry[bwmodel.Upstream]
	keyOwners        map[[32]byte]keyOwner
	serviceUpstreams map[bwmodel.ServiceID][]bwmodel.Upstream
	modelServices    map[string]bwmodel.ServiceID
}

// StateConfig lists the content of a State.
type StateConfig struct {
	Number    bwmodel.TicketNumber
	Services  []Entry[bwmodel.Service]
	Teams     []Entry[bwmodel.Team]
	Upstreams []Entry[bwmodel.Upstream]
}

// NewState returns a state that holds the listed objects; the zero config gives
// the state before the first ticket.
func NewState(cfg StateConfig) *State {
	st := &State{
		number:    cfg.Number,
		services:  make(map[bwmodel.ServiceID]Entry[bwmodel.Service], len(cfg.Services)),
		teams:     make(map[bwmodel.TeamID]Entry[bwmodel.Team], len(cfg.Teams)),
		upstreams: make(map[bwmodel.UpstreamID]Entry[bwmodel.Upstream], len(cfg.Upstreams)),
	}
	for _, ent := range cfg.Services {
		st.services[ent.Object.Name] = ent
	}
	for _, ent := range cfg.Teams {
		st.teams[ent.Object.Name] = ent
	}
	for _, ent := range cfg.Upstreams {
		st.upstreams[ent.Object.Name] = ent
	}
	st.buildIndexes()
	return st
}

// Number returns the number of the last ticket in effect, 0 before the first.
func (st *State) Number() bwmodel.TicketNumber { return st.number }

// Service returns a service by name.
func (st *State) Service(id bwmodel.ServiceID) (bwmodel.Service, bool) {
	ent, ok := st.services[id]
	return ent.Object, ok
}

// ServiceSetBy returns a service by name with the ticket that set it.
func (st *State) ServiceSetBy(id bwmodel.ServiceID) (bwmodel.Service, bwmodel.TicketNumber, bool) {
	ent, ok := st.services[id]
	return ent.Object, ent.SetBy, ok
}

// Team returns a team by name.
func (st *State) Team(id bwmodel.TeamID) (bwmodel.Team, bool) {
	ent, ok := st.teams[id]
	return ent.Object, ok
}

// Upstream returns an upstream by name.
func (st *State) Upstream(id bwmodel.UpstreamID) (bwmodel.Upstream, bool) {
	ent, ok := st.upstreams[id]
	return ent.Object, ok
}

// TeamByKey returns the team that owns the key with the hash, if the key is valid at
// the given time.
func (st *State) TeamByKey(hash [32]byte, now time.Time) (bwmodel.Team, bool) {
	owner, ok := st.keyOwners[hash]
	if !ok || owner.expired(now) {
		return bwmodel.Team{}, false
	}
	return st.Team(owner.team)
}

// UpstreamsOf returns the upstreams of a service, sorted by name; callers must
// not change the slice.
func (st *State) UpstreamsOf(id bwmodel.ServiceID) []bwmodel.Upstream { return st.serviceUpstreams[id] }

// ServiceByModel returns the service that serves a model or adapter.
func (st *State) ServiceByModel(name string) (bwmodel.Service, bool) {
	id, ok := st.modelServices[name]
	if !ok {
		return bwmodel.Service{}, false
	}
	return st.Service(id)
}

// Services returns all services with the tickets that set them, sorted by name.
func (st *State) Services() []Entry[bwmodel.Service] {
	return sortedEntries(st.services, func(svc bwmodel.Service) bwmodel.ServiceID { return svc.Name })
}

// Teams returns all teams with the tickets that set them, sorted by name.
func (st *State) Teams() []Entry[bwmodel.Team] {
	return sortedEntries(st.teams, func(tm bwmodel.Team) bwmodel.TeamID { return tm.Name })
}

// Upstreams returns all upstreams with the tickets that set them, sorted by name.
func (st *State) Upstreams() []Entry[bwmodel.Upstream] {
	return sortedEntries(st.upstreams, func(ups bwmodel.Upstream) bwmodel.UpstreamID { return ups.Name })
}

// Apply returns the state after a ticket, or ErrStaleTicket or ErrGap; it doesn't
// change the receiver.
func (st *State) Apply(acc AcceptedTicket) (*State, error) {
	num := acc.Ticket.Number
	if num <= st.number {
		return nil, fmt.Errorf("ticket %d on state %d: %w", num, st.number, ErrStaleTicket)
	}
	if acc.Previous != st.number {
		return nil, fmt.Errorf("ticket %d follows %d, state is %d: %w", num, acc.Previous, st.number, ErrGap)
	}
	return st.withTicket(acc.Ticket), nil
}

// Overlay returns the state with a ticket's changes and the higher of the two
// numbers. It completes a read of object rows during which tickets were accepted;
// these must be applied in the order of their numbers.
func (st *State) Overlay(tk Ticket) *State { return st.withTicket(tk) }

func (st *State) withTicket(tk Ticket) *State {
	out := &State{
		number:    max(st.number, tk.Number),
		services:  maps.Clone(st.services),
		teams:     maps.Clone(st.teams),
		upstreams: maps.Clone(st.upstreams),
	}
	tk = tk.Clone()
	for _, id := range tk.Remove.Services {
		delete(out.services, id)
	}
	for _, id := range tk.Remove.Teams {
		delete(out.teams, id)
	}
	for _, id := range tk.Remove.Upstreams {
		delete(out.upstreams, id)
	}
	for _, svc := range tk.Services {
		out.services[svc.Name] = Entry[bwmodel.Service]{SetBy: tk.Number, Object: svc}
	}
	for _, tm := range tk.Teams {
		out.teams[tm.Name] = Entry[bwmodel.Team]{SetBy: tk.Number, Object: tm}
	}
	for _, ups := range tk.Upstreams {
		out.upstreams[ups.Name] = Entry[bwmodel.Upstream]{SetBy: tk.Number, Object: ups}
	}
	out.buildIndexes()
	return out
}

func (st *State) buildIndexes() {
	st.keyOwners = make(map[[32]byte]keyOwner, len(st.teams))
	for _, ent := range st.teams {
		for _, key := range ent.Object.Keys {
			st.keyOwners[key.Hash] = keyOwner{team: ent.Object.Name, notAfter: key.NotAfter}
		}
	}
	st.modelServices = make(map[string]bwmodel.ServiceID, len(st.services))
	for id, ent := range st.services {
		for _, name := range modelNames(ent.Object) {
			st.modelServices[name] = id
		}
	}
	st.serviceUpstreams = make(map[bwmodel.ServiceID][]bwmodel.Upstream, len(st.services))
	for _, ent := range st.Upstreams() {
		ups := ent.Object
		st.serviceUpstreams[ups.Service] = append(st.serviceUpstreams[ups.Service], ups)
	}
}

// modelNames returns the names by which callers request a service's models.
func modelNames(svc bwmodel.Service) []string {
	if svc.Kind != bwmodel.ModelService {
		return nil
	}
	if len(svc.Models) == 0 {
		return []string{string(svc.Name)}
	}
	names := make([]string, 0, len(svc.Models))
	for _, mod := range svc.Models {
		names = append(names, mod.Name)
	}
	return names
}

type keyOwner struct {
	team     bwmodel.TeamID
	notAfter time.Time
}

func (ko keyOwner) expired(now time.Time) bool {
	return !ko.notAfter.IsZero() && now.After(ko.notAfter)
}

func sortedEntries[K cmp.Ordered, T any](objects map[K]Entry[T], name func(T) K) []Entry[T] {
	entries := slices.Collect(maps.Values(objects))
	slices.SortFunc(entries, func(aa, bb Entry[T]) int { return cmp.Compare(name(aa.Object), name(bb.Object)) })
	return entries
}
