package reserver

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// partlySharedLoad is the load of an engine, as a share of its limit, above which the free memory begins to
	// be divided among routers; from fullySharedLoad on it is divided among all of them.
	partlySharedLoad = 0.5
	fullySharedLoad  = 0.7
	// simultaneousRequests is the number of requests that are assumed to arrive at the same time.
	simultaneousRequests = 4
	// turnShare is the share of the free memory that only the router whose turn it is may use. All routers have
	// equal shares of the rest, which are too small for large requests.
	turnShare = 0.7
	// turnTime is the length of a turn, in which the places of the routers stay the same. handoverTime is how
	// long it takes until the reports to the other routers include a request: these are made every 0.25 s and
	// are up to 0.5 s old.
	turnTime     = 1500 * time.Millisecond
	handoverTime = 750 * time.Millisecond
)

// engine tracks the KV memory that the requests at one engine are expected to hold.
type engine struct {
	upstream *kingcuphook.Upstream
	// holdings has the memory of each request of this router.
	holdings map[*kingcuphook.Request]*holding
	// blocks has the blocks of their prompts, each of which is held once.
	blocks map[uint64]*block
	// tokens is the number of tokens that holdings and blocks hold, variance the sum of the squares of the
	// spreads of the holdings.
	tokens   int
	variance float64
	// ownAtReport is the value of tokens at the time of the last report, others the number of tokens that the
	// requests of the other routers held according to it.
	ownAtReport, others int
	// reported is when the last report was made; zero if there was none.
	reported time.Time
}

// holding is the KV memory of one request, apart from the blocks that it may share with others.
type holding struct {
	// rest is the number of prompt tokens outside of its blocks.
	rest int
	// answer is the expected number of answer tokens, spread the difference to the cautious estimate, generated
	// the number of those received so far.
	answer, spread, generated int
}

// block is a block of prompt tokens that several requests may share.
type block struct{ requests, tokens int }

func newEngine() *engine {
	return &engine{holdings: make(map[*kingcuphook.Request]*holding), blocks: make(map[uint64]*block)}
}

// chain returns the hashes of those blocks of a prompt whose lengths are known, and the number of tokens from the
// start of the prompt to the end of each.
func chain(r *kingcuphook.Request) (hashes []uint64, covered []int) {
	n := min(len(r.Prefix()), len(r.PrefixTokens()))
	return r.Prefix()[:n], r.PrefixTokens()[:n]
}

// sharedTokens returns the tokens of the prompt that other requests at the engine hold already.
func (e *engine) sharedTokens(r *kingcuphook.Request) int {
	hashes, covered := chain(r)
	tokens := 0
	for i, h := range hashes {
		if e.blocks[h] == nil {
			break
		}
		tokens = covered[i]
	}
	return tokens
}

func (e *engine) add(r *kingcuphook.Request, d demand) {
	if e.holdings[r] != nil {
		return
	}
	hashes, covered := chain(r)
	before := 0
	for i, h := range hashes {
		b := e.blocks[h]
		if b == nil {
			b = &block{tokens: covered[i] - before}
			e.blocks[h] = b
			e.tokens += b.tokens
		}
		b.requests++
		before = covered[i]
	}
	h := &holding{rest: max(d.prompt-before, 0), answer: d.answer, spread: d.spread}
	e.holdings[r] = h
	e.tokens += h.rest
	e.addAnswer(h, 1)
}

// addAnswer adds n times the estimated answer of a request; n is -1 to remove it.
func (e *engine) addAnswer(h *holding, n int) {
	e.tokens += n * h.answer
	e.variance += float64(n) * float64(h.spread) * float64(h.spread)
}

// grow records the number of tokens of a running answer. One that exceeds what was expected counts with the
// tokens so far and a further share.
func (e *engine) grow(r *kingcuphook.Request, generated int) {
	h := e.holdings[r]
	if h == nil || generated <= h.generated {
		return
	}
	h.generated = generated
	grown := int(float64(generated) * (1 + furtherShare))
	if limit := r.MaxTokens(); limit > 0 {
		grown = max(min(grown, limit), generated)
	}
	if grown <= h.answer {
		return
	}
	e.addAnswer(h, -1)
	h.spread = max(h.spread-(grown-h.answer), 0)
	h.answer = grown
	e.addAnswer(h, 1)
}

// remove removes a request, and returns the number of tokens received of its answer.
func (e *engine) remove(r *kingcuphook.Request) int {
	h := e.holdings[r]
	if h == nil {
		return 0
	}
	delete(e.holdings, r)
	e.tokens -= h.rest
	e.addAnswer(h, -1)
	hashes, _ := chain(r)
	for _, hash := range hashes {
		b := e.blocks[hash]
		b.requests--
		if b.requests == 0 {
			e.tokens -= b.tokens
			delete(e.blocks, hash)
		}
	}
	return h.generated
}

// sharers returns the number of routers among which the free memory of an engine is shared. It grows with the
// share of the limit that is used if simultaneousRequests more such requests arrive, from 0 at partlySharedLoad to all
// routers at fullySharedLoad.
func (m *Memory) sharers(held, tokens, limit float64) float64 {
	used := (held + simultaneousRequests*tokens) / limit
	return float64(m.routers) * min(max((used-partlySharedLoad)/(fullySharedLoad-partlySharedLoad), 0), 1)
}

// hasTurn reports whether this router may use turnShare of the free memory of the engine, which is divided among the
// given number of sharers. Each router has a different place, which rises by one from turn to turn modulo the number of
// routers; about one in every sharers of them, those with the highest places, has the turn. During handoverTime the
// lower of the old and the new place counts, since the reports may not yet include the requests of the turn before.
func (m *Memory) hasTurn(e *engine, now time.Time, sharers float64) bool {
	n := now.UnixNano() / int64(turnTime)
	place := m.place(e, n)
	if now.UnixNano()%int64(turnTime) < int64(handoverTime) {
		place = min(place, m.place(e, n-1))
	}
	// With both sides divided by the number of routers, rounding would leave none of three routers a turn.
	routers := float64(max(m.routers, 1))
	return float64(place) >= routers-routers/sharers
}

// place returns the place of this router at the engine in a turn. It depends on the program, so that routers have their
// turns at different engines at different times.
func (m *Memory) place(e *engine, turn int64) uint64 {
	routers := uint64(max(m.routers, 1))
	return (e.upstream.ProgramKey()%routers + uint64(m.index) + uint64(turn)%routers) % routers
}
