package forecaster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// A call was taken that could not end: calls took longer than all that had been seen.
func TestForecastIsAboveNearlyAllCalls(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	exceeded, calls := 0, 0
	for range 200 {
		f := &Forecaster{}
		for i := range 100 {
			took := time.Duration((1 + random.ExpFloat64()) * float64(time.Second))
			if longest, known := f.Forecast(Call{Route: "r"}); known > 0 {
				calls++
				if took > longest {
					exceeded++
				}
			}
			f.Observe(start.Add(time.Duration(i)*100*time.Millisecond), Call{Route: "r"}, took)
		}
	}
	is.True(exceeded*100 < calls)
}

// Calls were refused though all calls of the route end far earlier.
func TestForecastIsNearCallsOfOneLength(t *testing.T) {
	is := is.New(t)
	f := &Forecaster{}
	for range 100 {
		f.Observe(start, Call{"r", 1000, 50}, time.Second)
	}
	for c, want := range map[Call]time.Duration{{"r", 10, 5}: time.Second, {"r", 1000, 100}: 2 * time.Second, {"r", 2000, 0}: 2 * time.Second} {
		longest, _ := f.Forecast(c)
		is.True(longest > want && longest < want*5/4)
	}
}

// A single long call let all later ones be refused.
func TestLongCallIsForgotten(t *testing.T) {
	is := is.New(t)
	f := &Forecaster{}
	f.Observe(start, Call{Route: "r"}, time.Minute)
	longest, _ := f.Forecast(Call{Route: "r"})
	is.True(longest >= 3*time.Minute) // one call tells little
	for i := range 3 * windowCalls {
		f.Observe(start.Add(time.Duration(i)*time.Second), Call{Route: "r"}, time.Second)
	}
	longest, _ = f.Forecast(Call{Route: "r"})
	is.True(longest < 2*time.Second)
}

// Grace times and time-outs: the time-out decides while no call was observed, and it is no
// reason to refuse one that is known to be short.
func TestLatestStart(t *testing.T) {
	is := is.New(t)
	known := &Forecaster{}
	for range 100 {
		known.Observe(start, Call{Route: "r"}, time.Second)
	}
	for _, tc := range []struct {
		f              *Forecaster
		grace, timeout time.Duration
		latest         time.Duration // from now on; a negative one means that the call is refused
	}{
		{known, time.Second, 10 * time.Second, -220 * time.Millisecond},
		{known, 3 * time.Second, 10 * time.Second, 1780 * time.Millisecond},
		{known, 15 * time.Second, 30 * time.Second, 13780 * time.Millisecond},
		{known, 3 * time.Second, time.Second, 2900 * time.Millisecond},
		{&Forecaster{}, 3 * time.Second, time.Second, 2900 * time.Millisecond},
		{&Forecaster{}, 3 * time.Second, 10 * time.Second, -7100 * time.Millisecond},
		{&Forecaster{}, 15 * time.Second, 10 * time.Second, 14900 * time.Millisecond},
	} {
		s := tc.f.LatestStart(Call{Route: "r"}, start, start.Add(tc.timeout), start.Add(tc.grace))
		is.Equal(s.Latest.Sub(start).Round(time.Millisecond), tc.latest)
	}
}
