package prover

import (
	"testing"
	"testing/synctest"
	"time"
)

// tryIn tries the cells of one fault in worlds that are prepared first.
func tryIn(t *testing.T, prepare func(w *World)) {
	t.Helper()
	for _, c := range Singles() {
		var o Observation
		synctest.Test(t, func(*testing.T) {
			w := NewWorld(seed, cellRouters, cellUpstreams)
			prepare(w)
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

// TestScheduled uses the scheduler of the routers in place of the stand-in.
func TestScheduled(t *testing.T) {
	tryIn(t, func(w *World) { w.Schedule(seed) })
}

// TestHedged hedges every call whose first frame is late.
func TestHedged(t *testing.T) {
	tryIn(t, func(w *World) {
		w.Schedule(seed)
		w.hedge()
	})
}

func (w *World) hedge() {
	for _, r := range w.Routers {
		r.Dispatcher.Limits.HedgeAfter = 15 * time.Millisecond
	}
}
