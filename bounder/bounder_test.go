package bounder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func TestLimitCountsRequestsOfAllRouters(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	pool := func(addresses ...string) *kingcuphook.Pool {
		var f kingcuphook.PoolFields
		for _, a := range addresses {
			f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: a, Slots: 4}))
		}
		return kingcuphook.NewPool(f)
	}
	b := &Bounder{}
	b.Update(now, pool("a", "b"))
	is.Equal(b.Free(now, "a", 1), 4)
	b.Started(now, "a", nil)
	b.Report(now, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "a", Running: 2}))
	is.Equal(b.Free(now, "a", 1), 1)
	b.Report(now, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "a", Running: 9}))
	is.Equal(b.Free(now, "a", 1), 0)

	// A removed upstream is kept until the last request there has finished.
	b.Update(now, pool("b"))
	b.Finished(now, "a", nil, kingcuphook.Sample{})
	b.Update(now, pool("b"))
	is.Equal(len(b.upstreams), 1)
}
