package executor

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/leaser"
)

const (
	// stepInterval is the time between two rounds of the workers.
	stepInterval = 200 * time.Millisecond
	// checkInterval is how often the holding is checked during a round. It is well below the margin
	// between the end of a holding and that of its lease.
	checkInterval = 25 * time.Millisecond
	// drainTime is how long the step that is running at the beginning of a planned stop may go on. An
	// interrupted call could still take effect after those of the next holder.
	drainTime = 200 * time.Millisecond
)

// LeaseRest is the leaser.Leaser.Rest of the lease: an executor finds in the meantime that the lease
// is lost, and steps back as a candidate.
const LeaseRest = 2 * stepInterval

// Executor runs the workers of the duties while this router holds the lease. Its exported fields are set
// before Run.
type Executor struct {
	// Client makes the calls; never nil. Its lease is that of the duties.
	Client *Client
	// Workers do the work of the duties. Their methods are called one after the other.
	Workers []kingcuphook.DutyWorker
	// Position returns the position of this router among the candidates for the lease, or
	// leaser.NotCandidate; never nil. It is called by one goroutine.
	Position func() int
	// OnChange, if set, is called when this router has acquired the lease, with its fencing number, and
	// when it has lost it.
	OnChange func(held bool, fence int64)

	// held is true if the lease was held at the last check, with the fencing number fence.
	held  bool
	fence int64
	// rounds counts the rounds of the workers.
	rounds int
}

// Run runs the duties until ctx ends. It then sends no more calls, and releases the lease when none is open.
func (e *Executor) Run(ctx context.Context) {
	e.Client.start()
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	context.AfterFunc(ctx, func() {
		e.Client.stop()
		time.AfterFunc(drainTime, endWork)
	})
	lease, end := context.WithCancel(context.WithoutCancel(ctx))
	// Without a position, the lease takes this router for the first candidate.
	e.Client.Lease.SetPosition(e.position(time.Now()))
	var wg sync.WaitGroup
	wg.Go(func() { e.Client.Lease.Run(lease) })
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.round(work)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	e.setHeld(false, e.fence)
	end()
	wg.Wait()
}

// round runs a step of each worker if this router may act. No call is open when the position is set, so
// that the lease can be released with it.
func (e *Executor) round(ctx context.Context) {
	now := time.Now()
	fence, _, err := e.Client.Lease.Holding()
	if err != nil {
		e.setHeld(false, e.fence)
	}
	e.Client.Lease.SetPosition(e.position(now))
	if err != nil {
		return
	}
	if e.Client.hold(now, fence) {
		e.setHeld(false, e.fence)
		for _, w := range e.Workers {
			w.Acquired(now)
		}
	}
	e.setHeld(true, fence)
	if e.Client.mayAct(now, fence) {
		e.runWorkers(ctx, fence)
	}
}

// position returns the position among the candidates. A router that may not act yet with another fencing
// number is no candidate, unless it is the holder.
func (e *Executor) position(now time.Time) int {
	if !e.held && now.Before(e.Client.eligibleAt()) {
		return leaser.NotCandidate
	}
	return e.Position()
}

// runWorkers runs a step of each worker. Its context ends when the holding does.
func (e *Executor) runWorkers(ctx context.Context, fence int64) {
	ctx, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		e.awaitEnd(ctx, fence)
		end()
	})
	// Another worker is the first in each round, so that slow calls of one leave time to the others.
	e.rounds++
	for i := range e.Workers {
		if ctx.Err() == nil {
			e.Workers[(e.rounds+i)%len(e.Workers)].Step(ctx, e.Client)
		}
	}
	end()
	wg.Wait()
}

// awaitEnd returns when ctx ends or the lease is no longer held with the fencing number.
func (e *Executor) awaitEnd(ctx context.Context, fence int64) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		held, _, err := e.Client.Lease.Holding()
		if err != nil || held != fence {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// setHeld records whether the lease is held.
func (e *Executor) setHeld(held bool, fence int64) {
	changed := held != e.held
	e.held, e.fence = held, fence
	if changed && e.OnChange != nil {
		e.OnChange(held, fence)
	}
}
