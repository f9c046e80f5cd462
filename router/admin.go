package router

import (
	"net/http"
	"net/http/pprof"
)

// adminHandler returns the handler for metrics, profiles, readiness and liveness.
func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /live", serveLive)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	r.meter.Write(w)
}

// serveReady is the readiness probe of load balancers: status 503 while the router
// is not ready.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveLive is the liveness probe.
func serveLive(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n"))
}
