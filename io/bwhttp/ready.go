package bwhttp

import "net/http"

// ReadyResponse reports whether a process accepts new work.
type ReadyResponse struct {
	Ready bool
	// Reason is the reason why the process is not ready.
	Reason string `json:",omitempty"`
}

// ReadyHandler returns a handler that responds with 200 when check returns nil, and
// otherwise with 503 and the reason, so that the platform's load balancer sends no
// new requests.
func ReadyHandler(check func() error) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			_ = WriteJSON(rw, http.StatusServiceUnavailable, ReadyResponse{Reason: err.Error()})
			return
		}
		_ = WriteJSON(rw, http.StatusOK, ReadyResponse{Ready: true})
	})
}

// HealthResponse is the response of HealthHandler.
type HealthResponse struct{ Healthy bool }

// HealthHandler returns a handler that responds with 200 as long as the process
// serves requests at all.
func HealthHandler() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_ = WriteJSON(rw, http.StatusOK, HealthResponse{Healthy: true})
	})
}
