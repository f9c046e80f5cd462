package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// trialPrefix is the prefix of the store keys that reserve bodies and upstreams.
	trialPrefix = "trials/"
	// trialLease is the lease duration of a reservation. It expires after this time
	// if its router crashes.
	trialLease = 2 * time.Minute
	// trialTokens is the number of tokens after which a trial has passed. A
	// resumed answer starts at the position of the crash, so a request that crashes
	// upstreams would have done so by then.
	trialTokens = 3
	// trialTimeout is the timeout of one store call.
	trialTimeout = 500 * time.Millisecond
)

// trial is an attempt of a request that is suspected of crashing upstreams.
// Reservations in the store ensure that across the fleet, a suspect body runs
// only once at a time and an upstream runs only one suspect at a time.
type trial struct {
	d           *Dispatcher
	fingerprint uint64
	// lease is the lease of the reservations in the store; 0 means that there are
	// none.
	lease kingcuphook.LeaseID
	// upstream is the upstream reserved with the local quarantiner; empty if none.
	upstream string
	// ended is set once the reservations were released.
	ended bool
}

// newTrial reserves the body of a suspect. It returns nil if another router has
// reserved it. Without a reachable store, only the reservations of this router
// apply.
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

// reserveUpstream reserves an upstream, locally and in the store, and reports
// whether it succeeded.
func (t *trial) reserveUpstream(upstream string) bool {
	if !t.d.Quarantiner.Reserve(t.fingerprint, upstream) {
		return false
	}
	t.upstream = upstream
	return t.lease == 0 || t.reserve("upstreams/"+upstream)
}

// reserve creates a key in the store and reports whether the reservation holds.
// An unavailable store does not prevent a reservation.
func (t *trial) reserve(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	_, err := t.d.Store.Put(ctx, trialPrefix+name, []byte(t.d.Owner), kingcuphook.RevisionAbsent, t.lease)
	return err == nil || errors.Is(err, kingcuphook.ErrUnavailable)
}

// observeTokens ends the trial once the attempt has received trialTokens tokens.
func (t *trial) observeTokens(tokens int) {
	if t != nil && tokens == trialTokens {
		t.end()
	}
}

// end releases the reservations. It does not wait for the store, and may be called
// more than once and on nil.
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
	// A lease that cannot be revoked expires.
	_ = t.d.Store.Revoke(ctx, t.lease)
}
