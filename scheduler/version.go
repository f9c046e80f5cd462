package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// A request that is restricted to a software version goes to no upstream of another one,
// however long it waits. Once no upstream of its version is in service it is shed at once:
// its caller learns that the stream can't continue.

// mayRun reports whether the upstream serves the model of r and has the software version
// that r is restricted to.
func mayRun(u *kingcuphook.Upstream, r *kingcuphook.Request) bool {
	return serves(u, r.Model()) && r.Allows(u)
}

// trackVersion records a request that is about to be queued, if it is restricted.
func (s *Scheduler) trackVersion(r *kingcuphook.Request) {
	version, ok := r.OnlyVersion()
	if !ok {
		return
	}
	if s.restricted == nil {
		s.restricted = make(map[string]map[string]*kingcuphook.Request)
	}
	if s.restricted[version] == nil {
		s.restricted[version] = make(map[string]*kingcuphook.Request)
	}
	s.restricted[version][r.ID()] = r
}

// untrackVersion removes a request that is no longer queued.
func (s *Scheduler) untrackVersion(id string) {
	for version, queued := range s.restricted {
		delete(queued, id)
		if len(queued) == 0 {
			delete(s.restricted, version)
		}
	}
}

// shedVersionsGone sheds the queued requests of whose software version no upstream is in
// service.
func (s *Scheduler) shedVersionsGone() []kingcuphook.Shed {
	var sheds []kingcuphook.Shed
	for _, version := range slices.Sorted(maps.Keys(s.restricted)) {
		if s.slots.hasVersion(version) {
			continue
		}
		queued := s.restricted[version]
		for _, id := range slices.Sorted(maps.Keys(queued)) {
			s.Admitter.Cancel(id)
			sheds = append(sheds, kingcuphook.NewShed(queued[id], kingcuphook.ErrVersionGone, 0))
		}
	}
	return s.forget(sheds)
}

// hasVersion reports whether an upstream of the software version is not leaving.
func (t *slotTable) hasVersion(version string) bool {
	return slices.ContainsFunc(t.rows, func(row *slotRow) bool {
		return !row.leaving && row.upstream.SoftwareVersion() == version
	})
}

// isVersionFull reports whether r is restricted to a software version whose upstreams have
// no free slot, not even for the highest tier.
func (s *Scheduler) isVersionFull(now time.Time, r *kingcuphook.Request) bool {
	if _, ok := r.OnlyVersion(); !ok {
		return false
	}
	s.freeSlots(now, kingcuphook.HighestTier)
	return !s.usable(r, kingcuphook.HighestTier)
}
