package bwobserve

import (
	"context"
	"log/slog"
	"strconv"

	"bilberrywick/core/bwmodel"
)

// maxCandidates limits the candidates in one line, cheapest first; formatting
// 3,000 upstreams would cost more than the decision itself.
const maxCandidates = 8

// Decision is one routing or placement decision.
type Decision struct {
	// Kind is the kind of decision, such as "Route", "Resume", "Hedge" or "Place".
	Kind    string
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	Service bwmodel.ServiceID
	// Candidates are the compared upstreams, best first.
	Candidates []Candidate
	// Choice is the chosen upstream, and empty when there was none.
	Choice bwmodel.UpstreamID
	// Reason is the reason for the choice in a few words.
	Reason string
}

// Candidate is one upstream that a decision compared.
type Candidate struct {
	Upstream bwmodel.UpstreamID
	// Cost is the cost that the policy computed, in seconds of expected wait.
	Cost float64
	// Annotation is why the candidate was excluded or its cost raised, such as
	// "slow" or "draining"; it may be empty.
	Annotation string
}

// LogDecision logs a decision at info level. When that level is disabled, it
// costs one comparison.
func LogDecision(ctx context.Context, log *slog.Logger, dec *Decision) {
	if !log.Enabled(ctx, slog.LevelInfo) {
		return
	}
	log.LogAttrs(ctx, slog.LevelInfo, "decision",
		slog.String("Kind", dec.Kind),
		slog.Any("Request", dec.Request),
		slog.String("Team", string(dec.Team)),
		slog.String("Service", string(dec.Service)),
		slog.String("Candidates", candidatesText(dec.Candidates)),
		slog.Int("Compared", len(dec.Candidates)),
		slog.String("Choice", string(dec.Choice)),
		slog.String("Reason", dec.Reason),
	)
}

// candidatesText formats the first candidates as "name=cost(annotation)".
func candidatesText(list []Candidate) string {
	buf := make([]byte, 0, 32*min(len(list), maxCandidates))
	for ix, cand := range list {
		if ix == maxCandidates {
			break
		}
		if ix > 0 {
			buf = append(buf, ' ')
		}
		buf = append(append(buf, cand.Upstream...), '=')
		buf = strconv.AppendFloat(buf, cand.Cost, 'g', 4, 64)
		if cand.Annotation != "" {
			buf = append(append(append(buf, '('), cand.Annotation...), ')')
		}
	}
	return string(buf)
}
