package bwhttp

import "net/http"

// ReadyResponse says whether a process takes new work.
type ReadyResponse struct {
	Ready bool
	// Reason says why not.
	Reason string `json:",omitempty"`
}

// ReadyHandler answers 200 when check returns nil, and otherwise 503 with the
// reason, so that the platform's load balancer sends no new requests.
func ReadyHandler(check func() error) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			_ = WriteJSON(rw, http.StatusServiceUnavailable, ReadyResponse{Reason: err.Error()})
			return
		}
		_ = WriteJSON(rw, http.StatusOK, ReadyResponse{Ready: true})
	})
}

// HealthResponse says that a process answers.
type HealthResponse struct{ Healthy bool }

// HealthHandler answers 200 while the process can serve requests at all.
func HealthHandler() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_ = WriteJSON(rw, http.StatusOK, HealthResponse{Healthy: true})
	})
}
