package locator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// copyFrom returns the address that u can copy the shared part from, should it not
// have it: that of the first home, to which all routers send what shares the part,
// or of the upstream that this router sent it to last. It is empty if neither is
// another one that can be asked.
func (l *Locator) copyFrom(q *query, u *upstream) string {
	if q.part == 0 || u.row.Kind() != kingcuphook.UpstreamKindEngine {
		return ""
	}
	source := q.homes[0]
	if source == nil || source == u || !source.sound(q.now) {
		source = l.latest(q, source)
	}
	if source == nil || source == u {
		return ""
	}
	return source.row.Address()
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

// sound reports whether the upstream can be asked for what it keeps.
func (u *upstream) sound(now time.Time) bool {
	return !u.displaced && !u.row.Leaving() && u.penalty(now) == 0
}
