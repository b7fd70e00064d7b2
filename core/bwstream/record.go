package bwstream

import (
	"errors"
	"net/netip"

	"bilberrywick/core/bwmodel"
)

// ErrFenced says that the holder has sealed the record under a higher epoch.
var ErrFenced = errors.New("record has been taken over under a higher epoch")

// Record is the owner's side of a generation: what the current attempt has
// produced, what the holder has acknowledged, and what the caller may see.
type Record struct {
	spec   bwmodel.GenerationSpec
	req    bwmodel.RequestID
	epoch  bwmodel.Epoch
	rcv    *Receiver
	prompt []bwmodel.TokenID
	agent  netip.AddrPort
	finish bwmodel.FinishReason
	holder netip.AddrPort
	// alone says that the generation goes on without a copy.
	alone bool
	// whole says that the holder needs the whole record first.
	whole bool
	// noted is what the holder was sent, acked what it has acknowledged.
	noted       bwmodel.Position
	promptNoted bool
	finishNoted bool
	acked       bwmodel.Position
	began       bool
}

// NewRecord returns the owner's side of a new or taken over record.
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

// AdoptAttempt makes an attempt that is running already the current one.
func (rec *Record) AdoptAttempt(att bwmodel.Attempt, agent netip.AddrPort) {
	rec.rcv.attempt = att
	rec.agent = agent
}

// AcceptTokens notes tokens of an attempt and returns the number of new ones.
func (rec *Record) AcceptTokens(att bwmodel.Attempt, pos bwmodel.Position, toks []bwmodel.Token) (int, error) {
	fresh, err := rec.rcv.AcceptTokens(att, pos, toks)
	return len(fresh), err
}

// SetPromptTokens notes the prompt's tokens, which stay as first noted.
func (rec *Record) SetPromptTokens(ids []bwmodel.TokenID) {
	if len(rec.prompt) == 0 {
		rec.prompt = ids
	}
}

// SetFinishReason notes why the generation ended.
func (rec *Record) SetFinishReason(why bwmodel.FinishReason) { rec.finish = why }

// SetHolder names the holder of the copy from now on, under an epoch; an unset
// address means that no other router exists, so that none is waited for.
func (rec *Record) SetHolder(holder netip.AddrPort, ep bwmodel.Epoch) {
	rec.holder = holder
	rec.alone = !holder.IsValid()
	rec.epoch = ep
	rec.whole = holder.IsValid()
	rec.began = false
	rec.acked = 0
	rec.noted = 0
	rec.promptNoted = false
	rec.finishNoted = false
}

// AwaitHolder notes that the holder is lost and the next one not found yet, under
// an epoch; until then the caller may see nothing new.
func (rec *Record) AwaitHolder(ep bwmodel.Epoch) {
	rec.SetHolder(netip.AddrPort{}, ep)
	rec.alone = false
}

// NextAppend returns what the holder has not been sent; false when there is
// nothing or no holder.
func (rec *Record) NextAppend() (Append, bool) {
	if !rec.holder.IsValid() {
		return Append{}, false
	}
	app := Append{Request: rec.req, Epoch: rec.epoch, Attempt: rec.rcv.attempt, Agent: rec.agent, Finish: rec.finish}
	if rec.whole {
		val := rec.Snapshot()
		app.Record = &val
		rec.whole = false
	} else {
		app.Position = rec.noted
		app.Tokens = rec.rcv.Tokens()[rec.noted:]
		if !rec.promptNoted {
			app.PromptTokens = rec.prompt
		}
		if len(app.Tokens) == 0 && len(app.PromptTokens) == 0 && (rec.finish == "" || rec.finishNoted) {
			return Append{}, false
		}
	}
	rec.noted = rec.rcv.Position()
	rec.promptNoted = len(rec.prompt) > 0
	rec.finishNoted = rec.finish != ""
	return app, true
}

// ApplyAck notes an acknowledgement; it returns ErrFenced when the holder refuses the epoch.
func (rec *Record) ApplyAck(ack Ack) error {
	if ack.Request != rec.req || ack.Epoch != rec.epoch {
		return nil
	}
	if ack.Refused {
		return ErrFenced
	}
	rec.began = true
	rec.acked = max(rec.acked, min(ack.Position, rec.rcv.Position()))
	return nil
}

// DeliverablePosition returns the position up to which the caller may see the output.
func (rec *Record) DeliverablePosition() bwmodel.Position {
	if rec.alone {
		return rec.rcv.Position()
	}
	return rec.acked
}

// AwaitsAck reports whether the record is without a holder that has acknowledged
// all it was sent.
func (rec *Record) AwaitsAck() bool {
	return !rec.alone && (!rec.began || rec.acked < rec.noted)
}

// Tokens returns the output so far; the caller must not change it.
func (rec *Record) Tokens() []bwmodel.Token { return rec.rcv.Tokens() }

// Position returns the number of tokens taken.
func (rec *Record) Position() bwmodel.Position { return rec.rcv.Position() }

// Epoch returns the epoch that the record is owned under.
func (rec *Record) Epoch() bwmodel.Epoch { return rec.epoch }

// Holder returns the holder's address, unset when there is none.
func (rec *Record) Holder() netip.AddrPort { return rec.holder }

// Agent returns the address of the current attempt's agent.
func (rec *Record) Agent() netip.AddrPort { return rec.agent }

// Attempt returns the number of the current attempt.
func (rec *Record) Attempt() bwmodel.Attempt { return rec.rcv.attempt }

// FinishReason returns why the generation ended; empty while it goes on.
func (rec *Record) FinishReason() bwmodel.FinishReason { return rec.finish }

// Spec returns what the caller asked for.
func (rec *Record) Spec() bwmodel.GenerationSpec { return rec.spec }

// Handle returns the handle for a point in the output.
func (rec *Record) Handle(mk Cursor) Handle {
	return Handle{Request: rec.req, Epoch: rec.epoch, Holder: rec.holder, Agent: rec.agent, Cursor: mk}
}

// Snapshot returns the whole record.
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
