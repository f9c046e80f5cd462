package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// Hedge budget of one budget key.
const (
	hedgeShare  = 0.02
	hedgeBurst  = 5
	hedgeRefill = 0.1
	// hedgeSlotWait is how long a hedge waits for a slot. It is short so that
	// hedges use spare capacity only.
	hedgeSlotWait = 20 * time.Millisecond
)

func newHedgeBudget() kingcuphook.RetryBudget {
	return &retrier.Budget{Ratio: hedgeShare, Burst: hedgeBurst, Refill: hedgeRefill}
}

// openAttempt is an attempt until its first frame. A hedged call has two.
type openAttempt struct {
	slot    kingcuphook.Slot
	attempt *kingcuphook.Attempt
	ctx     context.Context
	watch   *watchdog
	began   time.Time
	// isolated is the attempt as the isolator follows it.
	isolated *isolator.Attempt
	// stream includes the first frame; nil if err is set.
	stream kingcuphook.Stream
	// head is the head of the answer, for streams that have one.
	head kingcuphook.Answer
	err  error
}

// newOpenAttempt prepares an attempt on a slot and starts its watchdog.
func (r *run) newOpenAttempt(ctx context.Context, slot kingcuphook.Slot) *openAttempt {
	a := &openAttempt{slot: slot, attempt: r.newAttempt(slot.Choice()), began: time.Now()}
	a.isolated = r.d.Isolator.Begin(slot.Choice().Upstream, r.request)
	a.ctx, a.watch = r.watch(ctx, slot)
	return a
}

// open starts the attempt and waits for its first frame.
func (a *openAttempt) open(e kingcuphook.Engine) {
	s, err := e.Start(a.ctx, a.slot.Choice().Upstream, a.attempt)
	if err != nil {
		a.err = attemptError(a.ctx, err)
		return
	}
	f, err := s.Next(a.ctx)
	if err != nil {
		a.err = attemptError(a.ctx, err)
		_ = s.Close()
		return
	}
	a.watch.suspend()
	if h, ok := s.(kingcuphook.HeadedStream); ok {
		a.head = h.Head()
	}
	a.stream = &peekedStream{Stream: s, first: &f}
}

// discard cancels an attempt that is not used and releases its slot.
func (a *openAttempt) discard() {
	sample := failedSample(a.ctx, a.err, kingcuphook.Sample{})
	if a.err == nil {
		sample = kingcuphook.Sample{Cancelled: true}
		_ = a.stream.Close()
	}
	a.watch.stop()
	a.slot.Release(sample)
}

// peekedStream is a stream whose first frame was already read; Next returns it
// again.
type peekedStream struct {
	kingcuphook.Stream
	first *kingcuphook.Frame
}

// Next implements kingcuphook.Stream.
func (s *peekedStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	if s.first == nil {
		return s.Stream.Next(ctx)
	}
	f := *s.first
	s.first = nil
	return f, nil
}

// race opens the first attempt and, if its first frame is late and the hedge
// budget allows it, a second one on another upstream. It returns the attempt to
// continue with; r.slot is then its slot.
func (r *run) race(ctx context.Context, first *openAttempt) *openAttempt {
	if !r.hedgeable() {
		first.open(r.d.Engine)
		return first
	}
	opened := make(chan *openAttempt, 2)
	open := func(a *openAttempt) {
		a.open(r.d.Engine)
		opened <- a
	}
	go open(first)
	timer := time.NewTimer(r.d.Limits.HedgeAfter)
	defer timer.Stop()
	select {
	case a := <-opened:
		return a
	case <-timer.C:
	}
	second := r.hedge(ctx, first.slot.Choice().Upstream)
	if second == nil {
		return <-opened
	}
	go open(second)
	return r.awaitWinner(ctx, first, second, opened)
}

// hedgeable reports whether the running attempt may be hedged: the call is
// idempotent, not suspected of crashes, and none of its answer was delivered.
func (r *run) hedgeable() bool {
	return r.d.Limits.HedgeAfter > 0 && !r.request.NonIdempotent() && r.trial == nil && r.answer.Position() == 0
}

// hedge prepares an attempt on another upstream. It returns nil if the budget is
// spent or no slot is available in time.
func (r *run) hedge(ctx context.Context, busy *kingcuphook.Upstream) *openAttempt {
	if !r.d.spendHedge(r.request, time.Now()) {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, hedgeSlotWait)
	defer cancel()
	excluded := append(r.excluded(), busy.Address())
	slot, err := r.d.Allocator.Acquire(waiting, r.request, excluded)
	if err != nil {
		return nil
	}
	r.d.count(func(n *Counts) { n.Hedged++ })
	return r.newOpenAttempt(ctx, slot)
}

// awaitWinner waits for the first result of two attempts. If it is a frame, the
// other attempt is discarded; if it is an error, the other attempt is awaited as
// well. If both fail, it returns one that may have run, if there is one.
func (r *run) awaitWinner(ctx context.Context, first, second *openAttempt, opened <-chan *openAttempt) *openAttempt {
	winner := <-opened
	loser := first
	if winner == first {
		loser = second
	}
	if winner.err == nil {
		loser.watch.stop()
		go func() { (<-opened).discard() }()
		r.slot = winner.slot
		return winner
	}
	<-opened
	if loser.err == nil || errors.Is(winner.err, kingcuphook.ErrUnavailable) {
		winner, loser = loser, winner
	}
	r.recordLoser(ctx, loser)
	r.slot = winner.slot
	return winner
}

// recordLoser records an attempt that failed while the call continues with the
// other one.
func (r *run) recordLoser(ctx context.Context, a *openAttempt) {
	u := a.slot.Choice().Upstream
	r.failed = append(r.failed, u.Address())
	a.discard()
	suspect := r.recordBroken(a.isolated, u, a.err)
	if isCrash(a.err) && !errors.Is(a.err, kingcuphook.ErrUnavailable) && !errors.Is(a.err, errUnresponsive) {
		r.recordCrash(ctx, u, suspect)
	}
}
