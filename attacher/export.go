package attacher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// exportTimeout bounds the wait for the control loop.
const exportTimeout = 500 * time.Millisecond

// waiter is a peer that waits for news of the store.
type waiter struct {
	// revision is what it has, until when it stops to wait.
	revision int64
	until    time.Time
	// reply takes the one answer; it has room for it.
	reply chan<- exported
}

// exported is an answer to a peer.
type exported struct {
	payload []byte
	err     error
}

// export returns what this router has of the store that is newer than the revision,
// for a peer that waits for it.
func (c *control) export(ctx context.Context, revision int64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+exportTimeout)
	defer cancel()
	reply := make(chan exported, 1)
	c.do(ctx, func(now time.Time) {
		c.waiting = append(c.waiting, waiter{revision: revision, until: now.Add(wait), reply: reply})
	})
	select {
	case x := <-reply:
		return x.payload, x.err
	case <-ctx.Done():
		return nil, fmt.Errorf("attacher: the control loop is behind: %w", kingcuphook.ErrUnavailable)
	}
}

// answerWaiting answers the peers for which there are news, those that have waited
// long enough, and all while the store can't be followed.
func (c *control) answerWaiting(now time.Time) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool {
		if !c.store.IsLost() && !c.store.News(w.revision) && now.Before(w.until) {
			return false
		}
		w.reply <- c.newsFor(now, w.revision)
		return true
	})
}

// newsFor returns the answer to a peer that has the revision.
func (c *control) newsFor(now time.Time, revision int64) exported {
	payload, err := c.store.Export(now, revision)
	if errors.Is(err, kingcuphook.ErrNotFound) && c.store.IsLost() {
		err = fmt.Errorf("attacher: the store can't be followed: %w", kingcuphook.ErrUnavailable)
	}
	return exported{payload, err}
}
