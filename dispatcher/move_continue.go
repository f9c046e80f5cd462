package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// close closes the stream of an attempt and ends what moves it.
func (a *openAttempt) close() {
	a.movable.end()
	if a.stream != nil {
		_ = a.stream.Close()
	}
}

// stopReply is what the reply to the call that stops a stream tells.
type stopReply string

// Values of stopReply.
const (
	// stopNone means that the stream was not told to stop, or certainly goes on.
	stopNone stopReply = "none"
	// stopDone means that the stream has stopped.
	stopDone stopReply = "done"
	// stopUnclear means that it may have.
	stopUnclear stopReply = "unclear"
)

// awaitReply waits for the reply to the call that stops the stream, if that was sent.
func (m *movableStream) awaitReply(ctx context.Context) stopReply {
	if !m.isStopping() {
		return stopNone
	}
	select {
	case <-m.stopped:
	case <-ctx.Done():
		return stopNone
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.isStopped:
		return stopDone
	case m.isStopRequested:
		return stopUnclear
	default:
		return stopNone
	}
}

// checkEnd returns an error if a frame that ends the answer is that of a stream which was stopped to be moved.
// An end that isn't marked doesn't count as complete either unless the stream certainly wasn't stopped.
func (m *movableStream) checkEnd(ctx context.Context, f kingcuphook.Frame) error {
	if f.Kind() == kingcuphook.FrameKindData {
		return nil
	}
	switch reply := m.awaitReply(ctx); {
	case reply == stopDone:
		return fmt.Errorf("dispatcher: %w: %w", errStopped, kingcuphook.ErrBrokenStream)
	case reply == stopUnclear && f.Text() == kingcuphook.FinishClosed:
		return fmt.Errorf("dispatcher: %w: %w", errNotContinued, kingcuphook.ErrBrokenStream)
	default:
		return nil
	}
}

// awaitStop reports whether the stream, which ended with err, has stopped to be continued elsewhere.
func (m *movableStream) awaitStop(ctx context.Context, err error, isCancelled bool) bool {
	var frameErr *frameError
	if m == nil || isFinal(err) || errors.As(err, &frameErr) || errors.Is(err, kingcuphook.ErrTooLarge) || errors.Is(err, kingcuphook.ErrOutOfMemory) {
		return false
	}
	reply := m.awaitReply(ctx)
	m.mu.Lock()
	lacksIDs := m.lacksIDs
	m.mu.Unlock()
	switch {
	case lacksIDs:
		return false // no attempt can go on after the latest event
	case reply == stopDone:
		return true
	case reply == stopUnclear && !isCancelled:
		// The source closed the connection, which a crash or a cut path doesn't.
		return errors.Is(err, kingcuphook.ErrBrokenStream) && errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, kingcuphook.ErrPathLost)
	default:
		return false
	}
}

// continueMoved returns the attempt that continues a stream which stopped to be moved: at the target of the
// copy or, if that refuses it, at the source. It returns nil if the stream was not moved, and an attempt with
// an error if none can continue it. The sample is then that of the new attempt's slot.
func (r *run) continueMoved(ctx context.Context, a *openAttempt, sample *kingcuphook.Sample, err error) *openAttempt {
	m := a.movable
	if !m.awaitStop(ctx, err, a.ctx.Err() != nil) || ctx.Err() != nil {
		return nil
	}
	slot, copied := m.take()
	if slot == nil {
		return nil
	}
	r.moves++
	a.watch.stop()
	a.close()
	defer func() { r.continues = kingcuphook.StreamCopy{} }()
	r.continues = copied
	// hasTarget and heldUntil don't change once awaitStop has seen the reply.
	if !m.hasTarget {
		slot.Release(kingcuphook.Sample{Cancelled: true})
		return r.continueAtSource(ctx, a, slot, true, err)
	}
	next := r.openContinued(ctx, slot)
	if errors.Is(next.err, kingcuphook.ErrUnavailable) {
		next.discard()
		return r.continueAtSource(ctx, a, slot, errors.Is(next.err, kingcuphook.ErrNotSent), next.err)
	}
	sample.Cancelled = true
	a.slot.Release(*sample)
	*sample = kingcuphook.Sample{}
	r.slot = slot
	m.report(slot.Choice().Upstream, next.err == nil, next.err)
	return next
}

// continueAtSource returns the attempt that continues a stream at the source, since the target, of which slot
// was, doesn't for err. holdsAttempt means that the attempt that was spent for the move was not used.
func (r *run) continueAtSource(ctx context.Context, a *openAttempt, slot kingcuphook.Slot, holdsAttempt bool, err error) *openAttempt {
	target := slot.Choice().Upstream
	a.movable.report(target, false, err)
	r.failed = append(r.failed, target.Address())
	if !holdsAttempt && !a.movable.awaitBudget(ctx) {
		r.d.count(func(n *Counts) { n.RetriesRejected++ })
		a.err = fmt.Errorf("dispatcher: %w: %w: %w", errNotContinued, errBudgetSpent, kingcuphook.ErrBrokenStream)
		return a
	}
	next := r.openContinued(ctx, a.slot)
	if errors.Is(next.err, kingcuphook.ErrUnavailable) {
		next.err = fmt.Errorf("dispatcher: %w: %w: %s", errNotContinued, kingcuphook.ErrBrokenStream, next.err.Error())
	}
	return next
}

// awaitBudget spends an attempt from the retry budget. It waits for one while the source holds the KV memory of
// the stream, which is useless to its caller without the rest.
func (m *movableStream) awaitBudget(ctx context.Context) bool {
	for {
		if _, ok := m.d.spend(m.request, time.Now(), 1); ok {
			return true
		}
		if !time.Now().Before(m.heldUntil) || !pauser.Pause(ctx, budgetInterval) {
			return false
		}
	}
}

// openContinued starts an attempt that continues the stream from a copy and waits for its first frame.
func (r *run) openContinued(ctx context.Context, slot kingcuphook.Slot) *openAttempt {
	r.d.count(func(n *Counts) { n.Attempts++; n.Resumed++ })
	a := r.newOpenAttempt(ctx, slot)
	r.open(a)
	return a
}
