// Package selector chooses an upstream for a request by the predicted time to
// its first token, with what is cached, what is waiting and the links between.
package selector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// Defaults of the fields of Selector.
const (
	defaultRegionDelay = 30 * time.Millisecond
	defaultCentreDelay = 1500 * time.Microsecond
	defaultSpillPrice  = 2 * time.Millisecond
	defaultSpillHold   = 5 * time.Second
)

// Reasons why a candidate is refused.
const (
	reasonExcluded = "excluded"
	reasonLeaving  = "leaving"
	reasonUnusable = "no-free-slot"
	reasonLoaded   = "over-load-bound"
	reasonFar      = "remote-misses-target"
	reasonPrice    = "gain-below-price"
)

// Selector implements kingcuphook.Selector. Its fields must not be changed
// after its first use.
type Selector struct {
	// Region and DataCentre are where the router is. Without a region every
	// upstream counts as local.
	Region, DataCentre string
	// RegionDelay and CentreDelay are the one-way delays between regions and
	// between the data centres of a region; 0 means the default.
	RegionDelay, CentreDelay time.Duration
	// SpillPrice is the time to the first token that a request must gain for
	// each KiB it moves to another region; 0 means the default.
	SpillPrice time.Duration
	// SpillHold is how long spilling goes on at a lower threshold after the
	// last request that went to another region; 0 means the default.
	SpillHold time.Duration
	// MaxPrefixes bounds the blocks of prompts remembered; 0 means the default.
	MaxPrefixes int
	// NoAffinity ignores prefixes and what is cached.
	NoAffinity bool
	// NoPrediction orders the candidates by load instead of by predicted time.
	NoPrediction bool
	// NoBound lifts the bound on the load of a candidate.
	NoBound bool

	// trackers has every upstream of the pool by address.
	trackers map[string]*tracker
	// byID has the tracker of each identifier; nil for an unused one.
	byID []*tracker
	// epochs has the last epoch of each identifier.
	epochs []uint32
	// near, region and remote are the upstreams by distance. Upstreams whose
	// row says that they leave are in none of them.
	near, region, remote group
	index                *index
	spills               bool
	// lastSpill is when a request last went to another region.
	lastSpill time.Time
	// tightest is the lowest token target dispatched; 0 if none was.
	tightest time.Duration
	// pace is the smoothed time between two local slots becoming free.
	pace     time.Duration
	lastFree time.Time
	// scratch is used again by every selection.
	scratch []scored
}

var _ kingcuphook.Selector = (*Selector)(nil)

// group is a set of upstreams at the same distance.
type group struct {
	trackers []*tracker
	// load and slots are sums over trackers.
	load, slots int
	// delay is the one-way link delay.
	delay time.Duration
}

func (s *Selector) init() {
	if s.trackers != nil {
		return
	}
	s.trackers = make(map[string]*tracker)
	s.index = newIndex(orInt(s.MaxPrefixes, defaultMaxPrefixes))
	s.scratch = make([]scored, 0, scratchSize)
}

// Update takes the pool in force.
func (s *Selector) Update(_ time.Time, p *kingcuphook.Pool) {
	s.init()
	s.spills = p.SpillRegions()
	s.near = group{}
	s.region = group{delay: orDuration(s.CentreDelay, defaultCentreDelay)}
	s.remote = group{delay: orDuration(s.RegionDelay, defaultRegionDelay)}
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		t := s.track(u)
		if !u.Leaving() {
			s.groupOf(t).add(t)
		}
	}
	for address, t := range s.trackers {
		if !wanted[address] {
			s.epochs[t.id] = t.epoch + 1
			s.byID[t.id] = nil
			delete(s.trackers, address)
		}
	}
}

func (s *Selector) track(u *kingcuphook.Upstream) *tracker {
	if t := s.trackers[u.Address()]; t != nil {
		t.take(u)
		return t
	}
	id := slices.Index(s.byID, nil)
	if id < 0 {
		id = len(s.byID)
		s.byID = append(s.byID, nil)
		s.epochs = append(s.epochs, 1)
	}
	t := newTracker(u, uint32(id), s.epochs[id], xxhash.Sum64String(u.Address()))
	s.byID[id] = t
	s.trackers[u.Address()] = t
	return t
}

// groupOf returns the group of the tracker by distance.
func (s *Selector) groupOf(t *tracker) *group {
	switch {
	case s.Region == "" || s.Region == t.upstream.Region() && s.DataCentre == t.upstream.DataCentre():
		return &s.near
	case s.Region == t.upstream.Region():
		return &s.region
	default:
		return &s.remote
	}
}

func (g *group) add(t *tracker) {
	g.trackers = append(g.trackers, t)
	g.load += t.load()
	g.slots += t.slots
}

// Started tells that the request was dispatched to the upstream.
func (s *Selector) Started(now time.Time, upstream string, r *kingcuphook.Request) {
	t := s.trackers[upstream]
	if t == nil {
		return
	}
	g := s.groupOf(t)
	if g == &s.remote {
		s.lastSpill = now
	}
	before := t.load()
	if target := r.TokenTarget(); target > 0 && (s.tightest == 0 || target < s.tightest) {
		s.tightest = target
	}
	q := query{request: r}
	s.recall(&q)
	t.started(now, r.ID(), r.PromptTokens()-q.cached(t.id))
	g.move(t, before)
	s.index.learn(r.Prefix(), r.Fingerprint(), holder{upstream: t.id, epoch: t.epoch})
}

// Finished tells how an attempt ended.
func (s *Selector) Finished(now time.Time, upstream string, r *kingcuphook.Request, a kingcuphook.Sample) {
	t := s.trackers[upstream]
	if t == nil {
		return
	}
	g := s.groupOf(t)
	if g != &s.remote {
		s.freed(now)
	}
	before := t.load()
	t.finished(r.ID(), a)
	g.move(t, before)
	if a.Failed {
		t.epoch++
	}
}

// freed learns the time between two local slots becoming free.
func (s *Selector) freed(now time.Time) {
	const weight = 8
	if !s.lastFree.IsZero() {
		s.pace += (now.Sub(s.lastFree) - s.pace) / weight
	}
	s.lastFree = now
}

// Report takes a load report.
func (s *Selector) Report(now time.Time, l kingcuphook.LoadReport) {
	t := s.trackers[l.Upstream()]
	if t == nil {
		return
	}
	before := t.load()
	t.report(now, l)
	s.groupOf(t).move(t, before)
}

// move corrects the sum of the group after the load of t has changed.
func (g *group) move(t *tracker, before int) {
	if !t.upstream.Leaving() {
		g.load += t.load() - before
	}
}

// Cached takes a cache event. After a gap in the sequence all that was known
// of the upstream's cache is doubtful until it is confirmed again.
func (s *Selector) Cached(_ time.Time, e kingcuphook.CacheEvent) {
	t := s.trackers[e.Upstream()]
	if t == nil {
		return
	}
	if t.sequence != 0 && e.Sequence() != t.sequence+1 {
		t.epoch++
	}
	t.sequence = e.Sequence()
	if e.Stored() {
		s.index.confirm(e.Prefix(), holder{upstream: t.id, epoch: t.epoch})
		return
	}
	s.index.drop(e.Prefix(), t.id)
}

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
