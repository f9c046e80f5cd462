package parser

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/kingcuphook/kingcuphook"
)

// MaxNameBytes bounds the length of names, classes, organisations, models, paths,
// regions and data centres.
const MaxNameBytes = 256

// Validate checks both tables together. The error is a *kingcuphook.InputError for
// the first problem found.
func Validate(routes *RouteTable, pools *PoolTable) error {
	return ValidateChange(kingcuphook.NewTables(0, nil, nil), routes, pools)
}

// ValidateChange checks both tables together as Validate does, but skips checks of
// rows that are the same objects as in base, which must be valid.
func ValidateChange(base *kingcuphook.Tables, routes *RouteTable, pools *PoolTable) error {
	if err := validatePools(base, pools); err != nil {
		return err
	}
	return validateRoutes(base.Routes(), routes, pools)
}

// validateRoutes checks the routes and that their pools exist.
func validateRoutes(base []*kingcuphook.Route, t *RouteTable, pools *PoolTable) error {
	known := make(map[string]bool, len(pools.pools))
	for _, p := range pools.pools {
		known[p.Name()] = true
	}
	names := make(map[string]int, len(t.routes))
	var seen coverage
	sameOrder := sameMatches(base, t.routes)
	for i, r := range t.routes {
		line := t.line(i)
		if !unchanged(base, t.routes, i) {
			if reason := checkRoute(r); reason != "" {
				return inputError(t.file, line, "route %q: %s", r.Name(), reason)
			}
		}
		if first, ok := names[r.Name()]; ok {
			return inputError(t.file, line, "route %q is already defined%s", r.Name(), onLine(t.line(first)))
		}
		names[r.Name()] = i
		if !known[r.Pool()] {
			return inputError(t.file, line, "route %q: there is no pool %q in %s", r.Name(), r.Pool(), pools.file)
		}
		if sameOrder {
			continue
		}
		if covering := seen.add(r); covering != nil {
			return inputError(t.file, line, "route %q is never reached: route %q%s matches all its requests first",
				r.Name(), covering.Name(), onLine(t.line(names[covering.Name()])))
		}
	}
	return nil
}

// unchanged reports whether route i is the same object as the one in base at the
// same distance from the start or from the end.
func unchanged(base, routes []*kingcuphook.Route, i int) bool {
	if i < len(base) && base[i] == routes[i] {
		return true
	}
	j := len(base) - len(routes) + i
	return j >= 0 && base[j] == routes[i]
}

// sameMatches reports whether a and b hold routes with the same names and
// conditions in the same order.
func sameMatches(a, b []*kingcuphook.Route) bool {
	return slices.EqualFunc(a, b, func(r, s *kingcuphook.Route) bool {
		return r == s || r.Name() == s.Name() && r.Class() == s.Class() && r.Organisation() == s.Organisation() &&
			r.Model() == s.Model() && r.Path() == s.Path()
	})
}

// checkRoute returns the reason why a route is invalid by itself; empty if it is
// valid.
func checkRoute(r *kingcuphook.Route) string {
	if reason := checkName("name", r.Name(), true); reason != "" {
		return reason
	}
	for _, f := range []struct{ key, value string }{
		{"class", r.Class()}, {"organisation", r.Organisation()}, {"model", r.Model()}, {"path", r.Path()},
	} {
		if reason := checkName(f.key, f.value, false); reason != "" {
			return reason
		}
	}
	if r.Path() != "" && !strings.HasPrefix(r.Path(), "/") {
		return "path must start with \"/\""
	}
	if !r.Tier().Declarable() {
		return "tier must be from 1 to 5"
	}
	for _, f := range []struct {
		key   string
		value time.Duration
	}{{"target", r.Target()}, {"token-target", r.TokenTarget()}, {"deadline", r.Deadline()}} {
		if f.value < 0 {
			return f.key + " must not be negative"
		}
	}
	if r.Deadline() > 0 && r.Target() > r.Deadline() {
		return "target must not be longer than deadline"
	}
	for _, f := range []struct {
		key   string
		value float64
	}{{"organisation-rate", r.OrganisationRate()}, {"rate", r.Rate()}} {
		if f.value < 0 || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
			return f.key + " must be a number that is not negative"
		}
	}
	return ""
}

// checkName returns the reason why the value of a key is not a valid name; empty if
// it is one.
func checkName(key, value string, required bool) string {
	switch {
	case required && value == "":
		return key + " is missing"
	case len(value) > MaxNameBytes:
		return key + " is too long"
	case strings.ContainsFunc(value, unicode.IsControl):
		return key + " has a control character"
	}
	return ""
}

// onLine returns a phrase with the line for a message; empty if the line is unknown.
func onLine(line int) string {
	if line == 0 {
		return ""
	}
	return " on line " + itoa(line)
}

// validatePools checks the pools, their upstreams and their placements. An upstream
// may be in several pools if its fields are the same in all of them.
func validatePools(base *kingcuphook.Tables, t *PoolTable) error {
	names := make(map[string]int, len(t.pools))
	changed := changedAddresses(base, t.pools)
	addresses := make(map[string]position, len(changed))
	for i, p := range t.pools {
		valid := base.Pool(p.Name()) == p
		if reason := checkPool(p); reason != "" {
			return inputError(t.file, t.line(i), "pool %q: %s", p.Name(), reason)
		}
		if first, ok := names[p.Name()]; ok {
			return inputError(t.file, t.line(i), "pool %q is already defined%s", p.Name(), onLine(t.line(first)))
		}
		names[p.Name()] = i
		for j, u := range p.Upstreams() {
			if !valid {
				if reason := checkUpstream(u); reason != "" {
					return inputError(t.file, t.upstreamLine(i, j), "pool %q: upstream %q: %s", p.Name(), u.Address(), reason)
				}
			}
			if !changed[u.Address()] {
				continue
			}
			first, ok := addresses[u.Address()]
			if !ok {
				addresses[u.Address()] = position{pool: i, upstream: j}
				continue
			}
			if first.pool == i {
				return inputError(t.file, t.upstreamLine(i, j), "pool %q: upstream %q is already defined%s",
					p.Name(), u.Address(), onLine(t.upstreamLine(i, first.upstream)))
			}
			if !sameUpstream(t.pools[first.pool].Upstreams()[first.upstream], u) {
				return inputError(t.file, t.upstreamLine(i, j), "pool %q: upstream %q has other fields in pool %q%s",
					p.Name(), u.Address(), t.pools[first.pool].Name(), onLine(t.upstreamLine(first.pool, first.upstream)))
			}
		}
		if valid {
			continue
		}
		if j, reason := checkPlacements(p); reason != "" {
			return inputError(t.file, t.placementLine(i, j), "pool %q: placement of %q in %q: %s",
				p.Name(), p.Placements()[j].Model, p.Placements()[j].Region, reason)
		}
	}
	return nil
}

// changedAddresses returns the addresses of the upstreams in pools that are not the
// same objects as in base. Only these can conflict with another row.
func changedAddresses(base *kingcuphook.Tables, pools []*kingcuphook.Pool) map[string]bool {
	changed := make(map[string]bool)
	for _, p := range pools {
		if base.Pool(p.Name()) == p {
			continue
		}
		for _, u := range p.Upstreams() {
			changed[u.Address()] = true
		}
	}
	return changed
}

// position is the position of an upstream: the indexes of its pool and of its row in
// the pool.
type position struct{ pool, upstream int }

// checkPool returns the reason why a pool is invalid, apart from its upstreams and
// placements; empty if it is valid.
func checkPool(p *kingcuphook.Pool) string {
	if reason := checkName("name", p.Name(), true); reason != "" {
		return reason
	}
	f := p.Fields()
	switch {
	case f.MaxQueued < 0:
		return "max-queued must not be negative"
	case f.MaxReloading < 0:
		return "max-reloading must not be negative"
	case len(f.Upstreams) == 0:
		return "it has no upstream"
	}
	return ""
}

// checkUpstream returns the reason why an upstream is invalid by itself; empty if it
// is valid.
func checkUpstream(u *kingcuphook.Upstream) string {
	a, err := netip.ParseAddrPort(u.Address())
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return "address must be an IP number with a port"
	}
	if a.String() != u.Address() {
		return "address must be written as " + a.String()
	}
	if reason := checkName("region", u.Region(), true); reason != "" {
		return reason
	}
	if reason := checkName("data-centre", u.DataCentre(), true); reason != "" {
		return reason
	}
	switch u.Kind() {
	case kingcuphook.UpstreamKindEngine, kingcuphook.UpstreamKindService:
	default:
		return "kind must be \"engine\" or \"service\""
	}
	if u.Slots() < 0 || u.Slots() > math.MaxInt32 {
		return "slots must be from 0 to 2147483647"
	}
	seen := make(map[string]bool, len(u.Models()))
	for _, m := range u.Models() {
		if reason := checkName("models", m, true); reason != "" {
			return reason
		}
		if seen[m] {
			return "model " + m + " is listed twice"
		}
		seen[m] = true
	}
	return ""
}

// sameUpstream reports whether two rows of an address agree in all fields that the
// table of pools has.
func sameUpstream(a, b *kingcuphook.Upstream) bool {
	f, g := a.Fields(), b.Fields()
	sameModels := slices.Equal(f.Models, g.Models)
	f.Models, g.Models = nil, nil
	return sameModels && f.Region == g.Region && f.DataCentre == g.DataCentre && f.Kind == g.Kind &&
		f.Slots == g.Slots && f.Leaving == g.Leaving && f.ChecksFence == g.ChecksFence &&
		f.Resumes == g.Resumes && f.Priorities == g.Priorities
}

// checkPlacements returns the index of the first invalid placement of a pool and the
// reason; the reason is empty if all are valid.
func checkPlacements(p *kingcuphook.Pool) (int, string) {
	type key struct{ model, region string }
	seen := make(map[key]bool)
	for i, f := range p.Placements() {
		if reason := checkName("model", f.Model, true); reason != "" {
			return i, reason
		}
		if reason := checkName("region", f.Region, true); reason != "" {
			return i, reason
		}
		k := key{f.Model, f.Region}
		switch {
		case seen[k]:
			return i, "it is already defined"
		case f.Min < 0:
			return i, "min must not be negative"
		case f.Min > f.Max:
			return i, "min must not be larger than max"
		case f.Min > countEligible(p, f):
			return i, "min is larger than the number of engines for it in the region"
		}
		seen[k] = true
	}
	return 0, ""
}

// countEligible returns the number of engines in the pool that are in the region of
// the placement and may serve its model.
func countEligible(p *kingcuphook.Pool, f kingcuphook.PlacementFields) int {
	n := 0
	for _, u := range p.Upstreams() {
		if u.Kind() == kingcuphook.UpstreamKindEngine && u.Region() == f.Region &&
			(len(u.Models()) == 0 || slices.Contains(u.Models(), f.Model)) {
			n++
		}
	}
	return n
}
