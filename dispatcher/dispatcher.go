// Package dispatcher runs a call from its arrival to its final answer: it
// claims, acquires a slot, starts attempts and guards their frames. The
// decisions are made by the packages tracker, assembler, claimer, quarantiner,
// retrier and detector; this package carries them out.
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Limits bound the work on one call. A zero field means its default.
type Limits struct {
	// Attempts is the most attempts of one call; default 4.
	Attempts int
	// AnswerBytes bounds an engine's answer that is kept in memory; default
	// 4 MiB.
	AnswerBytes int
	// FirstByte is how long an upstream may stay silent after the dispatch;
	// default 30 s.
	FirstByte time.Duration
	// BetweenTokens is how long a stream may stay silent; default 5 s.
	BetweenTokens time.Duration
}

const (
	defaultAttempts      = 4
	defaultAnswerBytes   = 4 << 20
	defaultFirstByte     = 30 * time.Second
	defaultBetweenTokens = 5 * time.Second
)

// Dispatcher is the data path of a router. Its fields are set before the first
// call.
type Dispatcher struct {
	// Allocator hands out the slots.
	Allocator kingcuphook.Allocator
	// Engine runs the attempts.
	Engine kingcuphook.Engine
	// Store keeps the idempotency claims.
	Store kingcuphook.Store
	// Owner is the identifier of this router.
	Owner string
	// Rand is the source of jitter and identifiers; nil means a random seed.
	Rand *rand.Rand
	// Limits bound the work on one call.
	Limits Limits

	once sync.Once
	// mu guards Rand and sequence.
	mu       sync.Mutex
	sequence uint64
}

var _ kingcuphook.Dispatcher = (*Dispatcher)(nil)

func (d *Dispatcher) start() {
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l := &d.Limits
	setDefault(&l.Attempts, defaultAttempts)
	setDefault(&l.AnswerBytes, defaultAnswerBytes)
	setDefaultDuration(&l.FirstByte, defaultFirstByte)
	setDefaultDuration(&l.BetweenTokens, defaultBetweenTokens)
}

func setDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
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
	out, err := r.do(ctx)
	if err != nil {
		return kingcuphook.Outcome{}, r.fail(err)
	}
	return out, nil
}

// attemptID returns an identifier that is unique over the fleet.
func (d *Dispatcher) attemptID(r *kingcuphook.Request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return fmt.Sprintf("%s-%s-%d-%08x", r.ID(), d.Owner, d.sequence, d.Rand.Uint32())
}

// code returns the stable code of an error.
func code(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return "upstream-failed"
}

var codes = []struct {
	err  error
	code string
}{
	{kingcuphook.ErrQuarantined, "quarantined"},
	{kingcuphook.ErrTooLarge, "answer-too-large"},
	{kingcuphook.ErrDeadline, "deadline"},
	{context.DeadlineExceeded, "deadline"},
	{context.Canceled, "caller-gone"},
	{kingcuphook.ErrBrokenStream, "broken-stream"},
	{kingcuphook.ErrOverloaded, "overloaded"},
	{kingcuphook.ErrRateLimited, "rate-limited"},
	{kingcuphook.ErrNoUpstream, "no-upstream"},
	{kingcuphook.ErrUnavailable, "upstream-unavailable"},
	{kingcuphook.ErrOutcomeUnknown, "outcome-unknown"},
}
