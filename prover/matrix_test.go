package prover

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

const seed = 1

// observe runs a cell under a virtual clock.
func observe(t *testing.T, c Cell) Observation {
	t.Helper()
	var o Observation
	synctest.Test(t, func(*testing.T) { o = c.Run(seed) })
	return o
}

func (c Cell) name() string { return fmt.Sprintf("%s/%s/%v", c.Kind, c.Step, c.Faults) }

func TestSingles(t *testing.T) {
	for _, c := range Singles() {
		o := observe(t, c)
		first, last := Expect(c)
		if !Matches(first, o.First) || !Matches(last, o.Last) {
			t.Errorf("%s: expected %s, %s; got %s, %s", c.name(), first, last, o.First, o.Last)
		}
		for _, v := range o.Violations {
			t.Errorf("%s: %s", c.name(), v)
		}
	}
}

func TestPairs(t *testing.T) {
	is := is.New(t)
	cells := Pairs()
	is.True(len(cells) > 1000)
	for _, c := range cells {
		for _, v := range observe(t, c).Violations {
			t.Errorf("%s: %s", c.name(), v)
		}
	}
}
