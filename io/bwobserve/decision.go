package bwobserve

import (
	"context"
	"log/slog"
	"strconv"

	"bilberrywick/core/bwmodel"
)

// maxCandidates bounds the candidates in one line; the cheapest come first, and
// a line with 3,000 upstreams would cost more than the decision.
const maxCandidates = 8

// Decision is one routing or placement decision.
type Decision struct {
	// Kind says what was decided, such as "Route", "Resume", "Hedge" or "Place".
	Kind    string
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	Service bwmodel.ServiceID
	// Candidates are those compared, best first.
	Candidates []Candidate
	// Choice is the upstream taken, and empty when there was none.
	Choice bwmodel.UpstreamID
	// Reason says why in a few words.
	Reason string
}

// Candidate is one upstream that a decision compared.
type Candidate struct {
	Upstream bwmodel.UpstreamID
	// Cost is the policy's cost in seconds of expected wait.
	Cost float64
	// Annotation says what excluded or raised the candidate, such as "slow" or "draining".
	Annotation string
}

// LogDecision writes one line for a decision; it costs one comparison when the
// log's level leaves decisions out.
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

// candidatesText returns "name=cost(note)" for the first candidates.
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
