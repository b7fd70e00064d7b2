package bwstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"bilberrywick/core/bwlease"
)

const leasePartition = "Lease"

// LeaseStore stores one lease in a row of the table. Its methods match the function
// fields of bwlease.HolderConfig and return the errors of bwlease.
type LeaseStore struct {
	tab *Table
	key Key
}

// NewLeaseStore returns the store of a control duty's lease.
func NewLeaseStore(tab *Table, duty string) *LeaseStore {
	return &LeaseStore{tab: tab, key: Key{Partition: leasePartition, Sort: duty}}
}

// Read returns the lease's row, or a zero row if there is none.
func (ls *LeaseStore) Read(ctx context.Context) (bwlease.Row, error) {
	row, err := ls.tab.Get(ctx, ls.key)
	if err != nil {
		return bwlease.Row{}, leaseError(err)
	}
	if row == nil {
		return bwlease.Row{}, nil
	}
	var lease bwlease.Row
	if err := json.Unmarshal(row.Body, &lease); err != nil {
		return bwlease.Row{}, fmt.Errorf("row %v: %w", ls.key, err)
	}
	lease.Version = row.Version
	return lease, nil
}

// Swap replaces the row if its version is one below next's. Version 1 is inserted
// as the first row.
func (ls *LeaseStore) Swap(ctx context.Context, next bwlease.Row) error {
	body, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode row %v: %w", ls.key, err)
	}
	row := Row{Key: ls.key, Version: next.Version, Body: body}
	if next.Version == 1 {
		return leaseError(ls.tab.Insert(ctx, row))
	}
	return leaseError(ls.tab.Replace(ctx, next.Version-1, row))
}

// leaseError translates an error of the table into one of bwlease.
func leaseError(err error) error {
	switch {
	case errors.Is(err, ErrConflict):
		return fmt.Errorf("%w: %w", bwlease.ErrRowChanged, err)
	case errors.Is(err, ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", bwlease.ErrOutcomeUnknown, err)
	case errors.Is(err, ErrUnavailable):
		return fmt.Errorf("%w: %w", bwlease.ErrUnavailable, err)
	}
	return err
}
