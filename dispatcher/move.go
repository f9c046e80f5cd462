package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/mover"
	"github.com/kingcuphook/kingcuphook/pauser"
)

const (
	// maxMoves is how often one stream is stopped to be moved. A second move follows if the stream went on at
	// the upstream that leaves.
	maxMoves = 2
	// maxMoveTargets is how many targets one move tries.
	maxMoveTargets = 2
	// maxMoveTries is how often a move is begun whose stream was not told to stop.
	maxMoveTries = 4
	// stopTimeout is the timeout of the call that stops a stream: it copies the latest tokens only. The first
	// call may take until stopTimeout before the upstream leaves, since the stream goes on meanwhile.
	stopTimeout = 300 * time.Millisecond
	// closeWait is how long the answer of a stream that has stopped may stay open.
	closeWait = 200 * time.Millisecond
	// freeTimeout is the timeout of the call that frees a copy.
	freeTimeout = 500 * time.Millisecond
)

// MoveOutcome is the result of a move that was begun.
type MoveOutcome struct {
	// Request is the request of the stream.
	Request *kingcuphook.Request
	// Source is the upstream that leaves, Target the latest one that was to get the stream; nil if there was
	// none.
	Source, Target *kingcuphook.Upstream
	// Moved is set if the stream goes on at the target.
	Moved bool
	// Err is the reason of a failure; nil if the stream was moved or ended before.
	Err error
}

// movableStream is a running stream that can be moved. The goroutine of its run and that of its move share
// it.
type movableStream struct {
	d       *Dispatcher
	request *kingcuphook.Request
	source  *kingcuphook.Upstream
	// excluded are the upstreams that the move leaves out.
	excluded []string
	// ctx ends with the call, cancel cancels the attempt at the source.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// ended is closed when the run needs nothing more of the move.
	ended chan struct{}
	// stopped gets the outcome of the call that stops the stream.
	stopped chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// events is the number of events of the whole answer; first is how many there were at firstAt, when the
	// attempt brought its first one, and lastAt is when the latest came.
	events, first   int
	firstAt, lastAt time.Time
	// isMoving is set while a move goes on, and after one that told the stream to stop. tries counts those
	// that didn't.
	isMoving bool
	tries    int
	// isRefused is set once the retry budget didn't allow a move.
	isRefused bool
	// lacksIDs is set if the latest event has no ID, so that no attempt can go on after it.
	lacksIDs bool
	// isEnded is set when ended is closed. No call that stops the stream is sent after that.
	isEnded bool
	// isStopRequested is set before the call that stops the stream is sent, isStopped once it is known that
	// the stream has stopped.
	isStopRequested, isStopped bool
	// heldUntil is until when the source holds the KV memory of the stream that has stopped.
	heldUntil time.Time
	// slot is the slot at the target, and copied the copy, while they are not used; hasTarget means that the
	// target has the copy.
	slot      kingcuphook.Slot
	copied    kingcuphook.StreamCopy
	hasTarget bool
}

// trackMovable records an event of a stream that can be moved from then on.
func (r *run) trackMovable(ctx context.Context, a *openAttempt, f kingcuphook.Frame, arrived time.Time) {
	if r.d.Mover == nil || r.call.Opaque == nil || !r.request.Stream() || r.request.ID() == "" || r.lastEvent == "" || r.moves >= maxMoves {
		return
	}
	if a.movable == nil {
		u := a.slot.Choice().Upstream
		a.movable = &movableStream{
			d: r.d, request: r.request, source: u, excluded: append(r.excluded(), u.Address()),
			ctx: ctx, cancel: a.watch.cancel, ended: make(chan struct{}), stopped: make(chan struct{}),
			first: r.answer.Position(), firstAt: arrived,
		}
		r.d.addMovable(a.movable)
	}
	m := a.movable
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events, m.lastAt, m.lacksIDs = r.answer.Position(), arrived, f.Event() == ""
}

func (d *Dispatcher) addMovable(m *movableStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := m.source.Program()
	if d.movable[p] == nil {
		d.movable[p] = make(map[*movableStream]struct{})
	}
	d.movable[p][m] = struct{}{}
}

func (d *Dispatcher) removeMovable(m *movableStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := m.source.Program()
	delete(d.movable[p], m)
	if len(d.movable[p]) == 0 {
		delete(d.movable, p)
	}
}

// MoveStreams begins to move the streams of this router off the upstreams of a pool that have announced when
// they leave. It is called by one goroutine, again while such upstreams are in the tables, and returns at once.
func (d *Dispatcher) MoveStreams(now time.Time, p *kingcuphook.Pool) {
	if d.Mover == nil || !p.StreamMoves().Enabled() {
		return
	}
	d.once.Do(d.setDefaults)
	for _, u := range p.Upstreams() {
		if !u.Leaving() {
			continue
		}
		if at := d.leavesAt(now, u); !at.IsZero() {
			d.moveFrom(now, p, u, at)
		}
	}
}

func (d *Dispatcher) moveFrom(now time.Time, p *kingcuphook.Pool, u *kingcuphook.Upstream, leavesAt time.Time) {
	d.mu.Lock()
	list := make([]*movableStream, 0, len(d.movable[u.Program()]))
	for m := range d.movable[u.Program()] {
		list = append(list, m)
	}
	d.mu.Unlock()
	list = slices.DeleteFunc(list, (*movableStream).hasMove)
	streams := make([]mover.Stream, len(list))
	for i, m := range list {
		streams[i] = m.describe(p.StreamMoves().EventTokens)
	}
	for _, move := range mover.Plan(leavesAt.Sub(now), p.StreamMoves(), streams) {
		m := list[move.Index]
		if !m.begin() {
			continue
		}
		go m.move(move.After, leavesAt, p.StreamMoves().HandleTTL)
	}
}

// begin spends the attempt that is to continue the stream from the retry budget. It is called in the order of
// the moves, so that the last of it goes to the most urgent streams. It reports false if the budget is spent;
// the stream may be moved later.
func (m *movableStream) begin() bool {
	_, ok := m.d.spend(m.request, time.Now(), 1)
	m.mu.Lock()
	m.isMoving = ok
	isNew := !ok && !m.isRefused
	m.isRefused = m.isRefused || !ok
	m.mu.Unlock()
	if isNew {
		m.d.count(func(n *Counts) { n.RetriesRejected++ })
		m.report(nil, false, errBudgetSpent)
	}
	return ok
}

// errBudgetSpent is the reason of a move that the retry budget doesn't allow.
var errBudgetSpent = errors.New("retry budget spent")

func (m *movableStream) hasMove() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isMoving || m.isEnded || m.lacksIDs
}

// describe returns what the decision needs of the stream.
func (m *movableStream) describe(eventTokens int) mover.Stream {
	m.mu.Lock()
	defer m.mu.Unlock()
	eventTokens = max(eventTokens, 1)
	sent := m.events * eventTokens
	s := mover.Stream{
		Tier: m.request.Tier(), Repeatable: !m.request.NonIdempotent(),
		Tokens: m.request.PromptTokens() + sent, TokensLeft: -1,
	}
	if limit := m.request.MaxTokens(); limit > 0 {
		s.TokensLeft = max(limit-sent, 0)
	}
	if n := m.events - m.first; n > 0 {
		s.Pace = time.Duration(float64(m.lastAt.Sub(m.firstAt)) / float64(n*eventTokens))
	}
	return s
}

// move moves the stream after a delay: it acquires a slot at a target, has the KV memory copied there while
// the stream goes on, and then stops the stream. The run continues it.
func (m *movableStream) move(after time.Duration, leavesAt time.Time, ttl time.Duration) {
	ctx, cancel := context.WithDeadline(m.ctx, leavesAt.Add(-stopTimeout))
	defer cancel()
	if !m.pause(ctx, after) {
		m.d.refund(m.request, time.Now())
		return
	}
	var target *kingcuphook.Upstream
	var err error
	for range maxMoveTargets {
		var slot kingcuphook.Slot
		var copied kingcuphook.StreamCopy
		if slot, copied, err = m.copyStream(ctx); err == nil {
			m.finish(slot, copied, ttl)
			return
		}
		if slot == nil {
			break
		}
		target = slot.Choice().Upstream
		slot.Release(kingcuphook.Sample{Cancelled: true})
		if !errors.Is(err, kingcuphook.ErrNotCopied) {
			break // another call might meet this one in progress
		}
		m.excluded = append(m.excluded, target.Address())
	}
	m.d.refund(m.request, time.Now())
	if m.hasEnded() {
		err = nil
	}
	m.report(target, false, err)
	m.allowRetry(err)
}

// allowRetry lets the move be planned again after a failure that may pass.
func (m *movableStream) allowRetry(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tries++
	m.isMoving = m.tries >= maxMoveTries || errors.Is(err, kingcuphook.ErrNoSuchRun)
}

// pause waits, and reports whether the stream still runs.
func (m *movableStream) pause(ctx context.Context, d time.Duration) bool {
	ctx, cancel := m.untilEnd(ctx)
	defer cancel()
	if d <= 0 {
		return ctx.Err() == nil
	}
	return pauser.Pause(ctx, d)
}

// untilEnd returns a context that ends with the stream, too.
func (m *movableStream) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-m.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// copyStream acquires a slot at a target and has the KV memory copied there. If the copy fails, it returns the
// slot with the error. The call goes on if the caller leaves, so that its copy can be freed.
func (m *movableStream) copyStream(ctx context.Context) (kingcuphook.Slot, kingcuphook.StreamCopy, error) {
	slot, err := m.acquire(ctx)
	if err != nil {
		return nil, kingcuphook.StreamCopy{}, err
	}
	target := slot.Choice().Upstream
	if target.Leaving() || !target.Resumes() || !m.request.Allows(target) {
		return slot, kingcuphook.StreamCopy{}, fmt.Errorf("dispatcher: %s can't take over a stream: %w", target.Address(), kingcuphook.ErrNotCopied)
	}
	deadline, _ := ctx.Deadline()
	copying, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	copied, err := m.d.Mover.CopyStream(copying, m.source, target, m.request, false)
	return slot, copied, err
}

// acquire waits for a slot at a target until the stream ends.
func (m *movableStream) acquire(ctx context.Context) (kingcuphook.Slot, error) {
	waiting, cancel := m.untilEnd(ctx)
	defer cancel()
	return m.d.Allocator.Acquire(waiting, m.request, m.excluded)
}

// giveBack releases the slot at a target that is not used, and returns the attempt to the retry budget.
func (m *movableStream) giveBack(slot kingcuphook.Slot) {
	slot.Release(kingcuphook.Sample{Cancelled: true})
	m.d.refund(m.request, time.Now())
}
