package bwrouter

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// A holder is replaced only after it is confirmed that no other router has taken the
// record over, and that none can do so later. Either the holder releases the record,
// or the agents that the holder's record may name seal the generation: a router that
// takes a record over attaches to its agent, and an agent that has sealed the generation
// refuses the attach.

// errReleaseUnconfirmed means that neither the holder nor the agents gave a conclusive response.
var errReleaseUnconfirmed = errors.New("no confirmation that the record was not taken over")

const (
	// sealTimeout limits a call to one holder or agent that may have failed.
	sealTimeout = 250 * time.Millisecond
	// maxAckAge is the greatest age of the last acknowledgement at which a holder may
	// be replaced although neither it nor any agent has the record any longer. The loss of a
	// holder is detected after HolderAckTimeout, 1 s by default; the call to each
	// process then takes at most sealTimeout.
	maxAckAge = 3 * time.Second
)

// sealResult is the result of a request to release a record or seal a generation.
type sealResult int

const (
	// sealUnresponsive means that the process did not respond and may still have the record.
	sealUnresponsive sealResult = iota
	// sealNoRecord means that the process has ended or does not have the record.
	sealNoRecord
	sealDone
	sealTakenOver
)

// confirmNotTakenOver returns nil when no other router has the record or can get it
// from the holder, bwstream.ErrFenced when one has it, and errReleaseUnconfirmed otherwise.
func (ses *session) confirmNotTakenOver(ctx context.Context, holder netip.AddrPort) error {
	holderResult := ses.releaseAtHolder(ctx, holder)
	if holderResult == sealTakenOver {
		return bwstream.ErrFenced
	}
	// A holder that no caller's handle names can't be used for a takeover.
	if holderResult == sealDone || holder != ses.handleHolder || !ses.out.stream {
		return nil
	}
	agentsResult := ses.sealAgents(ctx)
	switch {
	case agentsResult == sealTakenOver:
		return bwstream.ErrFenced
	case agentsResult == sealDone:
		return nil
	case agentsResult == sealNoRecord && holderResult == sealNoRecord && ses.gns.cfg.Now().Sub(ses.lastAck) < maxAckAge:
		return nil
	}
	return errReleaseUnconfirmed
}

// releaseAtHolder releases the record at its holder, which then refuses a takeover.
func (ses *session) releaseAtHolder(ctx context.Context, holder netip.AddrPort) sealResult {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	req := &bwwire.TakeOverRequest{Request: ses.rec.Request(), Team: ses.rec.Spec().Team, Epoch: ses.rec.Epoch() + 1, Release: true}
	_, err := bwrpc.Call[bwwire.TakeOverRequest, bwwire.TakeOverResponse](ctx, ses.gns.cfg.Client, holder, bwwire.PeerTakeOver, req)
	return sealResultOf(err)
}

// sealAgents seals the generation at every agent that the holder's record may name.
// The result is sealTakenOver if any agent serves another router, or else
// sealUnresponsive if any agent does not respond.
func (ses *session) sealAgents(ctx context.Context) sealResult {
	result := sealNoRecord
	for _, agent := range ses.recordedAgents {
		res := ses.sealAgent(ctx, agent)
		switch {
		case res == sealTakenOver:
			return sealTakenOver
		case res == sealUnresponsive:
			result = sealUnresponsive
		case res == sealDone && result == sealNoRecord:
			result = sealDone
		}
	}
	return result
}

func (ses *session) sealAgent(ctx context.Context, agent netip.AddrPort) sealResult {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	req := &bwwire.SealRequest{Request: ses.rec.Request(), Team: ses.rec.Spec().Team, Epoch: ses.rec.Epoch(), Seal: ses.rec.Epoch() + 1}
	_, err := bwrpc.Call[bwwire.SealRequest, bwwire.SealResponse](ctx, ses.gns.cfg.Client, agent, bwwire.AgentSeal, req)
	return sealResultOf(err)
}

func sealResultOf(err error) sealResult {
	code := bwrpc.CodeOf(err)
	switch {
	case err == nil:
		return sealDone
	case code == bwwire.Stale || code == bwwire.Forbidden:
		return sealTakenOver
	case code == bwwire.NotFound || errors.Is(err, syscall.ECONNREFUSED):
		return sealNoRecord
	}
	return sealUnresponsive
}

// recordAgent adds the record's agent, which the next append names, to recordedAgents.
func (ses *session) recordAgent() {
	agent := ses.rec.Agent()
	if agent.IsValid() && !slices.Contains(ses.recordedAgents, agent) {
		ses.recordedAgents = append(ses.recordedAgents, agent)
	}
}

// recordAck records that the holder has the complete current record, which names only
// the current agent.
func (ses *session) recordAck() {
	ses.lastAck = ses.gns.cfg.Now()
	ses.handleHolder = ses.rec.Holder()
	ses.recordedAgents = ses.recordedAgents[:0]
	ses.recordAgent()
}
