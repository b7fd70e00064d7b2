package bwmodel

import (
	"encoding/hex"
	"fmt"
	"time"
)

// TeamID names a team of callers.
type TeamID string

// ServiceID names a service.
type ServiceID string

// UpstreamID names an upstream of a service.
type UpstreamID string

// VersionID names a version of a service's upstreams; the empty one is a version too.
type VersionID string

// MemberID names a process of the system: a router, an agent or a gateway.
type MemberID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, which consists of availability zones.
type RegionID string

// TicketNumber orders tickets, the changes of the configuration: a higher number
// replaces a lower one.
type TicketNumber uint64

// Fence is a fencing token: a receiver rejects one that is lower than the highest
// it has received.
type Fence uint64

// Epoch counts the successive owners of a generation record. Only the owner with
// the highest epoch may append.
type Epoch uint64

// Attempt counts the upstream streams started in one epoch of a generation.
type Attempt uint32

// Position is an offset in the output of a generation, in tokens.
type Position uint64

// Incarnation distinguishes the runs of a member.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now. A later
// start of the same member gets a higher one, unless the VM's clock was set back.
func NewIncarnation(now time.Time) Incarnation { return Incarnation(now.UnixNano()) }

// RequestID is the random identifier of a request.
type RequestID [16]byte

// String returns the identifier as 32 hexadecimal digits.
func (rid RequestID) String() string { return hex.EncodeToString(rid[:]) }

// IsZero reports whether the identifier is unset.
func (rid RequestID) IsZero() bool { return rid == RequestID{} }

// MarshalText returns the identifier as 32 hexadecimal digits.
func (rid RequestID) MarshalText() ([]byte, error) { return []byte(rid.String()), nil }

// UnmarshalText parses 32 hexadecimal digits.
func (rid *RequestID) UnmarshalText(txt []byte) error {
	id, err := ParseRequestID(string(txt))
	if err != nil {
		return err
	}
	*rid = id
	return nil
}

// ParseRequestID parses 32 hexadecimal digits.
func ParseRequestID(txt string) (RequestID, error) {
	var id RequestID
	if len(txt) != hex.EncodedLen(len(id)) {
		return RequestID{}, fmt.Errorf("request ID has %d characters, want %d", len(txt), hex.EncodedLen(len(id)))
	}
	if _, err := hex.Decode(id[:], []byte(txt)); err != nil {
		return RequestID{}, fmt.Errorf("request ID: %w", err)
	}
	return id, nil
}
