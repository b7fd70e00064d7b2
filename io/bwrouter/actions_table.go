package bwrouter

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"bilberrywick/core/bwaction"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwstore"
)

// actionTable keeps the rows of actions in the platform's table.
type actionTable struct {
	table *bwstore.Table
	codec *bwrpc.Codec
}

// actionPartition starts the partition of each action; one partition per action
// spreads them over the table's servers.
const (
	actionPartition = "Action/"
	actionSort      = "Row"
)

// read returns a row with all writes confirmed before the call.
func (att *actionTable) read(ctx context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
	stored, err := att.table.Get(ctx, actionRowKey(key))
	if err != nil {
		return bwaction.Row{}, false, errors.Join(bwaction.ErrUnavailable, err)
	}
	if stored == nil {
		return bwaction.Row{}, false, nil
	}
	var row bwaction.Row
	if err := att.codec.Unmarshal(stored.Body, &row); err != nil {
		return bwaction.Row{}, false, fmt.Errorf("row of action %v: %w", key, errors.Join(bwaction.ErrUnavailable, err))
	}
	return row, true, nil
}

// commit writes all rows in one transaction or none.
func (att *actionTable) commit(ctx context.Context, writes []bwaction.Write) ([]bool, error) {
	stored := make([]bwstore.Write, 0, len(writes))
	for _, wrt := range writes {
		body, err := att.codec.Marshal(wrt.Row)
		if err != nil {
			return nil, errors.Join(bwaction.ErrRejected, err)
		}
		cond := bwstore.IfAbsent()
		if wrt.Expect != nil {
			cond = bwstore.IfVersion(actionVersion(*wrt.Expect))
		}
		row := bwstore.Row{Key: actionRowKey(wrt.Row.Key), Version: actionVersion(wrt.Row.Expect()), Body: body}
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
	return nil, errors.Join(bwaction.ErrUnsure, err)
}

func actionRowKey(key bwaction.Key) bwstore.Key {
	return bwstore.Key{Partition: actionPartition + key.String(), Sort: actionSort}
}

// Parts of an action row's version: the fence and the state rise with each
// write, and part of the attempt's identifier tells two attempts apart.
const (
	versionStateBits   = 3
	versionAttemptBits = 24
)

// actionVersion maps what a swap expects to the version that the table compares.
func actionVersion(exp bwaction.Expect) uint64 {
	attempt := uint64(binary.BigEndian.Uint32(exp.Attempt[:4])) >> (32 - versionAttemptBits)
	return (uint64(exp.Fence)<<versionStateBits|uint64(exp.State))<<versionAttemptBits | attempt
}
