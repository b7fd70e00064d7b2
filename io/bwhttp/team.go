package bwhttp

import (
	"context"

	"bilberrywick/core/bwmodel"
)

type teamContextKey struct{}

// WithTeam returns a context that carries the authenticated team.
func WithTeam(ctx context.Context, team bwmodel.Team) context.Context {
	return context.WithValue(ctx, teamContextKey{}, team)
}

// TeamFromContext returns the authenticated team, and whether there is one.
func TeamFromContext(ctx context.Context) (bwmodel.Team, bool) {
	team, ok := ctx.Value(teamContextKey{}).(bwmodel.Team)
	return team, ok
}
