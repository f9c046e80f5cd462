package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.Unix(1_700_000_000, 0)

const poolSize = 6

func newEjector() *Ejector {
	upstreams := make([]*kingcuphook.Upstream, 0, poolSize)
	for i := range poolSize {
		upstreams = append(upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: fmt.Sprint(i)}))
	}
	e := &Ejector{}
	e.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Upstreams: upstreams}))
	return e
}

// simulate finishes an attempt on every upstream every 200 ms for the given number of
// rounds, and returns the time at the end. The upstreams with numbers below slow take
// ten times as long between tokens as the others.
func simulate(e *Ejector, now time.Time, slow, rounds int) time.Time {
	for range rounds {
		now = now.Add(200 * time.Millisecond)
		for i := range poolSize {
			gap := 20 * time.Millisecond
			if i < slow {
				gap *= 10
			}
			e.Finished(now, fmt.Sprint(i), kingcuphook.Sample{Tokens: 20, TokenGap: gap})
		}
	}
	return now
}

func TestSlowUpstreamIsEjectedAndRestoredInSteps(t *testing.T) {
	is := is.New(t)
	e := newEjector()
	now := simulate(e, start, 1, 11)
	is.Equal(e.Weight(now, "0"), 0.5)
	now = simulate(e, now, 1, 30)
	is.Equal(e.Weight(now, "0"), 0.0)
	is.Equal(e.Weight(now, "1"), 1.0)

	now = now.Add(time.Second)
	is.True(e.Probe(now, "0"))
	is.True(!e.Probe(now, "0")) // at most one probe per ProbeEvery
	is.True(!e.Probe(now, "1")) // not ejected

	now = simulate(e, now, 0, 15)
	is.Equal(e.Weight(now, "0"), 0.2)
	now = simulate(e, now, 0, 40)
	is.Equal(e.Weight(now, "0"), 1.0)
}

func TestProbesOfFailedUpstreamBackOff(t *testing.T) {
	is := is.New(t)
	e := newEjector()
	failed := kingcuphook.Sample{Failed: true}
	for range ejectAfterFailures {
		e.Finished(start, "0", failed)
	}
	probes := 0
	for n := range 60 {
		now := start.Add(time.Duration(n+1) * time.Second)
		if e.Probe(now, "0") {
			probes++
			e.Finished(now, "0", failed)
		}
	}
	is.Equal(probes, 5) // after 1, 3, 7, 15 and 31 seconds
}

func TestEjectedShareIsLimited(t *testing.T) {
	is := is.New(t)
	e := newEjector()
	for i := range 6 {
		for range ejectAfterFailures {
			e.Finished(start, fmt.Sprint(i), kingcuphook.Sample{Failed: true})
		}
	}
	ejected := 0
	for i := range 6 {
		if e.Weight(start, fmt.Sprint(i)) == 0 {
			ejected++
		}
	}
	is.Equal(ejected, 2) // defaultMaxShare of 6 upstreams
}
