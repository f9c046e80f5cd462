package locator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// sources are the upstreams that a shared part of a prompt can be copied from, the
// most likely one first; nil ends the list.
type sources [2]*upstream

// sourcesOf returns the first home of the shared part, to which all routers send
// those that share it, and the upstream that this router sent one to last.
func (l *Locator) sourcesOf(q *query) sources {
	var s sources
	if q.part == 0 {
		return s
	}
	if h := q.homes[0]; h != nil && h.sound(q.now) {
		s.add(h)
	}
	if u := l.latest(q, s[0]); u != nil {
		s.add(u)
	}
	return s
}

// latest returns the upstream that this router sent the shared part to last, or nil;
// except is passed over.
func (l *Locator) latest(q *query, except *upstream) *upstream {
	var latest *upstream
	var used time.Time
	for _, u := range l.upstreams {
		if u == except || !u.keeps(q) || !u.sound(q.now) {
			continue
		}
		if at := u.kept[q.part]; latest == nil || at.After(used) {
			latest, used = u, at
		}
	}
	return latest
}

// add puts an upstream behind those that are there.
func (s *sources) add(u *upstream) {
	for i, v := range s {
		if v == nil {
			s[i] = u
			return
		}
	}
}

// copyFrom returns the address that u can copy the shared part from, should it not
// have it; empty if no other upstream is thought to have it.
func (s *sources) copyFrom(u *upstream) string {
	for _, v := range s {
		if v != nil && v != u && v.row.Kind() == kingcuphook.UpstreamKindEngine {
			return v.row.Address()
		}
	}
	return ""
}

// sound reports whether the upstream can be asked for what it keeps.
func (u *upstream) sound(now time.Time) bool {
	return !u.displaced && u.penalty(now) == 0
}
