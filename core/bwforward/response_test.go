package bwforward_test

import (
	"errors"
	"testing"

	"bilberrywick/core/bwforward"
)

// Guards against a response that is taken for the upstream's although it does not show
// that, and against a refusal or failure of the upstream that is not recognized.
func TestClassifyResponse(t *testing.T) {
	type claims = bwforward.ResponseClaims
	tests := []struct {
		name   string
		claims claims
		kind   bwforward.ResponseKind
		reason error
	}{
		{"signed success", claims{RequestID: "r1", Signed: true}, bwforward.UpstreamResponse, nil},
		{"signed failure", claims{RequestID: "r1", Signed: true, Failed: true}, bwforward.UpstreamResponse, nil},
		{"failure", claims{RequestID: "r1", Failed: true}, bwforward.UpstreamResponse, nil},
		{"refusal", claims{Failed: true, NotRun: true}, bwforward.UpstreamRefusal, nil},
		{"refusal of the request", claims{RequestID: "r1", Failed: true, NotRun: true}, bwforward.UpstreamRefusal, nil},
		{"refusal of another upstream", claims{Responder: "u2", Failed: true, Misdirected: true}, bwforward.OtherUpstreamRefusal, nil},
		{"refusal of another upstream, not run", claims{RequestID: "r1", Responder: "u2", Failed: true, NotRun: true, Misdirected: true}, bwforward.OtherUpstreamRefusal, nil},
		{"misdirected, not run", claims{Failed: true, NotRun: true, Misdirected: true}, bwforward.UpstreamRefusal, nil},

		{"nothing", claims{}, bwforward.UnverifiedResponse, bwforward.ErrNoRequest},
		{"unsigned success", claims{RequestID: "r1"}, bwforward.UnverifiedResponse, bwforward.ErrUnsigned},
		{"signed success of no request", claims{Signed: true}, bwforward.UnverifiedResponse, bwforward.ErrNoRequest},
		{"failure of no request", claims{Failed: true}, bwforward.UnverifiedResponse, bwforward.ErrNoRequest},
		{"other request", claims{RequestID: "r2", Signed: true}, bwforward.UnverifiedResponse, bwforward.ErrOtherRequest},
		{"refusal of another request", claims{RequestID: "r2", Failed: true, NotRun: true}, bwforward.UnverifiedResponse, bwforward.ErrOtherRequest},
		{"success, not run", claims{RequestID: "r1", Signed: true, NotRun: true}, bwforward.UnverifiedResponse, bwforward.ErrNotRunSuccess},
		{"misdirected", claims{RequestID: "r1", Failed: true, Misdirected: true}, bwforward.UnverifiedResponse, bwforward.ErrNoResponder},
		{"misdirected by the upstream itself", claims{Responder: "u1", Failed: true, Misdirected: true}, bwforward.UnverifiedResponse, bwforward.ErrNoResponder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if kind, err := tt.claims.Classify("r1", "u1"); kind != tt.kind || !errors.Is(err, tt.reason) {
				t.Errorf("kind %d, %v; want %d, %v", kind, err, tt.kind, tt.reason)
			}
		})
	}
}
