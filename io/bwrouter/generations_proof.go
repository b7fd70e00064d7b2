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

// A holder is replaced only with a proof that no other router has taken the
// record over, and that none can from now on. The proof comes from the holder,
// which releases the record, or from the agents that the holder's record may
// name: a router that takes a record over attaches to its agent, and an agent
// that has sealed the generation refuses it.

// errUnproven says that neither the holder nor the agents could be asked.
var errUnproven = errors.New("no proof that the record was not taken over")

const (
	// proofTime bounds the question to one holder or agent that may be dead.
	proofTime = 250 * time.Millisecond
	// proofAge is how old the last acknowledgement of a holder that is gone may
	// be, when the agents are gone as well. A holder's loss is noticed after
	// HolderTime, 1 s by default, and asked about for proofTime a process.
	proofAge = 3 * time.Second
)

// answer is what a process says about a record that it keeps.
type answer int

const (
	// silent means that the process did not answer and may still keep the record.
	silent answer = iota
	// gone means that the process has ended or has no record.
	gone
	sealed
	takenOver
)

// prove returns nil when no other router has the record or can get it from the
// holder, bwstream.ErrFenced when one has it, and errUnproven otherwise.
func (ses *session) prove(ctx context.Context, holder netip.AddrPort) error {
	held := ses.release(ctx, holder)
	if held == takenOver {
		return bwstream.ErrFenced
	}
	// No caller has a handle that names this holder.
	if held == sealed || holder != ses.handed || !ses.out.stream {
		return nil
	}
	agents := ses.sealAgents(ctx)
	switch {
	case agents == takenOver:
		return bwstream.ErrFenced
	case agents == sealed:
		return nil
	case agents == gone && held == gone && ses.gns.cfg.Now().Sub(ses.acked) < proofAge:
		return nil
	}
	return errUnproven
}

// release seals the record at its holder.
func (ses *session) release(ctx context.Context, holder netip.AddrPort) answer {
	ctx, cancel := context.WithTimeout(ctx, proofTime)
	defer cancel()
	req := &bwwire.TakeOverRequest{Request: ses.rec.Request(), Team: ses.rec.Spec().Team, Epoch: ses.rec.Epoch() + 1, Release: true}
	_, err := bwrpc.Call[bwwire.TakeOverRequest, bwwire.TakeOverResponse](ctx, ses.gns.cfg.Client, holder, bwwire.PeerTakeOver, req)
	return answerOf(err)
}

// sealAgents seals the generation at every agent that the holder's record may
// name; one that took it over or is silent decides.
func (ses *session) sealAgents(ctx context.Context) answer {
	worst := gone
	for _, agent := range ses.agents {
		ans := ses.sealAgent(ctx, agent)
		switch {
		case ans == takenOver:
			return takenOver
		case ans == silent:
			worst = silent
		case ans == sealed && worst == gone:
			worst = sealed
		}
	}
	return worst
}

func (ses *session) sealAgent(ctx context.Context, agent netip.AddrPort) answer {
	ctx, cancel := context.WithTimeout(ctx, proofTime)
	defer cancel()
	req := &bwwire.SealRequest{Request: ses.rec.Request(), Team: ses.rec.Spec().Team, Epoch: ses.rec.Epoch(), Seal: ses.rec.Epoch() + 1}
	_, err := bwrpc.Call[bwwire.SealRequest, bwwire.SealResponse](ctx, ses.gns.cfg.Client, agent, bwwire.AgentSeal, req)
	return answerOf(err)
}

func answerOf(err error) answer {
	code := bwrpc.CodeOf(err)
	switch {
	case err == nil:
		return sealed
	case code == bwwire.Stale || code == bwwire.Forbidden:
		return takenOver
	case code == bwwire.NotFound || errors.Is(err, syscall.ECONNREFUSED):
		return gone
	}
	return silent
}

// noteAgent adds an agent that the next append names.
func (ses *session) noteAgent() {
	agent := ses.rec.Agent()
	if agent.IsValid() && !slices.Contains(ses.agents, agent) {
		ses.agents = append(ses.agents, agent)
	}
}

// noteAck notes that the holder has the record as it is here, so that it names
// no agent but the current one.
func (ses *session) noteAck() {
	ses.acked = ses.gns.cfg.Now()
	ses.handed = ses.rec.Holder()
	ses.agents = ses.agents[:0]
	ses.noteAgent()
}
