package stopper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forecaster"
)

// Calls decides which calls of a server may begin during a graceful shutdown, and ends those that
// are open at its end. Its exported field is set before use. It is safe for concurrent use.
type Calls struct {
	// Times returns Stopper.Times; nil means that no shutdown is ever started.
	Times func() (late, end time.Time)

	once sync.Once
	// open ends with endAll.
	open   context.Context
	endAll context.CancelFunc
	// forecaster forecasts how long calls take.
	forecaster forecaster.Forecaster
}

// End ends the calls in flight and all later ones with the cause ErrStopping. It returns at once.
func (c *Calls) End() {
	c.init()
	c.endAll()
}

func (c *Calls) init() {
	c.once.Do(func() { c.open, c.endAll = context.WithCancel(context.Background()) })
}

// Context returns a context for a call that ends with parent or, with the cause ErrStopping, when
// End is called.
func (c *Calls) Context(parent context.Context) (context.Context, context.CancelFunc) {
	c.init()
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(c.open, func() { cancel(kingcuphook.ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Started reports whether a graceful shutdown was started.
func (c *Calls) Started() bool {
	_, end := c.times()
	return !end.IsZero()
}

func (c *Calls) times() (late, end time.Time) {
	if c.Times == nil {
		return time.Time{}, time.Time{}
	}
	return c.Times()
}

// Check returns an error that wraps ErrStopping for a call that might not end before the graceful
// shutdown does if it starts now.
func (c *Calls) Check(call forecaster.Call, deadline time.Time) error {
	late, end := c.times()
	if end.IsZero() {
		return nil
	}
	now := time.Now()
	start := c.forecaster.LatestStart(call, now, deadline, end)
	if now.After(late) {
		start = forecaster.LatestCertainStart(now, deadline, end)
	}
	if !now.After(start.Latest) {
		return nil
	}
	return fmt.Errorf("may take %d ms by %d calls, %d ms left: %w",
		start.Longest.Milliseconds(), start.Calls, end.Sub(now).Milliseconds(), kingcuphook.ErrStopping)
}

// LatestStart returns until when a request may be sent to its first upstream so that it ends
// before the graceful shutdown does; a zero time means that none was started.
func (c *Calls) LatestStart(r *kingcuphook.Request) time.Time {
	_, end := c.times()
	if end.IsZero() {
		return end
	}
	return c.forecaster.LatestStart(forecaster.Of(r), time.Now(), r.Deadline(), end).Latest
}

// Observe records how long a call took from its dispatch to its answer or deadline.
func (c *Calls) Observe(now time.Time, call forecaster.Call, took time.Duration) {
	c.forecaster.Observe(now, call, took)
}
