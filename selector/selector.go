// Package selector chooses an upstream for a request by the predicted time to
// its first token, with what is cached, what is waiting and the links between.
package selector

import (
	"cmp"
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
	reasonDisturbs = "disturbs-highest-tier"
	reasonReserved = "reserved"
	reasonFar      = "remote-misses-target"
	reasonPrice    = "gain-below-price"
)

// Selector implements kingcuphook.Selector. Its fields must not be changed
// after its first use.
type Selector struct {
	// Region and DataCentre are where the router is. Without a region every
	// upstream counts as local.
	Region, DataCentre string
	// Live reports whether an upstream gets any work; nil means that all do.
	Live func(now time.Time, address string) bool
	// RegionDelay and CentreDelay are the one-way delays between regions and
	// between the data centres of a region; 0 means the default.
	RegionDelay, CentreDelay time.Duration
	// SpillPrice is the time to the first token that a request must gain for
	// each KiB it moves to another region; 0 means the default.
	SpillPrice time.Duration
	// SpillHold is how long spilling goes on at a lower threshold after the
	// last request that went to another region; 0 means the default.
	SpillHold time.Duration
	// Seed differs between routers, so that they spread prefixes that are new.
	Seed uint64
	// MaxPrefixes bounds the blocks of prompts remembered; 0 means the default.
	MaxPrefixes int
	// NoAffinity ignores prefixes and what is cached.
	NoAffinity bool
	// NoPrediction orders the candidates by load instead of by predicted time.
	NoPrediction bool
	// Routers is how many routers share the upstreams; 0 means 1.
	Routers int
	// NoProtect prefills next to answers of the highest tier without a wait.
	NoProtect bool
	// NoReserve keeps no slots for the highest tier.
	NoReserve bool
	// NoHold never lets a request wait for a better upstream than a free one.
	NoHold bool

	// trackers has every upstream of the pool by address.
	trackers map[string]*tracker
	// byID has the tracker of each identifier; nil for an unused one.
	byID []*tracker
	// epochs has the last epoch of each identifier.
	epochs []uint32
	// near, region and remote are the upstreams by distance.
	near, region, remote place
	index                *index
	spills               bool
	// abroad says that the pool has no upstream in the region of the router.
	abroad bool
	// lastSpill is when a request last went to another region.
	lastSpill time.Time
	reserve   reserve
	// tightest is the lowest token target dispatched; 0 if none was.
	tightest time.Duration
	// pace is the smoothed time between two local slots becoming free.
	pace     time.Duration
	lastFree time.Time
	waits    waits
	// scratch is used again by every selection.
	scratch []scored
}

var _ kingcuphook.Selector = (*Selector)(nil)

// place has the upstreams at the same distance by model. Upstreams whose row
// says that they leave are in no group.
type place struct {
	groups map[string]*group
	// delay is the one-way link delay.
	delay time.Duration
}

// group is the upstreams of a place that serve a model.
type group struct {
	trackers []*tracker
	// seeds has the seed of each tracker, side by side for ranking.
	seeds []uint64
	delay time.Duration
}

func (s *Selector) init() {
	if s.trackers != nil {
		return
	}
	s.trackers = make(map[string]*tracker)
	s.index = newIndex(cmp.Or(s.MaxPrefixes, defaultMaxPrefixes))
	s.scratch = make([]scored, 0, scratchSize)
}

// Update takes the pool in force.
func (s *Selector) Update(_ time.Time, p *kingcuphook.Pool) {
	s.init()
	s.spills = p.SpillRegions()
	s.near = newPlace(0)
	s.region = newPlace(cmp.Or(s.CentreDelay, defaultCentreDelay))
	s.remote = newPlace(cmp.Or(s.RegionDelay, defaultRegionDelay))
	s.abroad = !s.servesHere(p)
	if s.abroad {
		s.region.delay = s.remote.delay
	}
	for _, t := range s.trackers {
		s.reserve.remove(t, s.Routers)
	}
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		t := s.track(u)
		t.groups = t.groups[:0]
		t.remote = s.placeOf(t) == &s.remote
		if !u.Leaving() {
			s.placeOf(t).add(t)
		}
	}
	for address, t := range s.trackers {
		if !wanted[address] {
			s.epochs[t.id] = t.epoch + 1
			s.byID[t.id] = nil
			delete(s.trackers, address)
		}
	}
	for _, t := range s.trackers {
		s.reserve.add(t, s.Routers)
	}
}

// SetRouters tells how many routers share the upstreams now.
func (s *Selector) SetRouters(n int) {
	for _, t := range s.trackers {
		s.reserve.remove(t, s.Routers)
		s.reserve.add(t, n)
	}
	s.Routers = n
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

// servesHere reports whether the region of the router has an upstream of the
// pool that takes work.
func (s *Selector) servesHere(p *kingcuphook.Pool) bool {
	return slices.ContainsFunc(p.Upstreams(), func(u *kingcuphook.Upstream) bool {
		return !u.Leaving() && (s.Region == "" || s.Region == u.Region())
	})
}

// placeOf returns the place of the tracker by distance. Without an upstream in
// the region, those of other regions are all there is and count as its own.
func (s *Selector) placeOf(t *tracker) *place {
	switch {
	case s.Region == "" || s.Region == t.upstream.Region() && s.DataCentre == t.upstream.DataCentre():
		return &s.near
	case s.abroad || s.Region == t.upstream.Region():
		return &s.region
	default:
		return &s.remote
	}
}

func newPlace(delay time.Duration) place {
	return place{groups: make(map[string]*group), delay: delay}
}

// add puts the tracker into the groups of its models; one without models goes
// to the group of the empty model.
func (p *place) add(t *tracker) {
	models := t.upstream.Models()
	if len(models) == 0 {
		models = []string{""}
	}
	for _, model := range models {
		g := p.groups[model]
		if g == nil {
			g = &group{delay: p.delay}
			p.groups[model] = g
		}
		g.trackers = append(g.trackers, t)
		g.seeds = append(g.seeds, t.seed)
		t.groups = append(t.groups, g)
	}
}

// group returns the upstreams that serve the model, or nil.
func (p *place) group(model string) *group {
	if g := p.groups[model]; g != nil {
		return g
	}
	return p.groups[""]
}

// Started tells that the request was dispatched to the upstream.
func (s *Selector) Started(now time.Time, upstream string, r *kingcuphook.Request) {
	t := s.trackers[upstream]
	if t == nil {
		return
	}
	if t.remote {
		s.lastSpill = now
	} else {
		s.waits.add(now, r.Tier(), now.Sub(r.Arrived()))
	}
	if target := r.TokenTarget(); target > 0 && (s.tightest == 0 || target < s.tightest) {
		s.tightest = target
	}
	q := query{request: r}
	s.recall(&q)
	s.reserve.remove(t, s.Routers)
	t.started(now, r, r.PromptTokens()-q.cached(t.id))
	s.reserve.add(t, s.Routers)
	s.reserve.use(now, r)
	s.index.learn(r.Prefix(), r.Fingerprint(), holder{upstream: t.id, epoch: t.epoch, pending: true})
}

// Progress tells that the n-th token of a running request has come. The first
// one shows that its prompt is cached now.
func (s *Selector) Progress(_ time.Time, upstream string, r *kingcuphook.Request, n int) {
	t := s.trackers[upstream]
	if t == nil || n < 1 {
		return
	}
	f, ok := t.flying[r.ID()]
	if !ok || f.begun {
		return
	}
	f.begun = true
	t.flying[r.ID()] = f
	s.index.learn(r.Prefix(), r.Fingerprint(), holder{upstream: t.id, epoch: t.epoch})
}

// Finished tells how an attempt ended.
func (s *Selector) Finished(now time.Time, upstream string, r *kingcuphook.Request, a kingcuphook.Sample) {
	t := s.trackers[upstream]
	if t == nil {
		return
	}
	if !t.remote {
		s.freed(now)
	}
	if a.FirstToken > 0 {
		s.Progress(now, upstream, r, 1)
	}
	s.reserve.remove(t, s.Routers)
	t.finished(r, a)
	s.reserve.judge(t)
	s.reserve.add(t, s.Routers)
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
	t.report(now, l)
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
