package attacher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/pinner"
)

// First events were held back for a store that fails, is silent or slow, or longer than the bound.
func TestHoldOfFirstEventIsBounded(t *testing.T) {
	const routers = 8
	gone := errors.New("gone")
	for name, test := range map[string]struct {
		// write is called beside the hold, after the stream was queued.
		write func(r *recordings)
		how   recording
		held  time.Duration
		// next is whether the next stream is held back.
		next bool
	}{
		"recorded": {func(r *recordings) { time.Sleep(5 * time.Millisecond); r.endWrite([]uint64{1}, nil) }, recordingDone, 5 * time.Millisecond, true},
		"by the second write": {func(r *recordings) {
			time.Sleep(50 * time.Millisecond)
			r.endWrite([]uint64{2}, nil)
			time.Sleep(r.untilWrite(true, routers))
			r.beginWrite(routers)
			r.endWrite([]uint64{1}, nil)
		}, recordingDone, 50 * time.Millisecond, true},
		"failed": {func(r *recordings) { time.Sleep(5 * time.Millisecond); r.endWrite([]uint64{2}, gone) }, recordingFailed, 5 * time.Millisecond, false},
		"silent": {func(*recordings) {}, recordingLate, pinner.MaxHold, false},
		"slow":   {func(r *recordings) { time.Sleep(400 * time.Millisecond); r.endWrite([]uint64{1}, nil) }, recordingLate, pinner.MaxHold, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRecordings()
				r.untilWrite(true, routers)
				time.Sleep(time.Second)
				r.beginWrite(routers)
				ended := r.expect(1, false)
				is.True(ended != nil)
				is.True(r.expect(1, false) == nil) // another call with the ID
				began := time.Now()
				go test.write(r)
				is.Equal(r.hold(t.Context(), ended, pinner.MaxHold), test.how)
				is.Equal(time.Since(began), test.held)
				r.forget(1, ended)
				time.Sleep(200 * time.Millisecond)
				is.Equal(r.expect(3, false) != nil, test.next)
			})
		})
	}
}

// A caller that had left was waited for.
func TestHoldOfFirstEventEndsWithCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRecordings()
		ended := r.expect(1, false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.Equal(r.hold(ctx, ended, pinner.MaxHold), recordingLeft)
		r.forget(1, ended)
		is.Equal(len(r.waiting), 0)
	})
}
