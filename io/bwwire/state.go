package bwwire

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// AcceptedDocument is the serialized form of a ticket that is part of the history.
type AcceptedDocument struct {
	Previous bwmodel.TicketNumber
	// Digest consists of 64 hexadecimal digits.
	Digest string
	// At is the time of acceptance, by the clock of the process that accepted the ticket.
	At     time.Time
	Ticket TicketDocument
}

// Ticket converts the document and returns a fault for each field that can't be
// parsed. Such a field has its zero value in the ticket.
func (doc TicketDocument) Ticket() (bwticket.Ticket, bwticket.Faults) {
	tk := bwticket.Ticket{Number: doc.Number, Comment: doc.Comment, Remove: bwticket.Removal(doc.Remove)}
	var faults bwticket.Faults
	for ix, svc := range doc.Services {
		obj, fts := svc.parse(fmt.Sprintf("Services[%d]", ix))
		tk.Services = append(tk.Services, obj)
		faults = append(faults, fts...)
	}
	for ix, team := range doc.Teams {
		obj, fts := team.parse(fmt.Sprintf("Teams[%d]", ix))
		tk.Teams = append(tk.Teams, obj)
		faults = append(faults, fts...)
	}
	for _, ups := range doc.Upstreams {
		tk.Upstreams = append(tk.Upstreams, ups.Upstream())
	}
	return tk, faults
}

// Check validates the document as the next ticket after the state. It returns at
// most one fault for each field, or nil.
func (doc TicketDocument) Check(st *bwticket.State) bwticket.Faults {
	tk, faults := doc.Ticket()
	unparsed := make(map[string]bool, len(faults))
	for _, ft := range faults {
		unparsed[ft.Path] = true
	}
	for _, ft := range bwticket.Check(st, tk) {
		if !unparsed[ft.Path] {
			faults = append(faults, ft)
		}
	}
	return faults
}

// NewTicketDocument returns the serialized form of a ticket.
func NewTicketDocument(tk bwticket.Ticket) TicketDocument {
	doc := TicketDocument{Number: tk.Number, Comment: tk.Comment, Remove: RemoveDocument(tk.Remove)}
	for _, svc := range tk.Services {
		doc.Services = append(doc.Services, NewServiceDocument(svc))
	}
	for _, team := range tk.Teams {
		doc.Teams = append(doc.Teams, NewTeamDocument(team))
	}
	for _, ups := range tk.Upstreams {
		doc.Upstreams = append(doc.Upstreams, NewUpstreamDocument(ups))
	}
	return doc
}

// TicketDigest returns the SHA-256 digest of a ticket's canonical form, which
// doesn't depend on the order of the ticket's objects.
func TicketDigest(tk bwticket.Ticket) (bwticket.Digest, error) {
	tk = tk.Clone()
	slices.SortFunc(tk.Services, func(aa, bb bwmodel.Service) int { return cmp.Compare(aa.Name, bb.Name) })
	slices.SortFunc(tk.Teams, func(aa, bb bwmodel.Team) int { return cmp.Compare(aa.Name, bb.Name) })
	slices.SortFunc(tk.Upstreams, func(aa, bb bwmodel.Upstream) int { return cmp.Compare(aa.Name, bb.Name) })
	slices.Sort(tk.Remove.Services)
	slices.Sort(tk.Remove.Teams)
	slices.Sort(tk.Remove.Upstreams)
	for _, team := range tk.Teams {
		for ix := range team.Keys {
			team.Keys[ix].NotAfter = team.Keys[ix].NotAfter.UTC()
		}
	}
	buf, err := json.Marshal(NewTicketDocument(tk))
	if err != nil {
		return bwticket.Digest{}, fmt.Errorf("encode ticket %d: %w", tk.Number, err)
	}
	return sha256.Sum256(buf), nil
}

// AcceptedTicket converts the document, or returns an error that names the invalid fields.
func (doc AcceptedDocument) AcceptedTicket() (bwticket.AcceptedTicket, error) {
	tk, faults := doc.Ticket.Ticket()
	if faults != nil {
		return bwticket.AcceptedTicket{}, fmt.Errorf("accepted ticket %d: %w", doc.Ticket.Number, faults)
	}
	digest, err := hex.DecodeString(doc.Digest)
	if err != nil || len(digest) != len(bwticket.Digest{}) {
		return bwticket.AcceptedTicket{}, fmt.Errorf("accepted ticket %d: field Digest: want 64 hexadecimal digits", doc.Ticket.Number)
	}
	return bwticket.AcceptedTicket{Ticket: tk, Previous: doc.Previous, Digest: bwticket.Digest(digest), At: doc.At}, nil
}

// NewAcceptedDocument returns the serialized form of an accepted ticket.
func NewAcceptedDocument(acc bwticket.AcceptedTicket) AcceptedDocument {
	return AcceptedDocument{
		Previous: acc.Previous,
		Digest:   hex.EncodeToString(acc.Digest[:]),
		At:       acc.At,
		Ticket:   NewTicketDocument(acc.Ticket),
	}
}

// State converts the document, or returns an error with the invalid field of each object.
func (doc StateDocument) State() (*bwticket.State, error) {
	cfg := bwticket.StateConfig{Number: doc.Number}
	errs := make([]error, 0, len(doc.Services)+len(doc.Teams))
	for _, ent := range doc.Services {
		svc, err := ent.Service.Service()
		errs = append(errs, err)
		cfg.Services = append(cfg.Services, bwticket.Entry[bwmodel.Service]{SetBy: ent.SetBy, Object: svc})
	}
	for _, ent := range doc.Teams {
		team, err := ent.Team.Team()
		errs = append(errs, err)
		cfg.Teams = append(cfg.Teams, bwticket.Entry[bwmodel.Team]{SetBy: ent.SetBy, Object: team})
	}
	for _, ent := range doc.Upstreams {
		entry := bwticket.Entry[bwmodel.Upstream]{SetBy: ent.SetBy, Object: ent.Upstream.Upstream()}
		cfg.Upstreams = append(cfg.Upstreams, entry)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("state %d: %w", doc.Number, err)
	}
	return bwticket.NewState(cfg), nil
}

// NewStateDocument returns the serialized form of a state.
func NewStateDocument(st *bwticket.State) StateDocument {
	doc := StateDocument{Number: st.Number()}
	for _, ent := range st.Services() {
		doc.Services = append(doc.Services, ServiceEntry{SetBy: ent.SetBy, Service: NewServiceDocument(ent.Object)})
	}
	for _, ent := range st.Teams() {
		doc.Teams = append(doc.Teams, TeamEntry{SetBy: ent.SetBy, Team: NewTeamDocument(ent.Object)})
	}
	for _, ent := range st.Upstreams() {
		doc.Upstreams = append(doc.Upstreams, UpstreamEntry{SetBy: ent.SetBy, Upstream: NewUpstreamDocument(ent.Object)})
	}
	return doc
}

func (doc ServiceDocument) parse(path string) (bwmodel.Service, bwticket.Faults) {
	var faults bwticket.Faults
	kind, err := bwmodel.ParseServiceKind(doc.Kind)
	if err != nil {
		faults = append(faults, bwticket.Fault{Path: path + ".Kind", Reason: err.Error()})
	}
	class, err := bwmodel.ParseWorkClass(doc.Class)
	if err != nil {
		faults = append(faults, bwticket.Fault{Path: path + ".Class", Reason: err.Error()})
	}
	doc.Kind, doc.Class = bwmodel.ModelService.String(), bwmodel.PromptClass.String()
	svc, err := doc.Service()
	if err != nil {
		faults = append(faults, bwticket.Fault{Path: path, Reason: err.Error()})
	}
	svc.Kind, svc.Class = kind, class
	return svc, faults
}

func (doc TeamDocument) parse(path string) (bwmodel.Team, bwticket.Faults) {
	var faults bwticket.Faults
	keys := doc.Keys
	doc.Keys = nil
	team, err := doc.Team()
	if err != nil {
		faults = append(faults, bwticket.Fault{Path: path, Reason: err.Error()})
	}
	for ix, key := range keys {
		parsed, err := TeamDocument{Keys: []TeamKeyDocument{key}}.Team()
		if err != nil {
			fieldPath := fmt.Sprintf("%s.Keys[%d].SHA256", path, ix)
			faults = append(faults, bwticket.Fault{Path: fieldPath, Reason: "want 64 hexadecimal digits"})
			team.Keys = append(team.Keys, bwmodel.TeamKey{NotAfter: key.NotAfter})
			continue
		}
		team.Keys = append(team.Keys, parsed.Keys...)
	}
	return team, faults
}
