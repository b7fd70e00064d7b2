package bwgateway

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
)

// fragment is a part of a compressed update. Its field names are part of the
// encoding.
type fragment struct {
	// Update is equal for the fragments of one update.
	Update       uint64
	Index, Count int
	Data         []byte
}

const (
	// maxFragmentBytes leaves room in an Ethernet frame for the headers and the
	// signature, so that the network doesn't split a datagram.
	maxFragmentBytes = 1200
	// maxFragments bounds an update: one of 50 engines needs 3, and one lost fragment
	// loses the update. The slowest links of current deployments send 16 fragments to
	// a zone and the relays in 0.2 s.
	maxFragments = 16
	// maxUpdateBytes bounds an update after decompression.
	maxUpdateBytes = 1 << 20
	// maxReassemblies is the number of updates whose fragments are kept.
	maxReassemblies = 16
)

// splitUpdate compresses an update and returns its fragments, or nil if there
// would be too many.
func splitUpdate(upd TableUpdate) []fragment {
	var compressed bytes.Buffer
	// Neither a valid level nor a write to a buffer returns an error.
	wrt, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	if err := cbor.NewEncoder(wrt).Encode(upd); err != nil {
		return nil
	}
	_ = wrt.Close()
	data := compressed.Bytes()
	count := (len(data) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments {
		return nil
	}
	id := rand.Uint64()
	frgs := make([]fragment, 0, count)
	for ix := range count {
		part := data[ix*maxFragmentBytes : min((ix+1)*maxFragmentBytes, len(data))]
		frgs = append(frgs, fragment{Update: id, Index: ix, Count: count, Data: part})
	}
	return frgs
}

// reassembly joins the fragments of updates.
type reassembly struct {
	updates map[uint64]*partialUpdate
	// order has the updates in the order of their first fragments.
	order []uint64
}

type partialUpdate struct {
	parts    [][]byte
	received int
}

func newReassembly() *reassembly { return &reassembly{updates: make(map[uint64]*partialUpdate)} }

var errFragment = errors.New("fragment is out of range")

// add adds a fragment and returns the update if it is complete. Fragments of the
// oldest update are dropped when there are too many.
func (rsm *reassembly) add(frg fragment) (upd TableUpdate, ok bool, err error) {
	if frg.Count < 1 || frg.Count > maxFragments || frg.Index < 0 || frg.Index >= frg.Count || len(frg.Data) > maxFragmentBytes {
		return upd, false, errFragment
	}
	par := rsm.updates[frg.Update]
	if par == nil {
		par = &partialUpdate{parts: make([][]byte, frg.Count)}
		rsm.updates[frg.Update] = par
		rsm.order = append(rsm.order, frg.Update)
		if len(rsm.order) > maxReassemblies {
			delete(rsm.updates, rsm.order[0])
			rsm.order = rsm.order[1:]
		}
	}
	if frg.Index >= len(par.parts) || par.parts[frg.Index] != nil {
		return upd, false, nil
	}
	par.parts[frg.Index] = frg.Data
	par.received++
	if par.received < len(par.parts) {
		return upd, false, nil
	}
	data := flate.NewReader(bytes.NewReader(bytes.Join(par.parts, nil)))
	if err := cbor.NewDecoder(io.LimitReader(data, maxUpdateBytes)).Decode(&upd); err != nil {
		return upd, false, fmt.Errorf("decode update: %w", err)
	}
	return upd, true, nil
}
