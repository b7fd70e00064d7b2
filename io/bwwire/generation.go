package bwwire

import (
	"net/netip"

	"bilberrywick/core/bwmodel"
)

// GenerateRequest starts an attempt of a generation.
type GenerateRequest struct {
	Request     bwmodel.RequestID
	Epoch       bwmodel.Epoch
	Attempt     bwmodel.Attempt
	StateNumber bwmodel.TicketNumber
	Spec        bwmodel.GenerationSpec
	// Issued are the tokens that earlier attempts produced; the attempt goes on after them.
	Issued []bwmodel.Token
	// PromptTokens is the prompt as the first attempt's engine tokenized it; empty before that.
	PromptTokens []bwmodel.TokenID
	// Holder is the router that holds a copy of the record.
	Holder netip.AddrPort
	// Priority orders work in the engine; a lower value runs first.
	Priority int
}

// AttachRequest takes over the running attempt of a generation.
type AttachRequest struct {
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	// Epoch must be higher than the epoch that the agent serves.
	Epoch bwmodel.Epoch
	// From is the first position wanted.
	From   bwmodel.Position
	Holder netip.AddrPort
}

// GenerateEvent is one message of an attempt's output. It has short keys, since
// a router at peak reads 6,500 tokens a second.
type GenerateEvent struct {
	Attempt bwmodel.Attempt `cbor:"1,keyasint,omitempty"`
	// Position is the position of the first token.
	Position bwmodel.Position `cbor:"2,keyasint,omitempty"`
	Tokens   []bwmodel.Token  `cbor:"3,keyasint,omitempty"`
	// PromptTokens is set in the first event of an attempt that tokenized the prompt.
	PromptTokens []bwmodel.TokenID `cbor:"4,keyasint,omitempty"`
	// CachedTokens is set in the first event: the prompt tokens that the engine
	// had in its prefix cache.
	CachedTokens int `cbor:"5,keyasint,omitempty"`
	// Record is set in the first event after an attach.
	Record *bwmodel.GenerationRecord `cbor:"6,keyasint,omitempty"`
	// Finish is set in the last event.
	Finish bwmodel.FinishReason `cbor:"7,keyasint,omitempty"`
	// StateNumber is the agent's ticket number, so that a router that missed one learns of it.
	StateNumber bwmodel.TicketNumber `cbor:"8,keyasint,omitempty"`
}

// CancelRequest ends the attempts of a request below an epoch, and the attempts
// of that epoch up to an attempt.
type CancelRequest struct {
	Request bwmodel.RequestID
	Epoch   bwmodel.Epoch
	Attempt bwmodel.Attempt
}

// CancelResponse answers a CancelRequest.
type CancelResponse struct{ Canceled bool }

// SealRequest asks an agent that no other router takes a generation over under
// the seal's epoch or a lower one.
type SealRequest struct {
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	// Epoch is the epoch of the router that asks.
	Epoch bwmodel.Epoch
	Seal  bwmodel.Epoch
}

// SealResponse says that the generation is sealed.
type SealResponse struct{}

// AppendBatch carries the appends of many generations to one holder.
type AppendBatch struct{ Appends []RecordAppend }

// RecordAppend extends, starts or drops one generation's record at its holder;
// like GenerateEvent it has short keys.
type RecordAppend struct {
	Request bwmodel.RequestID `cbor:"1,keyasint,omitempty"`
	Epoch   bwmodel.Epoch     `cbor:"2,keyasint,omitempty"`
	// Record is set when the holder has no record yet; it replaces one of a lower epoch.
	Record *bwmodel.GenerationRecord `cbor:"3,keyasint,omitempty"`
	// Position is the position of the first token.
	Position     bwmodel.Position     `cbor:"4,keyasint,omitempty"`
	Tokens       []bwmodel.Token      `cbor:"5,keyasint,omitempty"`
	PromptTokens []bwmodel.TokenID    `cbor:"6,keyasint,omitempty"`
	Attempt      bwmodel.Attempt      `cbor:"7,keyasint,omitempty"`
	Agent        netip.AddrPort       `cbor:"8,keyasint,omitempty"`
	Finish       bwmodel.FinishReason `cbor:"9,keyasint,omitempty"`
	// Drop says that the caller has everything and the record is no longer needed.
	Drop bool `cbor:"10,keyasint,omitempty"`
}

// AckBatch answers an AppendBatch, in any grouping.
type AckBatch struct{ Acks []RecordAck }

// RecordAck tells how far a holder's record reaches.
type RecordAck struct {
	Request bwmodel.RequestID `cbor:"1,keyasint,omitempty"`
	Epoch   bwmodel.Epoch     `cbor:"2,keyasint,omitempty"`
	// Position is the number of tokens that the holder keeps.
	Position bwmodel.Position `cbor:"3,keyasint,omitempty"`
	// Refused says that the holder has sealed the record under a higher epoch,
	// or has no record to extend.
	Refused bool `cbor:"4,keyasint,omitempty"`
}

// TakeOverRequest seals a record against lower epochs and asks for it.
type TakeOverRequest struct {
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	Epoch   bwmodel.Epoch
	// Release says that the record's own router moves it to another holder, so
	// that no router may take it over here any more.
	Release bool
}

// TakeOverResponse carries the record as it was sealed.
type TakeOverResponse struct{ Record bwmodel.GenerationRecord }
