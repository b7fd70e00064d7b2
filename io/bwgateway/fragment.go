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

// fragment is a part of a compressed message: a table update or a long note. Its field
// names are part of the encoding.
type fragment struct {
	// Update is equal for the fragments of one message.
	Update       uint64
	Index, Count int
	Data         []byte
}

const (
	// maxFragmentBytes leaves room in an Ethernet frame for the headers and the
	// signature, so that the network doesn't split a datagram.
	maxFragmentBytes = 1200
	// maxUpdateFragments bounds an update: one of 50 engines needs 3, and one lost fragment
	// loses the update. The slowest links of current deployments send 16 fragments to
	// a zone and the relays in 0.2 s.
	maxUpdateFragments = 16
	// maxNoteFragments is enough for a note with all parts of the longest header of a
	// request.
	maxNoteFragments = 64
	// maxMessageBytes bounds a message after decompression.
	maxMessageBytes = 1 << 20
	// maxReassemblies is the number of messages of a kind whose fragments are kept.
	maxReassemblies = 16
)

// split compresses a message and returns its fragments, or nil if there would be more
// than a limit.
func split[Message any](msg Message, limit int) []fragment {
	var compressed bytes.Buffer
	// Neither a valid level nor a write to a buffer returns an error.
	wrt, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	if err := cbor.NewEncoder(wrt).Encode(msg); err != nil {
		return nil
	}
	_ = wrt.Close()
	data := compressed.Bytes()
	count := (len(data) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > limit {
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

// reassembly joins the fragments of messages.
type reassembly[Message any] struct {
	// limit is the largest number of fragments of a message.
	limit    int
	messages map[uint64]*partialMessage
	// order has the messages in the order of their first fragments.
	order []uint64
}

type partialMessage struct {
	parts    [][]byte
	received int
}

func newReassembly[Message any](limit int) *reassembly[Message] {
	return &reassembly[Message]{limit: limit, messages: make(map[uint64]*partialMessage)}
}

var errFragment = errors.New("fragment is out of range")

// add adds a fragment and returns the message if it is complete. Fragments of the
// oldest message are dropped when there are too many.
func (rsm *reassembly[Message]) add(frg fragment) (msg Message, ok bool, err error) {
	if frg.Count < 1 || frg.Count > rsm.limit || frg.Index < 0 || frg.Index >= frg.Count || len(frg.Data) > maxFragmentBytes {
		return msg, false, errFragment
	}
	par := rsm.messages[frg.Update]
	if par == nil {
		par = &partialMessage{parts: make([][]byte, frg.Count)}
		rsm.messages[frg.Update] = par
		rsm.order = append(rsm.order, frg.Update)
		if len(rsm.order) > maxReassemblies {
			delete(rsm.messages, rsm.order[0])
			rsm.order = rsm.order[1:]
		}
	}
	if frg.Index >= len(par.parts) || par.parts[frg.Index] != nil {
		return msg, false, nil
	}
	par.parts[frg.Index] = frg.Data
	par.received++
	if par.received < len(par.parts) {
		return msg, false, nil
	}
	data := flate.NewReader(bytes.NewReader(bytes.Join(par.parts, nil)))
	if err := cbor.NewDecoder(io.LimitReader(data, maxMessageBytes)).Decode(&msg); err != nil {
		return msg, false, fmt.Errorf("decode message: %w", err)
	}
	return msg, true, nil
}
