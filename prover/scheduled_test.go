package prover

import (
	"testing"
	"testing/synctest"
)

// TestScheduled tries the cells with the scheduler of the routers in place of
// the stand-in, and all at once on a pool that is too small for a part of them.
func TestScheduled(t *testing.T) {
	for _, c := range Singles() {
		var o Observation
		synctest.Test(t, func(*testing.T) {
			w := NewWorld(seed, cellRouters, cellUpstreams)
			w.Schedule(seed)
			o = c.RunIn(w)
		})
		first, last := Expect(c)
		if !Matches(first, o.First) || !Matches(last, o.Last) {
			t.Errorf("%s: expected %s, %s; got %s, %s", c.name(), first, last, o.First, o.Last)
		}
		for _, v := range o.Violations {
			t.Errorf("%s: %s", c.name(), v)
		}
	}
}
