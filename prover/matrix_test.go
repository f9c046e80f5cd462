package prover

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write docs/FAULT-MATRIX.md from the results")

const (
	seed     = 1
	pagePath = "../docs/FAULT-MATRIX.md"
)

// runCells runs each cell with a virtual clock and fails the test for every violation.
func runCells(t *testing.T, cells []Cell) []Result {
	t.Helper()
	results := make([]Result, 0, len(cells))
	for _, c := range cells {
		r := Result{Cell: c}
		synctest.Test(t, func(*testing.T) { r.Observation = c.Run(seed) })
		for _, v := range r.Observation.Violations {
			t.Errorf("%s: %s", c.name(), v)
		}
		results = append(results, r)
	}
	return results
}

func (c Cell) name() string { return fmt.Sprintf("%s/%s/%v", c.Kind, c.Step, c.Faults) }

// TestMatrix runs every single fault and every pair of faults. It guards against violated
// rules, against unexpected results with a single fault, and against a
// docs/FAULT-MATRIX.md that differs from the results.
func TestMatrix(t *testing.T) {
	is := is.New(t)
	singles := runCells(t, SingleFaultCells())
	for _, r := range singles {
		first, last := Expect(r.Cell)
		if !Matches(first, r.Observation.First) || !Matches(last, r.Observation.Last) {
			t.Errorf("%s: expected %s, %s; got %s, %s", r.Cell.name(), first, last, r.Observation.First, r.Observation.Last)
		}
	}
	page := Page(singles, runCells(t, FaultPairCells()))
	if *update {
		is.NoErr(os.WriteFile(pagePath, []byte(page), 0o644))
	}
	kept, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.Equal(string(kept), page) // run with -update
}
