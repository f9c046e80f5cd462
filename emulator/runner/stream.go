package runner

import (
	"context"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// stream is the answer to one attempt.
type stream struct {
	engine *Engine
	run    *Run
	down   <-chan struct{}
	body   []byte
	// next is the position of the next data frame.
	next  int
	fault Fault
	// queue holds the frames that are made but not yet taken.
	queue []kingcuphook.Frame
	// ended says that the last frame is in queue.
	ended bool
}

// Next implements kingcuphook.Stream.
func (s *stream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	for len(s.queue) == 0 {
		if s.ended {
			return kingcuphook.Frame{}, fmt.Errorf("runner: stream over: %w", kingcuphook.ErrBrokenStream)
		}
		wait := s.engine.gap()
		if s.fault.Kind == FaultStraggle {
			wait *= straggleFactor
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

// fill makes the frames of the next step, with the fault if it is due.
func (s *stream) fill(ctx context.Context) error {
	if s.next == s.fault.At {
		done, err := s.fail(ctx)
		if done || err != nil {
			return err
		}
	}
	if s.next == s.engine.words() {
		s.end(s.next)
		s.engine.update(func() { s.run.Finished = true })
		return nil
	}
	s.data(s.next)
	s.next++
	s.engine.update(func() { s.run.Tokens++ })
	return nil
}

// fail makes the fault happen. It reports whether it takes the place of the
// next frame.
func (s *stream) fail(ctx context.Context) (bool, error) {
	switch s.fault.Kind {
	case FaultCrash:
		s.engine.Crash(s.run.Upstream)
		return true, fmt.Errorf("runner: crashed: %w", kingcuphook.ErrBrokenStream)
	case FaultSilence:
		<-ctx.Done()
		return true, fmt.Errorf("runner: %w", ctx.Err())
	case FaultGarbage:
		s.push(s.run.Attempt, s.next, garbageKind, "")
		return true, nil
	case FaultEarlyEnd:
		s.ended = true
		return true, fmt.Errorf("runner: ended early: %w", kingcuphook.ErrBrokenStream)
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

func (s *stream) data(position int) {
	s.push(s.run.Attempt, position, kingcuphook.FrameKindData, Word(s.body, position))
}

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
