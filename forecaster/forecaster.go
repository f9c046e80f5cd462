// Package forecaster forecasts how long calls take at most from how long earlier calls of
// the same route took. It uses neither clock nor network.
package forecaster

import (
	"math"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// windowTime and windowCalls are the age and the number of calls that a window must have reached
	// before the next one replaces it. The calls of the current and the previous window count.
	windowTime  = 30 * time.Second
	windowCalls = 32
	// exceeded is the share of the calls that take longer than the forecast would be without spread and
	// unfamiliarity, if the time by which calls exceed the mean is distributed exponentially.
	exceeded = 1.0 / 500
	// spread multiplies that forecast. unfamiliarity times the longest time, divided by the number of
	// calls, is added to it.
	spread        = 1.1
	unfamiliarity = 2
	// endMargin is how long before a time a call ends that has to end by it.
	endMargin = 100 * time.Millisecond
	// maxRoutes bounds the routes that are tracked; one more clears all.
	maxRoutes = 4096
)

// Call is a call of a route.
type Call struct {
	// Route is the name of its route.
	Route string
	// PromptTokens is the number of tokens of its prompt, MaxTokens the largest number of
	// those of its answer; 0 means unknown.
	PromptTokens, MaxTokens int
}

// Of returns a request as a call. The class of a request stands for its route.
func Of(r *kingcuphook.Request) Call {
	return Call{Route: r.Class(), PromptTokens: r.PromptTokens(), MaxTokens: r.MaxTokens()}
}

// Forecaster forecasts how long calls take. Its zero value is ready for use, and it is safe
// for concurrent use.
type Forecaster struct {
	mu     sync.Mutex
	routes map[string]*history
}

// history has the calls of a route in the current window and in the one before.
type history struct {
	began             time.Time
	current, previous window
}

// window has the sum and the largest values of some calls.
type window struct {
	calls int
	// sum is the time that all calls took, longest that of the longest.
	sum, longest time.Duration
	// prompt and tokens are the largest PromptTokens and MaxTokens.
	prompt, tokens int
}

// Observe records how long a call took. A call that was ended by its deadline counts too.
func (f *Forecaster) Observe(now time.Time, c Call, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.history(now, c.Route)
	if h.current.calls >= windowCalls && now.Sub(h.began) >= windowTime {
		h.began, h.previous, h.current = now, h.current, window{}
	}
	h.current = h.current.merge(window{calls: 1, sum: took, longest: took, prompt: c.PromptTokens, tokens: c.MaxTokens})
}

// history returns the history of a route.
func (f *Forecaster) history(now time.Time, route string) *history {
	if f.routes == nil {
		f.routes = make(map[string]*history)
	}
	h := f.routes[route]
	if h == nil {
		if len(f.routes) >= maxRoutes {
			clear(f.routes)
		}
		h = &history{began: now}
		f.routes[route] = h
	}
	return h
}

func (w window) merge(o window) window {
	return window{
		calls:   w.calls + o.calls,
		sum:     w.sum + o.sum,
		longest: max(w.longest, o.longest),
		prompt:  max(w.prompt, o.prompt),
		tokens:  max(w.tokens, o.tokens),
	}
}

// Forecast returns how long a call takes at most, and the number of calls by which this is
// known. With none the time is 0.
func (f *Forecaster) Forecast(c Call) (longest time.Duration, calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.routes[c.Route]
	if h == nil {
		return 0, 0
	}
	w := h.current.merge(h.previous)
	larger := max(growth(c.PromptTokens, w.prompt), growth(c.MaxTokens, w.tokens))
	return time.Duration(larger * w.bound()), w.calls
}

// bound returns how long calls like those of the window take at most. Of n times that are
// distributed exponentially, the longest exceeds the mean by a distance that grows with log n.
func (w window) bound() float64 {
	calls, longest := float64(w.calls), float64(w.longest)
	mean := float64(w.sum) / calls
	distance := max(1, math.Log(1/exceeded)/math.Log(calls+1))
	return spread*(mean+distance*(longest-mean)) + unfamiliarity*longest/calls
}

// growth returns the ratio of a number of tokens to the largest one of earlier calls, if it is
// larger.
func growth(tokens, largest int) float64 {
	if tokens <= largest || largest == 0 {
		return 1
	}
	return float64(tokens) / float64(largest)
}

// Start is a decision until when a call may start.
type Start struct {
	// Latest is the latest time at which the call may start.
	Latest time.Time
	// Longest is how long it takes at most, and Calls the number of calls by which this is
	// known. With none it is the time until its deadline.
	Longest time.Duration
	Calls   int
}

// LatestStart returns until when a call may start that has to end by a given time, by the forecast.
// One whose deadline comes first, and one of which nothing is known, may start until
// LatestCertainStart.
func (f *Forecaster) LatestStart(c Call, now, deadline, end time.Time) Start {
	certain := LatestCertainStart(now, deadline, end)
	longest, calls := f.Forecast(c)
	if calls == 0 || deadline.Before(end.Add(-endMargin)) {
		certain.Calls = calls
		return certain
	}
	return Start{Latest: end.Add(-endMargin - longest), Longest: longest, Calls: calls}
}

// LatestCertainStart returns until when a call may start that has to end by a given time, by its
// deadline alone.
func LatestCertainStart(now, deadline, end time.Time) Start {
	end = end.Add(-endMargin)
	left := deadline.Sub(now)
	if deadline.Before(end) {
		return Start{Latest: end, Longest: left}
	}
	return Start{Latest: end.Add(-left), Longest: left}
}
