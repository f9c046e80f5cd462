// Package hedger decides when a request that may be repeated is hedged: sent to a second upstream because the
// first one is slow for a request of its class and size. It learns the delay from the times to the first token
// and keeps the extra work within shares that operators set. It uses neither clock nor network.
package hedger

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// MaxShare is the highest limit that operators can set. Beyond it hedges would take more
	// capacity than the slow requests that they replace.
	MaxShare = 0.2
	// delayQuantile is the quantile of the times to the first token after which a request counts as slow.
	delayQuantile = 0.95
	// minSamples is the number of samples from which that quantile is known well enough.
	minSamples = 20
	// maxSamples bounds the latest samples that are kept of each class and size.
	maxSamples = 64
	// sizeUnit is the number of tokens up to which prompts have the smallest size. Each next size
	// has twice as many.
	sizeUnit = 512
	// maxGroups bounds the classes and sizes that are tracked; one more clears all.
	maxGroups = 512
	// maxCredit bounds the unused hedges of a router, so that routers which were idle don't hedge
	// all at once when the upstreams turn slow.
	maxCredit = 2
)

// Hedger implements kingcuphook.HedgePolicy for one router. Each router uses its share by its own
// requests, so that all routers together keep the limit without messages. Its exported fields are set before
// use. It is safe for concurrent use.
type Hedger struct {
	// Requests is the limit of hedges as a share of the requests, Tokens that of the prompt tokens
	// that they may prefill as a share of those of the requests; 0 to MaxShare. Without
	// Requests there are no hedges.
	Requests, Tokens float64

	mu sync.Mutex
	// requests and tokens are the hedges and the tokens that the limits allow now.
	requests, tokens float64
	// largest is the number of prompt tokens of the largest request so far.
	largest float64
	groups  map[group]*samples
}

var _ kingcuphook.HedgePolicy = (*Hedger)(nil)

// New returns the policy with these limits, or nil if they allow no hedge. The error wraps
// kingcuphook.ErrInvalid if one is not 0 to MaxShare.
func New(requests, tokens float64) (kingcuphook.HedgePolicy, error) {
	for _, share := range []float64{requests, tokens} {
		if !ValidShare(share) {
			return nil, fmt.Errorf("hedger: limit %v is not 0 to %v: %w", share, MaxShare, kingcuphook.ErrInvalid)
		}
	}
	if requests == 0 || tokens == 0 {
		return nil, nil
	}
	return &Hedger{Requests: requests, Tokens: tokens}, nil
}

// ValidShare reports whether a limit is 0 to MaxShare.
func ValidShare(share float64) bool { return share >= 0 && share <= MaxShare }

// group is the requests whose times to the first token are comparable.
type group struct {
	class string
	// size is the logarithm of the number of uncached prompt tokens.
	size int
}

// samples are the latest times to the first token of a group.
type samples struct {
	times []time.Duration
	// next is the index of the oldest sample once there are maxSamples.
	next int
}

func groupOf(r *kingcuphook.Request, uncachedTokens int) group {
	return group{class: r.Class(), size: bits.Len(uint(max(uncachedTokens, 0) / sizeUnit))}
}

// Requested implements kingcuphook.HedgePolicy.
func (h *Hedger) Requested(r *kingcuphook.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	prompt := float64(r.PromptTokens())
	h.largest = max(h.largest, prompt)
	h.requests = min(h.requests+h.Requests, maxCredit)
	h.tokens = min(h.tokens+h.Tokens*prompt, maxCredit*h.largest)
}

// Delay implements kingcuphook.HedgePolicy.
func (h *Hedger) Delay(r *kingcuphook.Request, uncachedTokens int) (time.Duration, bool) {
	if h.Requests <= 0 {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.groups[groupOf(r, uncachedTokens)]
	if s == nil || len(s.times) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.times))
	return sorted[int(delayQuantile*float64(len(sorted)))], true
}

// Spend implements kingcuphook.HedgePolicy.
func (h *Hedger) Spend(uncachedTokens int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests < 1 || h.tokens < float64(uncachedTokens) {
		return false
	}
	h.requests--
	h.tokens -= float64(uncachedTokens)
	return true
}

// Observe implements kingcuphook.HedgePolicy.
func (h *Hedger) Observe(r *kingcuphook.Request, uncachedTokens int, took time.Duration) {
	if h.Requests <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := groupOf(r, uncachedTokens)
	s := h.groups[k]
	if s == nil {
		if h.groups == nil || len(h.groups) >= maxGroups {
			h.groups = make(map[group]*samples)
		}
		s = &samples{}
		h.groups[k] = s
	}
	s.add(took)
}

func (s *samples) add(took time.Duration) {
	if len(s.times) < maxSamples {
		s.times = append(s.times, took)
		return
	}
	s.times[s.next] = took
	s.next = (s.next + 1) % maxSamples
}
