package attacher

import (
	"net"
	"net/http"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/listener"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/previewer"
	"github.com/kingcuphook/kingcuphook/puller"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/receiver"
)

const (
	headerTimeout = 2 * time.Second
	idleTimeout   = time.Minute
	// maxPortHeadBytes limits the head of a request on a port that isn't that of callers.
	maxPortHeadBytes = 8 << 10
	// probeShare and peerShare are the budgets of such ports, as shares of the callers' budget. In a fleet
	// of a thousand routers as many connections of peers may be open at one.
	probeShare = 0.1
	peerShare  = 0.4
)

// port is a port for platforms, operators or peers. Each has a budget of its own, so that neither callers nor
// the users of another port can use it up.
type port struct {
	listener net.Listener
	handler  http.Handler
	// share is the budget for connections and heads, as a share of the callers' budget.
	share float64
}

func (a *Attacher) ports() []port {
	return []port{
		{a.listeners.ready, http.HandlerFunc(a.answerReady), probeShare},
		{a.listeners.metrics, a.metricsHandler(), probeShare},
		{a.listeners.peers, a.relays.handler(&puller.Handler{Export: a.control.export}), peerShare},
	}
}

// metricsHandler serves metrics, and the answers to questions where a request would go.
func (a *Attacher) metricsHandler() http.Handler {
	where := &previewer.Handler{
		Describe:  a.receiver.Describe,
		Preview:   a.allocator.Preview,
		Prompt:    platform.PromptLabels,
		Hedges:    a.Hedges,
		WaitShare: waitShare,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == previewer.Path {
			where.ServeHTTP(w, r)
			return
		}
		a.answerMetrics(w, r)
	})
}

func (p port) server() *http.Server {
	return &http.Server{
		Handler:           p.handler,
		MaxHeaderBytes:    maxPortHeadBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         listener.ObserveState,
	}
}

// limited returns the listener of a port, which draws connections and heads on its budget.
func (a *Attacher) limited(p port) *listener.Listener {
	limits := kingcuphook.HeadLimits{Bytes: maxPortHeadBytes, Timeout: headerTimeout}
	return &listener.Listener{
		Listener: p.listener,
		Memory:   &rationer.Rationer{Bytes: int64(p.share * float64(a.memory.Bytes))},
		Limits:   func() kingcuphook.HeadLimits { return limits },
		Refusal:  receiver.RefusalOfHead,
		Discards: &discarder.Discarder{},
		Log:      a.Log,
	}
}
