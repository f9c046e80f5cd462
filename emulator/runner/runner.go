// Package runner emulates model engines and plain services within the process of a
// test. Its answers depend on the request body only. It records all runs and injects
// faults. It is used by tests and measurements, never by a router.
package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// FaultKind is a way in which a run fails.
type FaultKind string

// Values of FaultKind.
const (
	// FaultRefuse rejects the attempt without a run.
	FaultRefuse FaultKind = "refuse"
	// FaultCrash aborts all runs of the upstream.
	FaultCrash FaultKind = "crash"
	// FaultSlow makes each frame, or the answer to a plain call, take ten times as
	// long.
	FaultSlow FaultKind = "straggle"
	// FaultSilence sends nothing more and keeps the stream open.
	FaultSilence FaultKind = "silence"
	// FaultPause sends nothing for 2.5 s and goes on.
	FaultPause FaultKind = "pause"
	// FaultPathLost ends the connection of the attempt, whose upstream lives.
	FaultPathLost FaultKind = "path-lost"
	// FaultGarbage sends a frame of an unknown kind.
	FaultGarbage FaultKind = "garbage"
	// FaultEarlyEnd ends the stream without an end marker.
	FaultEarlyEnd FaultKind = "early-end"
	// FaultFalseEnd ends the answer with a position past the frames sent.
	FaultFalseEnd FaultKind = "false-end"
	// FaultDuplicateEnd sends the finish frame and the end marker twice.
	FaultDuplicateEnd FaultKind = "duplicate-end"
	// FaultForeign inserts a frame of another attempt.
	FaultForeign FaultKind = "foreign-frame"
	// FaultRepeat sends the previous frame again.
	FaultRepeat FaultKind = "late-frame"
	// FaultReorder sends the next frame before this one.
	FaultReorder FaultKind = "reordered-frame"
	// FaultLoseReply completes the call and loses the answer.
	FaultLoseReply FaultKind = "lose-reply"
)

// Fault is the fault of one run. The zero value is no fault.
type Fault struct {
	// Kind is the kind of the fault.
	Kind FaultKind
	// At is the position of the frame at which the fault happens; plain calls ignore it.
	At int
}

// Run is the record of an attempt that an upstream started to run.
type Run struct {
	// Attempt and Request are IDs; Key is the idempotency key of the request.
	Attempt, Request, Key string
	// Upstream is the address of the upstream.
	Upstream string
	// Version is the software version of the upstream.
	Version string
	// From is the position of the first frame; not 0 if the run continues an answer.
	From int
	// Fingerprint is the fingerprint of the request.
	Fingerprint uint64
	// Started is the start time of the run.
	Started time.Time
	// Tokens is the number of data frames produced.
	Tokens int
	// Finished reports whether the run completed.
	Finished bool
	// Cancelled reports whether the router closed the stream or cancelled the call
	// before the run completed.
	Cancelled bool
}

const (
	defaultFrames    = 20
	defaultFrameTime = 10 * time.Millisecond
	slowFactor       = 10
	pauseTime        = 2500 * time.Millisecond
	foreignAttempt   = "foreign"
	garbageKind      = "garbage"
	finishReason     = "stop"
	statusOK         = 200
	serviceAnswer    = "text/plain"
)

// Engine emulates all upstreams of a test. Its fields must be set before use; after that
// it is safe for concurrent use.
type Engine struct {
	// Hook, if set, returns the fault of each attempt.
	Hook func(u *kingcuphook.Upstream, a *kingcuphook.Attempt) Fault
	// FrameTime is the time that a frame or a plain call takes; 0 means 10 ms.
	FrameTime time.Duration
	// Frames is the number of data frames of an answer; 0 means 20.
	Frames int

	mu   sync.Mutex
	runs []*Run
	// down holds a channel for each upstream address, which is closed when the upstream
	// crashes and then removed.
	down map[string]chan struct{}
	// crashes counts the crashes by upstream address.
	crashes map[string]int
}

var _ kingcuphook.Engine = (*Engine)(nil)

// Runs returns a copy of the records in the order in which the runs started.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Crashes returns the number of crashes of all upstreams.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.crashes {
		n += c
	}
	return n
}

// Crash aborts all runs of an upstream, which is available again at once.
func (e *Engine) Crash(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if down, ok := e.down[address]; ok {
		close(down)
		delete(e.down, address)
	}
	if e.crashes == nil {
		e.crashes = make(map[string]int)
	}
	e.crashes[address]++
}

// FrameText returns the text of the frame at a position of the answer to a request body.
func FrameText(body []byte, position int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(fmt.Appendf(slices.Clone(body), "#%d", position))))
}

// AnswerText returns the complete answer of n frames to a request body.
func AnswerText(body []byte, n int) string {
	text := ""
	for i := range n {
		text += FrameText(body, i)
	}
	return text
}

// Start implements kingcuphook.Engine.
func (e *Engine) Start(_ context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	fault := e.fault(u, a)
	if fault.Kind == FaultRefuse {
		return nil, fmt.Errorf("runner: upstream %s rejected the attempt: %w", u.Address(), kingcuphook.ErrUnavailable)
	}
	run, down := e.begin(u, a)
	s := &stream{engine: e, run: run, down: down, body: a.Body(), next: a.ResumeFrom(), fault: fault}
	if !u.Resumes() {
		s.next = 0
	}
	return s, nil
}

// Call implements kingcuphook.Engine.
func (e *Engine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	fault := e.fault(u, a)
	if fault.Kind == FaultRefuse {
		return kingcuphook.Answer{}, fmt.Errorf("runner: upstream %s rejected the attempt: %w", u.Address(), kingcuphook.ErrUnavailable)
	}
	run, down := e.begin(u, a)
	wait := e.frameTime()
	if fault.Kind == FaultSlow {
		wait *= slowFactor
	}
	if fault.Kind == FaultPause {
		wait += pauseTime
	}
	if err := e.work(ctx, wait, down); err != nil {
		e.update(func() { run.Cancelled = ctx.Err() != nil })
		return kingcuphook.Answer{}, fmt.Errorf("runner: %w: %w", kingcuphook.ErrOutcomeUnknown, err)
	}
	return e.reply(ctx, run, fault, a.Body())
}

// reply returns the result of a plain call after its run time, with its fault.
func (e *Engine) reply(ctx context.Context, run *Run, fault Fault, body []byte) (kingcuphook.Answer, error) {
	switch fault.Kind {
	case FaultCrash:
		e.Crash(run.Upstream)
		return kingcuphook.Answer{}, fmt.Errorf("runner: upstream crashed: %w", kingcuphook.ErrOutcomeUnknown)
	case FaultSilence:
		e.update(func() { run.Finished = true })
		<-ctx.Done()
		return kingcuphook.Answer{}, fmt.Errorf("runner: upstream is unresponsive: %w", kingcuphook.ErrOutcomeUnknown)
	case FaultPathLost:
		return kingcuphook.Answer{}, fmt.Errorf("runner: connection was cut: %w: %w", kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrPathLost)
	case FaultLoseReply, FaultGarbage, FaultEarlyEnd, FaultFalseEnd:
		e.update(func() { run.Finished = true })
		return kingcuphook.Answer{}, fmt.Errorf("runner: lost the answer: %w", kingcuphook.ErrOutcomeUnknown)
	default:
		e.update(func() { run.Finished = true })
		return kingcuphook.NewAnswer(statusOK, serviceAnswer, []byte(AnswerText(body, 1))), nil
	}
}

// fault returns the fault of an attempt.
func (e *Engine) fault(u *kingcuphook.Upstream, a *kingcuphook.Attempt) Fault {
	if e.Hook == nil {
		return Fault{}
	}
	return e.Hook(u, a)
}

// begin records the start of a run. The channel is closed if the upstream crashes.
func (e *Engine) begin(u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*Run, <-chan struct{}) {
	r := a.Request()
	run := &Run{
		Attempt:     a.ID(),
		Request:     r.ID(),
		Key:         r.IdempotencyKey(),
		Upstream:    u.Address(),
		Version:     u.SoftwareVersion(),
		From:        a.ResumeFrom(),
		Fingerprint: r.Fingerprint(),
		Started:     time.Now(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	if e.down == nil {
		e.down = make(map[string]chan struct{})
	}
	down, ok := e.down[u.Address()]
	if !ok {
		down = make(chan struct{})
		e.down[u.Address()] = down
	}
	return run, down
}

// update calls f with mu held, to change a record.
func (e *Engine) update(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *Engine) frameTime() time.Duration {
	if e.FrameTime == 0 {
		return defaultFrameTime
	}
	return e.FrameTime
}

func (e *Engine) frames() int {
	if e.Frames == 0 {
		return defaultFrames
	}
	return e.Frames
}

// work waits for d. It returns an error if the upstream crashes or ctx is cancelled
// first.
func (e *Engine) work(ctx context.Context, d time.Duration, down <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-down:
		return kingcuphook.ErrBrokenStream
	case <-ctx.Done():
		return ctx.Err()
	}
}
