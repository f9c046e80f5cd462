// Package canceller ends the reading of an answer with the context of its reader,
// which may be another one at each read.
package canceller

import "context"

// Canceller cancels an attempt when the context that it follows ends. It is used by
// one goroutine. Its fields are set before use.
type Canceller struct {
	// Cancel cancels the attempt; never nil.
	Cancel context.CancelFunc

	// followed is the context whose end cancels the attempt; stop undoes that.
	followed context.Context
	stop     func() bool
}

// Follow cancels the attempt when ctx ends, and no longer with the context before.
// Callers mostly pass the same ctx again, for which nothing is to be done.
func (c *Canceller) Follow(ctx context.Context) {
	if ctx == c.followed {
		return
	}
	c.unfollow()
	c.followed = ctx
	c.stop = context.AfterFunc(ctx, c.Cancel)
}

func (c *Canceller) unfollow() {
	if c.stop != nil {
		c.stop()
	}
}

// Close cancels the attempt and follows nothing any more.
func (c *Canceller) Close() {
	c.unfollow()
	c.Cancel()
}
