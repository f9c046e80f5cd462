package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// versionStep is the difference between the versions of two declarations.
	versionStep = 2
	// maxChanges is the largest number of changes of a fault.
	maxChanges = 12
	// minIdleTimeout is above the time that callers leave connections idle.
	minIdleTimeout = 300 * time.Millisecond
	// reuseTime is how long after the registration of an upstream as leaving its address goes
	// to another pool.
	reuseTime = leaveGrace + 3*time.Second
)

// change is a change of the declaration.
type change struct {
	name  string
	apply func(*standin.Declaration)
}

// declare writes the next version of the declaration. env.mu is held.
func (env *environment) declare(apply func(*standin.Declaration)) error {
	env.declared.Version += versionStep
	apply(&env.declared)
	value, err := env.declared.Encode()
	if err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	return env.put(platform.DeclarationKey, value)
}

// randomChange returns a change that no caller may notice.
func randomChange(rng *rand.Rand) change {
	kind := movableKinds[rng.IntN(len(movableKinds))]
	share := rng.Float64()
	extra := fmt.Sprintf("extra%d", rng.IntN(3))
	seconds := time.Duration(10+rng.IntN(10)) * time.Second
	idle := between(rng, minIdleTimeout, 5*time.Second)
	size := 64<<10 + rng.IntN(64<<10)
	changes := []change{
		{"route added or removed", func(d *standin.Declaration) { d.Extra = toggle(d.Extra, extra) }},
		{"route moved", func(d *standin.Declaration) { d.Shares = withShare(d.Shares, kind, 1) }},
		{"route moved back", func(d *standin.Declaration) { d.Shares = withShare(d.Shares, kind, 0) }},
		{"route split", func(d *standin.Declaration) { d.Shares = withShare(d.Shares, kind, share) }},
		{"time-out", func(d *standin.Declaration) { d.Timeout = seconds }},
		{"idle bound", func(d *standin.Declaration) { d.IdleTimeout = idle }},
		{"head bound", func(d *standin.Declaration) { d.HeaderTimeout, d.MaxHeaderBytes = idle+time.Second, size }},
		{"body bound", func(d *standin.Declaration) { d.MaxBodyBytes = size }},
		{"key added", func(d *standin.Declaration) { d.Keys = append(slices.Clone(d.Keys), extra) }},
		{"nothing", func(*standin.Declaration) {}},
	}
	return changes[rng.IntN(len(changes))]
}

// movableKinds are the kinds whose routes may lead to the second pool.
var movableKinds = []standin.Kind{standin.KindIdempotent, standin.KindNonIdempotent, standin.KindResumableStream}

// toggle returns the names with the given one added or removed.
func toggle(names []string, name string) []string {
	if slices.Contains(names, name) {
		return slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == name })
	}
	return append(slices.Clone(names), name)
}

// withShare returns the shares with that of a kind changed.
func withShare(shares map[standin.Kind]float64, k standin.Kind, share float64) map[standin.Kind]float64 {
	changed := map[standin.Kind]float64{k: share}
	for _, other := range movableKinds {
		if other != k {
			changed[other] = shares[other]
		}
	}
	return changed
}

// changeFault returns a fault in which the declaration changes several times a second.
func (env *environment) changeFault(rng *rand.Rand) fault {
	changes := make([]change, 1+rng.IntN(maxChanges))
	gaps := make([]time.Duration, len(changes))
	names := make([]string, len(changes))
	for n := range changes {
		changes[n] = randomChange(rng)
		gaps[n] = between(rng, 100*time.Millisecond, 400*time.Millisecond)
		names[n] = changes[n].name
	}
	begin := func() {
		for n, c := range changes {
			env.change(c.apply)
			time.Sleep(gaps[n])
		}
	}
	end := func() { env.change(func(d *standin.Declaration) { d.Shares = nil }) }
	return fault{fmt.Sprintf("changes of the declaration %q", names), 0, begin, end}
}

// change writes the next version of the declaration. The store of the run accepts each.
func (env *environment) change(apply func(*standin.Declaration)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	_ = env.declare(apply)
}

// emptyFault returns a fault in which a pool has no upstreams for some time, while routes are
// split between both pools.
func (env *environment) emptyFault(rng *rand.Rand, duration time.Duration) fault {
	second := rng.IntN(2) == 0
	members := func() []*upstream {
		env.mu.Lock()
		defer env.mu.Unlock()
		if second {
			return slices.Clone(env.others[:otherUpstreams])
		}
		return slices.Clone(env.upstreams[:env.soak.Upstreams])
	}
	split := func(share float64) {
		env.change(func(d *standin.Declaration) {
			for _, k := range movableKinds {
				d.Shares = withShare(d.Shares, k, share)
			}
		})
	}
	var empty *period
	begin := func() {
		empty = env.beginEmpty()
		split(0.5)
		for _, u := range members() {
			env.remove(u)
		}
	}
	end := func() {
		for _, u := range members() {
			_ = env.register(u, false)
		}
		split(0)
		env.endEmpty(empty)
	}
	name := standin.Pool
	if second {
		name = standin.SecondPool
	}
	return fault{"pool " + name + " is empty", duration, begin, end}
}

// beginEmpty records that a pool has no upstreams from now on.
func (env *environment) beginEmpty() *period {
	env.cutMu.Lock()
	defer env.cutMu.Unlock()
	p := &period{begin: time.Now()}
	env.empty = append(env.empty, p)
	return p
}

// endEmpty records that the pool has upstreams again.
func (env *environment) endEmpty(p *period) {
	env.cutMu.Lock()
	defer env.cutMu.Unlock()
	p.end = time.Now()
}

// hadEmptyPool reports whether a pool had no upstreams at a moment of the span, or shortly before it.
func (env *environment) hadEmptyPool(begin, end time.Time) bool {
	env.cutMu.Lock()
	defer env.cutMu.Unlock()
	return slices.ContainsFunc(env.empty, func(p *period) bool { return p.meets(begin.Add(-healNoticed), end) })
}

// reuseFault returns a fault in which an upstream leaves and its address goes to the second pool.
func (env *environment) reuseFault(i int) fault {
	var old *upstream
	begin := func() {
		old = env.upstream(i)
		env.leaveByRegistration(i)
	}
	end := func() {
		old.trouble()
		_ = old.server.Close()
		_ = old.network.Close()
		u, err := env.serveUpstream(old.name+"-again", old.Version, standin.SecondPool, old.address)
		if err != nil {
			return
		}
		env.mu.Lock()
		defer env.mu.Unlock()
		env.others = append(env.others, u)
	}
	return fault{"address goes to the second pool", reuseTime, begin, end}
}

// misroutedRuns describes the runs at the second pool of calls whose route never led there.
func (env *environment) misroutedRuns() []string {
	var misrouted []string
	for _, u := range env.allUpstreams() {
		for _, run := range u.Runs() {
			call := env.soak.calls.byID(run.ID)
			if u.pool == standin.SecondPool && call != nil && !slices.Contains(movableKinds, call.kind) {
				misrouted = append(misrouted, fmt.Sprintf("%s of the second pool ran %s %s", u.name, call.kind, call.id))
			}
		}
	}
	return misrouted
}
