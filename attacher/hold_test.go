package attacher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pinner"
)

// goneAllocator has no upstream of any version that a request is restricted to.
type goneAllocator struct{ restricted []string }

func (a *goneAllocator) Acquire(_ context.Context, r *kingcuphook.Request, _ []string) (kingcuphook.Slot, error) {
	version, ok := r.OnlyVersion()
	a.restricted = append(a.restricted, version)
	if ok {
		return nil, kingcuphook.ErrVersionGone
	}
	return &slotAt{version: "1"}, nil
}

// A new stream was refused because the recorded version had left while another one was held back.
func TestStreamBeginsAtHeldVersionIfRecordedOneHasLeft(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := &pins{}
	p.pinner.Apply(now, now, pinner.Record{Pool: "models", Versions: []pinner.RecordedVersion{{Version: "1"}}}, 1)
	upstreams := make([]*kingcuphook.Upstream, 0, 2)
	for _, version := range []string{"1", "2"} {
		upstreams = append(upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: version}))
	}
	p.pinner.Observe(now, kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{
		kingcuphook.NewPool(kingcuphook.PoolFields{Name: "models", Upstreams: upstreams}),
	}))
	for _, test := range []struct {
		r    kingcuphook.RequestFields
		want []string
	}{
		{kingcuphook.RequestFields{Pool: "models", Stream: true}, []string{"1", ""}},
		{kingcuphook.RequestFields{Pool: "models", Stream: true, NonIdempotent: true}, []string{""}},
		{kingcuphook.RequestFields{Pool: "models"}, []string{""}},
	} {
		next := &goneAllocator{}
		_, err := (&holdAllocator{next: next, pins: p}).Acquire(t.Context(), kingcuphook.NewRequest(test.r), nil)
		is.NoErr(err)
		is.Equal(next.restricted, test.want)
	}
}

// slotAt is a slot at an upstream of a version.
type slotAt struct {
	kingcuphook.Slot
	version  string
	released bool
}

func (s *slotAt) Choice() kingcuphook.Choice {
	return kingcuphook.Choice{Upstream: kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: s.version})}
}

func (s *slotAt) Release(kingcuphook.Sample) { s.released = true }

// otherAllocator gives slots at version 2 to requests that aren't restricted.
type otherAllocator struct{ slots []*slotAt }

func (a *otherAllocator) Acquire(_ context.Context, r *kingcuphook.Request, _ []string) (kingcuphook.Slot, error) {
	version, ok := r.OnlyVersion()
	if !ok {
		version = "2"
	}
	a.slots = append(a.slots, &slotAt{version: version})
	return a.slots[len(a.slots)-1], nil
}

// A stream ran at another version than the base, could not be queued in the ledger when its first event came, and ended with
// 502 at a sound upstream, since no attempt was left to begin it at the base.
func TestStreamRunsOnlyOnceItIsQueued(t *testing.T) {
	for name, acknowledged := range map[string]bool{"acknowledged": true, "silent store": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPins(&Attacher{})
				now := time.Now()
				p.pinner.Observe(now, kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{
					kingcuphook.NewPool(kingcuphook.PoolFields{Name: "models", Upstreams: []*kingcuphook.Upstream{
						kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: "1"}),
						kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: "2"}),
					}}),
				}))
				p.pinner.Apply(now, now, pinner.Record{Pool: "models", Versions: []pinner.RecordedVersion{{Version: "1"}, {Version: "2"}}, Base: "1", AnyShare: true}, 1)
				r := kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "call", Organisation: "org", Pool: "models", Stream: true})
				if acknowledged {
					go func() {
						<-p.recordings.queued
						key := []uint64{pinner.Key("org", "call")}
						p.pinner.Logged(time.Now(), key)
						p.recordings.endWrite(key, nil)
					}()
				}
				next := &otherAllocator{}
				a := &holdAllocator{next: next, pins: p}
				slot, err := a.Acquire(t.Context(), r, nil)
				is.NoErr(err)
				if acknowledged {
					is.Equal(slot.Choice().Upstream.SoftwareVersion(), "2")
					is.Equal(p.queue(t.Context(), pinner.Key("org", "call"), 0), recordingDone) // not again at the first event
					return
				}
				is.True(next.slots[0].released)
				is.Equal(slot.Choice().Upstream.SoftwareVersion(), "1")
				is.Equal(time.Since(now), maxAdmitTimeout)
			})
		})
	}
}
