// Package measurer measures the scheduling policy by discrete-event simulation: the
// production schedulers of several routers send generated requests to emulated
// engines in virtual time. Runs with the same seed give the same results.
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
	// maxWorkers limits the simulations that run at once.
	maxWorkers = 4
)

// Options selects the cases, policies and seeds to measure.
type Options struct {
	// Seed is the first seed; Seeds is their number, 0 means 20.
	Seed  uint64
	Seeds int
	// CasesFile is the path of a file of cases; empty means the built-in cases.
	CasesFile string
	// Cases are the names of the cases to run; none means all.
	Cases []string
	// Policies are the names of the policies to run; none means all.
	Policies []string
	// Ablate compares the policy with variants that each lack one mechanism, instead
	// of with the baselines.
	Ablate bool
	// Horizon replaces the file's period of arrivals; 0 leaves it.
	Horizon time.Duration
	// Check appends the list of missed targets to the report.
	Check bool
}

// policyKingcuphook is the name of the full policy, with every mechanism.
const policyKingcuphook = "kingcuphook"

// policy is a named constructor of schedulers.
type policy struct {
	name string
	make func(p schedulerConfig) kingcuphook.Scheduler
}

// Run measures what o selects and writes the report to w. An error in the cases file
// wraps kingcuphook.ErrInvalid.
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
		return nil, fmt.Errorf("measurer: unknown case: %w", errors.Join(kingcuphook.ErrNotFound, kingcuphook.ErrInvalid))
	}
	return f, nil
}

func (o Options) seeds() int {
	if o.Seeds == 0 {
		return defaultSeeds
	}
	return o.Seeds
}

// policies returns the policies to compare, the full policy first unless it is not
// among those selected.
func (o Options) policies(f *file) []policy {
	all := []policy{composedPolicy(f, policyKingcuphook)}
	if o.Ablate {
		for _, m := range composer.Mechanisms() {
			all = append(all, composedPolicy(f, "no-"+string(m), m))
		}
	} else {
		all = append(all, baselinePolicies()...)
	}
	if len(o.Policies) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(p policy) bool { return !slices.Contains(o.Policies, p.name) })
}

func composedPolicy(f *file, name string, off ...composer.Mechanism) policy {
	return policy{name: name, make: func(p schedulerConfig) kingcuphook.Scheduler {
		c := composer.Composer{
			Region: p.region, DataCentre: p.region, Routers: p.routers, RouterIndex: p.rank, Disabled: off,
			Seed:        p.seed*1_000 + uint64(p.number),
			RegionDelay: f.RegionDelay.std(), CentreDelay: f.CentreDelay.std(),
		}
		return c.Compose()
	}}
}

func baselinePolicies() []policy {
	return []policy{
		{name: "fifo-round-robin", make: func(p schedulerConfig) kingcuphook.Scheduler {
			return &baseline{region: p.region, order: orderArrival, roundRobin: true, offset: p.number}
		}},
		{name: "fifo-least-in-flight", make: func(p schedulerConfig) kingcuphook.Scheduler {
			return &baseline{region: p.region, order: orderArrival, offset: p.number}
		}},
		{name: "priority-queue", make: func(p schedulerConfig) kingcuphook.Scheduler {
			limit := max(p.slots/p.routers, 1)
			return &baseline{region: p.region, order: orderTier, limit: limit, offset: p.number}
		}},
	}
}

// measurement holds the results of all cases.
type measurement struct {
	f     *file
	seeds []uint64
	cases []measuredCase
}

// measuredCase holds the results of one case.
type measuredCase struct {
	spec *caseSpec
	// policies holds the results of each policy.
	policies []measuredPolicy
	// overall and byTier hold the upper bounds of goodput for each seed, as computed by
	// bounds.
	overall, byTier []float64
	// classes holds for each seed the upper bound of each class's attainment in byTier.
	classes [][]float64
}

// measuredPolicy holds the results of one policy, one for each seed.
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
		return nil, fmt.Errorf("measurer: unknown policy: %w", kingcuphook.ErrNotFound)
	}
	m.cases = make([]measuredCase, len(f.Cases))
	var g errgroup.Group
	g.SetLimit(min(maxWorkers, runtime.GOMAXPROCS(0)))
	for i := range f.Cases {
		m.cases[i] = newMeasuredCase(&f.Cases[i], policies, len(m.seeds))
		for n := range m.seeds {
			g.Go(func() error {
				m.runSeed(&m.cases[i], n, policies)
				return nil
			})
		}
	}
	return m, g.Wait()
}

func newMeasuredCase(spec *caseSpec, policies []policy, seeds int) measuredCase {
	c := measuredCase{
		spec: spec, overall: make([]float64, seeds), byTier: make([]float64, seeds), classes: make([][]float64, seeds),
	}
	for _, p := range policies {
		c.policies = append(c.policies, measuredPolicy{name: p.name, results: make([]result, seeds)})
	}
	return c
}

// runSeed simulates every policy on the workload of one case and the n-th seed, and
// computes the upper bounds.
func (m *measurement) runSeed(c *measuredCase, n int, policies []policy) {
	seed := m.seeds[n]
	arrivals := newGenerator(m.f, c.spec, seed).arrivals()
	for i, p := range policies {
		sim := newSimulation(m.f, c.spec, seed, p.make)
		sim.run(slices.Clone(arrivals))
		c.policies[i].results[n] = sim.summarize()
	}
	horizon := m.f.Horizon.std().Seconds()
	overall, byTier, classes := bounds(m.f, c.spec, arrivals)
	c.overall[n], c.byTier[n] = overall/horizon, byTier/horizon
	for class, attained := range classes {
		classes[class] = ratio(attained, float64(c.policies[0].results[n].arrived[class]))
	}
	c.classes[n] = classes
}
