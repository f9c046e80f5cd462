package receiver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/interrupter"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// bodyReader reads the body of a call into memory that is reserved before. It stops at the
// deadline of the call and when the context of the call ends.
type bodyReader struct {
	request  *http.Request
	out      *writer
	account  *rationer.Account
	deadline time.Time
	// limit is the largest length of the body.
	limit int64
}

// read reserves the memory of the head and returns the body. After an error the rest of the body
// can't be read any more without a new read deadline.
func (b *bodyReader) read(ctx context.Context) ([]byte, error) {
	if err := b.account.Grow(rationer.RequestBytes(b.request)); err != nil {
		return nil, errNoMemory
	}
	b.limit = bodyLimit(b.limit)
	if b.request.ContentLength > b.limit {
		return nil, errTooLarge
	}
	if b.request.ContentLength == 0 {
		return nil, nil
	}
	_ = b.out.control.SetReadDeadline(b.deadline)
	stop := interrupter.InterruptAfter(ctx, b.out.control)
	limited := http.MaxBytesReader(b.out.w, b.request.Body, b.limit)
	body, err := b.account.ReadAll(limited, b.request.ContentLength, b.limit)
	switch {
	case !stop(): // the reads have ended
	case err != nil:
		interrupter.Interrupt(b.out.control)
	default:
		_ = b.out.control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return nil, b.explain(ctx, err)
	}
	return body, nil
}

// bodyLimit returns the largest length of a body, given that of the declaration; 0 means the default.
func bodyLimit(declared int64) int64 {
	if declared <= 0 {
		return defaultMaxBody
	}
	return declared
}

// explain returns the error for the caller of a call whose body was not read.
func (b *bodyReader) explain(ctx context.Context, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge
	case errors.Is(err, kingcuphook.ErrOutOfMemory):
		return errNoMemory
	case errors.Is(context.Cause(ctx), kingcuphook.ErrStopping):
		return errStopping
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyLate
	default:
		return bodyError(err)
	}
}

// bodyError returns the error for a request body that could not be read.
func bodyError(err error) error {
	return &kingcuphook.RequestError{
		Code: "bad-body",
		Ran:  kingcuphook.RunStateNotRun,
		Err:  fmt.Errorf("receiver: read body: %w: %w", kingcuphook.ErrInvalid, err),
	}
}

// rejectUnread rejects a call whose body may not have been read to its end.
func (s *Receiver) rejectUnread(out *writer, r *http.Request, err error) {
	// The context of the call has ended if reading its body timed out.
	ctx, cancel := s.stopCalls().Context(context.WithoutCancel(r.Context()))
	defer cancel()
	s.discards.Refuse(ctx, out.w, r, err, func() { s.reject(out, err) })
}

// logNoMemory logs a call that found no room in the memory budget.
func (s *Receiver) logNoMemory(r *http.Request, l kingcuphook.CallLabels, route *kingcuphook.Route, tier kingcuphook.Tier, account *rationer.Account) {
	s.Log.Log(logger.MemoryRefused, append([]any{"request", l.ID, "route", route.Name(), "tier", tier}, account.LogFields(r)...)...)
}
