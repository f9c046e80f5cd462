package measurer

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// shortMeasurement measures every case with two seeds and a short horizon. The tests
// share its result.
var shortMeasurement = sync.OnceValues(func() (*measurement, error) {
	o := Options{Seed: 1, Seeds: 2, Horizon: 14 * time.Second}
	f, err := o.load()
	if err != nil {
		return nil, err
	}
	return measure(f, o)
})

// checkGoal fails for every miss of the target g, in one subtest for each case.
func checkGoal(t *testing.T, g goal) {
	t.Helper()
	m, err := shortMeasurement()
	is.New(t).NoErr(err)
	misses := m.misses()
	for _, c := range m.cases {
		t.Run(c.spec.Name, func(t *testing.T) {
			for _, miss := range misses {
				if miss.goal == g && miss.caseName == c.spec.Name {
					t.Errorf("seed %d: %s", miss.seed, miss.detail)
				}
			}
		})
	}
}

// These tests guard against a scheduling policy that misses a target of the policy
// measurement in one or more of its cases.

func TestTopTierReachesTarget(t *testing.T)       { checkGoal(t, goalTopTier) }
func TestGoodputReachesTheBound(t *testing.T)     { checkGoal(t, goalBound) }
func TestWastedWorkReachesTarget(t *testing.T)    { checkGoal(t, goalWaste) }
func TestEveryClassIsServed(t *testing.T)         { checkGoal(t, goalService) }
func TestGoodputIsNotBelowBaselines(t *testing.T) { checkGoal(t, goalBaseline) }

// TestNoPolicyExceedsTheBound guards against an upper bound that is too low, or a
// simulation that completes more work than the engines can do.
func TestNoPolicyExceedsTheBound(t *testing.T) {
	is := is.New(t)
	m, err := shortMeasurement()
	is.NoErr(err)
	for _, c := range m.cases {
		for _, p := range c.policies {
			for n, r := range p.results {
				is.True(r.goodput <= c.overall[n]+1e-9) // no run exceeds the upper bound
			}
		}
		for n := range m.seeds {
			is.True(c.byTier[n] <= c.overall[n]+1e-9) // the bound for policies in tier order is not above the overall bound
		}
	}
}

// TestSameSeedGivesTheSameReport guards against a simulation whose results depend on
// anything but the seed, such as the order of goroutines or of map iteration.
func TestSameSeedGivesTheSameReport(t *testing.T) {
	is := is.New(t)
	o := Options{Seed: 3, Seeds: 1, Cases: []string{"crash"}, Horizon: 12 * time.Second, Check: true}
	var a, b bytes.Buffer
	is.NoErr(Run(o, &a))
	is.NoErr(Run(o, &b))
	is.Equal(a.String(), b.String())
	is.True(strings.Contains(a.String(), "fifo-round-robin"))
}

// TestParseRejectsInvalidFiles guards against a measurement of other cases than intended
// because of a mistake in the file of cases.
func TestParseRejectsInvalidFiles(t *testing.T) {
	good := string(defaultCases)
	for name, text := range map[string]string{
		"unknown key":       good + "\nspeed = 3\n",
		"no classes":        strings.ReplaceAll(good, "[[class]]", "[[case]]"),
		"negative duration": strings.Replace(good, `horizon = "30s"`, `horizon = "-30s"`, 1),
		"unknown runner":    strings.Replace(good, "straggler = { runner = 1", "straggler = { runner = 12", 1),
		"too many regions":  strings.Replace(good, "regions = 2", "regions = 20", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(text != good)
			_, err := parse("cases.toml", []byte(text))
			is.True(errors.Is(err, kingcuphook.ErrInvalid))
		})
	}
}
