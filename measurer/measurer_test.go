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

// subset measures every case with two seeds and a short horizon, once.
var subset = sync.OnceValues(func() (*measurement, error) {
	o := Options{Seed: 1, Seeds: 2, Horizon: 14 * time.Second}
	f, err := o.load()
	if err != nil {
		return nil, err
	}
	return measure(f, o)
})

// reach fails for every miss of the stated target, each case on its own.
func reach(t *testing.T, g goal) {
	t.Helper()
	m, err := subset()
	is.New(t).NoErr(err)
	misses := m.misses()
	for _, c := range m.cases {
		t.Run(c.spec.Name, func(t *testing.T) {
			for _, miss := range misses {
				if miss.goal == g && miss.scenario == c.spec.Name {
					t.Errorf("seed %d: %s", miss.seed, miss.what)
				}
			}
		})
	}
}

func TestTopTierReachesTarget(t *testing.T)       { reach(t, goalTopTier) }
func TestGoodputReachesTheBound(t *testing.T)     { reach(t, goalBound) }
func TestWastedWorkReachesTarget(t *testing.T)    { reach(t, goalWaste) }
func TestEveryClassIsServed(t *testing.T)         { reach(t, goalService) }
func TestGoodputIsNotBelowBaselines(t *testing.T) { reach(t, goalBaseline) }

func TestNoPolicyExceedsTheBound(t *testing.T) {
	is := is.New(t)
	m, err := subset()
	is.NoErr(err)
	for _, c := range m.cases {
		for _, p := range c.policies {
			for n, r := range p.results {
				is.True(r.goodput <= c.free[n]+1e-9) // the bound holds
			}
		}
		for n := range m.seeds {
			is.True(c.strict[n] <= c.free[n]+1e-9) // more rules never give more
		}
	}
}

func TestSameSeedGivesTheSameReport(t *testing.T) {
	is := is.New(t)
	o := Options{Seed: 3, Seeds: 1, Cases: []string{"crash"}, Horizon: 12 * time.Second, Check: true}
	var a, b bytes.Buffer
	is.NoErr(Run(o, &a))
	is.NoErr(Run(o, &b))
	is.Equal(a.String(), b.String())
	is.True(strings.Contains(a.String(), "fifo-round-robin"))
}

func TestParseRefusesBadFiles(t *testing.T) {
	good := string(defaultCases)
	for name, text := range map[string]string{
		"unknown key":      good + "\nspeed = 3\n",
		"no classes":       strings.ReplaceAll(good, "[[class]]", "[[case]]"),
		"negative time":    strings.Replace(good, `horizon = "30s"`, `horizon = "-30s"`, 1),
		"unknown runner":   strings.Replace(good, "straggler = { runner = 1", "straggler = { runner = 12", 1),
		"too many regions": strings.Replace(good, "regions = 2", "regions = 20", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(text != good)
			_, err := parse("cases.toml", []byte(text))
			is.True(errors.Is(err, kingcuphook.ErrInvalid))
		})
	}
}
