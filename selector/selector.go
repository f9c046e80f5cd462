// Package selector chooses the upstream for a request. It compares candidates by
// the predicted time to the first token, which depends on the tokens cached
// there, the prefill queued there and the network delay.
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

// Reasons for refusing a candidate.
const (
	reasonExcluded           = "excluded"
	reasonLeaving            = "leaving"
	reasonNoFreeSlot         = "no-free-slot"
	reasonInterference       = "disturbs-highest-tier"
	reasonReserved           = "reserved"
	reasonRemoteMissesTarget = "remote-misses-target"
	reasonGainBelowPrice     = "gain-below-price"
	// The others are reasons in previews only. reasonOtherRegion and reasonOtherCentre mean that upstreams nearby
	// take the request.
	reasonWorseThanWaiting = "worse-than-waiting"
	reasonOtherRegion      = "other-region"
	reasonOtherCentre      = "other-data-centre"
	reasonOtherModel       = "other-model-or-version"
)

// Selector implements kingcuphook.Selector. Its fields must not be changed
// after its first use.
type Selector struct {
	// Region and DataCentre are the location of the router. Without a region
	// every upstream counts as local.
	Region, DataCentre string
	// Live reports whether an upstream currently receives any requests; nil
	// means that all do.
	Live func(now time.Time, address string) bool
	// RegionDelay and CentreDelay are the one-way delays between regions and
	// between the data centres of a region; 0 means the default.
	RegionDelay, CentreDelay time.Duration
	// SpillPrice is how much earlier, per KiB of its size, the first token must
	// come for a request to be sent to another region; 0 means the default.
	SpillPrice time.Duration
	// SpillHold is how long the lower spill threshold applies after the last
	// request sent to another region; 0 means the default.
	SpillHold time.Duration
	// Seed differs between routers, so that they send the same new prefix to
	// different upstreams.
	Seed uint64
	// MaxPrefixes bounds the prompt blocks in the prefix index; 0 means the
	// default.
	MaxPrefixes int
	// NoAffinity ignores prefixes and cached tokens.
	NoAffinity bool
	// NoPrediction orders candidates by load relative to their slots instead of
	// by predicted time.
	NoPrediction bool
	// Routers is how many routers share the upstreams; 0 means 1.
	Routers int
	// NoProtect lets prefill interfere with running requests of the highest
	// tier.
	NoProtect bool
	// NoReserve disables the slots reserved for the highest tier.
	NoReserve bool
	// NoHold never lets a request wait for a better upstream while another one
	// is free.
	NoHold bool

	// trackers holds the state of each upstream of the pool by address.
	trackers map[string]*tracker
	// byID holds the tracker of each identifier; nil for an unused one.
	byID []*tracker
	// epochs holds the epoch at which each identifier is assigned next.
	epochs []uint32
	// sameCentre, sameRegion and remote are the upstreams by distance.
	sameCentre, sameRegion, remote locality
	index                          *prefixIndex
	spillAllowed                   bool
	// noLocalUpstreams means that the router's region has no upstream of the
	// pool that isn't leaving.
	noLocalUpstreams bool
	// lastSpill is when a request was last sent to another region.
	lastSpill time.Time
	reserve   reserve
	// minTokenTarget is the lowest token target of the requests dispatched so
	// far; 0 if none had one.
	minTokenTarget time.Duration
	// freeInterval is the moving average of the time between two local slots
	// becoming free.
	freeInterval time.Duration
	lastFreed    time.Time
	waitTimes    waitTimes
	// candidates is reused by every selection to avoid allocations.
	candidates []candidate
}

var _ kingcuphook.Selector = (*Selector)(nil)

// locality holds the upstreams at one distance by model. Upstreams that the pool
// marks as leaving are in no group.
type locality struct {
	groups map[string]*group
	// delay is the one-way link delay.
	delay time.Duration
}

// group is the upstreams of a locality that serve a model.
type group struct {
	trackers []*tracker
	// addressHashes holds the address hash of each tracker, contiguous in memory
	// for ranking.
	addressHashes []uint64
	delay         time.Duration
}

func (s *Selector) init() {
	if s.trackers != nil {
		return
	}
	s.trackers = make(map[string]*tracker)
	s.index = newPrefixIndex(cmp.Or(s.MaxPrefixes, defaultMaxPrefixes))
	s.candidates = make([]candidate, 0, candidatesCapacity)
}

// Update applies the current revision of the pool.
func (s *Selector) Update(_ time.Time, p *kingcuphook.Pool) {
	s.init()
	s.spillAllowed = p.SpillRegions()
	s.sameCentre = newLocality(0)
	s.sameRegion = newLocality(cmp.Or(s.CentreDelay, defaultCentreDelay))
	s.remote = newLocality(cmp.Or(s.RegionDelay, defaultRegionDelay))
	s.noLocalUpstreams = !s.hasLocalUpstream(p)
	if s.noLocalUpstreams {
		s.sameRegion.delay = s.remote.delay
	}
	for _, t := range s.trackers {
		s.reserve.remove(t, s.Routers)
	}
	wanted := make(map[string]bool, len(p.Upstreams()))
	for _, u := range p.Upstreams() {
		wanted[u.Address()] = true
		t := s.track(u)
		t.groups = t.groups[:0]
		t.remote = s.localityOf(t) == &s.remote
		if !u.Leaving() {
			s.localityOf(t).add(t)
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

// SetRouters sets how many routers share the upstreams.
func (s *Selector) SetRouters(n int) {
	for _, t := range s.trackers {
		s.reserve.remove(t, s.Routers)
		s.reserve.add(t, n)
	}
	s.Routers = n
}

func (s *Selector) track(u *kingcuphook.Upstream) *tracker {
	if t := s.trackers[u.Address()]; t != nil {
		t.setUpstream(u)
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

// hasLocalUpstream reports whether the region of the router has an upstream of
// the pool that isn't leaving.
func (s *Selector) hasLocalUpstream(p *kingcuphook.Pool) bool {
	return slices.ContainsFunc(p.Upstreams(), func(u *kingcuphook.Upstream) bool {
		return !u.Leaving() && (s.Region == "" || s.Region == u.Region())
	})
}

// localityOf returns the locality of the tracker. If the router's region has no
// upstream, or only leaving ones, those of other regions count as local, so that the
// pool is usable without spilling.
func (s *Selector) localityOf(t *tracker) *locality {
	switch {
	case s.Region == "" || s.Region == t.upstream.Region() && s.DataCentre == t.upstream.DataCentre():
		return &s.sameCentre
	case s.noLocalUpstreams || s.Region == t.upstream.Region():
		return &s.sameRegion
	default:
		return &s.remote
	}
}

func newLocality(delay time.Duration) locality {
	return locality{groups: make(map[string]*group), delay: delay}
}

// add adds the tracker to the group of each of its models, or to the group of the
// empty model if it lists none.
func (p *locality) add(t *tracker) {
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
		g.addressHashes = append(g.addressHashes, t.addressHash)
		t.groups = append(t.groups, g)
	}
}

// group returns the upstreams that serve the model. If none lists it, these are
// the upstreams that list no models; nil if there are none either.
func (p *locality) group(model string) *group {
	if g := p.groups[model]; g != nil {
		return g
	}
	return p.groups[""]
}

// Started records that the request was dispatched to the upstream.
func (s *Selector) Started(now time.Time, upstream string, r *kingcuphook.Request) {
	t := s.trackers[upstream]
	if t == nil {
		return
	}
	if t.remote {
		s.lastSpill = now
	} else {
		s.waitTimes.add(now, r.Tier(), now.Sub(r.Arrived()))
	}
	if target := r.TokenTarget(); target > 0 && (s.minTokenTarget == 0 || target < s.minTokenTarget) {
		s.minTokenTarget = target
	}
	q := query{request: r}
	s.matchPrefix(&q)
	s.reserve.remove(t, s.Routers)
	t.started(now, r, r.PromptTokens()-q.cachedTokens(t.id))
	s.reserve.add(t, s.Routers)
	s.reserve.recordUse(now, r)
	s.index.addChain(r.Prefix(), r.Fingerprint(), holder{upstream: t.id, epoch: t.epoch, pending: true})
}

// Progress records the n-th token of a running request. The first token means
// that the prompt is now cached.
func (s *Selector) Progress(_ time.Time, upstream string, r *kingcuphook.Request, n int) {
	t := s.trackers[upstream]
	if t == nil || n < 1 {
		return
	}
	f, ok := t.inFlight[r.ID()]
	if !ok || f.firstTokenSeen {
		return
	}
	f.firstTokenSeen = true
	t.inFlight[r.ID()] = f
	s.index.addChain(r.Prefix(), r.Fingerprint(), holder{upstream: t.id, epoch: t.epoch})
}

// Finished records the end of an attempt. A failure makes the cache entries of
// the upstream stale.
func (s *Selector) Finished(now time.Time, upstream string, r *kingcuphook.Request, a kingcuphook.Sample) {
	t := s.trackers[upstream]
	if t == nil {
		return
	}
	if !t.remote {
		s.slotFreed(now)
	}
	if a.FirstToken > 0 {
		s.Progress(now, upstream, r, 1)
	}
	s.reserve.remove(t, s.Routers)
	t.finished(r, a)
	s.reserve.updateSuited(t)
	s.reserve.add(t, s.Routers)
	if a.Failed {
		t.epoch++
	}
}

// slotFreed updates the average time between two local slots becoming free.
func (s *Selector) slotFreed(now time.Time) {
	const weight = 8
	if !s.lastFreed.IsZero() {
		s.freeInterval += (now.Sub(s.lastFreed) - s.freeInterval) / weight
	}
	s.lastFreed = now
}

// Report applies a load report.
func (s *Selector) Report(now time.Time, l kingcuphook.LoadReport) {
	t := s.trackers[l.Upstream()]
	if t == nil {
		return
	}
	t.report(now, l)
}

// Cached applies a cache event. After a gap in the sequence, all entries of the
// upstream are stale until they are confirmed again.
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
	s.index.remove(e.Prefix(), t.id)
}
