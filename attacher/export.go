package attacher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// exportTimeout bounds how long an export takes beyond the wait that the peer
// requested.
const exportTimeout = 500 * time.Millisecond

// waiter is a pending request of a peer for an update.
type waiter struct {
	// revision is the store revision that the peer has, until when it must be
	// answered.
	revision int64
	until    time.Time
	// reply receives one answer, which must not be changed. It is buffered, so that sending does not block.
	reply chan<- exported
}

// exported is the answer to a peer.
type exported struct {
	payload []byte
	err     error
}

// export returns the changes of the store after the revision for a peer. It waits up to
// the given time for a change.
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

// answerWaiting answers the requests for which there are changes and those whose wait
// is over. It answers all while the store is unavailable. Peers with the same revision share an answer, which is
// built once: most peers have the last revision, and when all routers start, all have none.
func (c *control) answerWaiting(now time.Time) {
	answers := make(map[int64]exported)
	c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool {
		if !c.store.IsUnavailable() && !c.store.HasChanges(w.revision) && now.Before(w.until) {
			return false
		}
		answer, known := answers[w.revision]
		if !known {
			answer = c.answerFor(now, w.revision)
			answers[w.revision] = answer
		}
		w.reply <- answer
		return true
	})
}

// answerFor returns the answer to a peer that has the given revision.
func (c *control) answerFor(now time.Time, revision int64) exported {
	payload, err := c.store.Export(now, revision)
	if errors.Is(err, kingcuphook.ErrNotFound) && c.store.IsUnavailable() {
		err = fmt.Errorf("attacher: the store can't be followed: %w", kingcuphook.ErrUnavailable)
	}
	return exported{payload, err}
}
