// Package measurer measures the policy: the real decision objects of several
// routers before one kind of fake engine, in a loop of events over virtual
// time. Every run is the same for the same seed.
package measurer

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/composer"
)

// Defaults of Options.
const (
	defaultSeeds = 20
	// maxWorkers bounds the runs at once.
	maxWorkers = 4
)

// Options say what is measured.
type Options struct {
	// Seed is the first seed; Seeds is their number, 0 means 20.
	Seed  uint64
	Seeds int
	// CasesFile is a file of cases; empty means the one built in.
	CasesFile string
	// Cases are the names of the cases to run; none means all.
	Cases []string
	// Policies are the names of the policies to run; none means all.
	Policies []string
	// Ablate runs the policy once more without each mechanism, in place of the
	// baselines.
	Ablate bool
	// Horizon shortens the time of arrivals; 0 leaves that of the file.
	Horizon time.Duration
	// Check ends the report with the stated targets that were missed.
	Check bool
}

// policyKingcuphook is the name of the whole policy.
const policyKingcuphook = "kingcuphook"

// policy makes the schedulers of one way to decide.
type policy struct {
	name string
	make func(p place) kingcuphook.Scheduler
}

// Run measures and writes its report to w. An error of the cases file wraps
// kingcuphook.ErrInvalid.
func Run(o Options, w io.Writer) error {
	f, err := o.load()
	if err != nil {
		return err
	}
	m, err := measure(f, o)
	if err != nil {
		return err
	}
	m.write(w)
	if o.Check {
		writeMisses(w, m.misses())
	}
	return nil
}

func (o Options) load() (*file, error) {
	name, text := "built-in cases", defaultCases
	if o.CasesFile != "" {
		var err error
		name = o.CasesFile
		if text, err = os.ReadFile(o.CasesFile); err != nil {
			return nil, fmt.Errorf("measurer: %w", err)
		}
	}
	f, err := parse(name, text)
	if err != nil {
		return nil, err
	}
	if o.Horizon > 0 {
		f.Horizon = duration(o.Horizon)
	}
	if len(o.Cases) > 0 {
		f.Cases = slices.DeleteFunc(f.Cases, func(c caseSpec) bool { return !slices.Contains(o.Cases, c.Name) })
	}
	if len(f.Cases) == 0 {
		return nil, fmt.Errorf("measurer: no such case: %w", errors.Join(kingcuphook.ErrNotFound, kingcuphook.ErrInvalid))
	}
	return f, nil
}

func (o Options) seeds() int {
	if o.Seeds == 0 {
		return defaultSeeds
	}
	return o.Seeds
}

// policies returns what is compared, the whole policy first.
func (o Options) policies(f *file) []policy {
	all := []policy{composed(f, policyKingcuphook)}
	if o.Ablate {
		for _, m := range composer.Mechanisms() {
			all = append(all, composed(f, "no-"+string(m), m))
		}
	} else {
		all = append(all, baselines()...)
	}
	if len(o.Policies) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(p policy) bool { return !slices.Contains(o.Policies, p.name) })
}

func composed(f *file, name string, off ...composer.Mechanism) policy {
	return policy{name: name, make: func(p place) kingcuphook.Scheduler {
		c := composer.Composer{
			Region: p.region, DataCentre: p.region, Routers: p.routers, RouterIndex: p.rank, Disabled: off,
			Seed:        p.seed*1_000 + uint64(p.number),
			RegionDelay: f.RegionDelay.std(), CentreDelay: f.CentreDelay.std(),
		}
		return c.Compose()
	}}
}

func baselines() []policy {
	return []policy{
		{name: "fifo-round-robin", make: func(p place) kingcuphook.Scheduler {
			return &baseline{region: p.region, order: orderArrival, rotate: true, turn: p.number}
		}},
		{name: "fifo-least-in-flight", make: func(p place) kingcuphook.Scheduler {
			return &baseline{region: p.region, order: orderArrival, turn: p.number}
		}},
		{name: "priority-queue", make: func(p place) kingcuphook.Scheduler {
			bound := max(p.slots/p.routers, 1)
			return &baseline{region: p.region, order: orderTier, bound: bound, turn: p.number}
		}},
	}
}

// measurement has the results of all cases.
type measurement struct {
	f     *file
	seeds []uint64
	cases []measuredCase
}

// measuredCase has the results of one case.
type measuredCase struct {
	spec *caseSpec
	// policies has the results by seed of each policy.
	policies []measuredPolicy
	// free and strict are the upper bounds of goodput by seed.
	free, strict []float64
	// classes are the strict bounds of attainment by class, by seed.
	classes [][]float64
}

// measuredPolicy has the results of one policy by seed.
type measuredPolicy struct {
	name    string
	results []result
}

func measure(f *file, o Options) (*measurement, error) {
	m := &measurement{f: f}
	for n := range o.seeds() {
		m.seeds = append(m.seeds, o.Seed+uint64(n))
	}
	policies := o.policies(f)
	if len(policies) == 0 {
		return nil, fmt.Errorf("measurer: no such policy: %w", kingcuphook.ErrNotFound)
	}
	m.cases = make([]measuredCase, len(f.Cases))
	var g errgroup.Group
	g.SetLimit(min(maxWorkers, runtime.GOMAXPROCS(0)))
	for i := range f.Cases {
		m.cases[i] = newMeasuredCase(&f.Cases[i], policies, len(m.seeds))
		for n := range m.seeds {
			g.Go(func() error {
				m.runOne(&m.cases[i], n, policies)
				return nil
			})
		}
	}
	return m, g.Wait()
}

func newMeasuredCase(spec *caseSpec, policies []policy, seeds int) measuredCase {
	c := measuredCase{
		spec: spec, free: make([]float64, seeds), strict: make([]float64, seeds), classes: make([][]float64, seeds),
	}
	for _, p := range policies {
		c.policies = append(c.policies, measuredPolicy{name: p.name, results: make([]result, seeds)})
	}
	return c
}

// runOne runs every policy on the workload of one case and seed.
func (m *measurement) runOne(c *measuredCase, n int, policies []policy) {
	seed := m.seeds[n]
	arrivals := newGenerator(m.f, c.spec, seed).arrivals()
	for i, p := range policies {
		w := newWorld(m.f, c.spec, seed, p.make)
		w.run(slices.Clone(arrivals))
		c.policies[i].results[n] = w.tally()
	}
	horizon := m.f.Horizon.std().Seconds()
	free, strict, classes := bounds(m.f, c.spec, arrivals)
	c.free[n], c.strict[n] = free/horizon, strict/horizon
	for class, attained := range classes {
		classes[class] = share(attained, float64(c.policies[0].results[n].arrived[class]))
	}
	c.classes[n] = classes
}
