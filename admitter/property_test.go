package admitter

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

// machine is a state machine that compares an Admitter with a model: the map of
// requests that must be queued.
type machine struct {
	admitter *Admitter
	now      time.Time
	queued   map[string]*kingcuphook.Request
	// taken holds the requests taken from the queue that can be put back.
	taken []*kingcuphook.Request
	next  int
}

// TestQueueProperties runs random sequences of about 30 (at most 100) operations
// over all 5 tiers, 4 classes, 6 organisations, 3 models, targets from none to
// 5 s, deadlines from none to 8 s and bodies from 0 to 40 bytes. The bounds are
// 12 requests and 200 bytes, free slots reach down to any tier, and time
// advances by up to 3 s. Operations include cancelling queued and unknown
// requests and putting taken requests back.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			admitter: &Admitter{MaxQueued: 12, MaxBytes: 200, GuaranteedShare: 0.05},
			now:      start,
			queued:   map[string]*kingcuphook.Request{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"next":   m.take,
			"return": m.putBack,
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
	m.queued[r.ID()] = r
	sheds := m.admitter.Offer(m.now, r)
	m.removeShed(t, sheds, kingcuphook.ErrOverloaded)
	for _, s := range sheds {
		for _, w := range m.queued {
			if w.Tier() > s.Request().Tier() {
				t.Fatalf("tier %d was shed while tier %d is queued", s.Request().Tier(), w.Tier())
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

// removeShed removes the shed requests from the model.
func (m *machine) removeShed(t *rapid.T, sheds []kingcuphook.Shed, want error) {
	for _, s := range sheds {
		r := s.Request()
		if m.queued[r.ID()] != r {
			t.Fatalf("%s was shed but was not queued", r.ID())
		}
		delete(m.queued, r.ID())
		if !errors.Is(s.Err(), want) {
			t.Fatalf("%s was shed with %v, want %v", r.ID(), s.Err(), want)
		}
		if s.RetryAfter() < minRetryAfter || s.RetryAfter() > maxRetryAfter {
			t.Fatalf("%s has retry delay %v, which is out of bounds", r.ID(), s.RetryAfter())
		}
	}
}

func (m *machine) take(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	lowest := kingcuphook.Tier(rapid.IntRange(0, 5).Draw(t, "lowest tier with a free slot"))
	free := func(t kingcuphook.Tier) int { return int(max(0, lowest-t+1)) }
	r := m.admitter.Next(m.now, free)
	if r == nil {
		for _, w := range m.queued {
			if w.Tier() <= lowest {
				t.Fatalf("nothing was taken while tier %d is queued and has a free slot", w.Tier())
			}
		}
		return
	}
	if m.queued[r.ID()] != r {
		t.Fatalf("%s was taken but was not queued", r.ID())
	}
	delete(m.queued, r.ID())
	m.taken = append(m.taken, r)
	if m.admitter.Guaranteed() {
		if lowest < kingcuphook.HighestTier {
			t.Fatalf("%s was taken without any free slot", r.ID())
		}
		return
	}
	for _, w := range m.queued {
		if w.Tier() < r.Tier() || r.Tier() > lowest {
			t.Fatalf("tier %d was taken while tier %d is queued, with free slots down to tier %d", r.Tier(), w.Tier(), lowest)
		}
	}
	m.admitter.Served(r, rapid.IntRange(0, 500).Draw(t, "served"))
}

func (m *machine) putBack(t *rapid.T) {
	if len(m.taken) == 0 || m.admitter.Len() >= 12 {
		t.Skip("no taken request can be put back")
	}
	last := len(m.taken) - 1
	r := m.taken[last]
	m.taken = m.taken[:last]
	if m.admitter.Bytes()+r.Bytes() > 200 {
		t.Skip("putting the request back would exceed the byte bound")
	}
	m.admitter.Return(m.now, r)
	m.queued[r.ID()] = r
}

func (m *machine) cancel(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, m.next+1).Draw(t, "id"))
	if got, want := m.admitter.Cancel(id), m.queued[id] != nil; got != want {
		t.Fatalf("Cancel(%s) = %v, want %v", id, got, want)
	}
	delete(m.queued, id)
}

func (m *machine) expire(t *rapid.T) {
	m.removeShed(t, m.admitter.Expire(m.now), kingcuphook.ErrDeadline)
	for id, r := range m.queued {
		if !r.Deadline().IsZero() && !r.Deadline().After(m.now) {
			t.Fatalf("%s is past its deadline and still queued", id)
		}
	}
}

// check compares the counters of the queue with the model.
func (m *machine) check(t *rapid.T) {
	bytes := 0
	var tiers [kingcuphook.TierCount]int
	for _, r := range m.queued {
		bytes += r.Bytes()
		tiers[r.Tier().Index()]++
	}
	a := m.admitter
	if a.Len() != len(m.queued) || a.Bytes() != bytes {
		t.Fatalf("%d requests with %d bytes are queued, want %d with %d", a.Len(), a.Bytes(), len(m.queued), bytes)
	}
	if a.Len() > 12 || a.Bytes() > 200 {
		t.Fatalf("%d requests with %d bytes exceed the bounds", a.Len(), a.Bytes())
	}
	for i, n := range tiers {
		if got := a.Queued(kingcuphook.HighestTier + kingcuphook.Tier(i)); got != n {
			t.Fatalf("%d requests are queued in tier %d, want %d", got, i+1, n)
		}
	}
	if err := a.verify(); err != nil {
		t.Fatal(err)
	}
}

// verify checks that every queued item is in exactly one list of a class and one
// heap of an organisation, and that byLoad matches the accounts.
func (a *Admitter) verify() error {
	inClasses, inQueues, inLoads := 0, 0, 0
	for _, c := range a.classes {
		for it := c.first; it != nil; it = it.next {
			inClasses++
		}
	}
	for i := range a.tiers {
		inLoads += len(a.tiers[i].byLoad)
		for _, acc := range a.tiers[i].accounts {
			for _, q := range acc.queues {
				inQueues += len(q.onTime) + len(q.late)
			}
			if acc.queued > 0 {
				inLoads--
			}
		}
	}
	if inClasses != len(a.byID) || inQueues != len(a.byID) || inLoads != 0 {
		return fmt.Errorf("%d items in class queues, %d in organisation queues, %d surplus accounts in byLoad, want %d items", inClasses, inQueues, inLoads, len(a.byID))
	}
	return nil
}
