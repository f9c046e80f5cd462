// Package responder is a stand-in for model engines and plain services, over
// HTTP. It answers with text that follows from the request alone, keeps a
// record of everything it ran, and fails on marked requests. It is used by
// tests and by the stand-in command, never by a router.
package responder

import (
	"cmp"
	"encoding/json"
	"net/http"
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

	PathChat   = "/v1/chat/completions"
	PathLoad   = "/load"
	PathEvents = "/cache-events"
	PathOrder  = "/order"
	PathRecord = "/record"
)

// Marks in a body that make the stand-in fail.
const (
	// MarkCrash breaks every open answer and refuses work for RestartTime.
	MarkCrash = "crash-the-upstream"
	// MarkSilence keeps the connection open and says nothing more.
	MarkSilence = "go-silent"
	// MarkLost runs a plain call and breaks the connection before its answer.
	MarkLost = "lose-the-answer"
)

// Defaults of Upstream.
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

// Upstream is one stand-in. Its zero value is ready for use. It is an
// http.Handler and safe for concurrent use.
type Upstream struct {
	// Slots is how many requests run at once; 0 means 8.
	Slots int
	// StepTime is the time between tokens; 0 means 20 ms.
	StepTime time.Duration
	// PrefillTime is the time to prefill one token; 0 means 50 us.
	PrefillTime time.Duration
	// ReportLag is the age of a load report; 0 means 500 ms.
	ReportLag time.Duration
	// RestartTime is how long a crashed upstream refuses work; 0 means 3 s.
	RestartTime time.Duration
	// CacheBlocks bounds the prefix cache; 0 means 4,096 blocks.
	CacheBlocks int
	// IgnoresFence lets orders with an old fencing number take effect.
	IgnoresFence bool
	// SkipEvents leaves every n-th cache event out; 0 leaves none out.
	SkipEvents int

	mu      sync.Mutex
	once    sync.Once
	slots   *priorityGate
	cache   *prefixCache
	record  Record
	order   kingcuphook.OrderFields
	down    time.Time
	crashed chan struct{}
	history []loadSample
	leaving bool
}

// Record is what an upstream ran.
type Record struct {
	// Started counts the runs begun, by request identifier.
	Started map[string]int `json:"started"`
	// Finished counts the runs that ended whole, by request identifier.
	Finished map[string]int `json:"finished"`
	// Keys counts the runs begun, by idempotency key.
	Keys map[string]int `json:"keys"`
	// Tokens counts the tokens made.
	Tokens int `json:"tokens"`
	// Cancelled counts the answers whose reader went away.
	Cancelled int `json:"cancelled"`
	// Crashes counts the crashes.
	Crashes int `json:"crashes"`
}

type loadSample struct {
	at              time.Time
	running, queued int
}

func (u *Upstream) init() {
	u.once.Do(func() {
		u.slots = newPriorityGate(cmp.Or(u.Slots, defaultSlots), defaultMaxQueued)
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

// Record returns a copy of what the upstream ran.
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

// SetLeaving makes the upstream say that it wants no new work.
func (u *Upstream) SetLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = leaving
}

// Model returns the model of the order that the upstream follows; empty for none.
func (u *Upstream) Model() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.order.Model
}

// Forget makes the upstream forget its order, as a restart does.
func (u *Upstream) Forget() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.order = kingcuphook.OrderFields{}
}

// Crash breaks every open answer and refuses work for RestartTime.
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

func (u *Upstream) begin(id, key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Started[id]++
	if key != "" {
		u.record.Keys[key]++
	}
}

func (u *Upstream) finish(id string, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Finished[id]++
	u.record.Tokens += tokens
}

func (u *Upstream) cancelled(tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.record.Cancelled++
	u.record.Tokens += tokens
}

// abort breaks the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

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
