package dispatcher

import (
	"context"
	"errors"

	"github.com/kingcuphook/kingcuphook"
)

// pin restricts all later attempts to the software version of the upstream that sent the
// first frame of the answer, since what two versions send doesn't fit together. The caller of a
// stream that may be resumed gets that frame once it is recorded which version began it, and none
// if it has to be recorded and can't be: then any version may begin it again.
func (r *run) pin(ctx context.Context, u *kingcuphook.Upstream) error {
	if _, ok := r.request.OnlyVersion(); ok {
		return nil
	}
	r.request = r.request.Restrict(u.SoftwareVersion())
	if r.d.Pins == nil || !r.request.Stream() || r.call.Opaque == nil || !r.call.Opaque.Resumable {
		return nil
	}
	err := r.d.Pins.Begun(ctx, r.call.Request, u.SoftwareVersion())
	if errors.Is(err, kingcuphook.ErrVersionUnrecorded) {
		r.request = r.call.Request
		r.answer.Restart()
	}
	return err
}

// unpin discards an answer of which the caller has nothing yet, so that any software version
// may begin it again. It reports whether it did.
func (r *run) unpin() bool {
	if r.request.Stream() || r.request == r.call.Request {
		return false
	}
	r.request = r.call.Request
	r.answer.Restart()
	return true
}
