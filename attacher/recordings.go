package attacher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook/pinner"
)

// recording is why the first event of a stream went to its caller.
type recording string

// Values of recording.
const (
	// recordingDone means that the ledger has the stream.
	recordingDone recording = "recorded"
	// recordingFailed means that the ledger could not be written.
	recordingFailed recording = "store-failed"
	// recordingDistant means that the ledger was not expected to have the stream in time.
	recordingDistant recording = "not-expected"
	// recordingLate means that the ledger did not have the stream in time.
	recordingLate recording = "late"
	// recordingNone means that there was none, recordingUnqueued that the stream did not begin, since the
	// ledger doesn't have it as queued.
	recordingNone     recording = "none"
	recordingUnqueued recording = "not-queued"
	// recordingLeft means that the caller left, or its deadline passed.
	recordingLeft recording = "caller-left"
)

// recordings holds back the first events of streams until the ledger has the streams.
type recordings struct {
	// queued receives a value when a stream is queued for the ledger.
	queued chan struct{}
	// recorded counts the streams that the ledger had before their first event went to the
	// caller, unrecorded the others, and held is for how long all of them were held back.
	recorded, unrecorded, held atomic.Int64

	mu    sync.Mutex
	pacer pinner.Pacer
	// waiting are the streams that are held back, by key. The channel of each has room for
	// one value.
	waiting map[uint64]chan recording
}

func newRecordings() *recordings {
	return &recordings{queued: make(chan struct{}, 1), waiting: make(map[uint64]chan recording)}
}

// expect returns the channel on which it is told how the recording of the stream ends; nil if
// that can't be expected soon and isn't required, or another call waits for it. It is called before
// the stream is queued.
func (r *recordings) expect(key uint64, required bool) <-chan recording {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting[key] != nil || !required && !r.pacer.IsSoon(time.Now()) {
		return nil
	}
	ended := make(chan recording, 1)
	r.waiting[key] = ended
	return ended
}

// forget ends the wait for a stream.
func (r *recordings) forget(key uint64, ended <-chan recording) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting[key] == ended {
		delete(r.waiting, key)
	}
}

// wake makes the writer of the ledger look for streams to be written.
func (r *recordings) wake() {
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

// canGuard reports whether the ledger can be expected to have a stream in time that must be in it.
func (r *recordings) canGuard() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.CanGuard(time.Now())
}

// hold waits until the recording of the stream ends, at most for the given time.
func (r *recordings) hold(ctx context.Context, ended <-chan recording, longest time.Duration) recording {
	timeout := time.NewTimer(longest)
	defer timeout.Stop()
	select {
	case how := <-ended:
		return how
	case <-timeout.C:
		return recordingLate
	case <-ctx.Done():
		return recordingLeft
	}
}

// count counts a stream that was held back.
func (r *recordings) count(how recording, held time.Duration) {
	r.held.Add(int64(held))
	if how == recordingDone {
		r.recorded.Add(1)
	} else {
		r.unrecorded.Add(1)
	}
}

// beginWrite records that a write of the ledger begins.
func (r *recordings) beginWrite(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Begin(time.Now(), routers)
}

// spread makes the next write wait for a random part of the interval.
func (r *recordings) spread() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Spread()
}

// sent records that the segment of the write is sent after a lease was granted.
func (r *recordings) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Sent(time.Now())
}

// endWrite records that a write has ended that adds the streams with the keys. After a failed
// one no stream is held back until one has succeeded.
func (r *recordings) endWrite(added []uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.End(time.Now(), err == nil)
	if err != nil {
		for key := range r.waiting {
			r.end(key, recordingFailed)
		}
		return
	}
	for _, key := range added {
		r.end(key, recordingDone)
	}
}

// end ends the wait for a stream. The caller holds mu.
func (r *recordings) end(key uint64, how recording) {
	if ended, ok := r.waiting[key]; ok {
		ended <- how
		delete(r.waiting, key)
	}
}

// untilWrite returns how long the next write of the ledger has to wait.
func (r *recordings) untilWrite(mixed bool, routers int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Wait(time.Now(), mixed, routers, rand.Float64())
}
