// Package dispatcher runs a call from its arrival to its final answer: it
// claims, acquires a slot, starts attempts and guards their frames. The
// decisions are made by the packages tracker, assembler, claimer, quarantiner,
// retrier and detector; this package carries them out.
package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// Limits bound the work on one call. A zero field means its default.
type Limits struct {
	// Attempts is the most attempts of one call; default 4.
	Attempts int
	// AnswerBytes bounds an engine's answer that is kept in memory; default
	// 4 MiB.
	AnswerBytes int
	// FirstByte is how long an engine may stay silent after the dispatch;
	// default 10 s.
	FirstByte time.Duration
	// BetweenTokens is how long a stream may stay silent; default 3 s.
	BetweenTokens time.Duration
	// Reply is how long a plain service may take; default 30 s.
	Reply time.Duration
	// HedgeAfter is how long an idempotent call of an engine waits for its first
	// frame before it is tried on a second upstream as well; 0 means that it is
	// not.
	HedgeAfter time.Duration
	// WaitShare is the share of its time that an opaque call may wait for its first
	// upstream, so that its caller hears of it while it can still come back; 0
	// means all of it.
	WaitShare float64
	// ShareWait bounds the wait for Share; default 1 s.
	ShareWait time.Duration
	// HoldWait bounds the wait of a suspect; default 10 s.
	HoldWait time.Duration
}

const (
	defaultAttempts      = 4
	defaultAnswerBytes   = 4 << 20
	defaultFirstByte     = 10 * time.Second
	defaultBetweenTokens = 3 * time.Second
	defaultReply         = 30 * time.Second
	defaultShareWait     = time.Second
	defaultHoldWait      = 10 * time.Second
)

// Dispatcher is the data path of a router. Its fields are set before the first
// call.
type Dispatcher struct {
	// Allocator hands out the slots.
	Allocator kingcuphook.Allocator
	// Engine runs the attempts.
	Engine kingcuphook.Engine
	// Store keeps the idempotency claims and the reservations of suspects.
	Store kingcuphook.Store
	// Claimer makes the claims; nil means one with the defaults on Store.
	Claimer *claimer.Claimer
	// Quarantiner knows the suspects; nil means one with the defaults.
	Quarantiner *quarantiner.Quarantiner
	// Share tells the peers of suspects that are new or cleared and returns when
	// they know; nil tells nobody. It must be safe for concurrent use.
	Share func(ctx context.Context)
	// NewBudget makes the retry budget of a class; nil means one with the
	// defaults.
	NewBudget func(class string) kingcuphook.RetryBudget
	// BudgetKey names what shares a retry budget with the request; nil means its
	// class.
	BudgetKey func(r *kingcuphook.Request) string
	// Owner is the identifier of this router.
	Owner string
	// Rand is the source of jitter and identifiers; nil means a random seed.
	Rand *rand.Rand
	// Limits bound the work on one call.
	Limits Limits

	once sync.Once
	// mu guards Rand and what follows.
	mu       sync.Mutex
	sequence uint64
	budgets  map[string]kingcuphook.RetryBudget
	hedges   map[string]kingcuphook.RetryBudget
	counts   Counts
}

var _ kingcuphook.Dispatcher = (*Dispatcher)(nil)

func (d *Dispatcher) start() {
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if d.Claimer == nil && d.Store != nil {
		d.Claimer = &claimer.Claimer{Store: d.Store, Rand: d.newRand()}
	}
	if d.Quarantiner == nil {
		d.Quarantiner = &quarantiner.Quarantiner{}
	}
	if d.NewBudget == nil {
		d.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Budget{Rand: d.newRand()} }
	}
	d.budgets = make(map[string]kingcuphook.RetryBudget)
	d.hedges = make(map[string]kingcuphook.RetryBudget)
	l := &d.Limits
	l.Attempts = cmp.Or(l.Attempts, defaultAttempts)
	l.AnswerBytes = cmp.Or(l.AnswerBytes, defaultAnswerBytes)
	l.FirstByte = cmp.Or(l.FirstByte, defaultFirstByte)
	l.BetweenTokens = cmp.Or(l.BetweenTokens, defaultBetweenTokens)
	l.Reply = cmp.Or(l.Reply, defaultReply)
	l.ShareWait = cmp.Or(l.ShareWait, defaultShareWait)
	l.HoldWait = cmp.Or(l.HoldWait, defaultHoldWait)
}

// newRand returns a source of randomness of its own; mu is held or not needed.
func (d *Dispatcher) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(d.Rand.Uint64(), d.Rand.Uint64()))
}

// Dispatch implements kingcuphook.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, c *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
	d.once.Do(d.start)
	if deadline := c.Request.Deadline(); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	r := newRun(d, c, w)
	d.requested(c.Request, time.Now())
	out, err := r.do(ctx)
	d.count(func(n *Counts) { n.add(r, err) })
	if err != nil {
		return kingcuphook.Outcome{}, r.fail(err)
	}
	return out, nil
}

// RequestCounter is a RetryBudget that is told of every request.
type RequestCounter interface {
	// Requested notes a request that may be retried later.
	Requested(now time.Time)
}

// requested tells the retry budget of a request that it has begun.
func (d *Dispatcher) requested(r *kingcuphook.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.budget(d.budgetKey(r)).(RequestCounter); ok {
		c.Requested(now)
	}
}

// budgetKey returns what names the retry budget of a request.
func (d *Dispatcher) budgetKey(r *kingcuphook.Request) string {
	if d.BudgetKey == nil {
		return r.Class()
	}
	return d.BudgetKey(r)
}

// succeeded adds a success to the retry budget of a request.
func (d *Dispatcher) succeeded(r *kingcuphook.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := d.budgetKey(r)
	d.budget(key).Succeeded(now)
	d.hedgeBudget(key).Succeeded(now)
}

// spendHedge takes a hedge out of the budget of a request and reports whether it
// is allowed.
func (d *Dispatcher) spendHedge(r *kingcuphook.Request, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hedgeBudget(d.budgetKey(r)).Spend(now)
}

// hedgeBudget returns the hedge budget of a key; mu is held.
func (d *Dispatcher) hedgeBudget(key string) kingcuphook.RetryBudget {
	b, ok := d.hedges[key]
	if !ok {
		b = newHedgeBudget()
		d.hedges[key] = b
	}
	return b
}

// spend takes retry number n out of the budget of a request. It returns how long
// to wait before it and whether it is allowed.
func (d *Dispatcher) spend(r *kingcuphook.Request, now time.Time, n int) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(d.budgetKey(r))
	if !b.Spend(now) {
		return 0, false
	}
	return b.Delay(n), true
}

// BudgetViewer is a RetryBudget that can be asked without using it up.
type BudgetViewer interface {
	// Left reports whether a retry is left.
	Left(now time.Time) bool
}

// canSpend reports whether a retry is left for a request, as far as its budget
// tells.
func (d *Dispatcher) canSpend(r *kingcuphook.Request, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, ok := d.budget(d.budgetKey(r)).(BudgetViewer)
	return !ok || v.Left(now)
}

// budget returns the retry budget of a key; mu is held.
func (d *Dispatcher) budget(key string) kingcuphook.RetryBudget {
	b, ok := d.budgets[key]
	if !ok {
		b = d.NewBudget(key)
		d.budgets[key] = b
	}
	return b
}

// attemptID returns an identifier that is unique over the fleet.
func (d *Dispatcher) attemptID(r *kingcuphook.Request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return fmt.Sprintf("%s-%s-%d-%08x", r.ID(), d.Owner, d.sequence, d.Rand.Uint32())
}
