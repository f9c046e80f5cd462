package admitter

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxLanes bounds the classes with a guarantee of their own; those beyond
	// share one lane a tier.
	maxLanes = 256
	// busyRate and idleRate are the slots a second that a waiting class is owed at
	// one router, besides its share, while higher tiers wait and while none does.
	// Slots that no higher tier asks for thus go to lower tiers in the end, also
	// where the limits keep them free.
	busyRate = 0.02
	idleRate = 2.0
	// accrueEvery is the least time between two calculations of what is owed.
	accrueEvery = 10 * time.Millisecond
	// maxDeficit bounds the slots that a class can be owed.
	maxDeficit = 2
	// takenCount is how many requests Return can put back after one another.
	takenCount = 64
)

// laneKey identifies a lane of the guarantee.
type laneKey struct {
	tier         int
	class, model string
}

// classLane has the waiting requests of one class and model in order of arrival.
type classLane struct {
	key laneKey
	// first and last end the list; the lane is dropped when it is empty.
	first, last *item
	// deficit counts the slots that the class is owed for those that others got,
	// from 0 to maxDeficit; owed counts those for the time it waited, from 0 to 1.
	deficit, owed float64
}

// takenRing has the latest requests that were taken, the oldest overwritten
// first.
type takenRing struct {
	entries [takenCount]taken
	next    int
}

// taken is what is needed to undo that a request was taken.
type taken struct {
	id string
	// deficit and owed are those of the lane before, share what the others gained.
	deficit, owed, share float64
}

// lane returns the lane of r and makes it if there is none.
func (a *Admitter) lane(r *kingcuphook.Request) *classLane {
	key := laneKey{tier: tierIndex(r), class: r.Class(), model: r.Model()}
	if l := a.laneByKey[key]; l != nil {
		return l
	}
	if len(a.lanes) >= maxLanes {
		key = laneKey{tier: key.tier}
		if l := a.laneByKey[key]; l != nil {
			return l
		}
	}
	if a.laneByKey == nil {
		a.laneByKey = make(map[laneKey]*classLane)
	}
	l := &classLane{key: key}
	a.laneByKey[key] = l
	a.lanes = append(a.lanes, l)
	return l
}

// pickGuaranteed returns the oldest request of the class that is owed the most,
// or nil if none is owed a whole slot or no slot is free. What is owed for time
// counts only while the tier of the class has no free slot.
func (a *Admitter) pickGuaranteed(free func(kingcuphook.Tier) int, skip func(string) bool) *item {
	var best *classLane
	most := 0.0
	for _, l := range a.lanes {
		if skip != nil && skip(l.key.model) {
			continue
		}
		due := l.deficit
		if due < 1 && l.owed >= 1 && free(l.tier()) <= 0 {
			due = l.owed
		}
		if due >= 1 && due > most {
			best, most = l, due
		}
	}
	if best == nil || free(kingcuphook.HighestTier) <= 0 {
		return nil
	}
	return best.first
}

func (l *classLane) tier() kingcuphook.Tier {
	return kingcuphook.HighestTier + kingcuphook.Tier(l.key.tier)
}

// share is what each waiting class is owed for a slot that another one got.
func (a *Admitter) share() float64 {
	share := a.GuaranteedShare
	if share == 0 {
		share = defaultGuaranteedShare
	}
	return max(0, min(share, maxGuaranteedSum/float64(max(len(a.lanes), 1))))
}

// accrue adds what the waiting classes are owed for the time that has passed.
func (a *Admitter) accrue(now time.Time) {
	passed := now.Sub(a.accrued)
	if passed < accrueEvery {
		return
	}
	first := a.accrued.IsZero()
	a.accrued = now
	if first || a.GuaranteedShare < 0 {
		return
	}
	highest := a.highestWaiting()
	for _, l := range a.lanes {
		rate := idleRate
		if l.key.tier > highest {
			rate = busyRate
		}
		l.owed = min(l.owed+rate*passed.Seconds(), 1)
	}
}

// highestWaiting returns the index of the highest tier with a waiting request.
func (a *Admitter) highestWaiting() int {
	for i := range a.tiers {
		if a.tiers[i].waiting > 0 {
			return i
		}
	}
	return len(a.tiers)
}

// grant books a slot for it, which has been removed already.
func (a *Admitter) grant(it *item) {
	share := a.share()
	a.taken.add(taken{id: it.request.ID(), deficit: it.lane.deficit, owed: it.lane.owed, share: share})
	for _, l := range a.lanes {
		if l != it.lane {
			l.deficit = min(l.deficit+share, maxDeficit)
		}
	}
	it.lane.deficit = max(it.lane.deficit-1, 0)
	it.lane.owed = 0
}

// revoke undoes the grant of it, which has been inserted again already.
func (a *Admitter) revoke(it *item) {
	t, ok := a.taken.take(it.request.ID())
	if !ok {
		return
	}
	for _, l := range a.lanes {
		if l != it.lane {
			l.deficit = max(l.deficit-t.share, 0)
		}
	}
	it.lane.deficit, it.lane.owed = t.deficit, t.owed
}

// unlink takes it out of its lane and drops the lane if it is empty.
func (a *Admitter) unlink(it *item) {
	l := it.lane
	l.remove(it)
	if l.first != nil {
		return
	}
	delete(a.laneByKey, l.key)
	a.lanes = slices.DeleteFunc(a.lanes, func(o *classLane) bool { return o == l })
}

func (l *classLane) pushLast(it *item) {
	it.prev = l.last
	if l.last == nil {
		l.first = it
	} else {
		l.last.next = it
	}
	l.last = it
}

func (l *classLane) pushFirst(it *item) {
	it.next = l.first
	if l.first == nil {
		l.last = it
	} else {
		l.first.prev = it
	}
	l.first = it
}

func (l *classLane) remove(it *item) {
	if it.prev == nil {
		l.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
}

func (t *takenRing) add(e taken) {
	t.entries[t.next] = e
	t.next = (t.next + 1) % takenCount
}

func (t *takenRing) take(id string) (taken, bool) {
	for i, e := range t.entries {
		if e.id == id {
			t.entries[i] = taken{}
			return e, true
		}
	}
	return taken{}, false
}
