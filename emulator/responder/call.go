package responder

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// callAnswer is the body of the answer of a plain service.
type callAnswer struct {
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Result string `json:"result"`
}

// serveCall answers a call to a plain service. The result depends on the body only.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if _, up := u.crashSignal(); !up {
		abort()
	}
	id := r.Header.Get(HeaderRequest)
	key := r.Header.Get(HeaderKey)
	u.begin(id, key)
	if bytes.Contains(body, []byte(MarkCrash)) {
		u.Crash()
		abort()
	}
	if bytes.Contains(body, []byte(MarkSilence)) {
		<-r.Context().Done()
		abort()
	}
	u.finish(id, 0)
	if bytes.Contains(body, []byte(MarkLoseAnswer)) {
		abort()
	}
	writeJSON(w, http.StatusOK, callAnswer{
		Path:   r.URL.Path,
		Key:    key,
		Result: strconv.FormatUint(xxhash.Sum64(body), 16),
	})
}

// loadAnswer is the JSON body of a load report.
type loadAnswer struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Cached  int   `json:"cached-tokens"`
	AgeMS   int64 `json:"age-ms"`
	Leaving bool  `json:"leaving"`
}

// sample records the current load for later reports.
func (u *Upstream) sample() {
	running, queued := u.slots.load()
	now := time.Now()
	lag := cmp.Or(u.ReportLag, defaultReportLag)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.history = append(u.history, loadSample{at: now, running: running, queued: queued})
	for len(u.history) > 1 && now.Sub(u.history[1].at) >= lag {
		u.history = u.history[1:]
	}
}

// serveLoad answers with a load report.
func (u *Upstream) serveLoad(w http.ResponseWriter) {
	if _, up := u.crashSignal(); !up {
		abort()
	}
	u.sample()
	writeJSON(w, http.StatusOK, u.loadReport())
}

// loadReport returns the load as of ReportLag ago, or as of the oldest sample if that
// is newer.
func (u *Upstream) loadReport() loadAnswer {
	cached := u.cache.tokens()
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.history[0]
	return loadAnswer{
		Running: s.running,
		Queued:  s.queued,
		Cached:  cached,
		AgeMS:   time.Since(s.at).Milliseconds(),
		Leaving: u.leaving,
	}
}

// reportInHeaders adds the load report to the headers of an answer.
func (u *Upstream) reportInHeaders(h http.Header) {
	l := u.loadReport()
	h.Set("X-Load-Running", strconv.Itoa(l.Running))
	h.Set("X-Load-Queued", strconv.Itoa(l.Queued))
	h.Set("X-Load-Age-Ms", strconv.FormatInt(l.AgeMS, 10))
	h.Set("X-Leaving", strconv.FormatBool(l.Leaving))
}

// eventAnswer is the JSON form of a cache event.
type eventAnswer struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// serveEvents answers with the cache events after a sequence number.
func (u *Upstream) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	writeJSON(w, http.StatusOK, u.cache.eventsAfter(after))
}

// orderBody is the JSON form of an order, in requests and answers.
type orderBody struct {
	Model      string `json:"model"`
	Generation int64  `json:"generation"`
	Fence      int64  `json:"fence"`
}

// serveOrder accepts a new order or answers with the current one.
func (u *Upstream) serveOrder(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		u.applyOrder(w, r)
		return
	}
	u.mu.Lock()
	o := u.order
	u.mu.Unlock()
	writeJSON(w, http.StatusOK, orderBody{Model: o.Model, Generation: o.Generation, Fence: o.Fence})
}

// applyOrder applies an order unless its fencing number is lower than that of the
// current order.
func (u *Upstream) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.IgnoresFence && o.Fence < u.order.Fence {
		writeJSON(w, http.StatusConflict, map[string]string{"error": "stale-fence"})
		return
	}
	u.order.Model, u.order.Generation, u.order.Fence = o.Model, o.Generation, o.Fence
	writeJSON(w, http.StatusOK, o)
}
