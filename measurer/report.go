package measurer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/kingcuphook/kingcuphook"
)

// Stated targets of the policy.
const (
	// targetTop is the lowest acceptable attainment of the highest tier.
	targetTop = 0.99
	// targetBound is the lowest acceptable share of the upper bound of goodput in the
	// cases with a burst of the load boundLoad.
	targetBound = 0.95
	boundLoad   = 1.5
	// targetWaste and targetCrashWaste are the limits that the share of wasted work
	// must stay below in cases without and with a crash.
	targetWaste      = 0.01
	targetCrashWaste = 0.05
)

// columns holds the headings of the columns after those of the classes.
var columns = []string{"late %", "slow %", "goodput /s", "wasted %", "cached %", "cross MB", "preempted", "lost", "served"}

// write prints a table for every case.
func (m *measurement) write(w io.Writer) {
	fmt.Fprintf(w, "seeds %d to %d; each figure is minimum/median/maximum over the seeds\n", m.seeds[0], m.seeds[len(m.seeds)-1])
	for i := range m.cases {
		m.writeCase(w, &m.cases[i])
	}
}

func (m *measurement) writeCase(w io.Writer, c *measuredCase) {
	fmt.Fprintf(w, "\n%s\n", c.spec.Name)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := make([]string, 0, len(m.f.Classes)+len(columns)+1)
	head = append(head, "policy")
	for _, class := range m.f.Classes {
		head = append(head, class.Name+" %")
	}
	head = append(head, columns...)
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, p := range c.policies {
		fmt.Fprintln(t, strings.Join(m.row(p), "\t"))
	}
	fmt.Fprintln(t, strings.Join(m.boundRow("bound-by-tier", c.byTier, c.classes), "\t"))
	fmt.Fprintln(t, strings.Join(m.boundRow("bound", c.overall, nil), "\t"))
	_ = t.Flush()
}

func (m *measurement) row(p measuredPolicy) []string {
	cells := []string{p.name}
	for class := range m.f.Classes {
		cells = append(cells, p.spread(100, func(r *result) float64 { return r.attainment(class) }))
	}
	return append(cells,
		p.spread(100, func(r *result) float64 { return r.late }),
		p.spread(100, func(r *result) float64 { return r.slow }),
		p.spread(1, func(r *result) float64 { return r.goodput }),
		p.spread(100, func(r *result) float64 { return r.wasted }),
		p.spread(100, func(r *result) float64 { return r.cachedShare }),
		p.spread(1e-6, func(r *result) float64 { return float64(r.crossBytes) }),
		p.spread(1, func(r *result) float64 { return float64(r.preempted) }),
		p.spread(1, func(r *result) float64 { return float64(r.shed + r.expired + r.failed) }),
		p.served(),
	)
}

func (m *measurement) boundRow(name string, goodput []float64, classes [][]float64) []string {
	cells := []string{name}
	for class := range m.f.Classes {
		values := make([]float64, 0, len(classes))
		for _, seed := range classes {
			values = append(values, 100*seed[class])
		}
		cells = append(cells, spread(values))
	}
	return append(cells, "", "", spread(goodput), "", "", "", "", "", "")
}

func (p measuredPolicy) spread(factor float64, figure func(r *result) float64) string {
	values := make([]float64, 0, len(p.results))
	for i := range p.results {
		values = append(values, factor*figure(&p.results[i]))
	}
	return spread(values)
}

func (p measuredPolicy) served() string {
	for i := range p.results {
		if !p.results[i].served() {
			return "no"
		}
	}
	return "all"
}

// spread formats the minimum, median and maximum of the values, which it sorts.
func spread(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	slices.Sort(values)
	return fmt.Sprintf("%.1f/%.1f/%.1f", values[0], values[len(values)/2], values[len(values)-1])
}

// goal is the name of a target.
type goal string

// Values of goal.
const (
	goalTopTier  goal = "top-tier"
	goalBound    goal = "bound"
	goalBaseline goal = "baseline"
	goalWaste    goal = "waste"
	goalService  goal = "service"
)

// miss is a target that the policy missed in one run.
type miss struct {
	goal     goal
	caseName string
	seed     uint64
	detail   string
}

// misses returns the targets that the first policy missed. Without a selection of
// policies that is the full policy.
func (m *measurement) misses() []miss {
	var all []miss
	for i := range m.cases {
		c := &m.cases[i]
		for n, seed := range m.seeds {
			add := func(g goal, format string, args ...any) {
				all = append(all, miss{goal: g, caseName: c.spec.Name, seed: seed, detail: fmt.Sprintf(format, args...)})
			}
			m.checkAttainment(c, n, add)
			m.checkGoodput(c, n, add)
			m.checkWork(c, n, add)
		}
	}
	return all
}

// checkAttainment checks the attainment of the highest tier, and that every class was
// served.
func (m *measurement) checkAttainment(c *measuredCase, n int, add func(goal, string, ...any)) {
	r := &c.policies[0].results[n]
	for class, spec := range m.f.Classes {
		attained := r.attainment(class)
		if spec.Tier == kingcuphook.HighestTier && attained < targetTop {
			add(goalTopTier, "attainment of %s %.2f%% is below %.0f%%", spec.Name, 100*attained, 100*targetTop)
		}
	}
	if !r.served() {
		add(goalService, "a class was not served")
	}
}

// checkGoodput compares the goodput with the upper bound and with the other policies.
func (m *measurement) checkGoodput(c *measuredCase, n int, add func(goal, string, ...any)) {
	goodput := c.policies[0].results[n].goodput
	if c.spec.Burst != nil && c.spec.Burst.Load == boundLoad && goodput < targetBound*c.overall[n] {
		add(goalBound, "goodput %.1f/s is %.1f%% of the bound %.1f/s", goodput, 100*goodput/c.overall[n], c.overall[n])
	}
	for _, p := range c.policies[1:] {
		if other := p.results[n].goodput; goodput < other {
			add(goalBaseline, "goodput %.1f/s is below %s with %.1f/s", goodput, p.name, other)
		}
	}
}

// checkWork checks the share of wasted work.
func (m *measurement) checkWork(c *measuredCase, n int, add func(goal, string, ...any)) {
	limit := targetWaste
	if c.spec.Crash != nil {
		limit = targetCrashWaste
	}
	if wasted := c.policies[0].results[n].wasted; wasted >= limit {
		add(goalWaste, "wasted work %.2f%% is not below %.0f%%", 100*wasted, 100*limit)
	}
}

func writeMisses(w io.Writer, all []miss) {
	fmt.Fprintf(w, "\nmissed targets: %d\n", len(all))
	for _, m := range all {
		fmt.Fprintf(w, "%s: %s seed %d: %s\n", m.goal, m.caseName, m.seed, m.detail)
	}
}
