package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// newPool returns a pool of the upstreams from first on, all of them instances of the given name.
func newPool(first int, instance string) *kingcuphook.Pool {
	var f kingcuphook.PoolFields
	for i := first; i < poolSize; i++ {
		f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: fmt.Sprint(i), Instance: instance}))
	}
	return kingcuphook.NewPool(f)
}

// An ejected upstream whose registration lapsed for a moment got its full share of requests when it was back.
func TestReturnedUpstreamIsStillEjected(t *testing.T) {
	is := is.New(t)
	e := &Ejector{}
	e.Update(start, newPool(0, "i"))
	for range ejectAfterFailures {
		e.Finished(start, "0", kingcuphook.Sample{Failed: true})
	}
	is.Equal(e.Weight(start, "0"), 0.0)
	now := start
	for range 5 {
		now = now.Add(leftTime)
		e.Update(now, newPool(1, "i"))
		now = now.Add(leftTime)
		e.Update(now, newPool(0, "i"))
		is.Equal(e.Weight(now, "0"), 0.0)
		is.True(e.Probe(now, "0"))
	}

	e.Update(now, newPool(1, "i"))
	e.Update(now, newPool(0, "restarted"))
	is.Equal(e.Weight(now, "0"), 1.0)

	for i := range 3 { // while they are away, others are ejected
		for range ejectAfterFailures {
			e.Finished(now, fmt.Sprint(i), kingcuphook.Sample{Failed: true})
		}
		e.Update(now, newPool(i+1, "restarted"))
	}
	e.Update(now, newPool(0, "restarted"))
	ejected := 0
	for i := range poolSize {
		if e.Weight(now, fmt.Sprint(i)) == 0 {
			ejected++
		}
	}
	is.Equal(ejected, 2) // as many as MaxShare allows

	e.Update(now, newPool(1, "restarted"))
	now = now.Add(leftTime + time.Nanosecond)
	e.Update(now, newPool(1, "restarted"))
	e.Update(now, newPool(0, "restarted"))
	is.Equal(e.Weight(now, "0"), 1.0)
}
