package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/limiter"
	"github.com/kingcuphook/kingcuphook/preemptor"
)

// machine drives a Scheduler and tracks in plain maps and lists what is queued and
// running.
type machine struct {
	s        *Scheduler
	now      time.Time
	next     int
	waiting  map[string]*kingcuphook.Request
	excluded map[string][]string
	running  []kingcuphook.Assignment
	leaving  map[string]bool
	models   map[string][]string
	versions map[string]string
}

// TestSchedulerProperties covers sequences of about 30 (at most 100) steps over 3
// upstreams of 2 slots with one or two of 2 models and 2 software versions, all 5 tiers,
// requests with and without targets and deadlines, a third of them non-idempotent, some
// restricted to a version, any set of excluded upstreams, upstreams that leave and return,
// and preemption. The guaranteed shares are off, so no lower tier may be assigned before a
// higher one.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			s: &Scheduler{
				Admitter:  &admitter.Admitter{MaxQueued: 20, GuaranteedShare: -1},
				Limiter:   &limiter.Limiter{},
				Selector:  &firstSelector{},
				Preemptor: &preemptor.Preemptor{},
			},
			now:      start,
			waiting:  map[string]*kingcuphook.Request{},
			excluded: map[string][]string{},
			leaving:  map[string]bool{},
			models:   map[string][]string{"a": {"m"}, "b": {"n"}, "c": {"m", "n"}},
			versions: map[string]string{"a": "1", "b": "2", "c": "1"},
		}
		f := kingcuphook.PoolFields{Name: "pool", MaxQueued: 20}
		for _, address := range []string{"a", "b", "c"} {
			u := engine(address, 2, m.models[address]...)
			u.SoftwareVersion = m.versions[address]
			f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(u))
		}
		m.s.Update(start, kingcuphook.NewPool(f))
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"finish": m.finish,
			"cancel": m.cancel,
			"leave":  m.leave,
			"assign": m.assign,
			"":       m.check,
		})
	})
}

func (m *machine) offer(t *rapid.T) {
	m.next++
	f := kingcuphook.RequestFields{
		ID:            fmt.Sprint(m.next),
		Class:         fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "class")),
		Organisation:  fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")),
		Model:         rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
		Tier:          kingcuphook.Tier(rapid.IntRange(1, 5).Draw(t, "tier")),
		Arrived:       m.now,
		Target:        time.Duration(rapid.IntRange(0, 20).Draw(t, "target")) * 100 * time.Millisecond,
		PromptTokens:  rapid.IntRange(1, 1000).Draw(t, "tokens"),
		NonIdempotent: rapid.IntRange(0, 2).Draw(t, "non-idempotent") == 0,
	}
	if d := rapid.IntRange(0, 5).Draw(t, "deadline"); d > 0 {
		f.Deadline = m.now.Add(time.Duration(d) * time.Second)
	}
	r := kingcuphook.NewRequest(f)
	if version := rapid.SampledFrom([]string{"", "", "1", "2", "3"}).Draw(t, "version"); version != "" {
		r = r.Restrict(version)
	}
	m.waiting[r.ID()] = r
	excluded := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "excluded")
	m.excluded[r.ID()] = excluded
	m.removeShed(t, m.s.Requeue(m.now, r, excluded))
}

// removeShed removes shed requests from waiting.
func (m *machine) removeShed(t *rapid.T, sheds []kingcuphook.Shed) {
	for _, s := range sheds {
		if m.waiting[s.Request().ID()] == nil {
			t.Fatalf("%s was shed but did not wait", s.Request().ID())
		}
		delete(m.waiting, s.Request().ID())
	}
}

func (m *machine) assign(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
	before := slices.Clone(m.running)
	assignments, sheds := m.s.Assign(m.now)
	m.removeShed(t, sheds)
	for _, a := range assignments {
		r, address := a.Request, a.Choice.Upstream.Address()
		if m.waiting[r.ID()] != r {
			t.Fatalf("%s was assigned but did not wait", r.ID())
		}
		delete(m.waiting, r.ID())
		if !m.couldRun(r, address) {
			t.Fatalf("%s was assigned to %s", r.ID(), address)
		}
		if a.Preempts != "" {
			m.checkVictim(t, a, before)
		}
		m.running = append(m.running, a)
	}
	for _, w := range m.waiting {
		if version, ok := w.OnlyVersion(); ok && !m.inService(version) {
			t.Fatalf("%s waits for version %s, which is gone", w.ID(), version)
		}
	}
	for _, a := range assignments {
		for _, w := range m.waiting {
			if w.Tier() < a.Request.Tier() && m.couldRun(w, a.Choice.Upstream.Address()) {
				t.Fatalf("tier %d was assigned while tier %d waits", a.Request.Tier(), w.Tier())
			}
		}
	}
}

// couldRun reports whether r could run on the upstream if it had a free slot.
func (m *machine) couldRun(r *kingcuphook.Request, address string) bool {
	if version, ok := r.OnlyVersion(); ok && version != m.versions[address] {
		return false
	}
	return !m.leaving[address] && slices.Contains(m.models[address], r.Model()) && !slices.Contains(m.excluded[r.ID()], address)
}

// inService reports whether an upstream of the software version is not leaving.
func (m *machine) inService(version string) bool {
	for address, v := range m.versions {
		if v == version && !m.leaving[address] {
			return true
		}
	}
	return false
}

// checkVictim checks which run was preempted, and that no run of a lower tier that could
// have been preempted instead is left.
func (m *machine) checkVictim(t *rapid.T, a kingcuphook.Assignment, before []kingcuphook.Assignment) {
	i := slices.IndexFunc(before, func(b kingcuphook.Assignment) bool { return b.Request.ID() == a.Preempts })
	if i < 0 {
		t.Fatalf("%s was preempted but did not run", a.Preempts)
	}
	victim := before[i]
	if victim.Request.NonIdempotent() || victim.Request.Tier() <= a.Request.Tier() || victim.Choice.Upstream != a.Choice.Upstream {
		t.Fatalf("%s was preempted for %s", a.Preempts, a.Request.ID())
	}
	if a.Request.Target() == 0 || m.now.After(a.Request.TargetTime()) {
		t.Fatalf("%s preempts but can't meet its target", a.Request.ID())
	}
	for _, b := range before {
		if b.Request.Tier() <= victim.Request.Tier() || b.Request.NonIdempotent() || !m.couldRun(a.Request, b.Choice.Upstream.Address()) {
			continue
		}
		if !m.s.findRun(b.Request.ID(), b.Choice.Upstream.Address()).preempted {
			t.Fatalf("tier %d was preempted while tier %d runs on", victim.Request.Tier(), b.Request.Tier())
		}
	}
}

func (m *machine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "run")
	a := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.s.Finished(m.now, a.Choice.Upstream.Address(), a.Request, kingcuphook.Sample{Tokens: 10, FirstToken: 20 * time.Millisecond})
}

func (m *machine) cancel(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, m.next+1).Draw(t, "id"))
	if got, want := m.s.Cancel(m.now, id), m.waiting[id] != nil; got != want {
		t.Fatalf("Cancel(%s) = %v, want %v", id, got, want)
	}
	delete(m.waiting, id)
}

func (m *machine) leave(t *rapid.T) {
	address := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
	m.leaving[address] = !m.leaving[address]
	m.s.Report(m.now, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{
		Upstream: address, Made: m.now.Add(-time.Hour), Leaving: m.leaving[address],
	}))
}

func (m *machine) check(t *rapid.T) {
	if m.s.Len() != len(m.waiting) || m.s.Running() != len(m.running) {
		t.Fatalf("%d wait and %d run, want %d and %d", m.s.Len(), m.s.Running(), len(m.waiting), len(m.running))
	}
	restricted := 0
	for _, queued := range m.s.restricted {
		restricted += len(queued)
	}
	if restricted > len(m.waiting) {
		t.Fatalf("%d restricted requests are kept while %d wait", restricted, len(m.waiting))
	}
	if len(m.s.excluded) > len(m.waiting) {
		t.Fatalf("exclusions of %d requests are kept while %d wait", len(m.s.excluded), len(m.waiting))
	}
}
