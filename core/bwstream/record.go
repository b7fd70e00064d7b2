package bwstream

import (
	"errors"
	"net/netip"

	"bilberrywick/core/bwmodel"
)

// ErrFenced is returned when the holder refused an append; see Ack.Refused.
var ErrFenced = errors.New("record has been taken over under a higher epoch")

// Record is the state of a generation at the router that owns it: the accepted
// tokens, how many the holder has acknowledged, and how many may be delivered.
type Record struct {
	spec   bwmodel.GenerationSpec
	req    bwmodel.RequestID
	epoch  bwmodel.Epoch
	rcv    *Receiver
	prompt []bwmodel.TokenID
	agent  netip.AddrPort
	finish bwmodel.FinishReason
	holder netip.AddrPort
	// withoutHolder is set while the generation continues without a copy.
	withoutHolder bool
	// sendSnapshot is set until the holder has been sent the complete record.
	sendSnapshot bool
	// sentPosition is the number of tokens sent to the holder, ackedPosition the
	// number that it has acknowledged.
	sentPosition  bwmodel.Position
	promptSent    bool
	finishSent    bool
	ackedPosition bwmodel.Position
	// holderAcked is set after the current holder's first acknowledgement.
	holderAcked bool
}

// NewRecord returns the owner's state of a new record or of one that was taken over.
func NewRecord(rec bwmodel.GenerationRecord) *Record {
	rcv := NewReceiver(rec.Issued)
	rcv.attempt = rec.Attempt
	return &Record{
		spec:   rec.Spec,
		req:    rec.Request,
		epoch:  rec.Epoch,
		rcv:    rcv,
		prompt: rec.PromptTokens,
		agent:  rec.Agent,
		finish: rec.Finish,
	}
}

// BeginAttempt starts the next attempt at an agent and returns its number.
func (rec *Record) BeginAttempt(agent netip.AddrPort) bwmodel.Attempt {
	rec.rcv.attempt++
	rec.agent = agent
	return rec.rcv.attempt
}

// AdoptAttempt makes an attempt that is already running the current one.
func (rec *Record) AdoptAttempt(att bwmodel.Attempt, agent netip.AddrPort) {
	rec.rcv.attempt = att
	rec.agent = agent
}

// AcceptTokens accepts tokens of an attempt and returns the number of new ones, or
// an error of Receiver.AcceptTokens.
func (rec *Record) AcceptTokens(att bwmodel.Attempt, pos bwmodel.Position, toks []bwmodel.Token) (int, error) {
	fresh, err := rec.rcv.AcceptTokens(att, pos, toks)
	return len(fresh), err
}

// SetPromptTokens sets the prompt's tokens unless they are set already.
func (rec *Record) SetPromptTokens(ids []bwmodel.TokenID) {
	if len(rec.prompt) == 0 {
		rec.prompt = ids
	}
}

// SetFinishReason sets why the generation ended.
func (rec *Record) SetFinishReason(reason bwmodel.FinishReason) { rec.finish = reason }

// SetHolder sets the holder of the copy and the epoch. An unset address means that
// no other router exists, so that tokens are delivered without an acknowledgement.
func (rec *Record) SetHolder(holder netip.AddrPort, ep bwmodel.Epoch) {
	rec.holder = holder
	rec.withoutHolder = !holder.IsValid()
	rec.epoch = ep
	rec.sendSnapshot = holder.IsValid()
	rec.holderAcked = false
	rec.ackedPosition = 0
	rec.sentPosition = 0
	rec.promptSent = false
	rec.finishSent = false
}

// AwaitHolder removes a lost holder and sets the epoch; nothing new may be
// delivered until SetHolder is called.
func (rec *Record) AwaitHolder(ep bwmodel.Epoch) {
	rec.SetHolder(netip.AddrPort{}, ep)
	rec.withoutHolder = false
}

// NextAppend returns what the holder has not been sent and counts it as sent; false
// when there is nothing to send or no holder.
func (rec *Record) NextAppend() (Append, bool) {
	if !rec.holder.IsValid() {
		return Append{}, false
	}
	app := Append{Request: rec.req, Epoch: rec.epoch, Attempt: rec.rcv.attempt, Agent: rec.agent, Finish: rec.finish}
	if rec.sendSnapshot {
		snap := rec.Snapshot()
		app.Record = &snap
		rec.sendSnapshot = false
	} else {
		app.Position = rec.sentPosition
		app.Tokens = rec.rcv.Tokens()[rec.sentPosition:]
		if !rec.promptSent {
			app.PromptTokens = rec.prompt
		}
		if len(app.Tokens) == 0 && len(app.PromptTokens) == 0 && (rec.finish == "" || rec.finishSent) {
			return Append{}, false
		}
	}
	rec.sentPosition = rec.rcv.Position()
	rec.promptSent = len(rec.prompt) > 0
	rec.finishSent = rec.finish != ""
	return app, true
}

// ApplyAck applies an acknowledgement of the current epoch; it returns ErrFenced when
// the holder refused the append.
func (rec *Record) ApplyAck(ack Ack) error {
	if ack.Request != rec.req || ack.Epoch != rec.epoch {
		return nil
	}
	if ack.Refused {
		return ErrFenced
	}
	rec.holderAcked = true
	rec.ackedPosition = max(rec.ackedPosition, min(ack.Position, rec.rcv.Position()))
	return nil
}

// DeliverablePosition returns the position up to which the output may be delivered.
func (rec *Record) DeliverablePosition() bwmodel.Position {
	if rec.withoutHolder {
		return rec.rcv.Position()
	}
	return rec.ackedPosition
}

// AwaitsAck reports whether a holder is missing or has not acknowledged all that
// it was sent.
func (rec *Record) AwaitsAck() bool {
	return !rec.withoutHolder && (!rec.holderAcked || rec.ackedPosition < rec.sentPosition)
}

// Tokens returns the output so far; the caller must not change it.
func (rec *Record) Tokens() []bwmodel.Token { return rec.rcv.Tokens() }

// Position returns the number of accepted tokens.
func (rec *Record) Position() bwmodel.Position { return rec.rcv.Position() }

// Epoch returns the epoch under which the record is owned.
func (rec *Record) Epoch() bwmodel.Epoch { return rec.epoch }

// Holder returns the holder's address, unset when there is none.
func (rec *Record) Holder() netip.AddrPort { return rec.holder }

// Agent returns the address of the current attempt's agent.
func (rec *Record) Agent() netip.AddrPort { return rec.agent }

// Attempt returns the number of the current attempt.
func (rec *Record) Attempt() bwmodel.Attempt { return rec.rcv.attempt }

// FinishReason returns why the generation ended; empty while it is running.
func (rec *Record) FinishReason() bwmodel.FinishReason { return rec.finish }

// Spec returns what the caller requested.
func (rec *Record) Spec() bwmodel.GenerationSpec { return rec.spec }

// Handle returns the handle for a point in the output.
func (rec *Record) Handle(cur Cursor) Handle {
	return Handle{Request: rec.req, Epoch: rec.epoch, Holder: rec.holder, Agent: rec.agent, Cursor: cur}
}

// Snapshot returns the complete record; the caller must not change its slices.
func (rec *Record) Snapshot() bwmodel.GenerationRecord {
	return bwmodel.GenerationRecord{
		Request:      rec.req,
		Epoch:        rec.epoch,
		Attempt:      rec.rcv.attempt,
		Spec:         rec.spec,
		PromptTokens: rec.prompt,
		Issued:       rec.rcv.Tokens(),
		Agent:        rec.agent,
		Finish:       rec.finish,
	}
}

// Request returns the identifier of the request.
func (rec *Record) Request() bwmodel.RequestID { return rec.req }

// PromptTokens returns the prompt as the first engine tokenized it; empty before that.
func (rec *Record) PromptTokens() []bwmodel.TokenID { return rec.prompt }
