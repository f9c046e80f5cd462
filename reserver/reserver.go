// Package reserver bounds the requests on each engine by its KV memory. A running request holds its prompt and
// its answer, of which the length is estimated. The memory that the requests of other routers hold is known only
// from reports, so a part is left free for the requests that they send between reports. When an engine is nearly
// full, the routers take turns: most of its free memory is for the requests of one router at a time.
package reserver

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/predictor"
)

const (
	// usableShare is the share of the memory that requests of the highest tier may hold. The rest is for
	// requests that other routers send before the next report, and for answers longer than expected.
	usableShare = 0.9
	// tierShare is the share of the memory that requests of the highest tier may hold and those of the lowest may not.
	tierShare = 0.15
	// furtherShare is the least number of further tokens that is expected of a running answer, as a share of the
	// tokens so far.
	furtherShare = 0.5
	// meanStep is the weight of a new request in the mean of the tokens that requests hold.
	meanStep = 0.05
	// defaultTokens is that mean before the first request.
	defaultTokens = 1024
)

// Counts count the effects of the bound over all pools. They are safe for concurrent use.
type Counts struct {
	// Held counts the requests that waited because no engine with a free slot had enough free memory, TooLarge
	// those that were refused because they exceed the whole memory of an engine.
	Held, TooLarge atomic.Int64
}

// Memory bounds the KV memory that requests hold at the engines of one pool. It must be used by one goroutine
// at a time.
type Memory struct {
	// Counts counts the effects; nil means that they aren't counted.
	Counts *Counts

	// lengths predicts the tokens of answers.
	lengths predictor.Predictor
	// declared describes the memory; nothing is bounded without a capacity.
	declared kingcuphook.KVMemory
	// lowest is the lowest tier of the requests for the pool.
	lowest kingcuphook.Tier
	// routers is the number of routers that share the engines, 0 means 1; index is that of this one among them.
	routers, index int
	// mean is the moving average of the tokens of the requests that were started; 0 before the first one.
	mean float64
	// engines holds the engines by address.
	engines map[string]*engine
	// last caches the latest result of demandOf, which is called for each engine in turn.
	last struct {
		request *kingcuphook.Request
		demand  demand
	}
	// reservation is the one for a request that has waited for reserveAfter.
	reservation reservation
	// waiting has the IDs of the queued requests that were counted as held.
	waiting map[string]bool
}

// demand is the KV memory that a request is expected to hold.
type demand struct {
	// prompt and answer are expected numbers of tokens, spread is the difference between the cautious and the
	// expected estimate of the answer.
	prompt, answer, spread int
}

func (d demand) tokens() int { return d.prompt + d.answer }

// Bounds reports whether the memory of the engines is known, so that it bounds requests.
func (m *Memory) Bounds() bool { return m.declared.Capacity > 0 }

// SetRouterIndex sets how many routers share the engines, and the index of this one among them, from 0.
func (m *Memory) SetRouterIndex(index, n int) { m.index, m.routers = max(index, 0), n }

// Update applies the current revision of the pool. The requests at an engine that has restarted no longer count.
func (m *Memory) Update(p *kingcuphook.Pool) {
	m.declared = p.KVMemory()
	m.lowest = p.LowestTier()
	m.last.request = nil
	if !m.Bounds() {
		m.engines = nil
		return
	}
	known := m.engines
	m.engines = make(map[string]*engine, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		e := known[u.Address()]
		if e == nil || e.upstream.Program() != u.Program() {
			e = newEngine()
		}
		e.upstream = u
		m.engines[u.Address()] = e
	}
	for address, e := range known {
		// An engine that has left the pool may return while its requests run on.
		if m.engines[address] == nil && len(e.holdings) > 0 {
			m.engines[address] = e
		}
	}
}

// TooLarge reports whether the request is expected to hold more than the whole memory of an engine.
func (m *Memory) TooLarge(r *kingcuphook.Request) bool {
	return m.Bounds() && m.demandOf(r).tokens() > m.declared.Capacity
}

// Refused counts a request that was refused as too large.
func (m *Memory) Refused() {
	if m.Counts != nil {
		m.Counts.TooLarge.Add(1)
	}
}

// Fits reports whether the request may be sent to the engine as one of the tier.
func (m *Memory) Fits(now time.Time, address string, r *kingcuphook.Request, t kingcuphook.Tier) bool {
	e := m.engines[address]
	if !m.Bounds() || e == nil {
		return true
	}
	if m.reservation.excludes(now, address, r, t) {
		return false
	}
	d := m.demandOf(r)
	if m.fits(now, e, d, t) {
		return true
	}
	shared := e.sharedTokens(r)
	d.prompt = max(d.prompt-shared, 0)
	return shared > 0 && m.fits(now, e, d, t)
}

// fits reports whether the engine has enough free memory for the demand.
func (m *Memory) fits(now time.Time, e *engine, d demand, t kingcuphook.Tier) bool {
	// Every request fits into an idle engine if the router has the turn: one that exceeds its memory was refused on
	// arrival, unless its estimate has grown since.
	tokens := float64(min(d.tokens(), m.declared.Capacity))
	limit := max(m.limit(t), tokens)
	held := float64(e.tokens + e.others)
	if spread := math.Sqrt(e.variance + float64(d.spread)*float64(d.spread)); held > 0 && held+tokens+spread > limit {
		return false
	}
	return m.fitsShare(now, e, tokens, held, limit)
}

// fitsShare reports whether the tokens are within the share of this router of the free memory of the engine. The share
// covers all that this router has sent since the last report.
func (m *Memory) fitsShare(now time.Time, e *engine, tokens, held, limit float64) bool {
	sharers := m.sharers(held, tokens, limit)
	if sharers <= 1 {
		return true
	}
	hasTurn := m.hasTurn(e, now, sharers)
	if held == 0 {
		return hasTurn
	}
	share := (1 - turnShare) / sharers
	if hasTurn {
		share += turnShare
	}
	spare := limit - float64(e.ownAtReport+e.others)
	return float64(e.tokens-e.ownAtReport)+tokens <= share*spare
}

// limit returns the tokens that all requests at an engine may hold when one of the tier is added.
func (m *Memory) limit(t kingcuphook.Tier) float64 {
	lowest := max(m.lowest, kingcuphook.LowestDeclaredTier)
	if !t.Valid() || t > lowest {
		t = lowest
	}
	share := usableShare - tierShare*float64(t-kingcuphook.HighestTier)/float64(lowest-kingcuphook.HighestTier)
	return share * float64(m.declared.Capacity)
}

// Started counts a request as running at the engine.
func (m *Memory) Started(address string, r *kingcuphook.Request) {
	e := m.engines[address]
	if e == nil {
		return
	}
	d := m.demandOf(r)
	e.add(r, d)
	if m.mean == 0 {
		m.mean = float64(d.tokens())
	}
	m.mean += meanStep * (float64(d.tokens()) - m.mean)
}

// Progress records that the n-th event of a running answer was received.
func (m *Memory) Progress(address string, r *kingcuphook.Request, n int) {
	if e := m.engines[address]; e != nil {
		e.grow(r, n*max(m.declared.EventTokens, 1))
	}
}

// Finished counts a request as ended and learns the length of its answer.
func (m *Memory) Finished(address string, r *kingcuphook.Request, s kingcuphook.Sample) {
	e := m.engines[address]
	if e == nil {
		return
	}
	tokens := max(e.remove(r), s.Tokens*max(m.declared.EventTokens, 1))
	if !s.Failed && !s.Cancelled && s.Tokens > 0 {
		m.lengths.Observe(r, tokens)
		m.last.request = nil
	}
}

// Report processes a report of the KV memory that the requests of the other routers hold.
func (m *Memory) Report(l kingcuphook.LoadReport) {
	e := m.engines[l.Upstream()]
	if e == nil {
		return
	}
	e.others = l.HeldTokens() + max(l.Running()-l.HeldRequests(), 0)*m.meanTokens()
	if l.Made().After(e.reported) {
		e.reported = l.Made()
		e.ownAtReport = e.tokens
	}
}

// meanTokens returns the tokens assumed for each request of a router of an older build, which reports only the number
// of its requests.
func (m *Memory) meanTokens() int {
	if m.mean == 0 {
		return defaultTokens
	}
	return int(m.mean)
}

// Held returns the KV memory that the requests of this router hold at each engine.
func (m *Memory) Held() []kingcuphook.HeldMemory {
	held := make([]kingcuphook.HeldMemory, 0, len(m.engines))
	for _, e := range m.engines {
		if n := len(e.holdings); n > 0 {
			held = append(held, kingcuphook.HeldMemory{Upstream: e.upstream, Requests: n, Tokens: e.tokens})
		}
	}
	return held
}

// demandOf returns the KV memory that the request is expected to hold.
func (m *Memory) demandOf(r *kingcuphook.Request) demand {
	if m.last.request == r {
		return m.last.demand
	}
	expected, cautious := m.lengths.Predict(r)
	m.last.request = r
	m.last.demand = demand{prompt: r.PromptTokens(), answer: expected, spread: max(cautious-expected, 0)}
	return m.last.demand
}
