package kingcuphook

import (
	"slices"
	"time"
)

// RouteFields are the fields a Route is made from.
type RouteFields struct {
	// Name identifies the route.
	Name string
	// Class, Organisation, Model and Path are the conditions that a request must
	// meet; an empty one matches every value. Path is a prefix of the URL path.
	Class, Organisation, Model, Path string
	// Pool names the pool that serves the route.
	Pool string
	// Tier is the service level.
	Tier Tier
	// Target is the target for the time to the first token, or to the whole answer
	// of a plain service; 0 means none.
	Target time.Duration
	// TokenTarget is the target for the mean time between tokens; 0 means none.
	TokenTarget time.Duration
	// Deadline bounds the duration of a request whose caller gives no deadline; 0
	// means the default of the settings.
	Deadline time.Duration
	// NonIdempotent is true if every request of the route must run at most once.
	NonIdempotent bool
	// OrganisationRate bounds the requests per second of each organisation in the
	// whole fleet; 0 means no bound.
	OrganisationRate float64
	// Rate bounds the requests per second of the route in the whole fleet; 0 means
	// no bound.
	Rate float64
	// Host is the host that the route matches; empty matches every host.
	Host string
	// Split distributes the requests of the route over several pools; nil means that
	// all go to Pool.
	Split *Split
	// Timeout bounds the duration of every request, also if its caller gives a later
	// deadline; 0 means no bound.
	Timeout time.Duration
	// MaxAttempts bounds the number of upstreams that a request is sent to; 0 means
	// the default.
	MaxAttempts int
	// Stream is true if answers are event streams.
	Stream bool
	// Resumable is true if another upstream may continue an interrupted stream.
	Resumable bool
	// Public is true if callers need no API key.
	Public bool
}

// Split is a weighted distribution of the requests of a route over pools. It is
// immutable.
type Split struct {
	shares []PoolShare
}

// NewSplit returns a split with the given shares.
func NewSplit(shares []PoolShare) *Split { return &Split{shares: slices.Clone(shares)} }

// PoolShare is the share of a route's requests that goes to one pool.
type PoolShare struct {
	// Pool is the name of the pool.
	Pool string
	// Weight is the share relative to the sum of all weights; not negative.
	Weight float64
}

// Route is one row of the table of routes. It is immutable.
type Route struct {
	f RouteFields
}

// NewRoute returns a route with the given fields.
func NewRoute(f RouteFields) *Route { return &Route{f: f} }

// Name returns the name of the route.
func (r *Route) Name() string { return r.f.Name }

// Class returns the class that the route matches; empty for every class.
func (r *Route) Class() string { return r.f.Class }

// Organisation returns the organisation that the route matches; empty for every
// organisation.
func (r *Route) Organisation() string { return r.f.Organisation }

// Model returns the model that the route matches; empty for every model.
func (r *Route) Model() string { return r.f.Model }

// Path returns the prefix of the URL path that the route matches; empty for every
// path.
func (r *Route) Path() string { return r.f.Path }

// Pool returns the name of the pool that serves the route.
func (r *Route) Pool() string { return r.f.Pool }

// Tier returns the service level of the route.
func (r *Route) Tier() Tier { return r.f.Tier }

// Target returns the target for the time to the first token, or to the whole
// answer of a plain service; 0 means none.
func (r *Route) Target() time.Duration { return r.f.Target }

// TokenTarget returns the target for the mean time between tokens; 0 means none.
func (r *Route) TokenTarget() time.Duration { return r.f.TokenTarget }

// Deadline returns the bound of the duration of a request whose caller gives no
// deadline; 0 means the default of the settings.
func (r *Route) Deadline() time.Duration { return r.f.Deadline }

// NonIdempotent reports whether requests of the route must run at most once.
func (r *Route) NonIdempotent() bool { return r.f.NonIdempotent }

// OrganisationRate returns the bound of the requests per second of each
// organisation in the whole fleet; 0 means none.
func (r *Route) OrganisationRate() float64 { return r.f.OrganisationRate }

// Rate returns the bound of the requests per second of the route in the whole
// fleet; 0 means none.
func (r *Route) Rate() float64 { return r.f.Rate }

// Host returns the host that the route matches; empty for every host.
func (r *Route) Host() string { return r.f.Host }

// Timeout returns the bound of the duration of every request; 0 means none.
func (r *Route) Timeout() time.Duration { return r.f.Timeout }

// MaxAttempts returns the largest number of upstreams that a request is sent to; 0
// means the default.
func (r *Route) MaxAttempts() int { return r.f.MaxAttempts }

// Stream reports whether answers are event streams.
func (r *Route) Stream() bool { return r.f.Stream }

// Resumable reports whether another upstream may continue an interrupted stream.
func (r *Route) Resumable() bool { return r.f.Resumable }

// Public reports whether callers need no API key.
func (r *Route) Public() bool { return r.f.Public }

// PoolFor returns the name of the pool that serves a request. Point, with 0 <=
// point < 1, selects a pool of the split in proportion to the weights.
func (r *Route) PoolFor(point float64) string {
	if r.f.Split == nil {
		return r.f.Pool
	}
	total := 0.0
	for _, s := range r.f.Split.shares {
		total += s.Weight
	}
	remaining := point * total
	for _, s := range r.f.Split.shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Pool
		}
	}
	return r.f.Pool
}

// MayUse reports whether PoolFor can return the pool.
func (r *Route) MayUse(pool string) bool { return slices.Contains(r.Pools(), pool) }

// Pools returns the pools that PoolFor can return.
func (r *Route) Pools() []string {
	var pools []string
	if r.f.Split != nil {
		for _, s := range r.f.Split.shares {
			if s.Weight > 0 {
				pools = append(pools, s.Pool)
			}
		}
	}
	if len(pools) == 0 {
		return []string{r.f.Pool}
	}
	return pools
}

// Fields returns a copy of the fields of r.
func (r *Route) Fields() RouteFields { return r.f }

func (r *Route) matches(class, organisation, model, path string) bool {
	return (r.f.Class == "" || r.f.Class == class) &&
		(r.f.Organisation == "" || r.f.Organisation == organisation) &&
		(r.f.Model == "" || r.f.Model == model) &&
		hasPathPrefix(path, r.f.Path)
}

// hasPathPrefix reports whether path starts with prefix and the prefix ends at a
// boundary between path segments.
func hasPathPrefix(path, prefix string) bool {
	if prefix == "" || path == prefix {
		return true
	}
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
