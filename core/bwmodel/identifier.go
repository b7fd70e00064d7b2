package bwmodel

import (
	"encoding/hex"
	"fmt"
	"time"
)

// TeamID names a team that shares the system.
type TeamID string

// ServiceID names a service that upstreams serve.
type ServiceID string

// UpstreamID names one upstream of a service.
type UpstreamID string

// MemberID names one process of the system: a router or an agent.
type MemberID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, which holds several availability zones.
type RegionID string

// TicketNumber numbers a change ticket; a higher number replaces a lower one.
type TicketNumber uint64

// Fence is a fencing number: a receiver that has seen a higher one refuses it.
type Fence uint64

// Epoch counts the owners of a generation record; only the highest may append.
type Epoch uint64

// Attempt counts the upstream streams that one epoch of a generation started.
type Attempt uint32

// Position is the number of tokens of a generation before a point in its output.
type Position uint64

// Incarnation distinguishes two runs of the same member.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts now; a later
// start of the same member gets a higher one unless its VM's clock went back.
func NewIncarnation(now time.Time) Incarnation { return Incarnation(now.UnixNano()) }

// RequestID is the random identifier of one request.
type RequestID [16]byte

// String returns the identifier as 32 hexadecimal digits.
func (rid RequestID) String() string { return hex.EncodeToString(rid[:]) }

// IsZero reports whether the identifier is unset.
func (rid RequestID) IsZero() bool { return rid == RequestID{} }

// MarshalText returns the identifier as 32 hexadecimal digits.
func (rid RequestID) MarshalText() ([]byte, error) { return []byte(rid.String()), nil }

// UnmarshalText reads 32 hexadecimal digits.
func (rid *RequestID) UnmarshalText(txt []byte) error {
	id, err := ParseRequestID(string(txt))
	if err != nil {
		return err
	}
	*rid = id
	return nil
}

// ParseRequestID reads 32 hexadecimal digits.
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
