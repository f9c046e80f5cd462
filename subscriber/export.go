package subscriber

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// export is what routers tell one another of the store: all of it, or what came
// after a revision that the other one has.
type export struct {
	// Declared is the declaration, unless the other one has it.
	Declared *exportEntry `json:"declared,omitempty"`
	// After is the revision that the rest builds on; 0 means that it is complete.
	After int64 `json:"after,omitempty"`
	// Upstreams are the registrations, Removed the keys that went after After.
	Upstreams []exportEntry   `json:"upstreams,omitempty"`
	Removed   []exportRemoval `json:"removed,omitempty"`
	// Revision is the revision up to which this is all.
	Revision int64 `json:"revision"`
	// HoldMS is for how many milliseconds more the sender holds on to upstreams
	// whose registrations lapsed.
	HoldMS int64 `json:"hold-ms,omitempty"`
}

type exportEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

type exportRemoval struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

func newExportEntry(e kingcuphook.Entry) exportEntry {
	return exportEntry{Key: e.Key(), Value: e.Value(), Revision: e.Revision()}
}

func (e exportEntry) entry() kingcuphook.Entry {
	return kingcuphook.NewEntry(e.Key, e.Value, e.Revision, false)
}

// Export returns what came after the revision that a peer has, or all if that is
// too long ago. The error wraps ErrNotFound if there is nothing.
func (s *Subscriber) Export(now time.Time, revision int64) ([]byte, error) {
	if s.declaration == nil || s.revision <= revision && s.declared.Revision() <= revision {
		return nil, fmt.Errorf("subscriber: nothing newer than revision %d: %w", revision, kingcuphook.ErrNotFound)
	}
	x := export{Revision: s.revision}
	if s.removed.knows(revision) {
		x.After = revision
		x.Removed = s.removed.after(revision)
	}
	if s.declared.Revision() > x.After {
		e := newExportEntry(s.declared)
		x.Declared = &e
	}
	if hold := s.regained.Add(lapseHold).Sub(now); !s.regained.IsZero() && hold > 0 {
		x.HoldMS = hold.Milliseconds()
	}
	for _, key := range slices.Sorted(maps.Keys(s.upstreams)) {
		// An entry that is only held on to is not in the store any more: a peer that
		// has seen it go would never see it go again.
		if u := s.upstreams[key]; !u.gone && u.entry.Revision() > x.After {
			x.Upstreams = append(x.Upstreams, newExportEntry(u.entry))
		}
	}
	return json.Marshal(x)
}

// News reports whether Export has more for a peer with the revision than that the
// store moved on.
func (s *Subscriber) News(revision int64) bool {
	if s.declaration == nil {
		return false
	}
	return s.newest > revision || !s.removed.knows(revision)
}

// Import takes what a peer has of the store, where that is newer. It reports
// whether anything changed.
func (s *Subscriber) Import(now time.Time, payload []byte) (bool, error) {
	var x export
	if err := json.Unmarshal(payload, &x); err != nil {
		return false, fmt.Errorf("subscriber: export of a peer: %w: %w", kingcuphook.ErrInvalid, err)
	}
	changed, err := false, error(nil)
	if x.Declared != nil {
		changed, err = s.Declare(x.Declared.entry())
	}
	if x.Revision <= s.revision || x.After > s.revision {
		return changed, err
	}
	s.holdFor(now, time.Duration(x.HoldMS)*time.Millisecond)
	entries := make([]kingcuphook.Entry, 0, len(x.Upstreams)+len(x.Removed))
	for _, e := range x.Removed {
		entries = append(entries, kingcuphook.NewEntry(e.Key, nil, e.Revision, true))
	}
	for _, e := range x.Upstreams {
		entries = append(entries, e.entry())
	}
	take := s.Replace
	if x.After > 0 {
		take = s.Register
	}
	return true, errors.Join(err, take(now, entries, x.Revision))
}

// holdFor holds on to upstreams whose registrations go in the given time, since a
// peer has seen the store come back.
func (s *Subscriber) holdFor(now time.Time, hold time.Duration) {
	if hold <= 0 {
		return
	}
	if regained := now.Add(min(hold, lapseHold) - lapseHold); regained.After(s.regained) {
		s.regained = regained
	}
}

// maxRemovals bounds the keys that are remembered as removed.
const maxRemovals = 1024

// removals are the keys that were removed lately, in the order in which that was
// noted.
type removals struct {
	list []exportRemoval
	// byKey has the last removal of each key in list.
	byKey map[string]int64
	// from is the revision after which list has every removal.
	from int64
}

func (m *removals) add(key string, revision int64) {
	if m.byKey == nil {
		m.byKey = make(map[string]int64)
	}
	if revision <= m.byKey[key] {
		return
	}
	m.byKey[key] = revision
	m.list = append(m.list, exportRemoval{Key: key, Revision: revision})
	if len(m.list) <= maxRemovals {
		return
	}
	oldest := m.list[0]
	m.list = slices.Delete(m.list, 0, 1)
	m.from = max(m.from, oldest.Revision)
	if m.byKey[oldest.Key] == oldest.Revision {
		delete(m.byKey, oldest.Key)
	}
}

// revision returns when a key was removed; 0 if that is not known.
func (m *removals) revision(key string) int64 { return m.byKey[key] }

// knows reports whether every removal after the revision is known.
func (m *removals) knows(revision int64) bool { return revision > 0 && revision >= m.from }

// after returns the removals after the revision.
func (m *removals) after(revision int64) []exportRemoval {
	var list []exportRemoval
	for _, r := range m.list {
		if r.Revision > revision {
			list = append(list, r)
		}
	}
	return list
}
