package follower

import (
	"context"
	"fmt"

	"github.com/kingcuphook/kingcuphook/encoder"
)

// Refresh reads the store at once. The router that made an edit uses it, so that
// its operator sees the edit in force when told that it was accepted.
func (f *Follower) Refresh(ctx context.Context) error {
	e, err := f.Store.Get(ctx, encoder.HeadKey)
	if err != nil {
		return fmt.Errorf("follower: refresh: %w", err)
	}
	return f.take(ctx, e)
}
