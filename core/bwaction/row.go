package bwaction

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/url"
	"time"

	"bilberrywick/core/bwmodel"
)

// Row is the table row of one action. The request that inserts it, or that
// replaces it under a higher fence, owns the action.
type Row struct {
	Key     Key
	Service bwmodel.ServiceID
	Digest  Digest
	Attempt bwmodel.RequestID
	Fence   bwmodel.Fence
	State   RowState
	// Upstream, Incarnation and Expiry identify the only permitted dispatch.
	Upstream    bwmodel.UpstreamID
	Incarnation bwmodel.Incarnation
	// Expiry is a time on the monotonic clock of the upstream's agent.
	Expiry time.Duration
	// Response is set when the state is Finished.
	Response bwmodel.HTTPResponse
	Updated  time.Time
}

// Key is the idempotency key of an action; its name is unique within the team.
type Key struct {
	Team bwmodel.TeamID
	Name string
}

// String returns the escaped team and the name, separated by a slash, so that
// two keys never have the same string.
func (key Key) String() string { return url.PathEscape(string(key.Team)) + "/" + key.Name }

// RowState is the state of an action in the table.
type RowState int

// States of a row.
const (
	// Reserved means that the dispatch may have been sent.
	Reserved RowState = iota + 1
	// Finished means that the upstream has responded; the row holds the response.
	Finished
	// Released means that the dispatch was refused or sealed before it started.
	Released
	// Broken means that the upstream or agent failed and may have run the action.
	Broken
)

// RowVersion identifies a version of a row; a swap succeeds only if the row
// still has it.
type RowVersion struct {
	Attempt bwmodel.RequestID
	Fence   bwmodel.Fence
	State   RowState
}

// Version returns the version of the row.
func (row Row) Version() RowVersion {
	return RowVersion{Attempt: row.Attempt, Fence: row.Fence, State: row.State}
}

// Errors of the table functions.
var (
	// ErrConflict means that the condition did not hold and nothing was written.
	ErrConflict = errors.New("condition on the action's row does not hold")
	// ErrUnavailable means that the table did not accept the operation.
	ErrUnavailable = errors.New("table is unavailable")
	// ErrOutcomeUnknown means that the write may have taken effect, or still may.
	ErrOutcomeUnknown = errors.New("outcome of the table write is unknown")
	// ErrRejected means that the table rejected the content, such as a row above
	// its size limit, and nothing was written.
	ErrRejected = errors.New("table rejects the write")
)

// Digest identifies the content of an action, to detect a key that is reused for
// another one.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an action's service and complete request.
func DigestOf(svc bwmodel.ServiceID, req bwmodel.HTTPRequest) Digest {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(svc), []byte(req.Method), []byte(req.Path), []byte(req.ContentType), req.Body} {
		// The length prefix makes the boundaries of the parts unambiguous.
		sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		sum.Write(part)
	}
	return Digest(sum.Sum(nil))
}
