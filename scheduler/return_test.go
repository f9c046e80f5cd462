package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// The requests at an upstream that left the tables and returned were forgotten, but not their ends.
func TestReturnedUpstreamKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	a, b := engine("a", 4), engine("b", 4)
	s := newScheduler(a, b)
	for _, id := range []string{"0", "1", "2"} {
		s.Offer(start, request(id, 1))
	}
	is.Equal(assign(s, start), "0>a 1>a 2>a ")
	s.Update(start, pool(b))
	s.Update(start, pool(a, b))
	s.Ejector = &fixedEjector{weights: map[string]float64{"a": 0.5}}
	s.Finished(start, "a", request("0", 1), kingcuphook.Sample{})
	s.Offer(start, request("3", 1))
	is.Equal(assign(s, start), "3>b ") // two of its four slots are in use
}
