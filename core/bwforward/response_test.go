package bwforward_test

import (
	"errors"
	"testing"

	"bilberrywick/core/bwforward"
)

// Guards against a response that is taken for the upstream's although it does not show
// that, against a refusal or failure of the upstream that is not recognized, and against
// a sign of life from a response that another upstream may have sent.
func TestClassifyResponse(t *testing.T) {
	type claims = bwforward.ResponseClaims
	tests := []struct {
		name   string
		claims claims
		kind   bwforward.ResponseKind
		reason error
		alive  bool
	}{
		{"signed success", claims{RequestID: "r1", Signed: true}, bwforward.UpstreamResponse, nil, true},
		{"signed failure", claims{RequestID: "r1", Signed: true, Failed: true}, bwforward.UpstreamResponse, nil, true},
		{"failure", claims{RequestID: "r1", Failed: true}, bwforward.UpstreamResponse, nil, false},
		{"signed, of another upstream", claims{RequestID: "r1", Responder: "u2", Signed: true}, bwforward.UpstreamResponse, nil, false},
		{"refusal", claims{Failed: true, NotRun: true}, bwforward.UpstreamRefusal, nil, false},
		{"refusal of the request", claims{RequestID: "r1", Failed: true, NotRun: true}, bwforward.UpstreamRefusal, nil, false},
		{"refusal of another upstream", claims{Responder: "u2", Failed: true, Misdirected: true}, bwforward.OtherUpstreamRefusal, nil, false},
		{"refusal of another upstream, not run", claims{RequestID: "r1", Responder: "u2", Failed: true, NotRun: true, Misdirected: true}, bwforward.OtherUpstreamRefusal, nil, false},
		{"misdirected, not run", claims{Failed: true, NotRun: true, Misdirected: true}, bwforward.UpstreamRefusal, nil, false},

		{"nothing", claims{}, bwforward.UnverifiedResponse, bwforward.ErrNoRequest, false},
		{"unsigned success", claims{RequestID: "r1"}, bwforward.UnverifiedResponse, bwforward.ErrUnsigned, false},
		{"signed success of no request", claims{Signed: true}, bwforward.UnverifiedResponse, bwforward.ErrNoRequest, false},
		{"failure of no request", claims{Failed: true}, bwforward.UnverifiedResponse, bwforward.ErrNoRequest, false},
		{"other request", claims{RequestID: "r2", Signed: true}, bwforward.UnverifiedResponse, bwforward.ErrOtherRequest, false},
		{"refusal of another request", claims{RequestID: "r2", Failed: true, NotRun: true}, bwforward.UnverifiedResponse, bwforward.ErrOtherRequest, false},
		{"success, not run", claims{RequestID: "r1", Signed: true, NotRun: true}, bwforward.UnverifiedResponse, bwforward.ErrNotRunSuccess, false},
		{"misdirected", claims{RequestID: "r1", Failed: true, Misdirected: true}, bwforward.UnverifiedResponse, bwforward.ErrNoResponder, false},
		{"misdirected by the upstream itself", claims{Responder: "u1", Failed: true, Misdirected: true}, bwforward.UnverifiedResponse, bwforward.ErrNoResponder, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if kind, err := tt.claims.Classify("r1", "u1"); kind != tt.kind || !errors.Is(err, tt.reason) {
				t.Errorf("kind %d, %v; want %d, %v", kind, err, tt.kind, tt.reason)
			}
			if got := tt.claims.ShowsAlive("r1", "u1"); got != tt.alive {
				t.Errorf("shows that the upstream is alive: %v, want %v", got, tt.alive)
			}
		})
	}
}
