// Package dispatcher runs a call from its arrival to its final answer: it
// acquires the idempotency claim and a slot, starts attempts, retries them and
// forwards their frames. The decisions are made by the packages tracker,
// assembler, claimer, quarantiner, retrier and detector; this package carries
// them out.
package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/detector"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// Limits bound the time and resources of one call. A zero field means its
// default.
type Limits struct {
	// MaxAttempts is the maximum number of attempts per call; default 4. Opaque calls,
	// which are forwarded unchanged, have a maximum of their own.
	MaxAttempts int
	// MaxAnswerBytes is the maximum size of an engine's answer, which is buffered in
	// memory; default 4 MiB.
	MaxAnswerBytes int
	// FirstByteTimeout is the timeout for the first frame of an engine after the
	// dispatch; default 10 s.
	FirstByteTimeout time.Duration
	// TokenTimeout is the timeout between two frames of a stream; default 3 s.
	TokenTimeout time.Duration
	// ReplyTimeout is the timeout for the answer of a plain service; default 30 s.
	ReplyTimeout time.Duration
	// WaitShare is the fraction of the time from its dispatch to its deadline that an
	// opaque call may wait for its first upstream, so that its caller still has
	// time to retry after a rejection; 0 means no such limit.
	WaitShare float64
	// ShareTimeout is the timeout of ShareSuspects; default 1 s.
	ShareTimeout time.Duration
	// HoldTimeout bounds how long a call waits while the quarantiner holds it; default
	// 10 s.
	HoldTimeout time.Duration
}

const (
	// DefaultMaxAttempts is the default of Limits.MaxAttempts.
	DefaultMaxAttempts      = 4
	defaultMaxAnswerBytes   = 4 << 20
	defaultFirstByteTimeout = 10 * time.Second
	defaultTokenTimeout     = 3 * time.Second
	defaultReplyTimeout     = 30 * time.Second
	defaultShareTimeout     = time.Second
	defaultHoldTimeout      = 10 * time.Second
)

// Dispatcher is the data path of a router. Its fields must be set before the
// first call.
type Dispatcher struct {
	// Allocator provides the slots.
	Allocator kingcuphook.Allocator
	// Engine runs the attempts.
	Engine kingcuphook.Engine
	// Store holds the idempotency claims and the reservations of suspect requests;
	// nil means that there is no store.
	Store kingcuphook.Store
	// Claimer acquires the claims; nil means one with the defaults on Store.
	Claimer *claimer.Claimer
	// Quarantiner tracks the requests suspected of crashing upstreams; nil means
	// one with the defaults.
	Quarantiner *quarantiner.Quarantiner
	// Isolator tracks the prompt parts suspected of crashing upstreams; nil means one with
	// the defaults.
	Isolator *isolator.Isolator
	// ShareSuspects sends new and cleared suspects to the peers and returns when they
	// have them; nil means that nothing is sent. It must be safe for concurrent use.
	ShareSuspects func(ctx context.Context)
	// OnCrash, if set, is called for each request that is suspected of the crash of an
	// upstream. It must be safe for concurrent use.
	OnCrash func(r *kingcuphook.Request, u *kingcuphook.Upstream)
	// Pins keeps track of the software version that began each stream; nil means nothing
	// does.
	Pins kingcuphook.StreamPinner
	// NewBudget creates the retry budget for a key that BudgetKey returned; nil
	// means one with the defaults.
	NewBudget func(key string) kingcuphook.RetryBudget
	// BudgetKey returns the key of the retry budget that a request uses; nil means
	// its class.
	BudgetKey func(r *kingcuphook.Request) string
	// HasVacancy reports whether the upstreams that are not excluded could take n requests
	// like r now; if resumes is set, those that can resume its answer. An attempt on a silent
	// upstream is cancelled for a retry only if there is a slot for it and for each other
	// retry that has none yet. Nil means that there always is. It must be safe for
	// concurrent use.
	HasVacancy func(r *kingcuphook.Request, excluded []string, resumes bool, n int) bool
	// Readmit replaces the upstreams that are excluded for a call that waits for a slot. It is called once one
	// that could not be reached may be tried again; nil means that it is excluded as long as the call
	// waits. It must be safe for concurrent use.
	Readmit func(r *kingcuphook.Request, excluded []string)
	// Hedges decides when idempotent calls are hedged; nil disables hedging.
	Hedges kingcuphook.HedgePolicy
	// HasSpareSlot reports whether an upstream that is not excluded has a slot now for a hedge of r that no
	// first attempt needs; nil means that there always is one. It must be safe for concurrent use.
	HasSpareSlot func(r *kingcuphook.Request, excluded []string) bool
	// Neighbours returns the addresses of the upstreams that are in the data centre of u. A hedge goes to
	// one of them only if no other can take it; nil means that none is known. It must be
	// safe for concurrent use.
	Neighbours func(u *kingcuphook.Upstream) []string
	// Mover moves running streams off upstreams that leave, when MoveStreams is called; nil means that none
	// is moved.
	Mover kingcuphook.StreamMover
	// OnMove, if set, is called with the result of each move that was begun. It must be safe for concurrent
	// use.
	OnMove func(m MoveOutcome)
	// Stopping ends when a graceful shutdown begins; nil means never.
	Stopping context.Context
	// LatestStart returns until when a request may be sent to its first upstream so that it
	// ends before the graceful shutdown does; a zero time means that none was started. It is
	// set if Stopping is. It must be safe for concurrent use.
	LatestStart func(r *kingcuphook.Request) time.Time
	// InquireSilent returns what shows that an upstream from which a call got nothing since a time
	// doesn't run it any more. It is called repeatedly and must not block. Nil means that
	// nothing is known. It must be safe for concurrent use.
	InquireSilent func(u *kingcuphook.Upstream, since time.Time) kingcuphook.SilenceEvidence
	// Owner is the identifier of this router.
	Owner string
	// Rand is the source of jitter and of attempt identifiers; nil means one with a
	// random seed.
	Rand *rand.Rand
	// Limits bound the time and resources of one call.
	Limits Limits

	once sync.Once
	// mu guards Rand and the fields below.
	mu       sync.Mutex
	sequence uint64
	budgets  map[string]kingcuphook.RetryBudget
	// moving counts by pool the calls that left a silent upstream, or are about to, and have
	// no other slot yet.
	moving map[string]int
	counts Counts
	// movable has the running streams that can be moved, by the program of their upstream.
	movable map[kingcuphook.Program]map[*movableStream]struct{}
	// leaves has what spot upstreams said about the time at which they leave.
	leaves map[kingcuphook.Program]leave
	// activity has when the upstreams last sent data of an answer.
	activity detector.Activity
}

var _ kingcuphook.Dispatcher = (*Dispatcher)(nil)

func (d *Dispatcher) setDefaults() {
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if d.Claimer == nil && d.Store != nil {
		d.Claimer = &claimer.Claimer{Store: d.Store, Rand: d.newRand()}
	}
	if d.Quarantiner == nil {
		d.Quarantiner = &quarantiner.Quarantiner{}
	}
	if d.Isolator == nil {
		d.Isolator = &isolator.Isolator{}
	}
	if d.NewBudget == nil {
		d.NewBudget = func(string) kingcuphook.RetryBudget { return &retrier.Budget{Rand: d.newRand()} }
	}
	d.budgets = make(map[string]kingcuphook.RetryBudget)
	d.moving = make(map[string]int)
	d.movable = make(map[kingcuphook.Program]map[*movableStream]struct{})
	d.leaves = make(map[kingcuphook.Program]leave)
	l := &d.Limits
	l.MaxAttempts = cmp.Or(l.MaxAttempts, DefaultMaxAttempts)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, defaultMaxAnswerBytes)
	l.FirstByteTimeout = cmp.Or(l.FirstByteTimeout, defaultFirstByteTimeout)
	l.TokenTimeout = cmp.Or(l.TokenTimeout, defaultTokenTimeout)
	l.ReplyTimeout = cmp.Or(l.ReplyTimeout, defaultReplyTimeout)
	l.ShareTimeout = cmp.Or(l.ShareTimeout, defaultShareTimeout)
	l.HoldTimeout = cmp.Or(l.HoldTimeout, defaultHoldTimeout)
}

// newRand returns a new random source seeded from Rand. It is called by
// setDefaults, before concurrent use, or with mu held.
func (d *Dispatcher) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(d.Rand.Uint64(), d.Rand.Uint64()))
}

// Dispatch implements kingcuphook.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, c *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
	d.once.Do(d.setDefaults)
	if deadline := c.Request.Deadline(); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	r := newRun(d, c, w)
	d.countRequest(c.Request, time.Now())
	if d.Hedges != nil {
		d.Hedges.Requested(c.Request)
	}
	out, err := r.do(ctx)
	d.count(func(n *Counts) { n.add(r, err) })
	if err != nil {
		return kingcuphook.Outcome{}, r.fail(stopError(ctx, err))
	}
	return out, nil
}

// stopError wraps the error of a call that was ended because the router is stopping.
func stopError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), kingcuphook.ErrStopping) {
		return fmt.Errorf("dispatcher: %w: %w", kingcuphook.ErrStopping, err)
	}
	return err
}

// RequestCounter is implemented by retry budgets that count every request.
type RequestCounter interface {
	// Requested counts a request that may be retried later.
	Requested(now time.Time)
}

// countRequest counts the request in its retry budget, if the budget counts
// requests.
func (d *Dispatcher) countRequest(r *kingcuphook.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.budget(d.budgetKey(r)).(RequestCounter); ok {
		c.Requested(now)
	}
}

// budgetKey returns the key of the retry budget of a request.
func (d *Dispatcher) budgetKey(r *kingcuphook.Request) string {
	if d.BudgetKey == nil {
		return r.Class()
	}
	return d.BudgetKey(r)
}

// countSuccess counts a success in the retry budget of a request.
func (d *Dispatcher) countSuccess(r *kingcuphook.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(d.budgetKey(r)).Succeeded(now)
}

// spend spends retry number n from the budget of a request. It returns the delay
// before the retry and whether the budget allows it.
func (d *Dispatcher) spend(r *kingcuphook.Request, now time.Time, n int) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(d.budgetKey(r))
	if !b.Spend(now) {
		return 0, false
	}
	return b.Delay(n), true
}

// delay returns the delay of the budget of a request before retry number n, and spends nothing.
func (d *Dispatcher) delay(r *kingcuphook.Request, n int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(d.budgetKey(r)).Delay(n)
}

// refund returns a retry of a request to its budget.
func (d *Dispatcher) refund(r *kingcuphook.Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(d.budgetKey(r)).Refund(now)
}

// budget returns the retry budget of a key. The caller must hold mu.
func (d *Dispatcher) budget(key string) kingcuphook.RetryBudget {
	b, ok := d.budgets[key]
	if !ok {
		b = d.NewBudget(key)
		d.budgets[key] = b
	}
	return b
}

// attemptID returns an identifier that is unique across the fleet.
func (d *Dispatcher) attemptID(r *kingcuphook.Request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return fmt.Sprintf("%s-%s-%d-%08x", r.ID(), d.Owner, d.sequence, d.Rand.Uint32())
}
