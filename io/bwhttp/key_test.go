package bwhttp_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwhttp"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func teamKey(key string, notAfter time.Time) bwmodel.TeamKey {
	return bwmodel.TeamKey{Hash: sha256.Sum256([]byte(key)), NotAfter: notAfter}
}

func fixedNow() time.Time { return noon }

func keepContext(ctx context.Context, _ bwmodel.Team) context.Context { return ctx }

// Guards against a key of one team accepted for another, an expired key, and
// a rolled-over key that stops working early.
func TestTeamKeys(t *testing.T) {
	skola := bwmodel.Team{Name: "skola", Keys: []bwmodel.TeamKey{
		teamKey("skola-new", time.Time{}), teamKey("skola-old", noon.Add(time.Hour)), teamKey("skola-ended", noon.Add(-time.Second)),
	}}
	urad := bwmodel.Team{Name: "urad", Keys: []bwmodel.TeamKey{teamKey("urad", time.Time{}), teamKey("shared", time.Time{})}}
	dielna := bwmodel.Team{Name: "dielna", Keys: []bwmodel.TeamKey{teamKey("shared", time.Time{})}}
	index := bwhttp.NewKeyIndex([]bwmodel.Team{skola, urad, dielna})
	gate := &bwhttp.TeamAuthenticator{Lookup: index.Lookup, Now: fixedNow, WithTeam: keepContext, ErrorHandler: bwhttp.WriteErrorText}
	wrong := &bwhttp.TeamAuthenticator{
		Lookup: func([32]byte) (bwmodel.Team, bool) { return urad, true },
		Now:    fixedNow,
	}
	tests := []struct {
		name string
		gate *bwhttp.TeamAuthenticator
		auth string
		want bwmodel.TeamID
		err  error
	}{
		{"first key", gate, "Bearer skola-new", "skola", nil},
		{"second key", gate, "bearer skola-old", "skola", nil},
		{"expired key", gate, "Bearer skola-ended", "", bwhttp.ErrKeyExpired},
		{"other team", gate, "Bearer urad", "urad", nil},
		{"key of two teams", gate, "Bearer shared", "", bwhttp.ErrUnknownKey},
		{"unknown key", gate, "Bearer skola", "", bwhttp.ErrUnknownKey},
		{"wrong index", wrong, "Bearer skola-new", "", bwhttp.ErrUnknownKey},
		{"no key", gate, "", "", bwhttp.ErrNoKey},
		{"empty key", gate, "Bearer  ", "", bwhttp.ErrNoKey},
		{"other scheme", gate, "Basic skola-new", "", bwhttp.ErrNoKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rq, _ := http.NewRequest(http.MethodGet, "/", nil)
			rq.Header.Set("Authorization", tt.auth)
			team, err := tt.gate.Authenticate(rq)
			if team.Name != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("got %q, %v, want %q, %v", team.Name, err, tt.want, tt.err)
			}
		})
	}
}
