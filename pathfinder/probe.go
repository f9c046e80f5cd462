package pathfinder

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Due returns the upstreams whose direct paths are to be probed now. ProbeDone must be called
// for each.
func (f *Pathfinder) Due(now time.Time) []*kingcuphook.Upstream {
	f.mu.Lock()
	defer f.unlock()
	if f.cutSince.IsZero() {
		return nil
	}
	free := maxProbes
	if now.Sub(f.healedAt) < healWindow {
		free = maxHealProbes
	}
	var due []*path
	for _, p := range f.paths {
		if p.probing {
			free--
		} else if p.state == StateCut && !now.Before(p.nextProbe) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *path) int {
		return cmp.Or(a.nextProbe.Compare(b.nextProbe), cmp.Compare(a.upstream.Address(), b.upstream.Address()))
	})
	var list []*kingcuphook.Upstream
	for _, p := range due[:min(max(free, 0), len(due))] {
		p.probing = true
		list = append(list, p.upstream)
	}
	return list
}

// ProbeDone records the result of a probe of a direct path.
func (f *Pathfinder) ProbeDone(now time.Time, u *kingcuphook.Upstream, direct bool) {
	f.mu.Lock()
	defer f.unlock()
	p := f.paths[u.Program()]
	if p == nil {
		return
	}
	p.probing = false
	p.nextProbe = now.Add(f.jitter(probeInterval))
	if !direct || p.state != StateCut {
		return
	}
	f.healedAt = now
	p.checkedAt = now
	p.verified = true
	p.pause = 0
	p.nextCheck = now
	f.enter(now, p, StateDirect, netip.Addr{})
	for _, o := range f.paths {
		if o.state == StateCut {
			o.nextProbe = earlier(o.nextProbe, now)
		}
	}
}
