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

// takeover finds the record of a generation whose router no longer serves it, and
// seals the record under a higher epoch.
type takeover struct {
	gns  *Generations
	team bwmodel.TeamID
	hd   bwstream.Handle
	// rec is the record found.
	rec   *bwstream.Record
	epoch bwmodel.Epoch
	// holder is the holder that returned the record; unset when none did.
	holder netip.AddrPort
	// att reads the agent's running attempt; nil when there is none.
	att *attempt
}

const (
	// takeOverTimeout limits the calls to one holder or agent.
	takeOverTimeout = time.Second
	// takeOverAttempts limits the search for an epoch that is high enough; the step doubles.
	takeOverAttempts = 8
)

// run gets the record from the holder and the agent, or returns the problem to send.
func (tko *takeover) run(ctx context.Context) *bwhttp.Problem {
	rec, err := tko.takeOverFromHolder(ctx)
	if err != nil && bwrpc.CodeOf(err) == bwwire.Forbidden {
		return &bwhttp.Problem{Status: http.StatusNotFound, Title: "Unknown generation", Outcome: bwhttp.OutcomeUnknown}
	}
	agent := tko.hd.Agent
	if rec != nil && rec.Agent.IsValid() {
		agent = rec.Agent
	}
	if rec == nil || rec.Finish == "" {
		agentRec, err := tko.attach(ctx, agent)
		if err != nil && rec != nil && bwrpc.CodeOf(err) == bwwire.Stale {
			tko.gns.cfg.Log.Warn("takeover refused, generation has a newer epoch at its agent", "Request", tko.hd.Request, "Epoch", uint64(tko.epoch), "Error", err)
			return &bwhttp.Problem{Status: http.StatusConflict, Title: "Generation goes on elsewhere", Outcome: bwhttp.OutcomeUnknown}
		}
		if err != nil && rec == nil {
			tko.gns.cfg.Log.Warn("generation not found", "Request", tko.hd.Request, "Error", err)
			return &bwhttp.Problem{Status: http.StatusNotFound, Title: "Unknown generation", Outcome: bwhttp.OutcomeUnknown}
		}
		rec = tko.merge(rec, agentRec)
	}
	rec.Epoch = tko.epoch
	if endsBefore(rec, tko.hd.Cursor) {
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

// merge returns the longer of the holder's and the agent's records. If the agent's
// attempt is older or its tokens differ, the attempt was replaced and the holder's
// record is returned.
func (tko *takeover) merge(rec, agentRec *bwmodel.GenerationRecord) *bwmodel.GenerationRecord {
	if rec == nil || agentRec == nil {
		return cmp.Or(rec, agentRec)
	}
	rcv := bwstream.NewReceiver(rec.Issued)
	if err := rcv.BeginAttempt(agentRec.Attempt); err != nil {
		return rec
	}
	if _, err := rcv.AcceptTokens(agentRec.Attempt, 0, agentRec.Issued); err != nil || agentRec.Attempt < rec.Attempt {
		tko.gns.cfg.Log.Warn("canceling the agent's attempt, which was replaced", "Request", rec.Request, "Attempt", uint32(agentRec.Attempt))
		tko.att.end(attemptEnd{Cancel: true})
		tko.att = nil
		return rec
	}
	if len(agentRec.Issued) < len(rec.Issued) {
		agentRec.Issued = rec.Issued
	}
	return agentRec
}

// takeOverFromHolder seals the record at the holder that the handle names and returns it.
func (tko *takeover) takeOverFromHolder(ctx context.Context) (*bwmodel.GenerationRecord, error) {
	tko.epoch = tko.hd.Epoch + 1
	if !tko.hd.Holder.IsValid() || !tko.gns.cfg.IsKnownAddress(tko.hd.Holder) {
		return nil, errUnknownAddress
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	var err error
	for try := range takeOverAttempts {
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

// errUnknownAddress means that a handle's address belongs to no member.
var errUnknownAddress = errors.New("address is not a known member")

// attach takes over the attempt that runs at an agent and returns the agent's record.
func (tko *takeover) attach(ctx context.Context, agent netip.AddrPort) (*bwmodel.GenerationRecord, error) {
	if !agent.IsValid() || !tko.gns.cfg.IsKnownAddress(agent) {
		return nil, errUnknownAddress
	}
	var err error
	for try := range takeOverAttempts {
		var rec *bwmodel.GenerationRecord
		rec, err = tko.attachOnce(ctx, agent)
		if err == nil {
			return rec, nil
		}
		// Once the holder has sealed the record, the epoch no longer changes; an agent
		// that rejects it has already accepted a newer one.
		if bwrpc.CodeOf(err) != bwwire.Stale || tko.holder.IsValid() {
			break
		}
		tko.epoch += 1 << try
	}
	return nil, err
}

func (tko *takeover) attachOnce(ctx context.Context, agent netip.AddrPort) (*bwmodel.GenerationRecord, error) {
	att := newAttempt(ctx, tko.gns)
	timeout := time.AfterFunc(takeOverTimeout, att.cancel)
	defer timeout.Stop()
	stm, err := bwrpc.OpenStream[bwwire.GenerateEvent, bwwire.AttachRequest](att.ctx, tko.gns.cfg.Client, agent, bwwire.AgentAttach)
	if err == nil {
		err = stm.Send(&bwwire.AttachRequest{Request: tko.hd.Request, Team: tko.team, Epoch: tko.epoch, From: tko.hd.Cursor.Position})
	}
	var evt *bwwire.GenerateEvent
	if err == nil {
		evt, err = stm.Recv()
	}
	if err == nil && evt.Record == nil {
		err = errors.New("attach response has no record")
	}
	if err != nil {
		att.cancel()
		return nil, err
	}
	tko.att = att
	if evt.Finish == "" {
		att.startRequest = bwwire.GenerateRequest{Request: evt.Record.Request, Epoch: tko.epoch, Attempt: evt.Record.Attempt}
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

// adopt prepares the session to continue a record that was taken over, with the
// attached attempt and with the same holder unless that is this router.
func (ses *session) adopt(ctx context.Context, tko *takeover) {
	if tko.holder.IsValid() && tko.holder != ses.gns.cfg.Address {
		ses.initialHolder = tko.holder
	}
	ses.handleHolder = ses.initialHolder
	ses.lastAck = ses.gns.cfg.Now()
	ses.recordAgent()
	ses.refreshHandle = true
	now := ses.gns.cfg.Now()
	if ses.rec.FinishReason() != "" || tko.att == nil {
		ses.loss = &attemptLoss{cause: "router lost", since: now, resumableAt: now}
		if ses.rec.FinishReason() == "" {
			ses.requestAdmission(ctx)
		}
		return
	}
	ses.att = tko.att
	ses.attemptStart = now
	ses.stallDetector = bwstream.NewStallDetector(ses.gns.latencies.stallDetectorConfig(ses.rec.Spec().Service, ses.gns.cfg.StallDetector), now)
}

// endsBefore reports whether a record ends before the caller's cursor.
func endsBefore(rec *bwmodel.GenerationRecord, cur bwstream.Cursor) bool {
	end := bwmodel.Position(len(rec.Issued))
	return end < cur.Position || end == cur.Position && cur.Offset > 0
}
