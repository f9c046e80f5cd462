package kingcuphook

import (
	"slices"
	"strings"
	"time"
)

// UpstreamKind is the kind of an upstream.
type UpstreamKind string

// Values of UpstreamKind.
const (
	// UpstreamKindEngine is a model engine, with streamed answers and a prefix
	// cache.
	UpstreamKindEngine UpstreamKind = "engine"
	// UpstreamKindService is a plain service, to which calls are forwarded as they
	// are.
	UpstreamKindService UpstreamKind = "service"
)

// UpstreamFields are the fields an Upstream is made from.
type UpstreamFields struct {
	// Address is the IP number and port; it identifies the upstream.
	Address string
	// Region is the region of the upstream.
	Region string
	// DataCentre is the data centre of the upstream.
	DataCentre string
	// Kind is the kind of the upstream.
	Kind UpstreamKind
	// Models are the models that it may serve. An engine without any may serve
	// every model; plain services have none.
	Models []string
	// Slots is a hint how many requests it runs at once; 0 means unknown.
	Slots int
	// Leaving is true if the upstream accepts no new work.
	Leaving bool
	// ChecksFence is true if it rejects orders with a stale fencing number.
	ChecksFence bool
	// Resumes is true if it can continue a partial answer from a given position.
	Resumes bool
	// Priorities is true if it orders its own queue by the priority of requests.
	Priorities bool
	// Instance is the instance ID of the running program; empty if it has none.
	// Another instance can take over an address.
	Instance string
	// StartTime is when the program was started, in Unix milliseconds; 0 means
	// unknown. The program of an instance may start more than once.
	StartTime int64
	// SoftwareVersion is the version of the software that it runs; empty if it reports
	// none.
	SoftwareVersion string
	// Spot is true if the platform may reclaim the upstream at short notice.
	Spot bool
	// LeavesAt is when a leaving upstream stops, as it announced; zero if it announced no time.
	LeavesAt time.Time
}

// Upstream is a server to which a pool sends requests. It is immutable.
type Upstream struct {
	f UpstreamFields
	// programKey is the key of its program.
	programKey uint64
}

// NewUpstream returns an upstream with the given fields.
func NewUpstream(f UpstreamFields) *Upstream {
	f.Models = slices.Clone(f.Models)
	return &Upstream{f: f, programKey: programKey(f.Address, f.Instance, f.StartTime)}
}

// Address returns the IP number and port.
func (u *Upstream) Address() string { return u.f.Address }

// Region returns the region of the upstream.
func (u *Upstream) Region() string { return u.f.Region }

// DataCentre returns the data centre of the upstream.
func (u *Upstream) DataCentre() string { return u.f.DataCentre }

// Kind returns the kind of the upstream.
func (u *Upstream) Kind() UpstreamKind { return u.f.Kind }

// Models returns the models that the upstream may serve.
func (u *Upstream) Models() []string { return u.f.Models }

// SoftwareVersion returns the version of the software that the upstream runs; empty if
// it reports none.
func (u *Upstream) SoftwareVersion() string { return u.f.SoftwareVersion }

// Spot reports whether the platform may reclaim the upstream at short notice.
func (u *Upstream) Spot() bool { return u.f.Spot }

// LeavesAt returns when a leaving upstream stops, as it announced; zero if it announced no time.
func (u *Upstream) LeavesAt() time.Time { return u.f.LeavesAt }

// Slots returns a hint how many requests the upstream runs at once; 0 means
// unknown.
func (u *Upstream) Slots() int { return u.f.Slots }

// Leaving reports whether the upstream accepts no new work.
func (u *Upstream) Leaving() bool { return u.f.Leaving }

// ChecksFence reports whether the upstream rejects orders with a stale fencing
// number.
func (u *Upstream) ChecksFence() bool { return u.f.ChecksFence }

// Resumes reports whether the upstream can continue a partial answer from a given
// position.
func (u *Upstream) Resumes() bool { return u.f.Resumes }

// Priorities reports whether the upstream orders its own queue by the priority of
// requests.
func (u *Upstream) Priorities() bool { return u.f.Priorities }

// Instance returns the instance ID of the running program; may be empty.
func (u *Upstream) Instance() string { return u.f.Instance }

// StartTime returns when the program was started, in Unix milliseconds; 0 means
// unknown.
func (u *Upstream) StartTime() int64 { return u.f.StartTime }

// Fields returns a copy of the fields of u.
func (u *Upstream) Fields() UpstreamFields {
	f := u.f
	f.Models = slices.Clone(f.Models)
	return f
}

// PlacementFields declare how many runners of a model a region must have in a
// pool.
type PlacementFields struct {
	// Model is the model to load, including its adapter and version.
	Model string
	// Region is the region to which the bounds apply.
	Region string
	// Min and Max bound the number of runners; Min <= Max.
	Min, Max int
}

// PoolFields are the fields a Pool is made from.
type PoolFields struct {
	// Name identifies the pool.
	Name string
	// Upstreams are the upstreams of the pool.
	Upstreams []*Upstream
	// Placements declare which models are loaded where.
	Placements []PlacementFields
	// MaxQueued bounds the requests that one router queues for the pool; 0 means
	// the default.
	MaxQueued int
	// MaxReloading bounds the upstreams that load another model at the same time; 0
	// means 1.
	MaxReloading int
	// SpillRegions is true if requests may be sent to another region.
	SpillRegions bool
	// Autoscaling bounds the number of upstreams that routers may order from the platform.
	Autoscaling Autoscaling
	// CopiesPrefixes means that its engines copy the KV memory of shared prefixes from one
	// another.
	CopiesPrefixes bool
	// StreamMoves describes how its engines move running streams; the zero value means that they don't.
	StreamMoves StreamMoves
	// KVMemory describes the KV memory of its engines; the zero value means that it is unknown.
	KVMemory KVMemory
	// LowestTier is the lowest tier of the requests for the pool; values less than
	// LowestDeclaredTier, including 0, mean LowestDeclaredTier.
	LowestTier Tier
}

// Pool is one row of the table of pools. It is immutable.
type Pool struct {
	f PoolFields
	// uniqueness is whether its upstreams have different addresses.
	uniqueness uniqueness
}

// NewPool returns a pool with the given fields.
func NewPool(f PoolFields) *Pool {
	f.Upstreams = slices.Clone(f.Upstreams)
	f.Placements = slices.Clone(f.Placements)
	return &Pool{f: f}
}

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.f.Name }

// Upstreams returns the upstreams of the pool; the caller must not change the
// slice.
func (p *Pool) Upstreams() []*Upstream { return p.f.Upstreams }

// Placements returns the declared placements; the caller must not change the
// slice.
func (p *Pool) Placements() []PlacementFields { return p.f.Placements }

// MaxQueued returns the bound of the requests that one router queues for the pool;
// 0 means the default.
func (p *Pool) MaxQueued() int { return p.f.MaxQueued }

// MaxReloading returns how many upstreams may load another model at the same time;
// at least 1.
func (p *Pool) MaxReloading() int { return max(p.f.MaxReloading, 1) }

// SpillRegions reports whether requests may be sent to another region.
func (p *Pool) SpillRegions() bool { return p.f.SpillRegions }

// LowestTier returns the lowest tier of the requests for the pool; LowestDeclaredTier or lower.
func (p *Pool) LowestTier() Tier { return max(p.f.LowestTier, LowestDeclaredTier) }

// Autoscaling returns the bounds of the number of upstreams that routers may order.
func (p *Pool) Autoscaling() Autoscaling { return p.f.Autoscaling }

// CopiesPrefixes reports whether the engines of the pool copy the KV memory of shared
// prefixes from one another.
func (p *Pool) CopiesPrefixes() bool { return p.f.CopiesPrefixes }

// StreamMoves returns how the engines of the pool move running streams.
func (p *Pool) StreamMoves() StreamMoves { return p.f.StreamMoves }

// KVMemory returns the description of the KV memory of the engines of the pool.
func (p *Pool) KVMemory() KVMemory { return p.f.KVMemory }

// Fields returns a copy of the fields of p.
func (p *Pool) Fields() PoolFields {
	f := p.f
	f.Upstreams = slices.Clone(f.Upstreams)
	f.Placements = slices.Clone(f.Placements)
	return f
}

// Tables hold the table of routes and the table of pools at one revision. They are
// immutable.
type Tables struct {
	// revision increases by one with every accepted edit; 0 means no edit yet.
	revision int64
	// routes are in the operator's order: the first one that matches is used.
	routes []*Route
	// pools contains every pool that a route refers to.
	pools []*Pool
	// poolsByName indexes pools by name; it is not changed once built.
	poolsByName map[string]*Pool
	// programs has the programs of all upstreams; nil before the first pools.
	programs *programSet
	// byHost holds the routes of each host, the longest path first.
	byHost map[string][]*Route
	// organisations maps API keys to organisations; nil if callers need no key.
	organisations map[string]Organisation
}

// Organisation is an organisation that is identified by its API keys.
type Organisation struct {
	// Name identifies the organisation.
	Name string
	// Tier overrides the tier of the route; 0 means no override.
	Tier Tier
}

// NewTables returns both tables at the given revision. It does not validate
// them; package parser does.
func NewTables(revision int64, routes []*Route, pools []*Pool) *Tables {
	t := &Tables{revision: revision, routes: slices.Clone(routes)}
	t.byHost = routesByHost(t.routes)
	return t.WithPools(pools)
}

// routesByHost indexes the routes that have a host by it. Each list has the longest
// path first.
func routesByHost(routes []*Route) map[string][]*Route {
	byHost := make(map[string][]*Route)
	for _, r := range routes {
		if r.f.Host != "" {
			byHost[r.f.Host] = append(byHost[r.f.Host], r)
		}
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.f.Path) - len(a.f.Path) })
	}
	return byHost
}

// WithOrganisations returns a copy of t with the given organisations by API key.
func (t *Tables) WithOrganisations(byKey map[string]Organisation) *Tables {
	c := *t
	c.organisations = byKey
	return &c
}

// WithPools returns a copy of t with the given pools. It costs little if most upstreams are those of t.
func (t *Tables) WithPools(pools []*Pool) *Tables {
	c := *t
	c.pools = slices.Clone(pools)
	c.poolsByName = make(map[string]*Pool, len(pools))
	for _, p := range c.pools {
		c.poolsByName[p.Name()] = p
	}
	if t.programs != nil {
		if programs, ok := t.programs.with(t.pools, c.pools); ok {
			c.programs = programs
			return &c
		}
	}
	c.programs = newProgramSet(c.pools)
	return &c
}

// RequiresAPIKey reports whether callers need an API key.
func (t *Tables) RequiresAPIKey() bool { return t.organisations != nil }

// Organisation returns the organisation with the given API key.
func (t *Tables) Organisation(key string) (Organisation, bool) {
	o, ok := t.organisations[key]
	return o, ok
}

// Organisations returns the organisation of each API key; nil if callers need no key. The caller must
// not change the map.
func (t *Tables) Organisations() map[string]Organisation { return t.organisations }

// MatchHost returns the route of the host with the longest path that is a prefix of
// the given one, or nil.
func (t *Tables) MatchHost(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.f.Path) {
			return r
		}
	}
	return nil
}

// Revision returns the revision of the tables; 0 means that there was no edit yet.
func (t *Tables) Revision() int64 { return t.revision }

// Routes returns the routes in order; the caller must not change the slice.
func (t *Tables) Routes() []*Route { return t.routes }

// Pools returns the pools; the caller must not change the slice.
func (t *Tables) Pools() []*Pool { return t.pools }

// ProgramCount returns the number of programs that upstreams run.
func (t *Tables) ProgramCount() int { return t.programs.count }

// Runs reports whether an upstream runs the program.
func (t *Tables) Runs(p Program) bool { return len(t.programs.versionsOf(p)) > 0 }

// HasProgram reports whether an upstream runs the program with the software version.
func (t *Tables) HasProgram(p Program, version string) bool {
	return slices.Contains(t.programs.versionsOf(p), version)
}

// Pool returns the pool of the given name, or nil.
func (t *Tables) Pool(name string) *Pool { return t.poolsByName[name] }

// Match returns the first route that matches the request, or nil.
func (t *Tables) Match(class, organisation, model, path string) *Route {
	for _, r := range t.routes {
		if r.matches(class, organisation, model, path) {
			return r
		}
	}
	return nil
}

// InDataCentre returns the addresses of the upstreams of all pools in a data centre.
func (t *Tables) InDataCentre(dataCentre string) []string {
	var addresses []string
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			if u.DataCentre() == dataCentre {
				addresses = append(addresses, u.Address())
			}
		}
	}
	return addresses
}
