package runner

import (
	"context"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// stream is the stream of frames that answers an attempt.
type stream struct {
	engine *Engine
	run    *Run
	// down is closed if the upstream crashes.
	down <-chan struct{}
	body []byte
	// next is the position of the next data frame.
	next  int
	fault Fault
	// queue holds the frames produced but not yet returned by Next.
	queue []kingcuphook.Frame
	// ended indicates that no further frames will be produced.
	ended bool
}

// Next implements kingcuphook.Stream.
func (s *stream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	for len(s.queue) == 0 {
		if s.ended {
			return kingcuphook.Frame{}, fmt.Errorf("runner: stream has ended: %w", kingcuphook.ErrBrokenStream)
		}
		wait := s.engine.frameTime()
		if s.fault.Kind == FaultSlow {
			wait *= slowFactor
		}
		if err := s.engine.work(ctx, wait, s.down); err != nil {
			return kingcuphook.Frame{}, fmt.Errorf("runner: %w", err)
		}
		if err := s.fill(ctx); err != nil {
			return kingcuphook.Frame{}, err
		}
	}
	f := s.queue[0]
	s.queue = s.queue[1:]
	return f, nil
}

// Close implements kingcuphook.Stream.
func (s *stream) Close() error {
	s.engine.update(func() { s.run.Cancelled = !s.run.Finished })
	return nil
}

// fill adds the next frame to the queue, or the end of the answer, and injects the
// fault at its position.
func (s *stream) fill(ctx context.Context) error {
	if s.next == s.fault.At {
		done, err := s.inject(ctx)
		if done || err != nil {
			return err
		}
	}
	if s.next == s.engine.frames() {
		s.end(s.next)
		s.engine.update(func() { s.run.Finished = true })
		return nil
	}
	s.data(s.next)
	s.next++
	s.engine.update(func() { s.run.Tokens++ })
	return nil
}

// inject injects the fault. It returns true if the fault replaces the next frame, and
// false if the frame follows.
func (s *stream) inject(ctx context.Context) (bool, error) {
	switch s.fault.Kind {
	case FaultCrash:
		s.engine.Crash(s.run.Upstream)
		return true, fmt.Errorf("runner: upstream crashed: %w", kingcuphook.ErrBrokenStream)
	case FaultSilence:
		<-ctx.Done()
		return true, fmt.Errorf("runner: %w", ctx.Err())
	case FaultPause:
		return false, s.engine.work(ctx, pauseTime, s.down)
	case FaultPathLost:
		return true, fmt.Errorf("runner: connection was cut: %w: %w", kingcuphook.ErrBrokenStream, kingcuphook.ErrPathLost)
	case FaultGarbage:
		s.push(s.run.Attempt, s.next, garbageKind, "")
		return true, nil
	case FaultEarlyEnd:
		s.ended = true
		return true, fmt.Errorf("runner: stream ended early: %w", kingcuphook.ErrBrokenStream)
	case FaultFalseEnd:
		s.end(s.next + 1)
		return true, nil
	case FaultForeign:
		s.push(foreignAttempt, s.next, kingcuphook.FrameKindData, "foreign ")
	case FaultRepeat:
		s.data(max(s.next-1, 0))
	case FaultReorder:
		s.data(s.next + 1)
	}
	return false, nil
}

// data adds the data frame of a position to the queue.
func (s *stream) data(position int) {
	s.push(s.run.Attempt, position, kingcuphook.FrameKindData, FrameText(s.body, position))
}

// end adds the finish frame and the end marker to the queue.
func (s *stream) end(position int) {
	s.ended = true
	s.push(s.run.Attempt, position, kingcuphook.FrameKindFinish, finishReason)
	if s.fault.Kind == FaultDuplicateEnd {
		s.push(s.run.Attempt, position, kingcuphook.FrameKindFinish, finishReason)
	}
	s.push(s.run.Attempt, position, kingcuphook.FrameKindEnd, "")
	if s.fault.Kind == FaultDuplicateEnd {
		s.push(s.run.Attempt, position, kingcuphook.FrameKindEnd, "")
	}
}

func (s *stream) push(attempt string, position int, kind kingcuphook.FrameKind, text string) {
	s.queue = append(s.queue, kingcuphook.NewFrame(attempt, position, kind, text))
}
