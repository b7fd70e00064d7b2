package bwrouter

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// takeover finds the record of a generation whose router is gone, and seals it
// under a higher epoch.
type takeover struct {
	gns  *Generations
	team bwmodel.TeamID
	hd   bwstream.Handle
	// rec is the record found.
	rec   *bwstream.Record
	epoch bwmodel.Epoch
	// holder is the holder that answered; unset when none did.
	holder netip.AddrPort
	// att reads the agent's running attempt; nil when there is none.
	att *attempt
}

const (
	// takeOverTime bounds the question to one holder or agent.
	takeOverTime = time.Second
	// takeOverTries bounds the search for an epoch that is high enough; the step doubles.
	takeOverTries = 8
)

// run finds the record, at the holder first and then at the agent.
func (tko *takeover) run(ctx context.Context) *bwhttp.Problem {
	rec, err := tko.askHolder(ctx)
	if err != nil && bwrpc.CodeOf(err) == bwwire.Forbidden {
		return &bwhttp.Problem{Status: http.StatusNotFound, Title: "Unknown generation", Outcome: bwhttp.OutcomeUnknown}
	}
	agent := tko.hd.Agent
	if rec != nil && rec.Agent.IsValid() {
		agent = rec.Agent
	}
	if rec == nil || rec.Finish == "" {
		held, err := tko.attach(ctx, agent)
		if err != nil && rec != nil && bwrpc.CodeOf(err) == bwwire.Stale {
			tko.gns.cfg.Log.Warn("generation has moved to another holder", "Request", tko.hd.Request, "Epoch", uint64(tko.epoch), "Error", err)
			return &bwhttp.Problem{Status: http.StatusConflict, Title: "Generation goes on elsewhere", Outcome: bwhttp.OutcomeUnknown}
		}
		if err != nil && rec == nil {
			tko.gns.cfg.Log.Warn("generation not found", "Request", tko.hd.Request, "Error", err)
			return &bwhttp.Problem{Status: http.StatusNotFound, Title: "Unknown generation", Outcome: bwhttp.OutcomeUnknown}
		}
		rec = tko.merge(rec, held)
	}
	rec.Epoch = tko.epoch
	if short(rec, tko.hd.Cursor) {
		if tko.att != nil {
			tko.att.end(attemptEnd{})
		}
		return &bwhttp.Problem{Status: http.StatusConflict, Title: "Record is shorter than the position", Outcome: bwhttp.OutcomeUnknown}
	}
	tko.rec = bwstream.NewRecord(*rec)
	tko.gns.cfg.Log.Info("generation taken over", "Request", rec.Request, "Epoch", uint64(rec.Epoch), "Position", len(rec.Issued),
		"Holder", tko.holder, "Agent", agent, "Attached", tko.att != nil)
	return nil
}

// merge returns the longer of the holder's and the agent's record. An agent
// whose tokens differ from the holder's runs an attempt that was replaced.
func (tko *takeover) merge(rec, held *bwmodel.GenerationRecord) *bwmodel.GenerationRecord {
	if rec == nil || held == nil {
		return cmp.Or(rec, held)
	}
	rcv := bwstream.NewReceiver(rec.Issued)
	if err := rcv.BeginAttempt(held.Attempt); err != nil {
		return rec
	}
	if _, err := rcv.AcceptTokens(held.Attempt, 0, held.Issued); err != nil || held.Attempt < rec.Attempt {
		tko.gns.cfg.Log.Warn("agent's attempt was replaced", "Request", rec.Request, "Attempt", uint32(held.Attempt))
		tko.att.end(attemptEnd{Cancel: true})
		tko.att = nil
		return rec
	}
	if len(held.Issued) < len(rec.Issued) {
		held.Issued = rec.Issued
	}
	return held
}

// askHolder seals the record at the handle's holder and returns it.
func (tko *takeover) askHolder(ctx context.Context) (*bwmodel.GenerationRecord, error) {
	tko.epoch = tko.hd.Epoch + 1
	if !tko.hd.Holder.IsValid() || !tko.gns.cfg.IsKnownAddress(tko.hd.Holder) {
		return nil, errUnknownAddress
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTime)
	defer cancel()
	var err error
	for try := range takeOverTries {
		req := &bwwire.TakeOverRequest{Request: tko.hd.Request, Team: tko.team, Epoch: tko.epoch}
		var rsp *bwwire.TakeOverResponse
		rsp, err = bwrpc.Call[bwwire.TakeOverRequest, bwwire.TakeOverResponse](ctx, tko.gns.cfg.Client, tko.hd.Holder, bwwire.PeerTakeOver, req)
		if err == nil {
			tko.holder = tko.hd.Holder
			return &rsp.Record, nil
		}
		if bwrpc.CodeOf(err) != bwwire.Stale {
			break
		}
		tko.epoch += 1 << try
	}
	return nil, err
}

// errUnknownAddress says that an address of a handle is no member's.
var errUnknownAddress = errors.New("address is not a known member")

// attach takes over the attempt that runs at an agent and returns the agent's record.
func (tko *takeover) attach(ctx context.Context, agent netip.AddrPort) (*bwmodel.GenerationRecord, error) {
	if !agent.IsValid() || !tko.gns.cfg.IsKnownAddress(agent) {
		return nil, errUnknownAddress
	}
	var err error
	for try := range takeOverTries {
		var rec *bwmodel.GenerationRecord
		rec, err = tko.attachOnce(ctx, agent)
		if err == nil {
			return rec, nil
		}
		// With the holder's record the epoch is settled, and the agent must accept it.
		if bwrpc.CodeOf(err) != bwwire.Stale || tko.holder.IsValid() {
			break
		}
		tko.epoch += 1 << try
	}
	return nil, err
}

func (tko *takeover) attachOnce(ctx context.Context, agent netip.AddrPort) (*bwmodel.GenerationRecord, error) {
	att := newAttempt(ctx, tko.gns)
	wait := time.AfterFunc(takeOverTime, att.cancel)
	defer wait.Stop()
	stm, err := bwrpc.OpenStream[bwwire.GenerateEvent, bwwire.AttachRequest](att.ctx, tko.gns.cfg.Client, agent, bwwire.AgentAttach)
	if err == nil {
		err = stm.Send(&bwwire.AttachRequest{Request: tko.hd.Request, Team: tko.team, Epoch: tko.epoch, From: tko.hd.Cursor.Position})
	}
	var evt *bwwire.GenerateEvent
	if err == nil {
		evt, err = stm.Recv()
	}
	if err == nil && evt.Record == nil {
		err = errors.New("attach answered without a record")
	}
	if err != nil {
		att.cancel()
		return nil, err
	}
	tko.att = att
	if evt.Finish == "" {
		att.start = bwwire.GenerateRequest{Request: evt.Record.Request, Epoch: tko.epoch, Attempt: evt.Record.Attempt}
		rdr := &attachReader{att: att, stm: stm, agent: agent}
		go rdr.run()
	}
	return evt.Record, nil
}

// attachReader reads the rest of an attached stream.
type attachReader struct {
	att   *attempt
	stm   *bwrpc.Stream[bwwire.GenerateEvent, bwwire.AttachRequest]
	agent netip.AddrPort
}

func (rdr *attachReader) run() {
	defer rdr.att.cancel()
	defer rdr.att.finish(bwroute.Choice{Upstream: bwmodel.Upstream{Agent: rdr.agent}, Finish: func(bwroute.Outcome) {}})
	defer func() { _ = rdr.stm.Close() }()
	rdr.att.read(rdr.stm.Recv)
}

// adopt continues a taken over record: with the attached attempt, and with the
// holder that answered unless this router is it.
func (ses *session) adopt(ctx context.Context, tko *takeover) {
	if tko.holder.IsValid() && tko.holder != ses.gns.cfg.Address {
		ses.holder = tko.holder
	}
	ses.handed = ses.holder
	ses.acked = ses.gns.cfg.Now()
	ses.noteAgent()
	ses.refresh = true
	now := ses.gns.cfg.Now()
	if ses.rec.FinishReason() != "" || tko.att == nil {
		ses.loss = &loss{cause: "router lost", since: now, begun: now}
		if ses.rec.FinishReason() == "" {
			ses.askPlace(ctx)
		}
		return
	}
	ses.att = tko.att
	ses.started = now
	ses.pace = bwstream.NewStallDetector(ses.gns.paces.config(ses.rec.Spec().Service, ses.gns.cfg.StallDetector), now)
}

// short reports whether a record ends before a point that the caller has.
func short(rec *bwmodel.GenerationRecord, mk bwstream.Cursor) bool {
	held := bwmodel.Position(len(rec.Issued))
	return held < mk.Position || held == mk.Position && mk.Offset > 0
}
