package bwwire

import (
	"net/netip"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

// ExchangeMessage is both the request and the response of an exchange between
// peers. It is an array, since a router at full size sends and receives 22 of
// them a second within a budget of 9 KB a second.
type ExchangeMessage struct {
	_    struct{} `cbor:",toarray"`
	From MemberRecord
	Head bwmodel.TicketNumber
	// Ready says that the sender knows the state in effect, so that its head counts
	// for a process that starts without the store.
	Ready bool
	// Region and World are digests of the live routers that the sender knows in
	// its own region and in all; an agent knows only its own region and sends 0.
	Region uint64
	World  uint64
	// Changes are records that changed lately.
	Changes []MemberRecord
}

// MemberRecord is the written form of bwmember.Record.
type MemberRecord struct {
	_          struct{} `cbor:",toarray"`
	Member     MemberDocument
	Refutation uint32
	State      bwmember.Status
	Age        time.Duration
}

// MemberDocument is the written form of bwmodel.Member.
type MemberDocument struct {
	_           struct{} `cbor:",toarray"`
	ID          bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	Role        bwmodel.Role
	Region      bwmodel.RegionID
	Zone        bwmodel.ZoneID
	Address     netip.AddrPort
	Leaving     bool
}

// NewMemberDocument returns the written form of a member.
func NewMemberDocument(mem bwmodel.Member) MemberDocument {
	return MemberDocument{
		ID: mem.ID, Incarnation: mem.Incarnation, Role: mem.Role, Region: mem.Region, Zone: mem.Zone,
		Address: mem.Address, Leaving: mem.Leaving,
	}
}

// Member returns the member.
func (doc MemberDocument) Member() bwmodel.Member {
	return bwmodel.Member{
		ID: doc.ID, Incarnation: doc.Incarnation, Role: doc.Role, Region: doc.Region, Zone: doc.Zone,
		Address: doc.Address, Leaving: doc.Leaving,
	}
}

// NewMemberRecord returns the written form of a record.
func NewMemberRecord(rec bwmember.Record) MemberRecord {
	return MemberRecord{
		Member:     NewMemberDocument(rec.Member),
		Refutation: rec.Refutation,
		State:      rec.State,
		Age:        rec.Age.Truncate(time.Millisecond),
	}
}

// Record returns the record.
func (doc MemberRecord) Record() bwmember.Record {
	return bwmember.Record{Member: doc.Member.Member(), Refutation: doc.Refutation, State: doc.State, Age: doc.Age}
}

// NewMemberRecords returns the written form of records.
func NewMemberRecords(recs []bwmember.Record) []MemberRecord {
	docs := make([]MemberRecord, 0, len(recs))
	for _, rec := range recs {
		docs = append(docs, NewMemberRecord(rec))
	}
	return docs
}

// MemberRecords returns the records.
func MemberRecords(docs []MemberRecord) []bwmember.Record {
	recs := make([]bwmember.Record, 0, len(docs))
	for _, doc := range docs {
		recs = append(recs, doc.Record())
	}
	return recs
}

// MembersRequest asks for the routers of a region, or of all regions when it is
// empty, in those zones whose digest differs.
type MembersRequest struct {
	_      struct{} `cbor:",toarray"`
	Region bwmodel.RegionID
	Zones  map[bwmodel.ZoneID]uint64
}

// MembersResponse answers a MembersRequest.
type MembersResponse struct {
	_       struct{} `cbor:",toarray"`
	Members []MemberRecord
}
