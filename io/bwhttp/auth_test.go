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

func ignoreTeam(ctx context.Context, _ bwmodel.Team) context.Context { return ctx }

// Guards against a key of one team that is accepted for another, against an expired
// key, and against a key that stops working before its NotAfter time during a key
// rotation.
func TestTeamKeys(t *testing.T) {
	skola := bwmodel.Team{Name: "skola", Keys: []bwmodel.TeamKey{
		teamKey("skola-new", time.Time{}), teamKey("skola-old", noon.Add(time.Hour)), teamKey("skola-ended", noon.Add(-time.Second)),
	}}
	urad := bwmodel.Team{Name: "urad", Keys: []bwmodel.TeamKey{teamKey("urad", time.Time{}), teamKey("shared", time.Time{})}}
	dielna := bwmodel.Team{Name: "dielna", Keys: []bwmodel.TeamKey{teamKey("shared", time.Time{})}}
	index := bwhttp.NewKeyIndex([]bwmodel.Team{skola, urad, dielna})
	auth := &bwhttp.TeamAuthenticator{Lookup: index.Lookup, Now: fixedNow, WithTeam: ignoreTeam, ErrorHandler: bwhttp.WriteErrorText}
	wrongIndex := &bwhttp.TeamAuthenticator{
		Lookup: func([32]byte) (bwmodel.Team, bool) { return urad, true },
		Now:    fixedNow,
	}
	tests := []struct {
		name   string
		auth   *bwhttp.TeamAuthenticator
		header string
		want   bwmodel.TeamID
		err    error
	}{
		{"first key", auth, "Bearer skola-new", "skola", nil},
		{"second key", auth, "bearer skola-old", "skola", nil},
		{"expired key", auth, "Bearer skola-ended", "", bwhttp.ErrKeyExpired},
		{"other team", auth, "Bearer urad", "urad", nil},
		{"key of two teams", auth, "Bearer shared", "", bwhttp.ErrUnknownKey},
		{"unknown key", auth, "Bearer skola", "", bwhttp.ErrUnknownKey},
		{"wrong index", wrongIndex, "Bearer skola-new", "", bwhttp.ErrUnknownKey},
		{"no key", auth, "", "", bwhttp.ErrNoKey},
		{"empty key", auth, "Bearer  ", "", bwhttp.ErrNoKey},
		{"other scheme", auth, "Basic skola-new", "", bwhttp.ErrNoKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rq, _ := http.NewRequest(http.MethodGet, "/", nil)
			rq.Header.Set("Authorization", tt.header)
			team, err := tt.auth.Authenticate(rq)
			if team.Name != tt.want || !errors.Is(err, tt.err) {
				t.Errorf("got team %q, error %v, want team %q, error %v", team.Name, err, tt.want, tt.err)
			}
		})
	}
}
