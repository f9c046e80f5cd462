// Package composer builds the standard scheduler of a pool from its parts. The
// server and the policy measurement use the same one.
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

// Mechanism names one part of the policy that can be switched off.
type Mechanism string

// Values of Mechanism.
const (
	// MechanismAffinity prefers upstreams that have the prompt cached.
	MechanismAffinity Mechanism = "affinity"
	// MechanismPrediction compares upstreams by predicted first-token time.
	MechanismPrediction Mechanism = "prediction"
	// MechanismHold lets a request wait for a better upstream.
	MechanismHold Mechanism = "hold"
	// MechanismReserve keeps suited upstreams free for the highest tier.
	MechanismReserve Mechanism = "reserve"
	// MechanismProtect keeps long prefills away from answers of the highest tier.
	MechanismProtect Mechanism = "protect"
	// MechanismEjector takes slow and broken upstreams out.
	MechanismEjector Mechanism = "ejector"
	// MechanismGuarantee gives each class a share of the freed slots.
	MechanismGuarantee Mechanism = "guarantee"
	// MechanismPreemption takes slots of lower tiers back.
	MechanismPreemption Mechanism = "preemption"
	// MechanismReports uses the load reports of the upstreams.
	MechanismReports Mechanism = "reports"
	// MechanismCacheEvents uses the cache events of the upstreams.
	MechanismCacheEvents Mechanism = "cache-events"
	// MechanismSpill sends requests to other regions.
	MechanismSpill Mechanism = "spill"
)

// Mechanisms returns every mechanism that can be switched off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismAffinity, MechanismPrediction, MechanismHold, MechanismReserve, MechanismProtect, MechanismEjector, MechanismGuarantee,
		MechanismPreemption, MechanismReports, MechanismCacheEvents, MechanismSpill,
	}
}

// Composer makes schedulers. Its fields must not be changed after its first use.
type Composer struct {
	// Region and DataCentre are where the router is.
	Region, DataCentre string
	// Routers is how many routers share the upstreams of the region; 0 means 1.
	Routers int
	// Place is the place of the router among Routers, from 0, in an order that all
	// agree on.
	Place int
	// Seed is the seed of all randomness; routers must differ in it.
	Seed uint64
	// RegionDelay and CentreDelay are the one-way delays between regions and
	// between data centres of a region; 0 means the selector's default.
	RegionDelay, CentreDelay time.Duration
	// Off are the mechanisms that are switched off.
	Off []Mechanism
}

// Scheduler is the standard scheduler of one pool, with its parts.
type Scheduler struct {
	scheduler.Scheduler
	limits *limiter.Limiter
	places *selector.Selector
	// noReports and noEvents drop what upstreams tell.
	noReports, noEvents bool
	// noSpill keeps requests in their region.
	noSpill bool
	region  string
}

// Compose returns a new scheduler. It has no pool until Update is called.
func (c *Composer) Compose() *Scheduler {
	s := &Scheduler{
		noReports: c.off(MechanismReports),
		noEvents:  c.off(MechanismCacheEvents),
		noSpill:   c.off(MechanismSpill),
		region:    c.Region,
	}
	s.limits = &limiter.Limiter{Rand: rand.New(rand.NewPCG(c.Seed, 0)), Routers: c.Routers}
	if c.Routers > 1 {
		s.limits.SetRouterIndex(c.Place, c.Routers)
	}
	s.Limiter = s.limits
	s.Admitter = c.admitter()
	s.places = c.selector()
	s.Selector = s.places
	s.Predictor = &predictor.Predictor{}
	if !c.off(MechanismEjector) {
		e := &ejector.Ejector{}
		s.Ejector = e
		s.places.Live = func(now time.Time, address string) bool { return e.Weight(now, address) > 0 }
	}
	if !c.off(MechanismPreemption) {
		s.Preemptor = &preemptor.Preemptor{}
	}
	return s
}

func (c *Composer) admitter() *admitter.Admitter {
	a := &admitter.Admitter{}
	if c.off(MechanismGuarantee) {
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
		NoAffinity:   c.off(MechanismAffinity),
		NoPrediction: c.off(MechanismPrediction),
		NoHold:       c.off(MechanismHold),
		NoReserve:    c.off(MechanismReserve),
		NoProtect:    c.off(MechanismProtect),
		Routers:      c.Routers,
		Seed:         c.Seed,
	}
}

func (c *Composer) off(m Mechanism) bool {
	for _, off := range c.Off {
		if off == m {
			return true
		}
	}
	return false
}

// SetRouters tells how many routers share the upstreams of the region now.
func (s *Scheduler) SetRouters(n int) {
	s.limits.SetRouters(n)
	s.places.SetRouters(n)
}

// Update takes the pool in force.
func (s *Scheduler) Update(now time.Time, p *kingcuphook.Pool) {
	if s.noSpill {
		p = local(p, s.region)
	}
	s.Scheduler.Update(now, p)
}

// local returns the pool without the upstreams of other regions.
func local(p *kingcuphook.Pool, region string) *kingcuphook.Pool {
	f := p.Fields()
	f.Upstreams = nil
	for _, u := range p.Upstreams() {
		if u.Region() == region {
			f.Upstreams = append(f.Upstreams, u)
		}
	}
	return kingcuphook.NewPool(f)
}

// Report takes a load report.
func (s *Scheduler) Report(now time.Time, l kingcuphook.LoadReport) {
	if !s.noReports {
		s.Scheduler.Report(now, l)
	}
}

// Cached takes a cache event.
func (s *Scheduler) Cached(now time.Time, e kingcuphook.CacheEvent) {
	if !s.noEvents {
		s.Scheduler.Cached(now, e)
	}
}
