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
	// Issued are the tokens that earlier attempts produced; this attempt continues after them.
	Issued []bwmodel.Token
	// PromptTokens is the prompt as tokenized by the first attempt's engine, or empty
	// if no engine has tokenized it yet.
	PromptTokens []bwmodel.TokenID
	// Holder is the address of the router that stores a copy of the record.
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
	// From is the position of the first requested token.
	From   bwmodel.Position
	Holder netip.AddrPort
}

// GenerateEvent is one message of an attempt's output. Its fields have short
// keys, since a router reads 6,500 tokens per second at peak.
type GenerateEvent struct {
	Attempt bwmodel.Attempt `cbor:"1,keyasint,omitempty"`
	// Position is the position of the first token.
	Position bwmodel.Position `cbor:"2,keyasint,omitempty"`
	Tokens   []bwmodel.Token  `cbor:"3,keyasint,omitempty"`
	// PromptTokens is set in the first event of an attempt that tokenized the prompt.
	PromptTokens []bwmodel.TokenID `cbor:"4,keyasint,omitempty"`
	// CachedTokens is the number of prompt tokens found in the engine's prefix
	// cache. It is set in the first event.
	CachedTokens int `cbor:"5,keyasint,omitempty"`
	// Record is set in the first event after an attach.
	Record *bwmodel.GenerationRecord `cbor:"6,keyasint,omitempty"`
	// Finish is set in the last event.
	Finish bwmodel.FinishReason `cbor:"7,keyasint,omitempty"`
	// StateNumber is the agent's ticket number, by which a router detects a missed ticket.
	StateNumber bwmodel.TicketNumber `cbor:"8,keyasint,omitempty"`
}

// CancelRequest ends the attempts of a request in all epochs below Epoch, and
// those in Epoch up to and including Attempt.
type CancelRequest struct {
	Request bwmodel.RequestID
	Epoch   bwmodel.Epoch
	Attempt bwmodel.Attempt
}

// CancelResponse reports whether an attempt was canceled.
type CancelResponse struct{ Canceled bool }

// SealRequest makes an agent refuse takeovers of a generation by other routers in
// epochs up to Seal.
type SealRequest struct {
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	// Epoch is the epoch of the requesting router.
	Epoch bwmodel.Epoch
	Seal  bwmodel.Epoch
}

// SealResponse confirms that the generation is sealed.
type SealResponse struct{}

// AppendBatch carries the appends of many generations to one holder.
type AppendBatch struct{ Appends []RecordAppend }

// RecordAppend creates, extends or deletes one generation's record at its holder.
// Like GenerateEvent, it has short keys.
type RecordAppend struct {
	Request bwmodel.RequestID `cbor:"1,keyasint,omitempty"`
	Epoch   bwmodel.Epoch     `cbor:"2,keyasint,omitempty"`
	// Record is set when the holder has no record yet; it replaces a record of a lower epoch.
	Record *bwmodel.GenerationRecord `cbor:"3,keyasint,omitempty"`
	// Position is the position of the first token.
	Position     bwmodel.Position     `cbor:"4,keyasint,omitempty"`
	Tokens       []bwmodel.Token      `cbor:"5,keyasint,omitempty"`
	PromptTokens []bwmodel.TokenID    `cbor:"6,keyasint,omitempty"`
	Attempt      bwmodel.Attempt      `cbor:"7,keyasint,omitempty"`
	Agent        netip.AddrPort       `cbor:"8,keyasint,omitempty"`
	Finish       bwmodel.FinishReason `cbor:"9,keyasint,omitempty"`
	// Drop is set when the caller has received everything, so the record is no longer needed.
	Drop bool `cbor:"10,keyasint,omitempty"`
}

// AckBatch acknowledges appends, in any grouping of the AppendBatch messages.
type AckBatch struct{ Acks []RecordAck }

// RecordAck reports how many tokens a holder's record contains.
type RecordAck struct {
	Request bwmodel.RequestID `cbor:"1,keyasint,omitempty"`
	Epoch   bwmodel.Epoch     `cbor:"2,keyasint,omitempty"`
	// Position is the number of tokens that the holder has stored.
	Position bwmodel.Position `cbor:"3,keyasint,omitempty"`
	// Refused is set when the holder has sealed the record under a higher epoch,
	// or has no record to extend.
	Refused bool `cbor:"4,keyasint,omitempty"`
}

// TakeOverRequest seals a record against lower epochs and requests its contents.
type TakeOverRequest struct {
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	Epoch   bwmodel.Epoch
	// Release is set when the record's own router moves it to another holder. No
	// router may take it over from this holder afterwards.
	Release bool
}

// TakeOverResponse carries the sealed record.
type TakeOverResponse struct{ Record bwmodel.GenerationRecord }
