package router

import (
	"net/http"
	"net/http/pprof"

	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/previewer"
	"github.com/kingcuphook/kingcuphook/server"
)

// adminHandler returns the handler for metrics, profiles, readiness, liveness and questions where a request would go.
func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /live", serveLive)
	mux.Handle(previewer.Path, r.whereHandler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// whereHandler answers questions where a request would go.
func (r *Router) whereHandler() http.Handler {
	return &previewer.Handler{
		Describe: r.server.Describe,
		Preview:  r.allocator.Preview,
		Prompt:   platform.PromptLabels,
		Hedges:   r.dispatcher.Hedges,
		// The dispatcher of this router has the default limits.
		MaxAttempts: dispatcher.DefaultMaxAttempts,
		RetryAfter:  server.RetryAfter,
		CostUnit:    previewer.CostUnitSecond,
	}
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
