package bwaction

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/url"
	"time"

	"bilberrywick/core/bwmodel"
)

// Row is the table's record of one action; the router that inserts it, or that
// replaces it under a higher fence, owns the action.
type Row struct {
	Key     Key
	Service bwmodel.ServiceID
	Digest  Digest
	Attempt bwmodel.RequestID
	Fence   bwmodel.Fence
	State   RowState
	// Upstream, Incarnation and Expiry name the only dispatch that the row permits.
	Upstream    bwmodel.UpstreamID
	Incarnation bwmodel.Incarnation
	// Expiry is a time on the monotonic clock of the upstream's agent.
	Expiry time.Duration
	// Response is set when the state is Done.
	Response bwmodel.HTTPResponse
	Updated  time.Time
}

// Key names an action within its team.
type Key struct {
	Team bwmodel.TeamID
	Name string
}

// String returns the key in one unambiguous string, so that equal names of two
// teams stay apart.
func (key Key) String() string { return url.PathEscape(string(key.Team)) + "/" + key.Name }

// RowState is what the table knows of an action.
type RowState int

// States of a row.
const (
	// Reserved says that the dispatch may have been sent.
	Reserved RowState = iota + 1
	// Finished says that the upstream answered; the row holds the response.
	Finished
	// Released says that the dispatch was refused or sealed before it started.
	Released
	// Broken says that the upstream failed after it may have run the action.
	Broken
)

// RowVersion is the condition of a swap: the row must still have these values.
type RowVersion struct {
	Attempt bwmodel.RequestID
	Fence   bwmodel.Fence
	State   RowState
}

// Version returns the condition that the row has not changed.
func (row Row) Version() RowVersion {
	return RowVersion{Attempt: row.Attempt, Fence: row.Fence, State: row.State}
}

// Errors of the table functions.
var (
	// ErrConflict says that the condition did not hold and nothing was written.
	ErrConflict = errors.New("condition on the action's row does not hold")
	// ErrUnavailable says that the table did not take the operation.
	ErrUnavailable = errors.New("table is unavailable")
	// ErrOutcomeUnknown says that the write may have taken effect, now or later.
	ErrOutcomeUnknown = errors.New("outcome of the table write is unknown")
	// ErrRejected says that the table refused the content, such as a row above its
	// size limit, and nothing was written.
	ErrRejected = errors.New("table rejects the write")
)

// Digest identifies the content of an action, so that a key can't be reused for another.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an action's service and whole request.
func DigestOf(svc bwmodel.ServiceID, req bwmodel.HTTPRequest) Digest {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(svc), []byte(req.Method), []byte(req.Path), []byte(req.ContentType), req.Body} {
		// The length keeps neighbouring parts apart.
		sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		sum.Write(part)
	}
	return Digest(sum.Sum(nil))
}
