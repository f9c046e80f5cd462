package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// trialPrefix starts the keys that reserve bodies and upstreams.
	trialPrefix = "trials/"
	// trialLease is how long a reservation outlives a router that crashed.
	trialLease = 2 * time.Minute
	// trialFrames is the number of frames after which a suspect has survived: it
	// was resumed where it stood when its upstream crashed.
	trialFrames = 3
	// trialTimeout bounds one call to the store.
	trialTimeout = 500 * time.Millisecond
)

// trial is the run of a suspect. Over the whole fleet a suspect runs once at a
// time, and on an upstream on which no other suspect runs.
type trial struct {
	d           *Dispatcher
	fingerprint uint64
	// lease holds the reservations in the store; 0 means that there are none.
	lease kingcuphook.LeaseID
	// upstream is reserved at this router; empty before.
	upstream string
	// ended says that everything is given back.
	ended bool
}

// newTrial reserves the body of a suspect. It returns nil if the body runs
// elsewhere. Without the store, reservations are those of this router only.
func (d *Dispatcher) newTrial(fingerprint uint64) *trial {
	t := &trial{d: d, fingerprint: fingerprint}
	if d.Store == nil {
		return t
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	lease, err := d.Store.Grant(ctx, trialLease)
	if err != nil {
		return t
	}
	t.lease = lease
	if !t.reserve(fmt.Sprintf("bodies/%016x", fingerprint)) {
		t.end()
		return nil
	}
	return t
}

// on reserves the upstream and reports whether it could.
func (t *trial) on(upstream string) bool {
	if !t.d.Quarantiner.Reserve(t.fingerprint, upstream) {
		return false
	}
	t.upstream = upstream
	return t.lease == 0 || t.reserve("upstreams/"+upstream)
}

// reserve creates a key and reports whether no other router has it. A store
// that does not take the call has no say.
func (t *trial) reserve(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	_, err := t.d.Store.Put(ctx, trialPrefix+name, []byte(t.d.Owner), kingcuphook.RevisionAbsent, t.lease)
	return err == nil || errors.Is(err, kingcuphook.ErrUnavailable)
}

// survived ends the trial of a suspect that got past where it stood before.
func (t *trial) survived(frames int) {
	if t != nil && frames == trialFrames {
		t.end()
	}
}

// end gives everything back, once. It does not wait for the store.
func (t *trial) end() {
	if t == nil || t.ended {
		return
	}
	t.ended = true
	if t.upstream != "" {
		t.d.Quarantiner.Release(t.fingerprint, t.upstream)
	}
	if t.lease != 0 {
		go t.revoke()
	}
}

func (t *trial) revoke() {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	// A lease that cannot be revoked ends by itself.
	_ = t.d.Store.Revoke(ctx, t.lease)
}
