package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// cutNoticed is how long after the begin of a cut a router must serve its callers through
	// others, and healNoticed how long after its end it may still do so.
	cutNoticed  = 2 * time.Second
	healNoticed = time.Second
	// ruledCut is the least length of a cut for which the share of the served calls is checked.
	ruledCut = 4 * time.Second
	// minCutCalls is the number of calls from which it is checked, at cut routers and at others.
	minCutCalls = 20
	// minCutShare is how often calls at cut routers must be served, relative to the others.
	minCutShare = 0.9
	// minCut and maxCut bound the length of a cut, flapTime is the length of one that flaps and of
	// the time until the next, and maxFlaps the number of these.
	minCut   = 500 * time.Millisecond
	maxCut   = 7 * time.Second
	flapTime = time.Second
	maxFlaps = 4
	// maxLinkSilence is the longest time for which a sound upstream, or the links to one, are silent
	// in runs with cuts.
	maxLinkSilence = 2500 * time.Millisecond
)

// cutWays are the ways in which a router is cut off from upstreams.
var cutWays = []forwarder.Fault{forwarder.FaultHang, forwarder.FaultReset, forwarder.FaultResetRefuse, forwarder.FaultRefuse}

// cut is a time in which routers are cut off from upstreams.
type cut struct {
	way     forwarder.Fault
	routers []*router
	// upstreams are those that are out of reach; nil means all, also those that start meanwhile.
	upstreams []*upstream
	// silence marks a silence of the links to a sound upstream, which ends no call.
	silence bool
	period
}

// cuts returns whether the cut is between the router and the upstream.
func (c *cut) cuts(r *router, u *upstream) bool {
	return slices.Contains(c.routers, r) && (c.upstreams == nil || slices.Contains(c.upstreams, u))
}

// sources returns the addresses from which the routers of the run connect to upstreams.
func (env *environment) sources() []netip.Addr {
	list := make([]netip.Addr, 0, env.soak.Routers)
	for i := range env.soak.Routers {
		list = append(list, netip.MustParseAddr(routerIP(env.soak.Host, i)))
	}
	return list
}

// beginCut begins a cut.
func (env *environment) beginCut(c *cut) {
	env.cutMu.Lock()
	c.begin = time.Now()
	env.cuts = append(env.cuts, c)
	env.cutMu.Unlock()
	env.applyCuts(env.allUpstreams())
}

// endCut ends a cut.
func (env *environment) endCut(c *cut) {
	env.cutMu.Lock()
	c.end = time.Now()
	env.cutMu.Unlock()
	env.applyCuts(env.allUpstreams())
}

// applyCuts sets the faults between all routers and the upstreams; of several cuts the latest
// counts.
func (env *environment) applyCuts(upstreams []*upstream) {
	env.cutMu.Lock()
	defer env.cutMu.Unlock()
	for _, u := range upstreams {
		for i, source := range env.sources() {
			way := forwarder.FaultNone
			for _, c := range env.cuts {
				if c.end.IsZero() && i < len(env.routers) && c.cuts(env.routers[i], u) {
					way = c.way
				}
			}
			// The error is ignored: an upstream that is gone has closed its ports.
			_ = u.network.SetFrom(source, way)
		}
	}
}

// cutFault returns a fault in which one or more routers, or all, are cut off from all upstreams,
// some, or those of one pool: once, flapping, or one router after the other.
func (env *environment) cutFault(rng *rand.Rand) fault {
	routers := slices.Clone(env.routers)
	rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	if rng.IntN(8) > 0 {
		routers = routers[:1+rng.IntN(len(routers)-1)]
	}
	way := cutWays[rng.IntN(len(cutWays))]
	upstreams, which := env.cutUpstreams(rng)
	duration := between(rng, minCut, maxCut)
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		names = append(names, r.name)
	}
	cutOff := func(list []*router, d time.Duration) {
		c := &cut{way: way, routers: list, upstreams: upstreams()}
		for _, r := range list {
			// Requests on connections that hang reach upstreams at the end of the cut.
			if way == forwarder.FaultHang {
				r.disturb(d + disturbedAfter)
			}
		}
		env.beginCut(c)
		time.Sleep(d)
		env.endCut(c)
	}
	name := fmt.Sprintf("%s cut off from %s, %s", strings.Join(names, " "), which, way)
	flaps := 2 + rng.IntN(maxFlaps-1)
	switch rng.IntN(4) {
	case 0:
		return fault{fmt.Sprintf("%s, %d times", name, flaps), 0, func() {
			for range flaps {
				cutOff(routers, flapTime)
				time.Sleep(flapTime)
			}
		}, func() {}}
	case 1:
		return fault{fmt.Sprintf("%s, in series of %v", name, duration.Round(time.Millisecond)), 0, func() {
			for _, r := range routers {
				cutOff([]*router{r}, duration/time.Duration(len(routers)))
			}
		}, func() {}}
	}
	return fault{fmt.Sprintf("%s, for %v", name, duration.Round(time.Millisecond)), 0, func() { cutOff(routers, duration) }, func() {}}
}

// cutUpstreams chooses the upstreams of a cut: most often all. It returns a function that
// returns them when the cut begins.
func (env *environment) cutUpstreams(rng *rand.Rand) (upstreams func() []*upstream, name string) {
	first, count := rng.IntN(env.soak.Upstreams), 1+rng.IntN(env.soak.Upstreams)
	switch rng.IntN(6) {
	case 0:
		return func() []*upstream {
			list := make([]*upstream, 0, count)
			for n := range count {
				list = append(list, env.upstream((first+n)%env.soak.Upstreams))
			}
			return list
		}, fmt.Sprintf("%d upstreams", count)
	case 1:
		return func() []*upstream {
			env.mu.Lock()
			defer env.mu.Unlock()
			return slices.Clone(env.others)
		}, "pool " + standin.SecondPool
	}
	return func() []*upstream { return nil }, "all upstreams"
}

// linkFault returns a fault in which the links to a sound upstream are silent for a second or so.
// No call may end because of it.
func (env *environment) linkFault(i int, rng *rand.Rand) fault {
	d := between(rng, minSilence, maxLinkSilence)
	c := &cut{way: forwarder.FaultHang, routers: env.routers, silence: true}
	begin := func() {
		for _, r := range env.routers {
			r.disturb(d + disturbedAfter)
		}
		c.upstreams = []*upstream{env.upstream(i)}
		env.beginCut(c)
	}
	return fault{"links to an upstream are silent", d, begin, func() { env.endCut(c) }}
}

// isCut reports whether a router was cut off from upstreams at a moment of the span, or shortly
// before it.
func (env *environment) isCut(r *router, begin, end time.Time) bool {
	env.cutMu.Lock()
	defer env.cutMu.Unlock()
	return slices.ContainsFunc(env.cuts, func(c *cut) bool {
		return !c.silence && slices.Contains(c.routers, r) && c.meets(begin.Add(-healNoticed), end)
	})
}

// CutShares counts the first tries during long cuts from all upstreams, from cutNoticed after their
// begin, while some router was neither cut off nor stopped or paused.
type CutShares struct {
	// Cut are those at routers that were cut off, Others those at routers that were not.
	Cut, Others Share
	// CutOutcomes and OtherOutcomes count them by how they ended.
	CutOutcomes, OtherOutcomes map[Outcome]int
}

// add adds the counts of another cut.
func (t *CutShares) add(other CutShares) {
	t.Cut.All += other.Cut.All
	t.Cut.Good += other.Cut.Good
	t.Others.All += other.Others.All
	t.Others.Good += other.Others.Good
	for o, n := range other.CutOutcomes {
		t.CutOutcomes[o] += n
	}
	for o, n := range other.OtherOutcomes {
		t.OtherOutcomes[o] += n
	}
}

func newCutShares() CutShares {
	return CutShares{CutOutcomes: make(map[Outcome]int), OtherOutcomes: make(map[Outcome]int)}
}

// String returns the counts as text.
func (t CutShares) String() string {
	return fmt.Sprintf("during cuts %v served at cut routers %v, %v at others %v", t.Cut, t.CutOutcomes, t.Others, t.OtherOutcomes)
}

// cutShares returns the counts of each cut that counts, and a description of those in which too
// few calls were served.
func (env *environment) cutShares() (all CutShares, violations []string) {
	env.cutMu.Lock()
	cuts := slices.Clone(env.cuts)
	env.cutMu.Unlock()
	all = newCutShares()
	for _, c := range cuts {
		begin, end := c.begin.Add(cutNoticed), c.end
		if c.upstreams != nil || end.Sub(c.begin) < ruledCut || !env.hasReach(cuts, c.begin, end) {
			continue
		}
		t := env.countDuring(cuts, c, begin, end)
		all.add(t)
		if t.Cut.All < minCutCalls || t.Others.All < minCutCalls {
			continue
		}
		if float64(t.Cut.Good*t.Others.All) < minCutShare*float64(t.Others.Good*t.Cut.All) {
			violations = append(violations, fmt.Sprintf("%s cut at %s: %v", c.way, c.begin.Format("05.000"), t))
		}
	}
	return all, violations
}

// hasReach reports whether some router reached all upstreams in the whole span.
func (env *environment) hasReach(cuts []*cut, begin, end time.Time) bool {
	return slices.ContainsFunc(env.routers, func(r *router) bool { return !r.wasCut(cuts, begin, end) && !r.failed(begin, end) })
}

// countDuring counts the first tries of a span in a cut, without those that have a part that crashes
// upstreams, and those beside an empty pool, which a router without the store may not know of. A
// router that is being stopped refuses calls on connections that are open.
func (env *environment) countDuring(cuts []*cut, during *cut, begin, end time.Time) CutShares {
	t := newCutShares()
	for _, x := range env.soak.calls.all() {
		if x.sent.Before(begin) || !x.sent.Before(end) || !x.isFirstTry() || x.router.interruptedAt(x.sent) || x.router.failed(x.sent, x.ended) ||
			env.crashed(x.parts, x.sent) || env.hadEmptyPool(x.sent, x.ended) {
			continue
		}
		switch {
		case slices.Contains(during.routers, x.router):
			t.Cut.add(x.served)
			t.CutOutcomes[x.outcome]++
		case !x.router.wasCut(cuts, begin, end):
			t.Others.add(x.served)
			t.OtherOutcomes[x.outcome]++
		}
	}
	return t
}

// isFirstTry reports whether the call resumes nothing, and has a caller that waits long enough and
// a valid key.
func (c *call) isFirstTry() bool {
	return c.lastEvent == "" && c.timeout >= callTimeout && c.outcome != OutcomeLeft && c.outcome != OutcomeUnsent && c.status != http.StatusUnauthorized
}

// wasCut reports whether the router was cut off from upstreams at a moment of the span.
func (r *router) wasCut(cuts []*cut, begin, end time.Time) bool {
	return slices.ContainsFunc(cuts, func(c *cut) bool { return !c.silence && slices.Contains(c.routers, r) && c.meets(begin, end) })
}
