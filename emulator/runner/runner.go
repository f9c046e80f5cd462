// Package runner is a stand-in for model engines and plain services, in the
// process of a test. It answers from the body alone, records every run and
// fails on demand. It is used by tests and measurements, never by a router.
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

// FaultKind says how a run goes wrong.
type FaultKind string

// Values of FaultKind.
const (
	// FaultRefuse says that the upstream does not begin.
	FaultRefuse FaultKind = "refuse"
	// FaultCrash ends every run of the upstream.
	FaultCrash FaultKind = "crash"
	// FaultStraggle makes every frame take ten times as long.
	FaultStraggle FaultKind = "straggle"
	// FaultSilence leaves the connection open and sends nothing more.
	FaultSilence FaultKind = "silence"
	// FaultGarbage sends a frame of an unknown kind.
	FaultGarbage FaultKind = "garbage"
	// FaultEarlyEnd ends the stream without an end marker.
	FaultEarlyEnd FaultKind = "early-end"
	// FaultFalseEnd ends the answer with a position past the frames sent.
	FaultFalseEnd FaultKind = "false-end"
	// FaultDuplicateEnd sends the finish frame and the end marker twice.
	FaultDuplicateEnd FaultKind = "duplicate-end"
	// FaultForeign sends a frame of another attempt.
	FaultForeign FaultKind = "foreign-frame"
	// FaultRepeat sends the frame before once more.
	FaultRepeat FaultKind = "late-frame"
	// FaultReorder sends the frame after this one first.
	FaultReorder FaultKind = "reordered-frame"
	// FaultLoseReply runs the call to its end and loses the answer.
	FaultLoseReply FaultKind = "lose-reply"
)

// Fault is what happens to one run. An empty kind means nothing.
type Fault struct {
	// Kind says what goes wrong.
	Kind FaultKind
	// At is the position of the frame at which it happens.
	At int
}

// Run is the record of one attempt that an upstream began.
type Run struct {
	// Attempt, Request and Key identify the run.
	Attempt, Request, Key string
	// Upstream is the address.
	Upstream string
	// Fingerprint is the hash of the body.
	Fingerprint uint64
	// Began is when the upstream took the attempt.
	Began time.Time
	// Tokens is the number of frames made.
	Tokens int
	// Finished says that the run came to its end.
	Finished bool
	// Cancelled says that the router closed the stream before the end.
	Cancelled bool
}

const (
	defaultWords   = 20
	defaultGap     = 10 * time.Millisecond
	straggleFactor = 10
	foreignAttempt = "foreign"
	garbageKind    = "garbage"
	finishReason   = "stop"
	statusOK       = 200
	serviceAnswer  = "text/plain"
)

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	// Hook, if set, decides the fault of each attempt. It is set before the
	// first attempt.
	Hook func(u *kingcuphook.Upstream, a *kingcuphook.Attempt) Fault
	// Gap is the time of a frame, and of a plain call; 0 means 10 ms.
	Gap time.Duration
	// Words is the number of frames of an answer; 0 means 20.
	Words int

	mu   sync.Mutex
	runs []*Run
	// down is closed when the upstream crashes, and then replaced.
	down map[string]chan struct{}
	// crashes counts by upstream.
	crashes map[string]int
}

var _ kingcuphook.Engine = (*Engine)(nil)

// Runs returns a copy of the records in the order in which the runs began.
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

// Crash ends every run of an upstream, which is then up again.
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

// Word returns the frame at a position of the answer to a body.
func Word(body []byte, position int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(fmt.Appendf(slices.Clone(body), "#%d", position))))
}

// Text returns the whole answer of n frames to a body.
func Text(body []byte, n int) string {
	text := ""
	for i := range n {
		text += Word(body, i)
	}
	return text
}

// Start implements kingcuphook.Engine.
func (e *Engine) Start(_ context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	fault := e.fault(u, a)
	if fault.Kind == FaultRefuse {
		return nil, fmt.Errorf("runner: %s refused: %w", u.Address(), kingcuphook.ErrUnavailable)
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
		return kingcuphook.Answer{}, fmt.Errorf("runner: %s refused: %w", u.Address(), kingcuphook.ErrUnavailable)
	}
	run, down := e.begin(u, a)
	wait := e.gap()
	if fault.Kind == FaultStraggle {
		wait *= straggleFactor
	}
	if err := e.work(ctx, wait, down); err != nil {
		e.update(func() { run.Cancelled = ctx.Err() != nil })
		return kingcuphook.Answer{}, fmt.Errorf("runner: %w: %w", kingcuphook.ErrOutcomeUnknown, err)
	}
	return e.reply(ctx, run, fault, a.Body())
}

// reply ends a plain call that was run.
func (e *Engine) reply(ctx context.Context, run *Run, fault Fault, body []byte) (kingcuphook.Answer, error) {
	switch fault.Kind {
	case FaultCrash:
		e.Crash(run.Upstream)
		return kingcuphook.Answer{}, fmt.Errorf("runner: crashed: %w", kingcuphook.ErrOutcomeUnknown)
	case FaultSilence:
		e.update(func() { run.Finished = true })
		<-ctx.Done()
		return kingcuphook.Answer{}, fmt.Errorf("runner: silent: %w", kingcuphook.ErrOutcomeUnknown)
	case FaultLoseReply, FaultGarbage, FaultEarlyEnd, FaultFalseEnd:
		e.update(func() { run.Finished = true })
		return kingcuphook.Answer{}, fmt.Errorf("runner: reply lost: %w", kingcuphook.ErrOutcomeUnknown)
	default:
		e.update(func() { run.Finished = true })
		return kingcuphook.NewAnswer(statusOK, serviceAnswer, []byte(Text(body, 1))), nil
	}
}

func (e *Engine) fault(u *kingcuphook.Upstream, a *kingcuphook.Attempt) Fault {
	if e.Hook == nil {
		return Fault{}
	}
	return e.Hook(u, a)
}

func (e *Engine) begin(u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*Run, <-chan struct{}) {
	r := a.Request()
	run := &Run{
		Attempt:     a.ID(),
		Request:     r.ID(),
		Key:         r.IdempotencyKey(),
		Upstream:    u.Address(),
		Fingerprint: r.Fingerprint(),
		Began:       time.Now(),
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

func (e *Engine) update(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *Engine) gap() time.Duration {
	if e.Gap == 0 {
		return defaultGap
	}
	return e.Gap
}

func (e *Engine) words() int {
	if e.Words == 0 {
		return defaultWords
	}
	return e.Words
}

// work passes the time of one frame. It returns an error if the upstream
// crashed or ctx ended.
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
