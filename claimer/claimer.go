// Package claimer keeps the idempotency claims of non-idempotent requests in
// the store. All claims that wait at a router for the same shard are written
// with one compare-and-swap, and outcomes are kept beside the claims.
package claimer

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
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
	defaultWait            = 2 * time.Second
	defaultOutcomeBytes    = 2 << 10
)

// Parts of the retention of a claim.
const (
	// dispatchShare is the share of the retention within which a claim may be
	// used by its holder.
	dispatchShare = 4
	// leaseFactor is the lease of segments and outcomes in retentions.
	leaseFactor = 2
)

// Claimer makes claims. Its fields are set before the first call. It is safe
// for concurrent use. It runs goroutines only while something waits for the
// store.
type Claimer struct {
	// Store keeps the claims; never nil.
	Store kingcuphook.Store
	// Rand is the source of jitter; nil means a random seed. It is used by the
	// Claimer only.
	Rand *rand.Rand
	// Prefix starts every key; empty means "claims/".
	Prefix string
	// Shards is the number of heads, equal on all routers; 0 means 1.
	Shards int
	// Interval is the mean time between two writes of a shard by this router;
	// 0 means 125 ms. Up to three writes may follow each other after a rest.
	Interval time.Duration
	// OutcomeInterval is the least time between two writes of outcomes; 0 means
	// 1 s.
	OutcomeInterval time.Duration
	// Retention is how long a claim counts; 0 means an hour. It must be equal
	// on all routers and more than twice the time in which callers resend.
	Retention time.Duration
	// HeadBytes is the size at which a head is sealed; 0 means 128 KiB.
	HeadBytes int
	// CallTimeout bounds one call to the store; 0 means 500 ms.
	CallTimeout time.Duration
	// Wait bounds the time a request waits for its claim; 0 means 2 s.
	Wait time.Duration
	// OutcomeBytes bounds a stored outcome; 0 means 2 KiB.
	OutcomeBytes int

	once    sync.Once
	process uint64
	shards  []*shard
	book    book

	mu sync.Mutex
	// number is the counter of the last nonce.
	number uint32
	counts Counts
}

// Counts tell what a Claimer did.
type Counts struct {
	// Held, Found and Failed count the results of Claim.
	Held, Found, Failed int
	// Writes counts the compare-and-swaps of heads; Conflicts those of them
	// that another router won; Lost those without a reply.
	Writes, Conflicts, Lost int
	// Sealed counts the segments sealed.
	Sealed int
	// OutcomeWrites counts the writes of outcomes.
	OutcomeWrites int
}

// Ticket is the result of a claim.
type Ticket struct {
	record   Record
	held     bool
	until    time.Time
	outcome  Outcome
	answered bool
}

// Held reports whether the claim is the caller's: it alone may dispatch.
func (t Ticket) Held() bool { return t.held }

// Usable reports whether a held claim may still be dispatched on. A holder that
// was paused must not use a claim that others may soon take for expired.
func (t Ticket) Usable(now time.Time) bool { return t.held && now.Before(t.until) }

// Outcome returns the stored outcome of another's claim, if it is known.
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
	c.OutcomeBytes = cmp.Or(c.OutcomeBytes, defaultOutcomeBytes)
	c.Interval = cmp.Or(c.Interval, defaultInterval)
	c.OutcomeInterval = cmp.Or(c.OutcomeInterval, defaultOutcomeInterval)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.Wait = cmp.Or(c.Wait, defaultWait)
	// Two processes with one number would take each other's claims for their
	// own, so it does not depend on the seed of Rand.
	c.process = rand.Uint64()
	for i := range c.Shards {
		c.shards = append(c.shards, &shard{
			claimer: c,
			name:    fmt.Sprintf("%s%d/", c.Prefix, i),
			pace:    pacer{interval: c.Interval},
		})
	}
	c.book.claimer = c
}

// Claim creates the claim of a key, or finds the one that exists. It waits at
// most for the bound of Wait. After an error no claim is held by the caller, and
// whether one exists is not known; the error wraps kingcuphook.ErrUnavailable.
func (c *Claimer) Claim(ctx context.Context, h Hash, fingerprint uint64) (Ticket, error) {
	c.once.Do(c.start)
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
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

// claim takes over claims that were released until one is held or in use.
func (c *Claimer) claim(ctx context.Context, w *waiter) (Ticket, error) {
	for {
		r, err := c.shardOf(w.hash).resolve(ctx, w)
		if err != nil {
			return Ticket{}, err
		}
		if r.nonce == w.nonce {
			return Ticket{record: r, held: true, until: r.made.Add(c.Retention / dispatchShare)}, nil
		}
		outcome, ok := c.book.find(ctx, r.nonce)
		if !ok || !outcome.Released {
			return Ticket{record: r, outcome: outcome, answered: ok}, nil
		}
		w = &waiter{hash: w.hash, fingerprint: w.fingerprint, nonce: w.nonce, over: r.nonce, done: make(chan struct{})}
	}
}

// Settle stores the outcome of a held claim, if it is small enough. It does not
// wait for the store.
func (c *Claimer) Settle(t Ticket, o Outcome) {
	if t.held && o.size() <= c.OutcomeBytes {
		c.book.write(t.record.nonce, o)
	}
}

// Release gives a held claim back because its request will never be dispatched;
// a resend may then run. It does not wait for the store.
func (c *Claimer) Release(t Ticket) {
	if t.held {
		c.book.write(t.record.nonce, Outcome{Released: true})
	}
}

// Drain waits until every outcome noted so far is in the store, for a planned
// stop.
func (c *Claimer) Drain(ctx context.Context) error {
	c.once.Do(c.start)
	select {
	case <-c.book.idle():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("claimer: drain: %w", ctx.Err())
	}
}

// Counts returns what the Claimer did so far.
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

// jitter returns a random time below most.
func (c *Claimer) jitter(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.Rand.Int64N(int64(most)))
}

func (c *Claimer) shardOf(h Hash) *shard {
	return c.shards[binary.BigEndian.Uint64(h[:])%uint64(len(c.shards))]
}

// callContext bounds one call to the store.
func (c *Claimer) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.CallTimeout)
}

// get reads a key; a key that does not exist gives an empty entry.
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

// grant returns a lease that outlives every claim of now.
func (c *Claimer) grant() (kingcuphook.LeaseID, error) {
	ctx, cancel := c.callContext()
	defer cancel()
	return c.Store.Grant(ctx, leaseFactor*c.Retention)
}
