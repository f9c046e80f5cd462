package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// finish stops the stream, unless it has ended, once its KV memory is copied. Slot and copy are held until
// the run takes them or ends.
func (m *movableStream) finish(slot kingcuphook.Slot, copied kingcuphook.StreamCopy, ttl time.Duration) {
	target := slot.Choice().Upstream
	if !m.requestStop(slot, copied) {
		m.free(copied)
		m.giveBack(slot)
		m.report(target, false, nil)
		m.allowRetry(nil)
		return
	}
	stopping, cancel := context.WithTimeout(m.ctx, stopTimeout)
	latest, err := m.d.Mover.CopyStream(stopping, m.source, target, m.request, true)
	cancel()
	m.recordStop(latest, err, ttl)
	close(m.stopped)
	if m.isStopping() {
		m.hold(max(ttl, closeWait), slot.Preempted())
	}
	if slot, copied := m.takeUnused(); slot != nil {
		m.free(copied)
		m.giveBack(slot)
		if m.hasEnded() {
			err = nil
		}
		m.report(target, false, err)
	}
}

// hold returns when the run needs nothing more of the copy, or the copy expires, or a higher tier needs the slot
// and the stream isn't known to have stopped. It cancels the attempt at
// the source if that has stopped and its answer stays open.
func (m *movableStream) hold(ttl time.Duration, preempted <-chan struct{}) {
	closing := time.AfterFunc(closeWait, func() {
		if m.hasStopped() {
			m.cancel(errStopped)
		}
	})
	defer closing.Stop()
	held := time.NewTimer(ttl)
	defer held.Stop()
	if m.hasStopped() {
		preempted = nil
	}
	select {
	case <-m.ended:
	case <-held.C:
	case <-preempted:
	}
}

// requestStop records that the stream is about to be stopped. It reports false if it must not be.
func (m *movableStream) requestStop(slot kingcuphook.Slot, copied kingcuphook.StreamCopy) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isEnded || m.lacksIDs || m.ctx.Err() != nil || isClosed(slot.Preempted()) {
		return false
	}
	m.isStopRequested, m.hasTarget = true, true
	m.slot, m.copied = slot, copied
	return true
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// recordStop records the reply to the call that stops the stream. Without a clear one, the stream itself
// shows whether it has stopped.
func (m *movableStream) recordStop(latest kingcuphook.StreamCopy, err error, ttl time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldUntil = time.Now().Add(ttl)
	switch {
	case err == nil:
		m.isStopped, m.copied = true, latest
	case errors.Is(err, kingcuphook.ErrNotCopied) && latest.Handle != "":
		m.isStopped, m.copied, m.hasTarget = true, latest, false
	case errors.Is(err, kingcuphook.ErrNotSent), errors.Is(err, kingcuphook.ErrNoSuchRun), errors.Is(err, kingcuphook.ErrMoveInProgress):
		m.isStopRequested = false
	}
}

func (m *movableStream) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isEnded
}

func (m *movableStream) hasStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isStopped
}

// isStopping reports whether the stream was told to stop, so that its end may be no end of the answer.
func (m *movableStream) isStopping() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isStopRequested
}

// take returns the slot at the target and the copy to its only user; nil if they were taken.
func (m *movableStream) take() (kingcuphook.Slot, kingcuphook.StreamCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.slot
	m.slot = nil
	return slot, m.copied
}

// takeUnused is like take, but for the move itself: a stream whose slot it takes is not continued any more.
func (m *movableStream) takeUnused() (kingcuphook.Slot, kingcuphook.StreamCopy) {
	slot, copied := m.take()
	if slot != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.isStopRequested = m.isStopped
	}
	return slot, copied
}

// free frees a copy.
func (m *movableStream) free(c kingcuphook.StreamCopy) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(m.ctx), freeTimeout)
	defer cancel()
	// A copy that isn't freed expires.
	_ = m.d.Mover.FreeCopy(ctx, m.source, c)
}

// end records that the run needs nothing more of the move.
func (m *movableStream) end() {
	if m == nil {
		return
	}
	m.d.removeMovable(m)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isEnded {
		m.isEnded = true
		close(m.ended)
	}
}

func (m *movableStream) report(target *kingcuphook.Upstream, moved bool, err error) {
	m.d.count(func(n *Counts) {
		switch {
		case moved:
			n.Moved++
		case err != nil:
			n.MovesFailed++
		}
	})
	if m.d.OnMove != nil {
		m.d.OnMove(MoveOutcome{Request: m.request, Source: m.source, Target: target, Moved: moved, Err: err})
	}
}
