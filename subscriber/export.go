package subscriber

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// export is the message that brings a peer up to date with the store. It holds all
// entries, or only those that changed after a revision that the peer has.
type export struct {
	// Declared is the declaration; nil if it has not changed since After.
	Declared *exportEntry `json:"declared,omitempty"`
	// After is the revision to which the changes apply; 0 means that Upstreams has
	// all registrations.
	After int64 `json:"after,omitempty"`
	// Upstreams are the registrations, Removed the keys removed after After.
	Upstreams []exportEntry   `json:"upstreams,omitempty"`
	Removed   []exportRemoval `json:"removed,omitempty"`
	// Revision is the store revision up to which the export is complete.
	Revision int64 `json:"revision"`
	// HoldMS is for how many more milliseconds the sender keeps upstreams whose
	// registrations expired.
	HoldMS int64 `json:"hold-ms,omitempty"`
	// Versions has the records of versions; nil if the sender doesn't know them.
	Versions json.RawMessage `json:"versions,omitempty"`
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

// Export returns the encoded changes after the revision that a peer has, or all
// entries if not all removals since then are known. The error wraps ErrNotFound if
// there is nothing newer.
func (s *Subscriber) Export(now time.Time, revision int64) ([]byte, error) {
	if s.declaration == nil || s.revision <= revision && s.declarationEntry.Revision() <= revision {
		return nil, fmt.Errorf("subscriber: nothing newer than revision %d: %w", revision, kingcuphook.ErrNotFound)
	}
	x := export{Revision: s.revision}
	if s.recentRemovals.hasAllAfter(revision) {
		x.After = revision
		x.Removed = s.recentRemovals.after(revision)
	}
	if s.declarationEntry.Revision() > x.After {
		e := newExportEntry(s.declarationEntry)
		x.Declared = &e
	}
	if hold := s.recovered.Add(expiredHold).Sub(now); !s.recovered.IsZero() && hold > 0 {
		x.HoldMS = hold.Milliseconds()
	}
	for _, u := range s.order {
		// An upstream that is kept after its entry was removed is left out: a peer that
		// has already applied the removal would add it and never remove it again.
		if !u.removed && u.entry.Revision() > x.After {
			x.Upstreams = append(x.Upstreams, newExportEntry(u.entry))
		}
	}
	if s.Versions != nil {
		x.Versions = s.Versions.ExportRecords()
	}
	return json.Marshal(x)
}

// HasChanges reports whether Export has changed entries for a peer with the given revision,
// and not just a higher revision of the store.
func (s *Subscriber) HasChanges(revision int64) bool {
	if s.declaration == nil {
		return false
	}
	return s.latestChange > revision || !s.recentRemovals.hasAllAfter(revision)
}

// Import applies the export of a peer where it is newer. It reports whether anything
// changed.
func (s *Subscriber) Import(now time.Time, payload []byte) (bool, error) {
	var x export
	if err := json.Unmarshal(payload, &x); err != nil {
		return false, fmt.Errorf("subscriber: export of a peer: %w: %w", kingcuphook.ErrInvalid, err)
	}
	changed, err := false, error(nil)
	if x.Declared != nil {
		changed, err = s.ApplyDeclaration(x.Declared.entry())
	}
	if s.Versions != nil && len(x.Versions) > 0 {
		err = errors.Join(err, s.Versions.ImportRecords(now, x.Versions))
	}
	if x.Revision <= s.revision || x.After > s.revision {
		return changed, err
	}
	s.adoptHold(now, time.Duration(x.HoldMS)*time.Millisecond)
	entries := make([]kingcuphook.Entry, 0, len(x.Upstreams)+len(x.Removed))
	for _, e := range x.Removed {
		entries = append(entries, kingcuphook.NewEntry(e.Key, nil, e.Revision, true))
	}
	for _, e := range x.Upstreams {
		entries = append(entries, e.entry())
	}
	apply := s.applyAll
	if x.After > 0 {
		apply = s.ApplyChanges
	}
	return true, errors.Join(err, apply(now, entries, x.Revision))
}

// adoptHold keeps upstreams whose registrations are removed within the given time, as
// a peer does for which the store has become available again.
func (s *Subscriber) adoptHold(now time.Time, hold time.Duration) {
	if hold <= 0 {
		return
	}
	if recovered := now.Add(min(hold, expiredHold) - expiredHold); recovered.After(s.recovered) {
		s.recovered = recovered
	}
}

// maxRemovals bounds the removals that are kept.
const maxRemovals = 1024

// removals are the latest removals of keys, in the order in which they were added.
type removals struct {
	list []exportRemoval
	// byKey has the revision of the latest removal of each key in list.
	byKey map[string]int64
	// completeFrom is the revision after which list has every removal.
	completeFrom int64
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
	m.completeFrom = max(m.completeFrom, oldest.Revision)
	if m.byKey[oldest.Key] == oldest.Revision {
		delete(m.byKey, oldest.Key)
	}
}

// revision returns the revision at which a key was removed; 0 if it is not known.
func (m *removals) revision(key string) int64 { return m.byKey[key] }

// hasAllAfter reports whether list has every removal after the revision.
func (m *removals) hasAllAfter(revision int64) bool {
	return revision > 0 && revision >= m.completeFrom
}

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
