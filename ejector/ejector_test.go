package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.Unix(1_700_000_000, 0)

const size = 6

func newEjector() *Ejector {
	us := make([]*kingcuphook.Upstream, 0, size)
	for i := range size {
		us = append(us, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: fmt.Sprint(i)}))
	}
	e := &Ejector{}
	e.Update(start, kingcuphook.NewPool(kingcuphook.PoolFields{Upstreams: us}))
	return e
}

// play finishes an attempt on every upstream each 200 ms; those of slow take ten
// times as long between tokens.
func play(e *Ejector, from time.Time, slow, rounds int) time.Time {
	for range rounds {
		from = from.Add(200 * time.Millisecond)
		for i := range size {
			gap := 20 * time.Millisecond
			if i < slow {
				gap *= 10
			}
			e.Finished(from, fmt.Sprint(i), kingcuphook.Sample{Tokens: 20, TokenGap: gap})
		}
	}
	return from
}

func TestStragglerIsEjectedByStepsAndComesBackSlowly(t *testing.T) {
	is := is.New(t)
	e := newEjector()
	now := play(e, start, 1, 11)
	is.Equal(e.Weight(now, "0"), 0.5)
	now = play(e, now, 1, 30)
	is.Equal(e.Weight(now, "0"), 0.0)
	is.Equal(e.Weight(now, "1"), 1.0)

	now = now.Add(time.Second)
	is.True(e.Probe(now, "0"))
	is.True(!e.Probe(now, "0")) // one probe each ProbeEvery
	is.True(!e.Probe(now, "1")) // not ejected

	now = play(e, now, 0, 15)
	is.Equal(e.Weight(now, "0"), 0.2)
	now = play(e, now, 0, 40)
	is.Equal(e.Weight(now, "0"), 1.0)
}

func TestProbesOfADeadUpstreamGetRarer(t *testing.T) {
	is := is.New(t)
	e := newEjector()
	failed := kingcuphook.Sample{Failed: true}
	for range failureStreak {
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

func TestEjectedShareIsBounded(t *testing.T) {
	is := is.New(t)
	e := newEjector()
	for i := range 6 {
		for range failureStreak {
			e.Finished(start, fmt.Sprint(i), kingcuphook.Sample{Failed: true})
		}
	}
	ejected := 0
	for i := range 6 {
		if e.Weight(start, fmt.Sprint(i)) == 0 {
			ejected++
		}
	}
	is.Equal(ejected, 2) // a third of six
}
