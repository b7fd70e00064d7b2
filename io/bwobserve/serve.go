package bwobserve

import (
	"net/http"
	"net/http/pprof"
)

// MetricsHandler serves the metrics in the Prometheus text format.
func MetricsHandler(mx *Metrics) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		mx.Write(rw)
	})
}

// ProfileHandler serves runtime profiles below /debug/pprof/. Use it only on the
// operators' listener, since profiles expose memory contents and use CPU time.
func ProfileHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
