package bwwire

import (
	"net/netip"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

// ExchangeMessage is both the request and the response of an exchange between
// peers. It is encoded as an array, since a router at target scale sends and
// receives 22 messages per second within a budget of 9 KB/s.
type ExchangeMessage struct {
	_    struct{} `cbor:",toarray"`
	From MemberRecord
	Head bwmodel.TicketNumber
	// Ready is set when the sender has the state in effect. Only then does a process
	// that starts without the store rely on Head.
	Ready bool
	// Region and World are digests of the live routers in the sender's directory,
	// for its own region and for all regions. An agent's directory covers only its
	// own region, so an agent sends 0 for World.
	Region uint64
	World  uint64
	// Changes are the records that changed recently.
	Changes []MemberRecord
}

// MemberRecord is the wire form of bwmember.Record.
type MemberRecord struct {
	_          struct{} `cbor:",toarray"`
	Member     MemberDocument
	Refutation uint32
	State      bwmember.Status
	Age        time.Duration
}

// MemberDocument is the wire form of bwmodel.Member.
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

// NewMemberDocument returns the wire form of a member.
func NewMemberDocument(mem bwmodel.Member) MemberDocument {
	return MemberDocument{
		ID: mem.ID, Incarnation: mem.Incarnation, Role: mem.Role, Region: mem.Region, Zone: mem.Zone,
		Address: mem.Address, Leaving: mem.Leaving,
	}
}

// Member converts the document to a bwmodel.Member.
func (doc MemberDocument) Member() bwmodel.Member {
	return bwmodel.Member{
		ID: doc.ID, Incarnation: doc.Incarnation, Role: doc.Role, Region: doc.Region, Zone: doc.Zone,
		Address: doc.Address, Leaving: doc.Leaving,
	}
}

// NewMemberRecord returns the wire form of a record. Its age is truncated to milliseconds.
func NewMemberRecord(rec bwmember.Record) MemberRecord {
	return MemberRecord{
		Member:     NewMemberDocument(rec.Member),
		Refutation: rec.Refutation,
		State:      rec.State,
		Age:        rec.Age.Truncate(time.Millisecond),
	}
}

// Record converts the document to a bwmember.Record.
func (doc MemberRecord) Record() bwmember.Record {
	return bwmember.Record{Member: doc.Member.Member(), Refutation: doc.Refutation, State: doc.State, Age: doc.Age}
}

// NewMemberRecords returns the wire form of records.
func NewMemberRecords(recs []bwmember.Record) []MemberRecord {
	docs := make([]MemberRecord, 0, len(recs))
	for _, rec := range recs {
		docs = append(docs, NewMemberRecord(rec))
	}
	return docs
}

// MemberRecords converts the documents to bwmember records.
func MemberRecords(docs []MemberRecord) []bwmember.Record {
	recs := make([]bwmember.Record, 0, len(docs))
	for _, doc := range docs {
		recs = append(recs, doc.Record())
	}
	return recs
}

// MembersRequest requests the routers of a region, or of all regions when Region
// is empty, in the zones whose digest differs from the one in Zones.
type MembersRequest struct {
	_      struct{} `cbor:",toarray"`
	Region bwmodel.RegionID
	Zones  map[bwmodel.ZoneID]uint64
}

// MembersResponse carries the requested routers.
type MembersResponse struct {
	_       struct{} `cbor:",toarray"`
	Members []MemberRecord
}
