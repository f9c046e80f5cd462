package attacher

import (
	"context"
	"testing"
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
	return nil, nil
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
