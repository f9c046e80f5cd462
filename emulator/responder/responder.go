// Package responder emulates model engines and plain services over HTTP, with the
// protocol of package dialer. Its answers depend on the request only. It records all
// runs, and fails on requests whose body contains a mark. It is used by tests and by the
// stand-in and try commands, never by a router.
package responder

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Headers and paths of the protocol between a router and an upstream.
const (
	HeaderAttempt    = "X-Attempt-Id"
	HeaderRequest    = "X-Request-Id"
	HeaderResumeFrom = "X-Resume-From"
	HeaderPriority   = "X-Priority"
	HeaderNotStarted = "X-Not-Started"
	HeaderKey        = "Idempotency-Key"
	HeaderRateLimit  = "X-Rate-Limit"

	PathChat   = "/v1/chat/completions"
	PathLoad   = "/load"
	PathEvents = "/cache-events"
	PathOrder  = "/order"
	PathRecord = "/record"
)

// Marks that make the emulated upstream fail if the request body contains them.
const (
	// MarkCrash crashes the upstream (see Upstream.Crash).
	MarkCrash = "crash-the-upstream"
	// MarkSilence keeps the connection open and sends nothing more.
	MarkSilence = "go-silent"
	// MarkLoseAnswer runs a call to a plain service and aborts the connection before the
	// answer.
	MarkLoseAnswer = "lose-the-answer"
)

// Defaults of the fields of Upstream, and limits.
const (
	defaultSlots        = 8
	defaultStepTime     = 20 * time.Millisecond
	defaultPrefillTime  = 50 * time.Microsecond
	defaultReportLag    = 500 * time.Millisecond
	defaultRestartTime  = 3 * time.Second
	defaultCacheBlocks  = 4096
	defaultMaxQueued    = 64
	maxBodyBytes        = 8 << 20
	crashAfterTokens    = 3
	silenceAfterTokens  = 3
	defaultAnswerTokens = 24
)

// Upstream is an emulated upstream. The zero value is ready for use. Fields must be set
// before the first request; after that it is safe for concurrent use.
type Upstream struct {
	// Slots limits the requests in flight; 0 means 8.
	Slots int
	// StepTime is the time to decode one token; 0 means 20 ms.
	StepTime time.Duration
	// PrefillTime is the time to prefill one token; 0 means 50 us.
	PrefillTime time.Duration
	// ReportLag is the age of the load in a report; 0 means 500 ms.
	ReportLag time.Duration
	// RestartTime is how long an upstream is down after a crash; 0 means 3 s.
	RestartTime time.Duration
	// CacheBlocks is the capacity of the prefix cache; 0 means 4,096 blocks.
	CacheBlocks int
	// IgnoresFence makes orders with a stale fencing number take effect.
	IgnoresFence bool
	// SkipEvents omits every n-th cache event; 0 omits none.
	SkipEvents int

	mu     sync.Mutex
	once   sync.Once
	slots  *prioritySemaphore
	cache  *prefixCache
	record Record
	order  kingcuphook.OrderFields
	// down is until when the upstream is down after a crash.
	down time.Time
	// crashed is closed by a crash and then replaced.
	crashed chan struct{}
	// history holds load samples in order; the first is the one to report.
	history []loadSample
	leaving bool
	// rateLimit is the value of HeaderRateLimit in answers; empty if there is none.
	rateLimit string
	// arrivals has when each request arrived, of every kind but for records, while there
	// is a rate limit.
	arrivals []time.Time
}

// Record counts the runs of an upstream and their results.
type Record struct {
	// Started counts the runs started, by request ID.
	Started map[string]int `json:"started"`
	// Finished counts the completed runs, by request ID.
	Finished map[string]int `json:"finished"`
	// Keys counts the runs started, by idempotency key.
	Keys map[string]int `json:"keys"`
	// Tokens counts the tokens sent by completed and cancelled runs.
	Tokens int `json:"tokens"`
	// Cancelled counts the answers that the reader cancelled.
	Cancelled int `json:"cancelled"`
	// Crashes counts the crashes.
	Crashes int `json:"crashes"`
}

// loadSample is the load at a time.
type loadSample struct {
	at              time.Time
	running, queued int
}

func (u *Upstream) init() {
	u.once.Do(func() {
		u.slots = newPrioritySemaphore(cmp.Or(u.Slots, defaultSlots), defaultMaxQueued)
		u.cache = newPrefixCache(cmp.Or(u.CacheBlocks, defaultCacheBlocks), u.SkipEvents)
		u.record = Record{
			Started:  make(map[string]int),
			Finished: make(map[string]int),
			Keys:     make(map[string]int),
		}
		u.crashed = make(chan struct{})
	})
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.init()
	if id := r.Header.Get(HeaderAttempt); id != "" {
		w.Header().Set(HeaderAttempt, id)
	}
	if r.URL.Path != PathRecord {
		u.announceRateLimit(w)
	}
	switch r.URL.Path {
	case PathLoad:
		u.serveLoad(w)
	case PathEvents:
		u.serveEvents(w, r)
	case PathOrder:
		u.serveOrder(w, r)
	case PathRecord:
		writeJSON(w, http.StatusOK, u.Record())
	case PathChat:
		u.serveChat(w, r)
	default:
		u.serveCall(w, r)
	}
}

// Record returns a copy of the record.
func (u *Upstream) Record() Record {
	u.init()
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.record
	r.Started = copyCounts(u.record.Started)
	r.Finished = copyCounts(u.record.Finished)
	r.Keys = copyCounts(u.record.Keys)
	return r
}

// SetLeaving sets whether load reports mark the upstream as leaving.
func (u *Upstream) SetLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = leaving
}

// SetRateLimit sets the value with which further answers announce a rate limit; with an
// empty value they announce none. The upstream doesn't enforce the limit.
func (u *Upstream) SetRateLimit(value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = value
}

// Arrivals returns when requests of any kind arrived while there was a rate limit.
func (u *Upstream) Arrivals() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// announceRateLimit announces the rate limit in an answer and records the arrival of the
// request.
func (u *Upstream) announceRateLimit(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rateLimit == "" {
		return
	}
	u.arrivals = append(u.arrivals, time.Now())
	w.Header().Set(HeaderRateLimit, u.rateLimit)
}

// Model returns the model of the current order; empty if there is none.
func (u *Upstream) Model() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.order.Model
}

// ClearOrder clears the current order, as a restart does.
func (u *Upstream) ClearOrder() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.order = kingcuphook.OrderFields{}
}

// Crash aborts the chat requests in progress. Chat requests, plain calls and requests for
// load reports that arrive within RestartTime are aborted too.
func (u *Upstream) Crash() {
	u.init()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Crashes++
	u.down = time.Now().Add(cmp.Or(u.RestartTime, defaultRestartTime))
	close(u.crashed)
	u.crashed = make(chan struct{})
}

// crashSignal returns a channel that is closed by the next crash, and whether
// the upstream is up.
func (u *Upstream) crashSignal() (<-chan struct{}, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashed, time.Now().After(u.down)
}

// begin records the start of a run.
func (u *Upstream) begin(id, key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Started[id]++
	if key != "" {
		u.record.Keys[key]++
	}
}

// finish records the completion of a run.
func (u *Upstream) finish(id string, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Finished[id]++
	u.record.Tokens += tokens
}

// cancelled records a run that the reader cancelled.
func (u *Upstream) cancelled(tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Cancelled++
	u.record.Tokens += tokens
}

// abort aborts the connection without a further reply.
func abort() { panic(http.ErrAbortHandler) }

// notStarted rejects a request and indicates that it was not run.
func notStarted(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderNotStarted, "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": reason})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func copyCounts(counts map[string]int) map[string]int {
	c := make(map[string]int, len(counts))
	for k, n := range counts {
		c[k] = n
	}
	return c
}
