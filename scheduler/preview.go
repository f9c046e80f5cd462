package scheduler

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Reasons why an upstream that the Selector accepts gets no request.
const (
	reasonLeaving             = "leaving"
	reasonPaused              = "paused"
	reasonEjected             = "ejected"
	reasonOtherModelOrVersion = "other-model-or-version"
	reasonNoSlot              = "no-free-slot"
)

// PreviewSelector is a Selector that can be asked for its selection without any effect.
type PreviewSelector interface {
	// PreviewVacant appends all upstreams to dst as they are rated for the selection by SelectVacant,
	// without any effect.
	PreviewVacant(now time.Time, r *kingcuphook.Request, excluded []string, usable, vacant func(address string) bool, dst []kingcuphook.Candidate) []kingcuphook.Candidate
}

// DrawingSelector is a Selector whose choice varies pseudo-randomly with the fingerprint of the body and the time.
type DrawingSelector interface {
	// Draws reports whether requests that differ in nothing but the fingerprint of their body, or arrive a
	// nanosecond apart, may be sent to different upstreams.
	Draws() bool
}

const (
	// maxDraws and minDraws bound the selections by which probabilities are estimated. With 400 their
	// standard error is at most 2.5%, with 50 at most 7.1%.
	maxDraws = 400
	minDraws = 50
	// maxDrawnRows bounds the number of upstreams times that of selections between these bounds, since the
	// lock of the pool is held while they run.
	maxDrawnRows = 100_000
)

// PreviewAdmitter is an Admitter that can be asked what it would do with a request.
type PreviewAdmitter interface {
	// Place returns the place that the request would have in the queue.
	Place(now time.Time, r *kingcuphook.Request) kingcuphook.QueuePlace
	// PreviewOffer returns the refusal that Offer would return for the request, and whether there is one.
	PreviewOffer(now time.Time, r *kingcuphook.Request) (kingcuphook.Shed, bool)
}

// errNoPreview is returned where a part of the Scheduler can't be asked without an effect.
var errNoPreview = errors.New("scheduler: the selector or the queue can't be previewed")

// Preview returns what would become of a request if it were offered now. It runs the code of Assign for this one
// request and then restores what that code keeps between calls. It takes no slot and no permit.
func (s *Scheduler) Preview(now time.Time, r *kingcuphook.Request) (kingcuphook.Preview, error) {
	selector, selects := s.Selector.(PreviewSelector)
	queue, queues := s.Admitter.(PreviewAdmitter)
	if !selects || !queues {
		return kingcuphook.Preview{}, errNoPreview
	}
	defer s.slots.save()()
	s.dryRun = true
	defer func() { s.dryRun = false }()
	s.beginDryRun(now)

	p := kingcuphook.Preview{Place: queue.Place(now, r)}
	tier := tierOf(r)
	choice, chosen, drawn := s.previewChoice(now, r, &p)
	usable, vacant := s.vacancy(now, r, tier)
	p.Candidates = selector.PreviewVacant(now, r, nil, usable, vacant, nil)
	s.explainSlots(now, r, p.Candidates, drawn)
	setProbabilities(&p, drawn)
	if shed, ok := s.previewShed(now, r, queue, chosen); ok {
		p.Shed = shed
		if errors.Is(shed.Err(), kingcuphook.ErrNoUpstream) {
			p.Wait, p.WaitKnown = unservedWait, true
		}
		return p, nil
	}
	p.Choice = choice
	switch {
	case chosen && p.Place.InGroup < maxHeld && p.Place.Ahead() < maxDeferred:
		p.WaitKnown = true
	case p.Place.PerSecond > 0:
		// A pass may end before it reaches the request.
		p.Wait, p.WaitKnown = time.Duration(float64(p.Place.Ahead()+1)/p.Place.PerSecond*float64(time.Second)), true
	}
	return p, nil
}

// beginDryRun discards the state of the pass before, and counts as if the request in question were queued.
func (s *Scheduler) beginDryRun(now time.Time) {
	s.slots.reset()
	s.countRequested(now, s.Admitter.Len()+1)
}

// previewChoice returns the choice for the request, whether there is one, and how many draws choose each upstream. It
// sets the Draws of p if the Selector draws; otherwise one selection is made.
func (s *Scheduler) previewChoice(now time.Time, r *kingcuphook.Request, p *kingcuphook.Preview) (kingcuphook.Choice, bool, map[string]int) {
	if d, ok := s.Selector.(DrawingSelector); ok && d.Draws() {
		p.Draws = min(max(maxDrawnRows/max(len(s.slots.rows), 1), minDraws), maxDraws)
		return s.drawChoice(now, r, p.Draws)
	}
	drawn := make(map[string]int)
	choice, chosen := s.choose(now, r, tierOf(r))
	if chosen {
		drawn[choice.Upstream.Address()] = 1
	}
	return choice, chosen, drawn
}

// drawChoice repeats the choice for bodies with random fingerprints or, if the body is known, for instants that
// are a nanosecond apart. It returns the most frequent choice, or none if more than half of the draws choose none,
// and how many draws choose each upstream.
func (s *Scheduler) drawChoice(now time.Time, r *kingcuphook.Request, draws int) (best kingcuphook.Choice, chosen bool, drawn map[string]int) {
	drawn = make(map[string]int)
	// A generator with a fixed seed, so that equal questions get equal answers and the decisions on real requests
	// are unaffected.
	rng := rand.New(rand.NewPCG(1, 0))
	waits := 0
	for i := range draws {
		at, variant := now, r
		if r.Fingerprint() == 0 {
			variant = r.WithFingerprint(rng.Uint64())
		} else {
			at = now.Add(time.Duration(i))
		}
		choice, ok := s.choose(at, variant, tierOf(r))
		if len(s.slots.withheld) > 0 {
			// An upstream that lacked a permit in this draw must be open to the next one.
			s.beginDryRun(now)
		}
		if !ok {
			waits++
			continue
		}
		address := choice.Upstream.Address()
		drawn[address]++
		if best.Upstream == nil || drawn[address] > drawn[best.Upstream.Address()] {
			best = choice
		}
	}
	s.freeSlots(now, tierOf(r)) // the last draw may have reset the free slots that the candidates are explained by
	if 2*waits > draws {
		return kingcuphook.Choice{}, false, drawn
	}
	return best, best.Upstream != nil, drawn
}

// setProbabilities sets the probability of each candidate to the share of the draws that choose it, if the choice is
// drawn.
func setProbabilities(p *kingcuphook.Preview, drawn map[string]int) {
	if p.Draws == 0 {
		return
	}
	for i := range p.Candidates {
		c := &p.Candidates[i]
		c.Probability = float64(drawn[c.Upstream]) / float64(p.Draws)
	}
}

// previewShed returns the refusal of the request, and whether there is one.
func (s *Scheduler) previewShed(now time.Time, r *kingcuphook.Request, queue PreviewAdmitter, chosen bool) (kingcuphook.Shed, bool) {
	if shed, ok := s.rejectTooLarge(r); ok {
		return shed, true
	}
	if shed, ok := queue.PreviewOffer(now, r); ok {
		return shed, true
	}
	switch {
	case chosen:
		return kingcuphook.Shed{}, false
	case !s.slots.serves(r):
		return unservedShed(r), true
	}
	return s.rejectBlocked(now, r)
}

// explainSlots completes the candidates by their free slots, and by why those that the Selector accepts get no
// request. drawn is the number of draws that choose each upstream, by address.
func (s *Scheduler) explainSlots(now time.Time, r *kingcuphook.Request, candidates []kingcuphook.Candidate, drawn map[string]int) {
	tier := tierOf(r)
	for i := range candidates {
		c := &candidates[i]
		row := s.slots.byAddress[c.Upstream]
		if row == nil {
			continue
		}
		c.Free = row.free[tier.Index()]
		switch {
		case drawn[c.Upstream] > 0:
			c.RejectReason = ""
		case row.leaving:
			c.RejectReason = reasonLeaving
		case !mayRun(row.upstream, r):
			c.RejectReason = reasonOtherModelOrVersion
		case row.paused(now):
			c.RejectReason = reasonPaused
		case row.withheld || !s.hasPermits(now, row, tier):
			c.RejectReason = reasonRateLimited
		case row.ejected:
			c.RejectReason = reasonEjected
		case c.RejectReason == "" && c.Free == 0:
			c.RejectReason = reasonNoSlot
		case !s.fits(now, row, r, tier):
			c.RejectReason = reasonNoMemory
		}
	}
}

// save returns a function that restores what passes keep in the table between calls.
func (t *slotTable) save() func() {
	table, rows := *t, make([]slotRow, len(t.rows))
	withheld := slices.Clone(t.withheld)
	for i, row := range t.rows {
		rows[i] = *row
	}
	return func() {
		*t = table
		t.withheld = withheld
		for i, row := range t.rows {
			*row = rows[i]
		}
	}
}
