package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// pausingEngine makes the upstream a silent for a time within the streams of the request "1".
type pausingEngine struct {
	*runner.Engine

	silence time.Duration
	// silentAt is when the silence began, leftAt when that stream was cancelled.
	silentAt, leftAt time.Time
}

func (e *pausingEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	s, err := e.Engine.Start(ctx, u, a)
	if err != nil || u.Address() != "a" || a.Request().ID() != "1" {
		return s, err
	}
	return &pausingStream{Stream: s, engine: e}, nil
}

type pausingStream struct {
	kingcuphook.Stream

	engine *pausingEngine
	frames int
}

func (s *pausingStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	s.frames++
	if s.frames == 5 {
		s.engine.silentAt = time.Now()
	}
	if s.frames == 5 && !pauser.Pause(ctx, s.engine.silence) {
		s.engine.leftAt = time.Now()
		return kingcuphook.Frame{}, ctx.Err()
	}
	return s.Stream.Next(ctx)
}

// patientStream runs a stream whose upstream is silent, and which may move after 0.4 s with evidence
// and after 2.1 s without. It returns the time from the begin of the silence until it was cancelled, 0 if
// it wasn't, and until it was begun elsewhere.
func patientStream(t *testing.T, silence time.Duration, set func(*harness)) (cancelled, moved time.Duration) {
	runTest(t, []bool{true, true}, func(r *harness) {
		e := &pausingEngine{Engine: r.engine, silence: silence}
		r.Engine = e
		var begun []time.Time
		r.acquire = func(context.Context) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			begun = append(begun, time.Now())
			return nil
		}
		set(r)
		c := movableStream()
		c.Opaque.Patience = 2100 * time.Millisecond
		_, err := r.Dispatch(context.Background(), c, r)
		r.NoErr(err)
		if !e.leftAt.IsZero() {
			cancelled, moved = e.leftAt.Sub(e.silentAt), begun[len(begun)-1].Sub(e.silentAt)
		}
	})
	return cancelled, moved
}

// A stream went on at a second upstream while the first one, which was sound, was silent and still
// ran it.
func TestSoundUpstreamKeepsItsStreamThroughSilence(t *testing.T) {
	if cancelled, _ := patientStream(t, 2*time.Second, func(*harness) {}); cancelled != 0 {
		t.Errorf("the stream was cancelled after %v", cancelled)
	}
}

// A stream must not wait longer than a sound upstream is silent, nor that long if its upstream is
// known to have ended.
func TestStreamMovesWithEvidence(t *testing.T) {
	for e, want := range map[kingcuphook.SilenceEvidence]time.Duration{
		kingcuphook.SilenceEvidenceNone: 2100 * time.Millisecond,
		kingcuphook.SilenceEvidenceGone: 700 * time.Millisecond,
		kingcuphook.SilenceEvidenceCut:  700 * time.Millisecond,
	} {
		cancelled, _ := patientStream(t, time.Hour, func(r *harness) {
			r.InquireSilent = func(_ *kingcuphook.Upstream, since time.Time) kingcuphook.SilenceEvidence {
				if time.Since(since) < 700*time.Millisecond {
					return kingcuphook.SilenceEvidenceNone
				}
				return e
			}
		})
		if cancelled != want {
			t.Errorf("evidence %q: cancelled after %v, want %v", e, cancelled, want)
		}
	}
}

// An upstream fell silent just after a stream was cancelled since its other streams went on: the
// stream began elsewhere while the upstream hadn't dropped it.
func TestStreamMovesOnceUpstreamHasDroppedIt(t *testing.T) {
	for name, test := range map[string]struct {
		lasts, want time.Duration
	}{
		"goes on":      {lasts: time.Hour, want: 460 * time.Millisecond},
		"falls silent": {lasts: 450 * time.Millisecond, want: 2100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			cancelled, moved := patientStream(t, time.Hour, func(r *harness) { r.runOther(test.lasts) })
			if cancelled != 400*time.Millisecond || moved < test.want || moved > test.want+60*time.Millisecond {
				t.Errorf("cancelled after %v and moved after %v, want 400ms and %v", cancelled, moved, test.want)
			}
		})
	}
}

// A stream moved while its upstream, whose silence ended, had already gone on with another one.
func TestStreamStaysWhenSilenceEnds(t *testing.T) {
	const silence = 1015 * time.Millisecond // 25 ms longer than that of the other stream
	cancelled, _ := patientStream(t, silence, func(r *harness) {
		r.Engine = otherEngine{Engine: r.Engine, from: time.Now().Add(silence - 25*time.Millisecond), until: time.Now().Add(time.Hour)}
		r.startOther()
	})
	if cancelled != 0 {
		t.Errorf("the stream was cancelled after %v", cancelled)
	}
}

// otherStream is a stream of which a frame comes each 10 ms until its upstream falls silent.
type otherStream struct {
	kingcuphook.Stream

	attempt  string
	position int
	// from is when the first frame comes; zero means at once.
	from, until time.Time
}

func (s *otherStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	pause := 10 * time.Millisecond
	if time.Now().After(s.until) {
		pause = time.Hour
	}
	pause = max(pause, time.Until(s.from))
	if !pauser.Pause(ctx, pause) {
		return kingcuphook.Frame{}, ctx.Err()
	}
	s.position++
	return kingcuphook.NewFrame(s.attempt, s.position-1, kingcuphook.FrameKindData, "x"), nil
}

func (s *otherStream) Close() error { return nil }

// otherEngine runs the request "other" with an otherStream.
type otherEngine struct {
	kingcuphook.Engine

	from, until time.Time
}

func (e otherEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	if a.Request().ID() != "other" {
		return e.Engine.Start(ctx, u, a)
	}
	return &otherStream{attempt: a.ID(), from: e.from, until: e.until}, nil
}

// runOther runs another stream at upstream a, of which data come for a time, for some seconds.
func (r *harness) runOther(lasts time.Duration) {
	r.Engine = otherEngine{Engine: r.Engine, until: time.Now().Add(lasts)}
	r.startOther()
}

// startOther runs the request "other" for some seconds.
func (r *harness) startOther() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	c := movableStream()
	c.Request = kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "other", Fingerprint: 2, Stream: true})
	c.Opaque.FirstByte, c.Opaque.Silence = time.Hour, time.Hour
	go func() {
		defer cancel()
		_, _ = r.Dispatch(ctx, c, r)
	}()
}
