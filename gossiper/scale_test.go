package gossiper_test

import (
	"fmt"
	"testing"
	"time"
)

func TestScaleX(t *testing.T) {
	for _, n := range []int{8, 64, 275, 1100} {
		c, r := 21, 10
		if n < 64 {
			c, r = 3, 3
		}
		f := newFleet(n, c, r, 1)
		w := time.Now()
		took := f.until(10*time.Minute, f.agrees)
		t.Log(n, "agree", took, time.Since(w))
		var min, max int
		f.run(60 * time.Second)
		for _, x := range f.routers {
			x.bytes = 0
		}
		w = time.Now()
		calls := f.calls
		f.run(20 * time.Second)
		tot := 0
		for _, x := range f.routers {
			if x.bytes > max {
				max = x.bytes
			}
			tot += x.bytes
		}
		_ = min
		t.Log(n, "idle bytes/s avg", tot/n/20, "max", max/20, "calls", f.calls-calls, "cpu", time.Since(w)/time.Duration(20*n))
		// changes 1.27/s
		for _, x := range f.routers {
			x.bytes = 0
		}
		var worst time.Duration
		for k := 0; k < 25; k++ {
			f.run(time.Duration(f.rng.ExpFloat64()*786) * time.Millisecond)
			f.store++
		}
		_ = fmt.Sprint
		el := 25 * 786 * time.Millisecond
		max, tot = 0, 0
		for _, x := range f.routers {
			if x.bytes > max {
				max = x.bytes
			}
			tot += x.bytes
		}
		t.Log(n, "busy bytes/s avg", float64(tot/n)/el.Seconds(), "max", float64(max)/el.Seconds())
		for k := 0; k < 10; k++ {
			f.run(time.Duration(f.rng.ExpFloat64()*786) * time.Millisecond)
			f.store++
			if d := f.until(time.Minute, f.inForce); d > worst || d < 0 {
				worst = d
				if d < 0 {
					break
				}
			}
		}
		t.Log(n, "in force worst", worst)
	}
}
