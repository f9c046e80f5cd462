// Package canceller cancels an attempt when the context of the goroutine that reads
// its answer ends. Each read may pass another context.
package canceller

import "context"

// Canceller cancels an attempt when the current context ends. It is not safe for
// concurrent use.
type Canceller struct {
	// Cancel cancels the attempt. It must be set before use.
	Cancel context.CancelFunc

	// current is the context whose end cancels the attempt; stop detaches from it.
	current context.Context
	stop    func() bool
}

// SetContext makes ctx the context whose end cancels the attempt, in place of the
// previous one. Most calls pass the same ctx as the call before and return early.
func (c *Canceller) SetContext(ctx context.Context) {
	if ctx == c.current {
		return
	}
	c.detach()
	c.current = ctx
	c.stop = context.AfterFunc(ctx, c.Cancel)
}

func (c *Canceller) detach() {
	if c.stop != nil {
		c.stop()
	}
}

// Close cancels the attempt and detaches from the current context.
func (c *Canceller) Close() {
	c.detach()
	c.Cancel()
}
