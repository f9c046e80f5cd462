// Package meter holds the metrics of the router, which the admin address serves.
// Names of counters end in _total, those of durations in _seconds.
package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcuphook/kingcuphook"
)

// Outcome is the result of a request, used as a label value.
type Outcome string

// Values of Outcome.
const (
	// OutcomeAttained is a complete answer within its latency targets.
	OutcomeAttained Outcome = "attained"
	// OutcomeLate is a complete answer that missed a latency target.
	OutcomeLate Outcome = "late"
	// OutcomeNotRun is a request that was rejected before it ran.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed is every other failure.
	OutcomeFailed Outcome = "failed"
)

// Outcomes returns all values of Outcome.
func Outcomes() []Outcome {
	return []Outcome{OutcomeAttained, OutcomeLate, OutcomeNotRun, OutcomeFailed}
}

// Meter holds the metrics of a router. It is safe for concurrent use.
type Meter struct {
	set     *metrics.Set
	wasted  *metrics.Counter
	useful  *metrics.Counter
	mu      sync.RWMutex
	byClass map[classKey]*Class
}

// classKey identifies a Class.
type classKey struct {
	name string
	tier kingcuphook.Tier
}

// Class holds the metrics of one class and tier of requests. It is safe for concurrent
// use.
type Class struct {
	requests   map[Outcome]*metrics.Counter
	firstToken *metrics.Histogram
	queue      *metrics.Histogram
	attempts   *metrics.Counter
}

// New returns an empty meter.
func New() *Meter {
	set := metrics.NewSet()
	return &Meter{
		set:     set,
		wasted:  set.NewCounter("kingcuphook_wasted_tokens_total"),
		useful:  set.NewCounter("kingcuphook_useful_tokens_total"),
		byClass: make(map[classKey]*Class),
	}
}

// Gauge adds a gauge; value is called at each Write.
func (m *Meter) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Class returns the metrics of a class and tier, and creates them at the first call.
func (m *Meter) Class(name string, tier kingcuphook.Tier) *Class {
	key := classKey{name: name, tier: tier}
	m.mu.RLock()
	r := m.byClass[key]
	m.mu.RUnlock()
	if r != nil {
		return r
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.byClass[key]; r != nil {
		return r
	}
	r = m.newClass(key)
	m.byClass[key] = r
	return r
}

func (m *Meter) newClass(key classKey) *Class {
	labels := fmt.Sprintf("class=%q,tier=\"%d\"", key.name, key.tier)
	r := &Class{
		requests:   make(map[Outcome]*metrics.Counter),
		firstToken: m.set.GetOrCreateHistogram("kingcuphook_first_token_seconds{" + labels + "}"),
		queue:      m.set.GetOrCreateHistogram("kingcuphook_queue_seconds{" + labels + "}"),
		attempts:   m.set.GetOrCreateCounter("kingcuphook_attempts_total{" + labels + "}"),
	}
	for _, o := range Outcomes() {
		r.requests[o] = m.set.GetOrCreateCounter(fmt.Sprintf("kingcuphook_requests_total{%s,outcome=%q}", labels, o))
	}
	return r
}

// Ended counts a request with its outcome. A firstToken of 0 means that no token
// arrived; otherwise it is recorded as the time to first token.
func (c *Class) Ended(o Outcome, firstToken time.Duration) {
	c.requests[o].Inc()
	if firstToken > 0 {
		c.firstToken.Update(firstToken.Seconds())
	}
}

// Queued records the time that a request waited for a slot.
func (c *Class) Queued(d time.Duration) { c.queue.Update(d.Seconds()) }

// Attempted counts an attempt to serve a request by an upstream.
func (c *Class) Attempted() { c.attempts.Inc() }

// Tokens counts the n tokens of an attempt that has ended. Tokens of attempts that
// failed or were cancelled count as wasted.
func (m *Meter) Tokens(n int, wasted bool) {
	if wasted {
		m.wasted.Add(n)
		return
	}
	m.useful.Add(n)
}

// Write writes the metrics of the router and of its process in the Prometheus text
// format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
