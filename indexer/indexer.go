// Package indexer keeps an index of the upstream programs that have long shared prefixes
// cached, from the requests of all routers. A router records a location when the first
// token of a request with the prefix has come, and sends new locations to the routers of its
// own data centre and to one router of each other one, which relays them there. The package
// does no I/O: messages and the time are passed in, and messages to be sent are returned.
package indexer

import (
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// TTL is how long a location is kept after it was last confirmed. Package locator
	// assumes for as long that an upstream keeps a prefix that this router sent there.
	TTL = 30 * time.Second
	// repeatAfter is the age from which a location that is confirmed is sent again.
	repeatAfter = TTL / 2
	// pendingTime is how long an announced program is taken to prefill the prefix. After that
	// it counts as having it, so that the first token needs no message of its own. A prefill
	// takes 0.1 s on an idle engine and some tenths of a second in a batch.
	pendingTime = 700 * time.Millisecond
	// maxPrefixes bounds the prefixes in the index, maxLocations the locations of each.
	maxPrefixes  = 16384
	maxLocations = 16
)

// Index is the index of one router. The zero value is ready for use. It is safe for
// concurrent use.
type Index struct {
	mu sync.Mutex
	// byPrefix has the locations of each prefix, by a part of its hash.
	byPrefix map[uint32][]location
	queue    queue
	// nextSend is the earliest time of the next messages.
	nextSend time.Time
	counts   Counts
}

// location is a program that has a prefix cached.
type location struct {
	program tallier.Key
	// at is when the location was last recorded or received, sentAt when it was last put in
	// the queue of this router or received.
	at, sentAt time.Time
	// isPending means that the location was announced at the assignment of a request, and that
	// no first token from it is known.
	isPending bool
}

// Counts count the messages of an index.
type Counts struct {
	// Sent is the number of bytes of the messages that were sent.
	Sent int64
	// Received is the number of locations that were received, Dropped that of those that
	// were not sent on, since too much was queued.
	Received, Dropped int64
	// Prefixes is the number of prefixes in the index.
	Prefixes int
}

// Counts returns the current counts.
func (x *Index) Counts() Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.counts
	c.Prefixes = len(x.byPrefix)
	return c
}

// Record records that a request of this router got its first token from a program, which
// so has the shared prefix of the request cached. A new location is queued for the other
// routers, and so is one that these would soon remove.
func (x *Index) Record(now time.Time, prefix uint64, program tallier.Key) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if l := x.put(now, uint32(prefix), program); now.Sub(l.sentAt) >= repeatAfter {
		l.sentAt = now
		e := entry{prefix: uint32(prefix), program: program}
		x.counts.Dropped += x.queue.add(now, queued{entry: e, isOwn: true, isFirst: !x.isElsewhere(now, e)})
	}
}

// isElsewhere reports whether another location of the prefix is known.
func (x *Index) isElsewhere(now time.Time, e entry) bool {
	return slices.ContainsFunc(x.byPrefix[e.prefix], func(l location) bool {
		return l.program != e.program && !l.pends(now) && !l.isExpired(now)
	})
}

// put confirms a location and returns it, valid until the next change.
func (x *Index) put(now time.Time, prefix uint32, program tallier.Key) *location {
	if x.byPrefix == nil {
		x.byPrefix = make(map[uint32][]location)
	}
	list, known := x.byPrefix[prefix]
	if !known && len(x.byPrefix) >= maxPrefixes {
		x.evict(now)
	}
	i := slices.IndexFunc(list, func(l location) bool { return l.program == program })
	if i < 0 {
		list = slices.DeleteFunc(list, func(l location) bool { return l.isExpired(now) })
		if len(list) >= maxLocations {
			list = slices.Delete(list, 0, 1)
		}
		list = append(list, location{program: program})
		i = len(list) - 1
	}
	list[i].at, list[i].isPending = now, false
	x.byPrefix[prefix] = list
	return &list[i]
}

// evict removes expired locations, and all if none has expired.
func (x *Index) evict(now time.Time) {
	x.deleteFunc(func(l location) bool { return l.isExpired(now) })
	if len(x.byPrefix) >= maxPrefixes {
		clear(x.byPrefix)
	}
}

func (l location) isExpired(now time.Time) bool {
	return now.Sub(l.at) >= TTL
}

// pends reports whether the program may still prefill the prefix.
func (l location) pends(now time.Time) bool { return l.isPending && now.Sub(l.at) < pendingTime }

// Announce records that this router has sent a program the first request with a prefix that no
// program is known to have, and queues the announcement for the other routers.
func (x *Index) Announce(now time.Time, prefix uint64, program tallier.Key) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.announce(now, uint32(prefix), program) {
		x.counts.Dropped += x.queue.add(now, queued{entry: entry{prefix: uint32(prefix), program: program}, isOwn: true, isFirst: true, isPending: true})
	}
}

// announce adds a pending location unless one of the prefix is known.
func (x *Index) announce(now time.Time, prefix uint32, program tallier.Key) bool {
	if slices.ContainsFunc(x.byPrefix[prefix], func(l location) bool { return !l.isExpired(now) }) {
		return false
	}
	l := x.put(now, prefix, program)
	l.isPending, l.sentAt = true, now
	return true
}

// Pending returns the program that prefills a prefix; false if none is known.
func (x *Index) Pending(now time.Time, prefix uint64) (tallier.Key, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.byPrefix[uint32(prefix)] {
		if l.pends(now) && !l.isExpired(now) {
			return l.program, true
		}
	}
	return 0, false
}

// deleteFunc removes the locations for which del returns true.
func (x *Index) deleteFunc(del func(location) bool) {
	for prefix, list := range x.byPrefix {
		if list = slices.DeleteFunc(list, del); len(list) > 0 {
			x.byPrefix[prefix] = list
		} else {
			delete(x.byPrefix, prefix)
		}
	}
}

// Retain removes expired locations and those at other programs than the given ones.
func (x *Index) Retain(now time.Time, programs map[tallier.Key]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deleteFunc(func(l location) bool { return l.isExpired(now) || !programs[l.program] })
}

// AppendPrograms appends the programs that have the prefix cached to dst.
func (x *Index) AppendPrograms(dst []tallier.Key, now time.Time, prefix uint64) []tallier.Key {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.byPrefix[uint32(prefix)] {
		if !l.pends(now) && !l.isExpired(now) {
			dst = append(dst, l.program)
		}
	}
	return dst
}
