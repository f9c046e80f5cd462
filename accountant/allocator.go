package accountant

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Allocator is an allocator that reports each request once, when it begins to run: at the first
// progress of a slot or, at a plain service, at the release of a slot. Its exported fields
// are set before use. It is safe for concurrent use.
type Allocator struct {
	// Next is the allocator whose slots are observed; never nil.
	Next kingcuphook.Allocator
	// Begin is called when a request of an organisation begins; never nil.
	Begin func(organisation string)

	mu sync.Mutex
	// begun has the requests that began, until their deadlines: they may have further attempts.
	begun   map[call]time.Time
	sweepAt time.Time
}

// sweepInterval is how often requests past their deadline are removed.
const sweepInterval = time.Second

var _ kingcuphook.Allocator = (*Allocator)(nil)

// Acquire implements kingcuphook.Allocator.
func (a *Allocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	s, err := a.Next.Acquire(ctx, r, excluded)
	if err != nil || r.Organisation() == "" {
		return s, err
	}
	return &slot{Slot: s, allocator: a, request: r}, nil
}

// call identifies the call of a request: callers may use an ID twice, or none.
type call struct {
	id      string
	arrived time.Time
}

// begin records that a request has begun, and reports it if it had not before.
func (a *Allocator) begin(now time.Time, r *kingcuphook.Request) {
	a.mu.Lock()
	if a.begun == nil {
		a.begun = make(map[call]time.Time)
	}
	if !now.Before(a.sweepAt) {
		a.sweepAt = now.Add(sweepInterval)
		for id, deadline := range a.begun {
			if now.After(deadline) {
				delete(a.begun, id)
			}
		}
	}
	key := call{id: r.ID(), arrived: r.Arrived()}
	_, counted := a.begun[key]
	a.begun[key] = r.Deadline()
	a.mu.Unlock()
	if !counted {
		a.Begin(r.Organisation())
	}
}

// slot is a slot whose request is counted. It is used by one goroutine.
type slot struct {
	kingcuphook.Slot
	allocator *Allocator
	request   *kingcuphook.Request
	begun     bool
}

// Progress implements kingcuphook.Slot.
func (s *slot) Progress(n int) {
	if !s.begun {
		s.begun = true
		s.allocator.begin(time.Now(), s.request)
	}
	s.Slot.Progress(n)
}

// Release implements kingcuphook.Slot.
func (s *slot) Release(sample kingcuphook.Sample) {
	if !s.begun && sample.Begun {
		s.allocator.begin(time.Now(), s.request)
	}
	s.Slot.Release(sample)
}
