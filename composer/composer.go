// Package composer builds the standard scheduler of a pool from its components.
// Routers and the policy simulations of package measurer use the same scheduler.
package composer

import (
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/ejector"
	"github.com/kingcuphook/kingcuphook/limiter"
	"github.com/kingcuphook/kingcuphook/predictor"
	"github.com/kingcuphook/kingcuphook/preemptor"
	"github.com/kingcuphook/kingcuphook/scheduler"
	"github.com/kingcuphook/kingcuphook/selector"
)

// Mechanism is a part of the scheduling policy that can be disabled.
type Mechanism string

// Values of Mechanism.
const (
	// MechanismAffinity prefers upstreams whose prefix cache holds the prompt.
	MechanismAffinity Mechanism = "affinity"
	// MechanismPrediction compares upstreams by predicted time to first token.
	MechanismPrediction Mechanism = "prediction"
	// MechanismHold lets a request wait in the queue for a better upstream.
	MechanismHold Mechanism = "hold"
	// MechanismReserve keeps suitable upstreams free for the highest tier.
	MechanismReserve Mechanism = "reserve"
	// MechanismProtect keeps long prefills off upstreams that are decoding answers of
	// the highest tier.
	MechanismProtect Mechanism = "protect"
	// MechanismEjector ejects slow and failing upstreams.
	MechanismEjector Mechanism = "ejector"
	// MechanismGuarantee guarantees each class a share of the freed slots.
	MechanismGuarantee Mechanism = "guarantee"
	// MechanismPreemption reclaims slots from requests of lower tiers.
	MechanismPreemption Mechanism = "preemption"
	// MechanismReports uses the load reports of the upstreams.
	MechanismReports Mechanism = "reports"
	// MechanismCacheEvents uses the cache events of the upstreams.
	MechanismCacheEvents Mechanism = "cache-events"
	// MechanismSpill sends requests to other regions.
	MechanismSpill Mechanism = "spill"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismAffinity, MechanismPrediction, MechanismHold, MechanismReserve, MechanismProtect, MechanismEjector, MechanismGuarantee,
		MechanismPreemption, MechanismReports, MechanismCacheEvents, MechanismSpill,
	}
}

// Composer builds schedulers. Its fields must not be changed after its first use.
type Composer struct {
	// Region and DataCentre are the location of this process.
	Region, DataCentre string
	// Routers is the number of processes that share the upstreams of the region; 0
	// means 1.
	Routers int
	// RouterIndex is the index of this process among Routers, from 0, in an order that is
	// the same on all of them.
	RouterIndex int
	// Seed seeds the random number generators; it must differ between processes.
	Seed uint64
	// RegionDelay and CentreDelay are the one-way delays between regions and
	// between data centres of a region; 0 means the selector's default.
	RegionDelay, CentreDelay time.Duration
	// Disabled lists the disabled mechanisms.
	Disabled []Mechanism
}

// Scheduler is the standard scheduler of one pool.
type Scheduler struct {
	scheduler.Scheduler
	limiter  *limiter.Limiter
	selector *selector.Selector
	// noReports and noEvents discard the load reports and the cache events of
	// upstreams.
	noReports, noEvents bool
	// noSpill keeps requests in their region.
	noSpill bool
	region  string
}

// Compose returns a new scheduler. It has no pool until Update is called.
func (c *Composer) Compose() *Scheduler {
	s := &Scheduler{
		noReports: c.disabled(MechanismReports),
		noEvents:  c.disabled(MechanismCacheEvents),
		noSpill:   c.disabled(MechanismSpill),
		region:    c.Region,
	}
	s.limiter = &limiter.Limiter{Rand: rand.New(rand.NewPCG(c.Seed, 0)), Routers: c.Routers}
	if c.Routers > 1 {
		s.limiter.SetRouterIndex(c.RouterIndex, c.Routers)
	}
	s.Limiter = s.limiter
	s.Admitter = c.admitter()
	s.selector = c.selector()
	s.Selector = s.selector
	s.Predictor = &predictor.Predictor{}
	if !c.disabled(MechanismEjector) {
		e := &ejector.Ejector{}
		s.Ejector = e
		s.selector.Live = func(now time.Time, address string) bool { return e.Weight(now, address) > 0 }
	}
	if !c.disabled(MechanismPreemption) {
		s.Preemptor = &preemptor.Preemptor{}
	}
	return s
}

func (c *Composer) admitter() *admitter.Admitter {
	a := &admitter.Admitter{}
	if c.disabled(MechanismGuarantee) {
		a.GuaranteedShare = -1
	}
	return a
}

func (c *Composer) selector() *selector.Selector {
	return &selector.Selector{
		Region:       c.Region,
		DataCentre:   c.DataCentre,
		RegionDelay:  c.RegionDelay,
		CentreDelay:  c.CentreDelay,
		NoAffinity:   c.disabled(MechanismAffinity),
		NoPrediction: c.disabled(MechanismPrediction),
		NoHold:       c.disabled(MechanismHold),
		NoReserve:    c.disabled(MechanismReserve),
		NoProtect:    c.disabled(MechanismProtect),
		Routers:      c.Routers,
		Seed:         c.Seed,
	}
}

func (c *Composer) disabled(m Mechanism) bool {
	for _, d := range c.Disabled {
		if d == m {
			return true
		}
	}
	return false
}

// SetRouters sets the number of processes that share the upstreams of the region.
func (s *Scheduler) SetRouters(n int) {
	s.limiter.SetRouters(n)
	s.selector.SetRouters(n)
}

// Update sets the current pool.
func (s *Scheduler) Update(now time.Time, p *kingcuphook.Pool) {
	if s.noSpill {
		p = inRegion(p, s.region)
	}
	s.Scheduler.Update(now, p)
}

// inRegion returns the pool with only the upstreams of the given region.
func inRegion(p *kingcuphook.Pool, region string) *kingcuphook.Pool {
	f := p.Fields()
	f.Upstreams = nil
	for _, u := range p.Upstreams() {
		if u.Region() == region {
			f.Upstreams = append(f.Upstreams, u)
		}
	}
	return kingcuphook.NewPool(f)
}

// Report passes on a load report, unless MechanismReports is disabled.
func (s *Scheduler) Report(now time.Time, l kingcuphook.LoadReport) {
	if !s.noReports {
		s.Scheduler.Report(now, l)
	}
}

// Cached passes on a cache event, unless MechanismCacheEvents is disabled.
func (s *Scheduler) Cached(now time.Time, e kingcuphook.CacheEvent) {
	if !s.noEvents {
		s.Scheduler.Cached(now, e)
	}
}
