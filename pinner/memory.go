package pinner

import "time"

const (
	// minRetention and maxRetention bound how long the origin of a stream is kept after its
	// begin. That is at least as long as a stream may last.
	minRetention = time.Minute
	maxRetention = horizon
	// maxEntries bounds the streams of one memory. The oldest yield.
	maxEntries = 32_768
	// ambiguous is the mark of a stream that is reported to have begun at two versions.
	ambiguous = 0
	// tentative is the mark of a stream that may begin at another version than the base of its pool.
	tentative = 1
)

// entry is the origin of a stream.
type entry struct {
	mark   uint64
	at     time.Time
	source Source
	// isLogged is true for a tentative one that the ledger has.
	isLogged bool
}

// memory holds the origins of streams by their keys. The zero value is ready for use.
type memory struct {
	// retention is how long entries are kept; 0 means minRetention.
	retention time.Duration
	entries   map[uint64]entry
	// order has the keys of entries in the order in which they were added.
	order []uint64
}

// add adds an entry and reports whether it is new. If there is another one with the same key
// and another mark, that becomes ambiguous. A tentative one yields to any other.
func (m *memory) add(now time.Time, key uint64, e entry) bool {
	if old, ok := m.get(now, key); ok && (old.mark != tentative || e.mark == tentative) {
		if old.mark != e.mark && e.mark != tentative {
			old.mark = ambiguous
			m.entries[key] = old
		}
		return false
	}
	if m.entries == nil {
		m.entries = make(map[uint64]entry)
	}
	m.trim(now)
	if _, ok := m.entries[key]; !ok {
		m.order = append(m.order, key)
	}
	m.entries[key] = e
	return true
}

func (m *memory) isExpired(now time.Time, e entry) bool {
	return now.Sub(e.at) > max(m.retention, minRetention)
}

// trim removes entries from the front that have expired, or to make room for one more.
func (m *memory) trim(now time.Time) {
	n := 0
	for n < len(m.order) && (len(m.entries) >= maxEntries || m.isExpired(now, m.entries[m.order[n]])) {
		delete(m.entries, m.order[n])
		n++
	}
	m.order = m.order[n:]
}

func (m *memory) get(now time.Time, key uint64) (entry, bool) {
	e, ok := m.entries[key]
	if !ok || m.isExpired(now, e) {
		return entry{}, false
	}
	return e, true
}
