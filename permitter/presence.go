package permitter

import "time"

// absentTTL is how long what is known of a program is kept after it has left the tables.
const absentTTL = time.Minute

// presence tells whether a program is in the tables. Its zero value is that of one that is.
type presence struct {
	absent bool
	// since is when absent was first seen; zero if it was not yet.
	since time.Time
}

// update records whether the program is in the tables.
func (p *presence) update(present bool) {
	if present {
		*p = presence{}
		return
	}
	p.absent = true
}

// isOver reports whether the program has been absent for absentTTL.
func (p *presence) isOver(now time.Time) bool {
	if !p.absent {
		return false
	}
	if p.since.IsZero() {
		p.since = now
	}
	return now.Sub(p.since) >= absentTTL
}
