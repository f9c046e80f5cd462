package kingcuphook

import (
	"slices"
	"sync/atomic"
)

// PoolChange is how the upstreams of a pool differ from those of an earlier revision.
type PoolChange struct {
	// Added has the upstreams that the earlier revision doesn't have, Removed those that only it has.
	// An upstream whose registration changed is in both, with the same address. An unchanged one that moved in the
	// order may be in both, too.
	Added, Removed []*Upstream
}

const (
	// changeWindow is the number of upstreams among which the next common one of two revisions is searched. The
	// bound keeps the comparison linear in the number of upstreams.
	changeWindow = 8
	// maxScanned is the largest number of added upstreams whose addresses are compared with all others. Each
	// takes a pass over the pool; with more, one pass that builds a set of all addresses is taken instead.
	maxScanned = 8
	// changedShare is the largest share of the upstreams of a pool that may change for the difference to be applied.
	// An insertion into a sorted list takes time in proportion to its length, so that many changes would take time in
	// proportion to the square of the pool.
	changedShare = 1.0 / 8
	// minChanges is the number of changes that are applied singly whatever the size of the pool.
	minChanges = 8
)

// ChangeSince returns how the upstreams of the pool differ from those of an earlier revision, which has the
// same *Upstream for those that are unchanged. It reports false if the pool must be taken over as a whole: there is
// no earlier revision, many upstreams changed, or upstreams share an address in one of the revisions.
func (p *Pool) ChangeSince(earlier *Pool) (PoolChange, bool) {
	if earlier == nil || !earlier.hasUniqueAddresses() {
		return PoolChange{}, false
	}
	c, ok := changeOf(earlier.f.Upstreams, p.f.Upstreams)
	if !ok {
		return PoolChange{}, false
	}
	p.uniqueness.inherit(p, c.Added)
	return c, p.hasUniqueAddresses()
}

// changeOf returns the difference of two lists, in which what is unchanged usually has the same order. It reports
// false if it is large. Where the lists differ, it skips to the next upstream within changeWindow that both have, and
// takes the current pair for a replacement if there is none.
func changeOf(old, current []*Upstream) (PoolChange, bool) {
	var c PoolChange
	most := max(int(changedShare*float64(len(current))), minChanges)
	i, j := 0, 0
	for i < len(old) && j < len(current) {
		if old[i] == current[j] {
			i++
			j++
			continue
		}
		removed := max(slices.Index(old[i:min(i+changeWindow, len(old))], current[j]), 0)
		added := max(slices.Index(current[j:min(j+changeWindow, len(current))], old[i]), 0)
		if removed == 0 && added == 0 {
			removed, added = 1, 1
		}
		c.Removed = append(c.Removed, old[i:i+removed]...)
		c.Added = append(c.Added, current[j:j+added]...)
		i, j = i+removed, j+added
		if len(c.Removed)+len(c.Added) > most {
			return PoolChange{}, false
		}
	}
	c.Removed = append(c.Removed, old[i:]...)
	c.Added = append(c.Added, current[j:]...)
	return c, len(c.Removed)+len(c.Added) <= most
}

// uniqueness records whether the upstreams of a pool have different addresses, so that each pool is examined once. It
// is atomic so that a Pool is safe for concurrent use.
type uniqueness struct{ state atomic.Int32 }

// Values of the state of a uniqueness.
const (
	uniquenessUnknown int32 = iota
	uniquenessUnique
	uniquenessShared
)

func (u *uniqueness) set(isUnique bool) {
	if isUnique {
		u.state.Store(uniquenessUnique)
	} else {
		u.state.Store(uniquenessShared)
	}
}

// inherit records the uniqueness of p, whose upstreams have different addresses except perhaps for the added ones.
// Only those are examined.
func (u *uniqueness) inherit(p *Pool, added []*Upstream) {
	if u.state.Load() != uniquenessUnknown || len(added) > maxScanned {
		return
	}
	isUnique := true
	for _, a := range added {
		n := 0
		for _, o := range p.f.Upstreams {
			if o.f.Address == a.f.Address {
				n++
			}
		}
		isUnique = isUnique && n == 1
	}
	u.set(isUnique)
}

// hasUniqueAddresses reports whether no two upstreams of the pool have the same address.
func (p *Pool) hasUniqueAddresses() bool {
	if p.uniqueness.state.Load() == uniquenessUnknown {
		addresses := make(map[string]bool, len(p.f.Upstreams))
		for _, u := range p.f.Upstreams {
			addresses[u.f.Address] = true
		}
		p.uniqueness.set(len(addresses) == len(p.f.Upstreams))
	}
	return p.uniqueness.state.Load() == uniquenessUnique
}
