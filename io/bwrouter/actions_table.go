package bwrouter

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"bilberrywick/core/bwaction"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwstore"
)

// actionTable stores the rows of actions in the platform's table.
type actionTable struct {
	metrics *bwobserve.Metrics
	table   *bwstore.Table
	objects *bwstore.Objects
	codec   *bwrpc.Codec
	batcher *bwaction.Batcher
}

// storedAction is the encoded form of a row in the table.
type storedAction struct {
	bwaction.Row
	// ResponseObject is the object that holds the response's body if the body is too
	// large for a row.
	ResponseObject string `cbor:",omitempty"`
}

// actionPartition is the prefix of each action's partition key; one partition per
// action spreads the load over the table's servers.
const (
	actionPartition = "Action/"
	actionSort      = "Row"
	// maxInlineResponse, in bytes, leaves room for the rest of the row within the
	// table's limit of 400 KB a row.
	maxInlineResponse = 256 << 10
)

// read returns a row that includes all writes confirmed before the call.
func (att *actionTable) read(ctx context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
	stored, err := att.table.Get(ctx, actionRowKey(key))
	if err != nil {
		return bwaction.Row{}, false, errors.Join(bwaction.ErrUnavailable, err)
	}
	if stored == nil {
		return bwaction.Row{}, false, nil
	}
	var act storedAction
	if err := att.codec.Unmarshal(stored.Body, &act); err != nil {
		return bwaction.Row{}, false, fmt.Errorf("row of action %v: %w", key, errors.Join(bwaction.ErrUnavailable, err))
	}
	if act.ResponseObject == "" {
		return act.Row, true, nil
	}
	act.Response.Body, err = att.objects.Get(ctx, act.ResponseObject)
	if err == nil && act.Response.Body == nil {
		err = errResponseObjectMissing
	}
	if err != nil {
		return bwaction.Row{}, false, fmt.Errorf("response of action %v: %w", key, errors.Join(bwaction.ErrUnavailable, err))
	}
	return act.Row, true, nil
}

var errResponseObjectMissing = errors.New("the object store does not have the response")

// swap replaces a row if it has the expected version. A response that is too large
// for a row is stored as an object first, so that a row never refers to a missing object.
func (att *actionTable) swap(ctx context.Context, exp bwaction.RowVersion, row bwaction.Row) error {
	if len(row.Response.Body) > maxInlineResponse {
		if err := att.objects.Put(ctx, responseObject(row), row.Response.Body); err != nil {
			return errors.Join(bwaction.ErrUnavailable, err)
		}
	}
	return att.batcher.Swap(ctx, exp, row)
}

// responseObject returns the key of the object for a row's response; each attempt has its own.
func responseObject(row bwaction.Row) string {
	sum := sha256.Sum256([]byte(row.Key.String()))
	return actionPartition + hex.EncodeToString(sum[:]) + "/" + row.Attempt.String()
}

// newStoredAction returns the encoded form of a row, without a body that is stored as an object.
func newStoredAction(row bwaction.Row) storedAction {
	act := storedAction{Row: row}
	if len(row.Response.Body) > maxInlineResponse {
		act.ResponseObject = responseObject(row)
		act.Response.Body = nil
	}
	return act
}

// commit writes all rows in one transaction or none.
func (att *actionTable) commit(ctx context.Context, writes []bwaction.Write) ([]bool, error) {
	att.metrics.ReservationBatchSize.Update(float64(len(writes)))
	stored := make([]bwstore.Write, 0, len(writes))
	for _, wrt := range writes {
		body, err := att.codec.Marshal(newStoredAction(wrt.Row))
		if err != nil {
			return nil, errors.Join(bwaction.ErrRejected, err)
		}
		cond := bwstore.IfAbsent()
		if wrt.Expected != nil {
			cond = bwstore.IfVersion(actionVersion(*wrt.Expected))
		}
		row := bwstore.Row{Key: actionRowKey(wrt.Row.Key), Version: actionVersion(wrt.Row.Version()), Body: body}
		stored = append(stored, bwstore.Write{Row: row, If: cond})
	}
	err := att.table.Write(ctx, stored...)
	var conflict *bwstore.ConflictError
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &conflict):
		failed := make([]bool, len(writes))
		for _, ix := range conflict.Failed {
			failed[ix] = true
		}
		return failed, errors.Join(bwaction.ErrConflict, err)
	case errors.Is(err, bwstore.ErrInvalid):
		return nil, errors.Join(bwaction.ErrRejected, err)
	case errors.Is(err, bwstore.ErrUnavailable):
		return nil, errors.Join(bwaction.ErrUnavailable, err)
	}
	return nil, errors.Join(bwaction.ErrOutcomeUnknown, err)
}

func actionRowKey(key bwaction.Key) bwstore.Key {
	return bwstore.Key{Partition: actionPartition + key.String(), Sort: actionSort}
}

// Parts of an action row's version: each write increases the fence or the state,
// and part of the attempt's identifier distinguishes two attempts.
const (
	versionStateBits   = 3
	versionAttemptBits = 24
)

// actionVersion encodes a row version as the number that the table compares.
func actionVersion(exp bwaction.RowVersion) uint64 {
	attempt := uint64(binary.BigEndian.Uint32(exp.Attempt[:4])) >> (32 - versionAttemptBits)
	return (uint64(exp.Fence)<<versionStateBits|uint64(exp.State))<<versionAttemptBits | attempt
}
