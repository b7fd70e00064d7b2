package bwhttp

import (
	"context"

	"bilberrywick/core/bwmodel"
)

type teamKey struct{}

// WithTeam returns a context that carries the authenticated team.
func WithTeam(ctx context.Context, team bwmodel.Team) context.Context {
	return context.WithValue(ctx, teamKey{}, team)
}

// TeamFromContext returns the authenticated team, if there is one.
func TeamFromContext(ctx context.Context) (bwmodel.Team, bool) {
	team, ok := ctx.Value(teamKey{}).(bwmodel.Team)
	return team, ok
}
