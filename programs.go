package kingcuphook

import (
	"maps"
	"slices"
)

// programSet has the software versions of the upstreams that run each program, one for each upstream. It is not
// changed once built; a set with few changes shares the rest with the one that it was made from.
type programSet struct {
	base map[Program][]string
	// changed replaces entries of base; an empty list means that no upstream runs the program.
	changed map[Program][]string
	// count is the number of programs.
	count int
}

// changesPerBase is the number of entries of base for each entry that may be changed before base is built anew. The
// changed entries are copied with each change, and so have to be few.
const changesPerBase = 32

// newProgramSet returns the programs of the upstreams of the pools.
func newProgramSet(pools []*Pool) *programSet {
	n := 0
	for _, p := range pools {
		n += len(p.f.Upstreams)
	}
	s := &programSet{base: make(map[Program][]string, n)}
	versions := make([]string, 0, n)
	for _, p := range pools {
		for _, u := range p.f.Upstreams {
			program := u.Program()
			if known := s.base[program]; known != nil {
				s.base[program] = append(known, u.f.SoftwareVersion)
				continue
			}
			versions = append(versions, u.f.SoftwareVersion)
			last := len(versions) - 1
			// The capacity makes append copy the list instead of overwriting the next one.
			s.base[program] = versions[last : last+1 : last+1]
		}
	}
	s.count = len(s.base)
	return s
}

// versionsOf returns the versions of the upstreams that run the program.
func (s *programSet) versionsOf(p Program) []string {
	if versions, ok := s.changed[p]; ok {
		return versions
	}
	return s.base[p]
}

// with returns the set of the current pools; the earlier ones are those that s was built from. It reports false if the
// set must be built anew.
func (s *programSet) with(earlier, current []*Pool) (*programSet, bool) {
	changes, ok := changesOf(earlier, current)
	if !ok {
		return nil, false
	}
	c := &programSet{base: s.base, changed: maps.Clone(s.changed), count: s.count}
	if c.changed == nil {
		c.changed = make(map[Program][]string)
	}
	for _, change := range changes {
		for _, u := range change.Removed {
			c.remove(u)
		}
		for _, u := range change.Added {
			c.add(u)
		}
	}
	return c, len(c.changed) <= minChanges+len(c.base)/changesPerBase
}

// changesOf returns the changes of the upstreams of pools. It reports false if the names of the pools or their order
// changed, or if an upstream change can't be applied singly.
func changesOf(earlier, current []*Pool) ([]PoolChange, bool) {
	if len(earlier) != len(current) {
		return nil, false
	}
	changes := make([]PoolChange, 0, len(current))
	for i, p := range current {
		if p == earlier[i] {
			continue
		}
		if p.Name() != earlier[i].Name() {
			return nil, false
		}
		c, ok := p.ChangeSince(earlier[i])
		if !ok {
			return nil, false
		}
		changes = append(changes, c)
	}
	return changes, true
}

// add records that u runs its program. Lists are copied, since sets share them.
func (s *programSet) add(u *Upstream) {
	p := u.Program()
	versions := s.versionsOf(p)
	if len(versions) == 0 {
		s.count++
	}
	s.changed[p] = append(slices.Clip(versions), u.f.SoftwareVersion)
}

// remove records that u no longer runs its program.
func (s *programSet) remove(u *Upstream) {
	p := u.Program()
	versions := s.versionsOf(p)
	i := slices.Index(versions, u.f.SoftwareVersion)
	if i < 0 {
		return
	}
	s.changed[p] = slices.Concat(versions[:i], versions[i+1:])
	if len(versions) == 1 {
		s.count--
	}
}
