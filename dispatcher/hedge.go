package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/retrier"
)

// Budget of the hedges of one class.
const (
	hedgeShare  = 0.02
	hedgeBurst  = 5
	hedgeRefill = 0.1
	// hedgeSlotWait is how long a hedge waits for a slot: it takes only what is
	// free.
	hedgeSlotWait = 20 * time.Millisecond
)

func newHedgeBudget() kingcuphook.RetryBudget {
	return &retrier.Budget{Ratio: hedgeShare, Burst: hedgeBurst, Refill: hedgeRefill}
}

// leg is an attempt up to its first frame.
type leg struct {
	slot    kingcuphook.Slot
	attempt *kingcuphook.Attempt
	ctx     context.Context
	watch   *watch
	began   time.Time
	// stream gives the first frame again; nil if err is not.
	stream kingcuphook.Stream
	// head is that of the answer, if it is passed on as it came.
	head kingcuphook.Answer
	err  error
}

// newLeg prepares an attempt on a slot.
func (r *run) newLeg(ctx context.Context, slot kingcuphook.Slot) *leg {
	l := &leg{slot: slot, attempt: r.newAttempt(slot.Choice()), began: time.Now()}
	l.ctx, l.watch = r.watch(ctx, slot)
	return l
}

// open starts the attempt and waits for its first frame.
func (l *leg) open(e kingcuphook.Engine) {
	s, err := e.Start(l.ctx, l.slot.Choice().Upstream, l.attempt)
	if err != nil {
		l.err = cut(l.ctx, err)
		return
	}
	f, err := s.Next(l.ctx)
	if err != nil {
		l.err = cut(l.ctx, err)
		_ = s.Close()
		return
	}
	l.watch.suspend()
	if h, ok := s.(kingcuphook.HeadedStream); ok {
		l.head = h.Head()
	}
	l.stream = &begunStream{Stream: s, first: &f}
}

// drop cancels an attempt that is not needed and gives its slot back.
func (l *leg) drop() {
	sample := failedSample(l.ctx, l.err, kingcuphook.Sample{})
	if l.err == nil {
		sample = kingcuphook.Sample{Cancelled: true}
		_ = l.stream.Close()
	}
	l.watch.stop()
	l.slot.Release(sample)
}

// begunStream is a stream whose first frame was taken.
type begunStream struct {
	kingcuphook.Stream
	first *kingcuphook.Frame
}

// Next implements kingcuphook.Stream.
func (s *begunStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	if s.first == nil {
		return s.Stream.Next(ctx)
	}
	f := *s.first
	s.first = nil
	return f, nil
}

// race opens the first leg and, if its first frame is late and the budget
// allows, a second one on another upstream. It returns the leg to go on with;
// r.slot is its slot.
func (r *run) race(ctx context.Context, first *leg) *leg {
	if !r.hedgeable() {
		first.open(r.d.Engine)
		return first
	}
	opened := make(chan *leg, 2)
	open := func(l *leg) {
		l.open(r.d.Engine)
		opened <- l
	}
	go open(first)
	timer := time.NewTimer(r.d.Limits.HedgeAfter)
	defer timer.Stop()
	select {
	case l := <-opened:
		return l
	case <-timer.C:
	}
	second := r.hedge(ctx, first.slot.Choice().Upstream)
	if second == nil {
		return <-opened
	}
	go open(second)
	return r.settleRace(ctx, first, second, opened)
}

// hedgeable reports whether the running attempt may be doubled.
func (r *run) hedgeable() bool {
	return r.d.Limits.HedgeAfter > 0 && !r.request.NonIdempotent() && r.trial == nil && r.answer.Position() == 0
}

// hedge takes a free slot on another upstream, or returns nil.
func (r *run) hedge(ctx context.Context, busy *kingcuphook.Upstream) *leg {
	if !r.d.spendHedge(r.request, time.Now()) {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, hedgeSlotWait)
	defer cancel()
	excluded := append(slices.Concat(r.unable, r.failed), busy.Address())
	slot, err := r.d.Allocator.Acquire(waiting, r.request, excluded)
	if err != nil {
		return nil
	}
	r.d.count(func(n *Counts) { n.Hedged++ })
	return r.newLeg(ctx, slot)
}

// settleRace waits for the first of two legs that has a frame, and drops the
// other one. If both fail, it returns one that may have run, if there is one.
func (r *run) settleRace(ctx context.Context, first, second *leg, opened <-chan *leg) *leg {
	winner := <-opened
	loser := first
	if winner == first {
		loser = second
	}
	if winner.err == nil {
		loser.watch.stop()
		go func() { (<-opened).drop() }()
		r.slot = winner.slot
		return winner
	}
	<-opened
	if loser.err == nil || errors.Is(winner.err, kingcuphook.ErrUnavailable) {
		winner, loser = loser, winner
	}
	r.lost(ctx, loser)
	r.slot = winner.slot
	return winner
}

// lost notes a leg that failed while the other one goes on.
func (r *run) lost(ctx context.Context, l *leg) {
	u := l.slot.Choice().Upstream
	r.failed = append(r.failed, u.Address())
	l.drop()
	if isCrash(l.err) && !errors.Is(l.err, kingcuphook.ErrUnavailable) && !errors.Is(l.err, errSilent) {
		r.crashed(ctx, u)
	}
}
