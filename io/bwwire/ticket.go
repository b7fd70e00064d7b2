package bwwire

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

// TicketDocument is a change ticket in the form that operators submit.
type TicketDocument struct {
	Number  bwmodel.TicketNumber
	Comment string `json:",omitempty"`
	// Services, Teams and Upstreams contain each added or changed object in full.
	Services  []ServiceDocument  `json:",omitempty"`
	Teams     []TeamDocument     `json:",omitempty"`
	Upstreams []UpstreamDocument `json:",omitempty"`
	Remove    RemoveDocument     `json:",omitzero"`
}

// RemoveDocument lists the objects that a ticket removes.
type RemoveDocument struct {
	Services  []bwmodel.ServiceID  `json:",omitempty"`
	Teams     []bwmodel.TeamID     `json:",omitempty"`
	Upstreams []bwmodel.UpstreamID `json:",omitempty"`
}

// ServiceDocument is the serialized form of bwmodel.Service.
// The oneof tags list the accepted values; bwsettings checks them.
type ServiceDocument struct {
	Name       bwmodel.ServiceID
	Kind       string `oneof:"Model,Plain"`
	Class      string `oneof:"Prompt,Deferrable"`
	QueueLimit int
	Deadline   DurationText
	Actions    []string              `json:",omitempty"`
	Models     []ServedModelDocument `json:",omitempty"`
}

// ServedModelDocument is the serialized form of bwmodel.ServedModel.
type ServedModelDocument struct {
	Name       string
	Base       string `json:",omitempty"`
	Bytes      int64
	MinEngines int `json:",omitempty"`
}

// TeamDocument is the serialized form of bwmodel.Team.
type TeamDocument struct {
	Name        bwmodel.TeamID
	Keys        []TeamKeyDocument
	Weight      int
	Services    []bwmodel.ServiceID `json:",omitempty"`
	MaxInFlight int                 `json:",omitempty"`
}

// TeamKeyDocument is the serialized form of bwmodel.TeamKey.
type TeamKeyDocument struct {
	// SHA256 is the key's hash in 64 hexadecimal digits.
	SHA256   string
	NotAfter time.Time `json:",omitzero"`
}

// UpstreamDocument is the serialized form of bwmodel.Upstream.
type UpstreamDocument struct {
	Name        bwmodel.UpstreamID
	Service     bwmodel.ServiceID
	Region      bwmodel.RegionID
	Zone        bwmodel.ZoneID
	Agent       netip.AddrPort
	Draining    bool `json:",omitempty"`
	ChecksFence bool `json:",omitempty"`
	Slots       int
}

// StateDocument is a complete state with the number of the ticket that set each object.
type StateDocument struct {
	Number    bwmodel.TicketNumber
	Services  []ServiceEntry
	Teams     []TeamEntry
	Upstreams []UpstreamEntry
}

// ServiceEntry is a service with the number of the ticket that set it.
type ServiceEntry struct {
	SetBy   bwmodel.TicketNumber
	Service ServiceDocument
}

// TeamEntry is a team with the number of the ticket that set it.
type TeamEntry struct {
	SetBy bwmodel.TicketNumber
	Team  TeamDocument
}

// UpstreamEntry is an upstream with the number of the ticket that set it.
type UpstreamEntry struct {
	SetBy    bwmodel.TicketNumber
	Upstream UpstreamDocument
}

// DurationText is a duration that is encoded as text, such as "1.5s".
type DurationText time.Duration

// MarshalText returns the duration in the form of time.Duration.String.
func (dt DurationText) MarshalText() ([]byte, error) { return []byte(time.Duration(dt).String()), nil }

// UnmarshalText parses a duration such as "300ms" or "1m30s".
func (dt *DurationText) UnmarshalText(txt []byte) error {
	dur, err := time.ParseDuration(string(txt))
	if err != nil {
		return fmt.Errorf("duration %q: want a form such as \"300ms\" or \"1m30s\"", txt)
	}
	*dt = DurationText(dur)
	return nil
}

// Service converts the document, or returns an error that names the invalid field.
func (doc ServiceDocument) Service() (bwmodel.Service, error) {
	kind, err := bwmodel.ParseServiceKind(doc.Kind)
	if err != nil {
		return bwmodel.Service{}, fmt.Errorf("field Kind: %w", err)
	}
	class, err := bwmodel.ParseWorkClass(doc.Class)
	if err != nil {
		return bwmodel.Service{}, fmt.Errorf("field Class: %w", err)
	}
	svc := bwmodel.Service{
		Name:       doc.Name,
		Kind:       kind,
		Class:      class,
		QueueLimit: doc.QueueLimit,
		Deadline:   time.Duration(doc.Deadline),
		Actions:    doc.Actions,
	}
	for _, mod := range doc.Models {
		svc.Models = append(svc.Models, bwmodel.ServedModel(mod))
	}
	return svc, nil
}

// NewServiceDocument returns the serialized form of a service.
func NewServiceDocument(svc bwmodel.Service) ServiceDocument {
	doc := ServiceDocument{
		Name:       svc.Name,
		Kind:       svc.Kind.String(),
		Class:      svc.Class.String(),
		QueueLimit: svc.QueueLimit,
		Deadline:   DurationText(svc.Deadline),
		Actions:    svc.Actions,
	}
	for _, mod := range svc.Models {
		doc.Models = append(doc.Models, ServedModelDocument(mod))
	}
	return doc
}

// Team converts the document, or returns an error that names the invalid field.
func (doc TeamDocument) Team() (bwmodel.Team, error) {
	team := bwmodel.Team{
		Name:        doc.Name,
		Weight:      doc.Weight,
		Services:    doc.Services,
		MaxInFlight: doc.MaxInFlight,
	}
	for ix, key := range doc.Keys {
		hash, err := hex.DecodeString(key.SHA256)
		if err != nil || len(hash) != len(bwmodel.TeamKey{}.Hash) {
			return bwmodel.Team{}, fmt.Errorf("field Keys[%d].SHA256: want 64 hexadecimal digits", ix)
		}
		team.Keys = append(team.Keys, bwmodel.TeamKey{Hash: [32]byte(hash), NotAfter: key.NotAfter})
	}
	return team, nil
}

// NewTeamDocument returns the serialized form of a team.
func NewTeamDocument(team bwmodel.Team) TeamDocument {
	doc := TeamDocument{
		Name:        team.Name,
		Weight:      team.Weight,
		Services:    team.Services,
		MaxInFlight: team.MaxInFlight,
	}
	for _, key := range team.Keys {
		entry := TeamKeyDocument{SHA256: hex.EncodeToString(key.Hash[:]), NotAfter: key.NotAfter}
		doc.Keys = append(doc.Keys, entry)
	}
	return doc
}

// Upstream converts the document to a bwmodel.Upstream.
func (doc UpstreamDocument) Upstream() bwmodel.Upstream { return bwmodel.Upstream(doc) }

// NewUpstreamDocument returns the serialized form of an upstream.
func NewUpstreamDocument(ups bwmodel.Upstream) UpstreamDocument { return UpstreamDocument(ups) }
