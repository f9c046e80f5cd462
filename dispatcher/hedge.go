package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
)

// hedgeSlotWait is how long a hedge waits for a slot. It is short so that hedges use spare
// capacity only.
const hedgeSlotWait = 20 * time.Millisecond

// openAttempt is an attempt until its first frame, or until the answer of a plain service. A hedged call has
// two.
type openAttempt struct {
	slot    kingcuphook.Slot
	attempt *kingcuphook.Attempt
	ctx     context.Context
	watch   *watchdog
	began   time.Time
	// isolated is the attempt as the isolator follows it.
	isolated *isolator.Attempt
	// stream includes the first frame; nil if err is set, or for a plain service.
	stream kingcuphook.Stream
	// answer is that of a plain service. It is set as well if err tells of its status.
	answer kingcuphook.Answer
	// sample is the result at a plain service.
	sample kingcuphook.Sample
	// head is the head of the answer, for streams that have one.
	head kingcuphook.Answer
	err  error
	// movable is the stream as it can be moved; nil if it can't, or before its first event.
	movable *movableStream
}

// newOpenAttempt prepares an attempt on a slot and starts its watchdog.
func (r *run) newOpenAttempt(ctx context.Context, slot kingcuphook.Slot) *openAttempt {
	a := &openAttempt{slot: slot, attempt: r.newAttempt(slot.Choice()), began: time.Now()}
	a.isolated = r.d.Isolator.Begin(slot.Choice().Upstream, r.request)
	a.ctx, a.watch = r.watch(ctx, slot)
	return a
}

// open opens an attempt: at a plain service it is complete then.
func (r *run) open(a *openAttempt) {
	if r.call.Kind == kingcuphook.UpstreamKindService {
		r.callService(a)
		return
	}
	a.start(r.d.Engine)
}

// callService waits for the answer of a plain service. An opaque answer that reports a failure of the upstream
// is an error, so that another attempt may still succeed.
func (r *run) callService(a *openAttempt) {
	u := a.slot.Choice().Upstream
	answer, err := r.d.Engine.Call(a.ctx, u, a.attempt)
	if err != nil {
		a.sample = failedSample(a.ctx, err, kingcuphook.Sample{Begun: !errors.Is(err, kingcuphook.ErrUnavailable)})
		a.err = attemptError(a.ctx, err)
		return
	}
	now := time.Now()
	a.watch.suspend()
	a.isolated.Complete(now, true)
	r.d.activity.Record(now, u.Program())
	a.answer = answer
	a.sample = kingcuphook.Sample{FirstToken: now.Sub(a.began), Tokens: 1, Begun: true}
	if r.call.Opaque != nil && answer.Status() >= http.StatusInternalServerError {
		a.sample.Failed, a.sample.Answered = true, true
		a.err = &kingcuphook.AnswerError{Answer: answer}
	}
}

// start starts the attempt on a model engine and waits for its first frame.
func (a *openAttempt) start(e kingcuphook.Engine) {
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
	sample := a.sample
	switch {
	case a.err == nil:
		sample = kingcuphook.Sample{Cancelled: true}
	case !sample.Failed && !sample.Cancelled:
		sample = failedSample(a.ctx, a.err, kingcuphook.Sample{})
	}
	if a.stream != nil {
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

// race opens the first attempt and, if its first frame or its answer is late and the limit of hedges
// allows it, a second one on another upstream. It returns the attempt to
// continue with; r.slot is then its slot.
func (r *run) race(ctx context.Context, first *openAttempt) *openAttempt {
	delay, ok := r.hedgeDelay(first)
	if !ok {
		r.open(first)
		r.observeFirst(first)
		return first
	}
	opened := make(chan *openAttempt, 2)
	open := func(a *openAttempt) {
		r.open(a)
		opened <- a
	}
	go open(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-opened:
		r.observeFirst(a)
		return a
	case <-timer.C:
	}
	second := r.hedge(ctx, first.slot.Choice().Upstream)
	if second == nil {
		a := <-opened
		r.observeFirst(a)
		return a
	}
	go open(second)
	winner := r.awaitWinner(ctx, first, second, opened)
	if winner.err == nil {
		// The first attempt took at least as long as the winner did.
		r.observe(first, time.Since(first.began))
	}
	return winner
}

// observeFirst records how long the first frame of an attempt took.
func (r *run) observeFirst(a *openAttempt) {
	if a.err == nil {
		r.observe(a, time.Since(a.began))
	}
}

func (r *run) observe(a *openAttempt, took time.Duration) {
	if r.d.Hedges != nil && r.answer.Position() == 0 {
		r.d.Hedges.Observe(r.request, a.slot.Choice().UncachedTokens, took)
	}
}

// hedgeDelay returns how long the running attempt may take before it is hedged, and false if it
// is not: only calls that are idempotent, are not suspected of crashes, have another attempt left and of
// whose answer nothing was delivered are hedged.
func (r *run) hedgeDelay(a *openAttempt) (time.Duration, bool) {
	if r.d.Hedges == nil || r.request.NonIdempotent() || r.trial != nil || r.partTrial != nil || r.answer.Position() > 0 || r.attempts >= r.maxAttempts() {
		return 0, false
	}
	return r.d.Hedges.Delay(r.request, a.slot.Choice().UncachedTokens)
}

// hedge prepares an attempt on another upstream, in another data centre if one there has a free slot. It
// returns nil if none has one, or if the limit of hedges or of retries is reached.
func (r *run) hedge(ctx context.Context, busy *kingcuphook.Upstream) *openAttempt {
	excluded := append(r.excluded(), busy.Address())
	if r.d.Neighbours != nil {
		if farther := slices.Concat(excluded, r.d.Neighbours(busy)); r.hasSpareSlot(farther) {
			excluded = farther
		}
	}
	if !r.hasSpareSlot(excluded) {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, hedgeSlotWait)
	defer cancel()
	slot, err := r.d.Allocator.Acquire(waiting, r.request, excluded)
	if err != nil {
		return nil
	}
	if !r.spendHedge(slot.Choice().UncachedTokens) {
		slot.Release(kingcuphook.Sample{Cancelled: true})
		return nil
	}
	r.attempts++
	r.d.count(func(n *Counts) { n.Hedged++ })
	return r.newOpenAttempt(ctx, slot)
}

// hasSpareSlot reports whether an upstream that is not excluded can take a hedge of the call at once.
func (r *run) hasSpareSlot(excluded []string) bool {
	return r.d.HasSpareSlot == nil || r.d.HasSpareSlot(r.request, excluded)
}

// spendHedge spends a hedge from its limit and from the retry budget, since an upstream gets the call
// once more.
func (r *run) spendHedge(uncachedTokens int) bool {
	if _, ok := r.d.spend(r.request, time.Now(), r.attempts); !ok {
		return false
	}
	if r.d.Hedges.Spend(uncachedTokens) {
		return true
	}
	r.d.refund(r.request, time.Now())
	return false
}

// awaitWinner waits for the first result of two attempts. If it is a frame or an
// answer, the other attempt is discarded; if it is an error, the other attempt is
// awaited as well. If both fail, it returns one with an answer for the caller, or else
// one that may have run, if there is one.
func (r *run) awaitWinner(ctx context.Context, first, second *openAttempt, opened <-chan *openAttempt) *openAttempt {
	winner := <-opened
	loser := first
	if winner == first {
		loser = second
	}
	if winner.err == nil {
		r.countHedge(winner == second, loser)
		loser.watch.stop()
		go func() { (<-opened).discard() }()
		r.slot = winner.slot
		return winner
	}
	<-opened
	if loser.err == nil || !hasAnswer(winner.err) && (hasAnswer(loser.err) || errors.Is(winner.err, kingcuphook.ErrUnavailable)) {
		winner, loser = loser, winner
	}
	r.recordLoser(ctx, loser)
	r.slot = winner.slot
	return winner
}

// hasAnswer reports whether an error has an answer of the upstream.
func hasAnswer(err error) bool {
	var answered *kingcuphook.AnswerError
	return errors.As(err, &answered)
}

// countHedge counts the result of a hedge.
func (r *run) countHedge(won bool, loser *openAttempt) {
	r.d.count(func(n *Counts) {
		if won {
			n.HedgesWon++
		}
		n.HedgeTokens += loser.slot.Choice().UncachedTokens
	})
}

// recordLoser records an attempt that failed while the call continues with the
// other one.
func (r *run) recordLoser(ctx context.Context, a *openAttempt) {
	u := a.slot.Choice().Upstream
	r.failed = append(r.failed, u.Address())
	a.discard()
	if ctx.Err() != nil || errors.Is(a.err, errPreempted) {
		// The router has cancelled the attempt, so that its end shows no crash.
		return
	}
	suspect := r.recordBroken(a.isolated, u, a.err)
	if isCrash(a.err) && !errors.Is(a.err, kingcuphook.ErrUnavailable) && !errors.Is(a.err, errUnresponsive) {
		r.recordCrash(ctx, u, suspect)
	}
}
