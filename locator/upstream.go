package locator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
	"github.com/kingcuphook/kingcuphook/tallier"
)

// upstream is the state that the router tracks for one upstream.
type upstream struct {
	row  *kingcuphook.Upstream
	seed uint64
	// program identifies the program of the upstream in the index of prefixes.
	program tallier.Key
	// place is where the upstream is; never nil in the pool.
	place *place
	// learnedSpeed is its speed relative to the pool; 0 means that none was learned. speedAt is
	// when it was last taken over.
	learnedSpeed float64
	speedAt      time.Time
	// means has its averages for the slope of the Locator.
	means estimator.LoadMeans
	// reserved means that the upstream is reserved for short prompts.
	reserved bool
	// running counts the requests of this router.
	running int
	// prefilling is the number of prompt tokens of this router that are still to be
	// prefilled.
	prefilling int
	// peerRunning and peerPrefilling are the same for the other routers, from the last
	// load report.
	peerRunning, peerPrefilling int
	// reported is when that report was made; zero if there was none.
	reported time.Time
	// inFlight holds the running requests by identifier.
	inFlight map[string]attempt
	// firstSeen is when the router first saw the upstream.
	firstSeen time.Time
	// prefixes holds when each shared prefix was last sent there, by hash.
	prefixes map[uint64]time.Time
	// leftAt is when the upstream last left the pool.
	leftAt time.Time
	// displaced means that another program has the address of the upstream.
	displaced bool
	// failed is when a request last failed there, failures the number of failures in a
	// row.
	failed   time.Time
	failures int
}

// attempt is a request in flight.
type attempt struct {
	// tokens is the number of its prompt tokens to be prefilled.
	tokens int
	// prefilled means that its first token has come.
	prefilled bool
	// sentAt is when it was sent, ahead the number of prompt tokens to be prefilled
	// before its first token, its own included.
	sentAt time.Time
	ahead  int
	// gaps holds the gaps between its events, if the speed is learned.
	gaps eventGaps
	// indexed is its shared prefix if that is long enough for the index; 0 if not.
	indexed uint64
}

func newUpstream(now time.Time, row *kingcuphook.Upstream) *upstream {
	return &upstream{
		row:       row,
		firstSeen: now,
		program:   tallier.KeyOf(row),
		seed:      xxhash.Sum64String(row.Instance() + row.Address()),
		inFlight:  make(map[string]attempt),
		prefixes:  make(map[uint64]time.Time),
	}
}

// warmFraction returns the share of the prefixes for which it is preferred that an
// upstream can have cached. It grows from 0 to 1 in the warmupTime after the router
// first sees the upstream.
func (u *upstream) warmFraction(now time.Time) float64 {
	age := now.Sub(u.firstSeen)
	if age >= warmupTime {
		return 1
	}
	return float64(age) / float64(warmupTime)
}

// recordPrefix notes that a shared prefix was sent to the upstream; 0 means none.
func (u *upstream) recordPrefix(now time.Time, prefix uint64) {
	if prefix == 0 {
		return
	}
	if len(u.prefixes) >= maxPrefixes {
		u.evictPrefixes(now)
	}
	u.prefixes[prefix] = now
}

// evictPrefixes removes expired prefixes, and all prefixes if none has expired.
func (u *upstream) evictPrefixes(now time.Time) {
	for prefix, used := range u.prefixes {
		if now.Sub(used) >= prefixTTL {
			delete(u.prefixes, prefix)
		}
	}
	if len(u.prefixes) >= maxPrefixes {
		clear(u.prefixes)
	}
}

// endPrefill subtracts the prompt of a running request from the prefill backlog, once.
func (u *upstream) endPrefill(r *kingcuphook.Request) {
	a, ok := u.inFlight[r.ID()]
	if !ok || a.prefilled {
		return
	}
	u.prefilling -= a.tokens
	a.prefilled = true
	u.inFlight[r.ID()] = a
}

// group returns the index of the upstream's group in workloads.
func (u *upstream) group() int {
	if u.reserved {
		return 1
	}
	return 0
}

func (u *upstream) isEngine() bool { return u.row.Kind() == kingcuphook.UpstreamKindEngine }

// load returns the number of requests of all routers on the upstream.
func (u *upstream) load() int { return u.running + u.peerRunning }

// backlog returns the number of prompt tokens to be prefilled there for all routers.
func (u *upstream) backlog() int { return u.prefilling + u.peerPrefilling }
