package indexer

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/digester"
	"github.com/kingcuphook/kingcuphook/tallier"
)

const (
	// messageType is the first byte of a message. Other packages whose messages arrive on
	// the same socket use other values; builds without this package reject it.
	messageType = 0x64
	// headerBytes is the length of the header: type and scope.
	headerBytes = 2
	// entryBytes is the length of an entry: prefix and program.
	entryBytes = 4 + 4
	// maxEntries bounds the entries in a message to the size of a datagram.
	maxEntries = (digester.MaxBytes - headerBytes) / entryBytes
	// bytesPerSecond bounds the bytes that a router sends on average. In fleets where this
	// does not suffice for all locations, the oldest are dropped.
	bytesPerSecond = 1024
	// burstTime is the time for which a router may save up its bytes.
	burstTime = 2 * time.Second
	// sendInterval is the least interval between messages to the same router: the headers of datagrams take
	// more bytes than a few locations.
	sendInterval = 300 * time.Millisecond
	// tickSlack allows for ticks that are a little early.
	tickSlack = 20 * time.Millisecond
	// maxQueued bounds the locations that wait to be sent.
	maxQueued = 512
	// maxQueueTime is the age from which a queued location is dropped.
	maxQueueTime = time.Second
)

// Scopes of a message, its second byte.
const (
	// scopeCentre means that the receiver keeps the locations to itself.
	scopeCentre = 0
	// scopeRelay means that the receiver sends them to the routers of its data centre.
	scopeRelay = 1
	// scopePending is added if the locations are pending: their programs prefill the prefixes.
	// Builds without it reject these messages.
	scopePending = 2
)

// Message is a datagram to another router.
type Message struct {
	To      netip.Addr
	Payload []byte
}

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == messageType }

// entry is a location in a message.
type entry struct {
	prefix  uint32
	program tallier.Key
}

// queued is an entry that waits to be sent.
type queued struct {
	entry
	at time.Time
	// isOwn means that it goes to the other data centres too.
	isOwn bool
	// isFirst means that no other location of its prefix was known.
	isFirst bool
	// isPending means that the prefix is in prefill there.
	isPending bool
}

// queue holds the entries to be sent, in order, and the bytes that may be sent. The first
// locations of prefixes come before further ones: without a location a prefix is prefilled
// again, without a further one it is copied once more.
type queue struct {
	entries []queued
	// budget is the number of bytes that may be sent at the time budgetAt; negative after a
	// message that exceeded it.
	budget   float64
	budgetAt time.Time
}

// add adds an entry and returns the number of those dropped for it.
func (q *queue) add(now time.Time, e queued) (dropped int64) {
	e.at = now
	if len(q.entries) >= maxQueued {
		oldest := q.firstLocations()
		if oldest == len(q.entries) {
			oldest = 0
		}
		q.entries = slices.Delete(q.entries, oldest, oldest+1)
		dropped = 1
	}
	place := len(q.entries)
	if e.isFirst {
		place = q.firstLocations()
	}
	q.entries = slices.Insert(q.entries, place, e)
	return dropped
}

// firstLocations returns the number of entries that are first locations.
func (q *queue) firstLocations() int {
	return sort.Search(len(q.entries), func(i int) bool { return !q.entries[i].isFirst })
}

// dropOld removes the entries that wait for too long, and returns their number.
func (q *queue) dropOld(now time.Time) int64 {
	n := len(q.entries)
	q.entries = slices.DeleteFunc(q.entries, func(e queued) bool { return now.Sub(e.at) > maxQueueTime })
	return int64(n - len(q.entries))
}

// refill adds the bytes for the time that has passed to the budget.
func (q *queue) refill(now time.Time) {
	if q.budgetAt.IsZero() {
		q.budgetAt = now.Add(-burstTime)
	}
	q.budget = min(q.budget+now.Sub(q.budgetAt).Seconds()*bytesPerSecond, bytesPerSecond*burstTime.Seconds())
	q.budgetAt = now
}

// take removes and returns the entries that the budget allows to send, the oldest first,
// given the number of routers that each own and each relayed entry goes to. One entry may
// exceed the budget.
func (q *queue) take(near, far int) []queued {
	n, left := 0, q.budget
	for n < len(q.entries) && n < maxEntries && left > 0 {
		left -= float64(near * entryBytes)
		if q.entries[n].isOwn {
			left -= float64(far * entryBytes)
		}
		n++
	}
	taken := slices.Clone(q.entries[:n])
	q.entries = slices.Delete(q.entries, 0, n)
	return taken
}

// Tick returns the messages to be sent now, given the routers of the own data centre and some
// routers of each other one.
func (x *Index) Tick(now time.Time, near []netip.Addr, far map[uint32][]netip.Addr) []Message {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counts.Dropped += x.queue.dropOld(now)
	if now.Before(x.nextSend) {
		return nil
	}
	x.queue.refill(now)
	taken := x.queue.take(len(near), len(far))
	if len(taken) == 0 {
		return nil
	}
	x.nextSend = now.Add(sendInterval - tickSlack)
	var messages []Message
	for _, isPending := range []bool{false, true} {
		all, own := encode(taken, isPending)
		for _, a := range near {
			if len(all) > headerBytes {
				messages = append(messages, Message{To: a, Payload: all})
			}
		}
		for _, list := range far {
			if len(own) > headerBytes && len(list) > 0 {
				messages = append(messages, Message{To: list[rand.IntN(len(list))], Payload: own})
			}
		}
	}
	for _, m := range messages {
		x.queue.budget -= float64(len(m.Payload))
		x.counts.Sent += int64(len(m.Payload))
	}
	return messages
}

// encode returns the payload with all entries for the own data centre, and that with the
// own entries for the relays of the others.
func encode(entries []queued, isPending bool) (all, own []byte) {
	scope := byte(0)
	if isPending {
		scope = scopePending
	}
	all, own = []byte{messageType, scopeCentre | scope}, []byte{messageType, scopeRelay | scope}
	for _, e := range entries {
		if e.isPending != isPending {
			continue
		}
		all = e.appendTo(all)
		if e.isOwn {
			own = e.appendTo(own)
		}
	}
	return all, own
}

func (e entry) appendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, e.prefix)
	return binary.BigEndian.AppendUint32(b, uint32(e.program))
}

// Receive adds the locations in a message of another router. The error wraps ErrInvalid.
func (x *Index) Receive(now time.Time, b []byte) error {
	if len(b) < headerBytes || !IsMessage(b) || b[1] > scopeRelay|scopePending ||
		(len(b)-headerBytes)%entryBytes != 0 || len(b) > headerBytes+maxEntries*entryBytes {
		return fmt.Errorf("indexer: invalid message of %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for e := b[headerBytes:]; len(e) > 0; e = e[entryBytes:] {
		got := entry{prefix: binary.BigEndian.Uint32(e), program: tallier.Key(binary.BigEndian.Uint32(e[4:]))}
		isFirst, isPending := !x.isElsewhere(now, got), b[1]&scopePending != 0
		x.counts.Received++
		if isPending {
			if !x.announce(now, got.prefix, got.program) {
				continue
			}
		} else {
			x.put(now, got.prefix, got.program).sentAt = now
		}
		if b[1]&scopeRelay != 0 {
			x.counts.Dropped += x.queue.add(now, queued{entry: got, isFirst: isFirst, isPending: isPending})
		}
	}
	return nil
}
