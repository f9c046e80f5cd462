package admitter

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

// machine drives an Admitter beside a plain list of what must wait in it.
type machine struct {
	admitter *Admitter
	now      time.Time
	waiting  map[string]*kingcuphook.Request
	// taken can be given back.
	taken []*kingcuphook.Request
	next  int
}

// TestQueueProperties covers sequences of about 30 (at most 100) steps over all
// 5 tiers, 4 classes, 6 organisations, 3 models, targets from none to 5 s,
// deadlines from none to 8 s, bodies from 0 to 40 bytes over bounds of 12
// requests and 200 bytes, any set of tiers with free slots, steps of time up to
// 3 s, cancels of waiting and unknown requests, and given back requests.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			admitter: &Admitter{MaxQueued: 12, MaxBytes: 200, GuaranteedShare: 0.05},
			now:      start,
			waiting:  map[string]*kingcuphook.Request{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"next":   m.take,
			"return": m.giveBack,
			"cancel": m.cancel,
			"expire": m.expire,
			"":       m.check,
		})
	})
}

func (m *machine) offer(t *rapid.T) {
	m.next++
	r := kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID:           fmt.Sprint(m.next),
		Class:        fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "class")),
		Organisation: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "organisation")),
		Model:        fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "model")),
		Tier:         kingcuphook.Tier(rapid.IntRange(1, 5).Draw(t, "tier")),
		Arrived:      m.now,
		Target:       time.Duration(rapid.IntRange(0, 5).Draw(t, "target")) * time.Second,
		PromptTokens: rapid.IntRange(0, 1000).Draw(t, "tokens"),
		Bytes:        rapid.IntRange(0, 40).Draw(t, "bytes"),
		Deadline:     m.deadline(rapid.IntRange(0, 8).Draw(t, "deadline")),
	})
	m.waiting[r.ID()] = r
	sheds := m.admitter.Offer(m.now, r)
	m.leave(t, sheds, kingcuphook.ErrOverloaded)
	for _, s := range sheds {
		for _, w := range m.waiting {
			if w.Tier() > s.Request().Tier() {
				t.Fatalf("tier %d was shed while tier %d waits", s.Request().Tier(), w.Tier())
			}
		}
	}
}

func (m *machine) deadline(seconds int) time.Time {
	if seconds == 0 {
		return time.Time{}
	}
	return m.now.Add(time.Duration(seconds) * time.Second)
}

// leave takes the shed requests out of the list.
func (m *machine) leave(t *rapid.T, sheds []kingcuphook.Shed, want error) {
	for _, s := range sheds {
		r := s.Request()
		if m.waiting[r.ID()] != r {
			t.Fatalf("%s was shed but did not wait", r.ID())
		}
		delete(m.waiting, r.ID())
		if !errors.Is(s.Err(), want) {
			t.Fatalf("%s was shed with %v, want %v", r.ID(), s.Err(), want)
		}
		if s.RetryAfter() < minRetryAfter || s.RetryAfter() > maxRetryAfter {
			t.Fatalf("%s must retry after %v", r.ID(), s.RetryAfter())
		}
	}
}

func (m *machine) take(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	lowest := kingcuphook.Tier(rapid.IntRange(0, 5).Draw(t, "lowest tier with a free slot"))
	free := func(t kingcuphook.Tier) int { return int(max(0, lowest-t+1)) }
	r := m.admitter.Next(m.now, free)
	if r == nil {
		for _, w := range m.waiting {
			if w.Tier() <= lowest {
				t.Fatalf("nothing was taken while tier %d waits and may run", w.Tier())
			}
		}
		return
	}
	if m.waiting[r.ID()] != r {
		t.Fatalf("%s was taken but did not wait", r.ID())
	}
	delete(m.waiting, r.ID())
	m.taken = append(m.taken, r)
	if m.admitter.Guaranteed() {
		if lowest < kingcuphook.HighestTier {
			t.Fatalf("%s was taken without any free slot", r.ID())
		}
		return
	}
	for _, w := range m.waiting {
		if w.Tier() < r.Tier() || r.Tier() > lowest {
			t.Fatalf("tier %d was taken while tier %d waits, free down to %d", r.Tier(), w.Tier(), lowest)
		}
	}
	m.admitter.Served(r, rapid.IntRange(0, 500).Draw(t, "served"))
}

func (m *machine) giveBack(t *rapid.T) {
	if len(m.taken) == 0 || m.admitter.Len() >= 12 {
		t.Skip("nothing to give back")
	}
	last := len(m.taken) - 1
	r := m.taken[last]
	m.taken = m.taken[:last]
	if m.admitter.Bytes()+r.Bytes() > 200 {
		t.Skip("no room")
	}
	m.admitter.Return(m.now, r)
	m.waiting[r.ID()] = r
}

func (m *machine) cancel(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, m.next+1).Draw(t, "id"))
	if got, want := m.admitter.Cancel(id), m.waiting[id] != nil; got != want {
		t.Fatalf("Cancel(%s) = %v, want %v", id, got, want)
	}
	delete(m.waiting, id)
}

func (m *machine) expire(t *rapid.T) {
	m.leave(t, m.admitter.Expire(m.now), kingcuphook.ErrDeadline)
	for id, r := range m.waiting {
		if !r.Deadline().IsZero() && !r.Deadline().After(m.now) {
			t.Fatalf("%s is over its deadline and still waits", id)
		}
	}
}

// check compares what the queue counts with the list.
func (m *machine) check(t *rapid.T) {
	bytes := 0
	var tiers [kingcuphook.TierCount]int
	for _, r := range m.waiting {
		bytes += r.Bytes()
		tiers[r.Tier().Index()]++
	}
	a := m.admitter
	if a.Len() != len(m.waiting) || a.Bytes() != bytes {
		t.Fatalf("%d requests with %d bytes wait, want %d with %d", a.Len(), a.Bytes(), len(m.waiting), bytes)
	}
	if a.Len() > 12 || a.Bytes() > 200 {
		t.Fatalf("%d requests with %d bytes are over the bounds", a.Len(), a.Bytes())
	}
	for i, n := range tiers {
		if got := a.Waiting(kingcuphook.HighestTier + kingcuphook.Tier(i)); got != n {
			t.Fatalf("%d requests wait in tier %d, want %d", got, i+1, n)
		}
	}
	if err := a.verify(); err != nil {
		t.Fatal(err)
	}
}

// verify reports an item that some structure has lost or doubled.
func (a *Admitter) verify() error {
	inLanes, inQueues, inLoads := 0, 0, 0
	for _, l := range a.lanes {
		for it := l.first; it != nil; it = it.next {
			inLanes++
		}
	}
	for i := range a.tiers {
		inLoads += len(a.tiers[i].byLoad)
		for _, acc := range a.tiers[i].accounts {
			for _, q := range acc.queues {
				inQueues += len(q.onTime) + len(q.late)
			}
			if acc.waiting > 0 {
				inLoads--
			}
		}
	}
	if inLanes != len(a.byID) || inQueues != len(a.byID) || inLoads != 0 {
		return fmt.Errorf("%d in lanes, %d in queues, %d loads over, want %d", inLanes, inQueues, inLoads, len(a.byID))
	}
	return nil
}
