// Package meter counts what the router does, for the admin address. Names end
// in their unit.
package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/kingcuphook/kingcuphook"
)

// Outcome says how a request ended, as a label.
type Outcome string

// Values of Outcome.
const (
	// OutcomeAttained is a whole answer within its targets.
	OutcomeAttained Outcome = "attained"
	// OutcomeLate is a whole answer that missed a target.
	OutcomeLate Outcome = "late"
	// OutcomeNotRun is a request that was refused before it ran.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed is every other failure.
	OutcomeFailed Outcome = "failed"
)

// Outcomes returns all values of Outcome.
func Outcomes() []Outcome {
	return []Outcome{OutcomeAttained, OutcomeLate, OutcomeNotRun, OutcomeFailed}
}

// Meter holds the metrics of one router. It is safe for concurrent use.
type Meter struct {
	set     *metrics.Set
	wasted  *metrics.Counter
	useful  *metrics.Counter
	mu      sync.RWMutex
	byClass map[classKey]*Class
}

type classKey struct {
	name string
	tier kingcuphook.Tier
}

// Class holds the metrics of one class.
type Class struct {
	requests   map[Outcome]*metrics.Counter
	firstToken *metrics.Histogram
	queue      *metrics.Histogram
	attempts   *metrics.Counter
}

// New returns a meter.
func New() *Meter {
	set := metrics.NewSet()
	return &Meter{
		set:     set,
		wasted:  set.NewCounter("kingcuphook_wasted_tokens_total"),
		useful:  set.NewCounter("kingcuphook_useful_tokens_total"),
		byClass: make(map[classKey]*Class),
	}
}

// Gauge adds a gauge whose value is asked for when metrics are read.
func (m *Meter) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Class returns the metrics of a class.
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

// Ended counts a request that ended.
func (c *Class) Ended(o Outcome, firstToken time.Duration) {
	c.requests[o].Inc()
	if firstToken > 0 {
		c.firstToken.Update(firstToken.Seconds())
	}
}

// Queued counts the time that a request waited for a slot.
func (c *Class) Queued(d time.Duration) { c.queue.Update(d.Seconds()) }

// Attempted counts an attempt.
func (c *Class) Attempted() { c.attempts.Inc() }

// Tokens counts the tokens of an attempt that ended; wasted ones are those of an
// attempt that was broken off.
func (m *Meter) Tokens(n int, wasted bool) {
	if wasted {
		m.wasted.Add(n)
		return
	}
	m.useful.Add(n)
}

// Write writes every metric in the text format of the field.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
