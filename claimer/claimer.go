// Package claimer keeps the idempotency claims of non-idempotent requests in
// the store, so that each idempotency key is run at most once across the fleet.
//
// The claims are distributed over shards. A shard has a head, which is the store
// key that new claims are added to, and sealed segments, which are the keys that
// the claims of full heads were moved to. A router writes all claims that wait for
// the same shard with one compare-and-swap of its head. The outcomes of claimed
// requests are stored under keys of their own.
package claimer

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// Defaults of a Claimer whose fields are zero.
const (
	defaultPrefix          = "claims/"
	defaultShards          = 1
	defaultInterval        = 125 * time.Millisecond
	defaultOutcomeInterval = time.Second
	defaultRetention       = time.Hour
	defaultHeadBytes       = 128 << 10
	defaultCallTimeout     = 500 * time.Millisecond
	defaultMaxWait         = 2 * time.Second
	defaultMaxOutcomeBytes = 2 << 10
	// drainPoll is how often Drain checks whether the writers have ended.
	drainPoll = 5 * time.Millisecond
)

// Factors of the retention of a claim.
const (
	// dispatchDivisor divides the retention to give the time within which the
	// holder may dispatch on its claim.
	dispatchDivisor = 4
	// leaseFactor multiplies the retention to give the lease duration of segments
	// and outcomes.
	leaseFactor = 2
)

// Claimer acquires claims. Its fields must be set before the first call. It is
// safe for concurrent use. It runs goroutines only while writes to the store are
// pending.
type Claimer struct {
	// Store holds the claims; required.
	Store kingcuphook.Store
	// Rand is the source of jitter; nil means one with a random seed. Nothing else
	// may use it.
	Rand *rand.Rand
	// Prefix is the prefix of every store key; empty means "claims/".
	Prefix string
	// Shards is the number of shards, each with a head of its own. It must be equal
	// on all routers; 0 means 1.
	Shards int
	// Interval is the minimum mean time between two writes of a shard by this
	// router; 0 means 125 ms. After an idle period, up to three writes may follow
	// each other at once.
	Interval time.Duration
	// OutcomeInterval is the minimum time between two writes of outcomes; 0 means
	// 1 s.
	OutcomeInterval time.Duration
	// Retention is how long a claim is valid; 0 means an hour. It must be equal
	// on all routers and more than twice the time within which callers resend.
	Retention time.Duration
	// HeadBytes is the size at which the claims of a head are moved to a segment;
	// 0 means 128 KiB.
	HeadBytes int
	// CallTimeout is the timeout of one store call; 0 means 500 ms.
	CallTimeout time.Duration
	// MaxWait is the maximum time a request waits for its claim; 0 means 2 s.
	MaxWait time.Duration
	// MaxOutcomeBytes is the maximum size of a stored outcome; 0 means 2 KiB.
	MaxOutcomeBytes int

	once     sync.Once
	process  uint64
	shards   []*shard
	outcomes outcomeStore

	mu sync.Mutex
	// number is the counter in the latest nonce.
	number uint32
	counts Counts
}

// Counts are the counters of a Claimer.
type Counts struct {
	// Held, Found and Failed count the results of Claim: acquired, already claimed,
	// and error.
	Held, Found, Failed int
	// Writes counts the compare-and-swaps of heads, Conflicts those that failed
	// because another router wrote first, and Lost those whose result is unknown.
	Writes, Conflicts, Lost int
	// Restored counts how often claims of this router were found to be lost by the store.
	Restored int
	// Sealed counts the segments written.
	Sealed int
	// OutcomeWrites counts the writes of outcomes.
	OutcomeWrites int
}

// Ticket is the result of Claim: an acquired claim, or the existing one of another
// request.
type Ticket struct {
	record   Record
	held     bool
	until    time.Time
	outcome  Outcome
	answered bool
}

// Held reports whether the caller acquired the claim. Only then it may dispatch.
func (t Ticket) Held() bool { return t.held }

// Usable reports whether a held claim is recent enough to dispatch on. A holder
// that was suspended for long must not dispatch when the claim may be about to
// expire for other routers.
func (t Ticket) Usable(now time.Time) bool { return t.held && now.Before(t.until) }

// Outcome returns the stored outcome of a claim of another request. It reports false
// if there is none or it could not be read.
func (t Ticket) Outcome() (Outcome, bool) { return t.outcome, t.answered }

// Fingerprint returns the body hash of the claimed request.
func (t Ticket) Fingerprint() uint64 { return t.record.fingerprint }

func (c *Claimer) start() {
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Prefix == "" {
		c.Prefix = defaultPrefix
	}
	c.Shards = cmp.Or(c.Shards, defaultShards)
	c.HeadBytes = cmp.Or(c.HeadBytes, defaultHeadBytes)
	c.MaxOutcomeBytes = cmp.Or(c.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.OutcomeInterval = cmp.Or(c.OutcomeInterval, defaultOutcomeInterval)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.MaxWait = cmp.Or(c.MaxWait, defaultMaxWait)
	// Processes with the same number would take each other's claims for their own,
	// so it must not depend on the seed of Rand.
	c.process = rand.Uint64()
	for i := range c.Shards {
		c.shards = append(c.shards, &shard{
			claimer: c,
			prefix:  fmt.Sprintf("%s%d/", c.Prefix, i),
			pace:    pacer{interval: c.Interval},
		})
	}
	c.outcomes.claimer = c
}

// Claim acquires the claim of a key, or returns the existing one. It waits at
// most MaxWait. After an error the caller holds no claim, and it is unknown whether
// one exists; the error wraps kingcuphook.ErrUnavailable.
func (c *Claimer) Claim(ctx context.Context, h Hash, fingerprint uint64) (Ticket, error) {
	c.once.Do(c.start)
	ctx, cancel := context.WithTimeout(ctx, c.MaxWait)
	defer cancel()
	w := &waiter{hash: h, fingerprint: fingerprint, nonce: c.newNonce(), done: make(chan struct{})}
	t, err := c.claim(ctx, w)
	c.count(func(n *Counts) {
		switch {
		case err != nil:
			n.Failed++
		case t.held:
			n.Held++
		default:
			n.Found++
		}
	})
	return t, err
}

// claim resolves w, replacing released claims until one is acquired or a claim
// that was not released is found.
func (c *Claimer) claim(ctx context.Context, w *waiter) (Ticket, error) {
	for {
		r, err := c.shardOf(w.hash).resolve(ctx, w)
		if err != nil {
			return Ticket{}, err
		}
		if r.nonce == w.nonce {
			return Ticket{record: r, held: true, until: r.createdAt.Add(c.Retention / dispatchDivisor)}, nil
		}
		outcome, ok := c.outcomes.find(ctx, r.nonce)
		if !ok || !outcome.Released {
			return Ticket{record: r, outcome: outcome, answered: ok}, nil
		}
		w = &waiter{hash: w.hash, fingerprint: w.fingerprint, nonce: w.nonce, replaces: r.nonce, done: make(chan struct{})}
	}
}

// StoreOutcome stores the outcome of a held claim, unless it exceeds
// MaxOutcomeBytes. It does not wait for the store.
func (c *Claimer) StoreOutcome(t Ticket, o Outcome) {
	if t.held && o.size() <= c.MaxOutcomeBytes {
		c.outcomes.save(t.record.nonce, o)
	}
}

// Release releases a held claim whose request was not run, so that a resend may
// run. It does not wait for the store.
func (c *Claimer) Release(t Ticket) {
	if t.held {
		c.outcomes.save(t.record.nonce, Outcome{Released: true})
	}
}

// Drain waits until no claim and no outcome is waiting to be written, for a graceful
// shutdown, after which claims are not verified any more. Outcomes are given up if the
// store fails for the whole Retention.
func (c *Claimer) Drain(ctx context.Context) error {
	c.once.Do(c.start)
	select {
	case <-c.outcomes.idle():
	case <-ctx.Done():
		return fmt.Errorf("claimer: drain: %w", ctx.Err())
	}
	for slices.ContainsFunc(c.shards, func(s *shard) bool { return !s.drain() }) {
		if !pauser.Pause(ctx, drainPoll) {
			return fmt.Errorf("claimer: drain: %w", ctx.Err())
		}
	}
	return nil
}

// Counts returns a copy of the counters.
func (c *Claimer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *Claimer) count(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

func (c *Claimer) newNonce() Nonce {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return newNonce(c.process, c.number)
}

// jitter returns a random duration below limit.
func (c *Claimer) jitter(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.Rand.Int64N(int64(limit)))
}

func (c *Claimer) shardOf(h Hash) *shard {
	return c.shards[binary.BigEndian.Uint64(h[:])%uint64(len(c.shards))]
}

// callContext returns a context with the timeout of one store call.
func (c *Claimer) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.CallTimeout)
}

// get reads a key. It returns an empty entry for a key that does not exist.
func (c *Claimer) get(key string) (kingcuphook.Entry, error) {
	ctx, cancel := c.callContext()
	defer cancel()
	e, err := c.Store.Get(ctx, key)
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return kingcuphook.Entry{}, nil
	}
	return e, err
}

func (c *Claimer) put(key string, value []byte, expect int64, lease kingcuphook.LeaseID) error {
	ctx, cancel := c.callContext()
	defer cancel()
	_, err := c.Store.Put(ctx, key, value, expect, lease)
	return err
}

// grant returns a new lease that outlives every current claim.
func (c *Claimer) grant() (kingcuphook.LeaseID, error) {
	ctx, cancel := c.callContext()
	defer cancel()
	return c.Store.Grant(ctx, leaseFactor*c.Retention)
}
