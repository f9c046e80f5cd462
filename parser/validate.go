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

// MaxNameBytes is the largest name of a row, class, organisation or model.
const MaxNameBytes = 256

// Validate checks both tables together. An error is a *kingcuphook.InputError
// that names the first fault.
func Validate(routes *RouteTable, pools *PoolTable) error {
	return ValidateChange(kingcuphook.NewTables(0, nil, nil), routes, pools)
}

// ValidateChange checks both tables together as Validate does. It spends less on
// rows that are the same objects as in base, which must be valid.
func ValidateChange(base *kingcuphook.Tables, routes *RouteTable, pools *PoolTable) error {
	if err := validatePools(base, pools); err != nil {
		return err
	}
	return validateRoutes(base.Routes(), routes, pools)
}

func validateRoutes(base []*kingcuphook.Route, t *RouteTable, pools *PoolTable) error {
	known := make(map[string]bool, len(pools.pools))
	for _, p := range pools.pools {
		known[p.Name()] = true
	}
	names := make(map[string]int, len(t.routes))
	var seen coverage
	same := sameMatches(base, t.routes)
	for i, r := range t.routes {
		line := t.line(i)
		if !unchanged(base, t.routes, i) {
			if reason := routeFault(r); reason != "" {
				return refuse(t.file, line, "route %q: %s", r.Name(), reason)
			}
		}
		if first, ok := names[r.Name()]; ok {
			return refuse(t.file, line, "route %q is already defined%s", r.Name(), onLine(t.line(first)))
		}
		names[r.Name()] = i
		if !known[r.Pool()] {
			return refuse(t.file, line, "route %q: there is no pool %q in %s", r.Name(), r.Pool(), pools.file)
		}
		if same {
			continue
		}
		if by := seen.add(r); by != nil {
			return refuse(t.file, line, "route %q is never reached: route %q%s matches all its requests first",
				r.Name(), by.Name(), onLine(t.line(names[by.Name()])))
		}
	}
	return nil
}

// unchanged reports whether route i is the same object as in base, counted from
// the start or from the end.
func unchanged(base, routes []*kingcuphook.Route, i int) bool {
	if i < len(base) && base[i] == routes[i] {
		return true
	}
	j := len(base) - len(routes) + i
	return j >= 0 && base[j] == routes[i]
}

// sameMatches reports whether both have routes of the same names that match the
// same requests, in the same order.
func sameMatches(a, b []*kingcuphook.Route) bool {
	return slices.EqualFunc(a, b, func(r, s *kingcuphook.Route) bool {
		return r == s || r.Name() == s.Name() && r.Class() == s.Class() && r.Organisation() == s.Organisation() &&
			r.Model() == s.Model() && r.Path() == s.Path()
	})
}

// routeFault returns what is wrong with a route on its own; empty if nothing.
func routeFault(r *kingcuphook.Route) string {
	if reason := nameFault("name", r.Name(), true); reason != "" {
		return reason
	}
	for _, f := range []struct{ key, value string }{
		{"class", r.Class()}, {"organisation", r.Organisation()}, {"model", r.Model()}, {"path", r.Path()},
	} {
		if reason := nameFault(f.key, f.value, false); reason != "" {
			return reason
		}
	}
	if r.Path() != "" && !strings.HasPrefix(r.Path(), "/") {
		return "path must start with \"/\""
	}
	if !r.Tier().Valid() {
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

func nameFault(key, value string, required bool) string {
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

func onLine(line int) string {
	if line == 0 {
		return ""
	}
	return " on line " + itoa(line)
}

func validatePools(base *kingcuphook.Tables, t *PoolTable) error {
	names := make(map[string]int, len(t.pools))
	fresh := freshAddresses(base, t.pools)
	addresses := make(map[string]place, len(fresh))
	for i, p := range t.pools {
		valid := base.Pool(p.Name()) == p
		if reason := poolFault(p); reason != "" {
			return refuse(t.file, t.line(i), "pool %q: %s", p.Name(), reason)
		}
		if first, ok := names[p.Name()]; ok {
			return refuse(t.file, t.line(i), "pool %q is already defined%s", p.Name(), onLine(t.line(first)))
		}
		names[p.Name()] = i
		for j, u := range p.Upstreams() {
			if !valid {
				if reason := upstreamFault(u); reason != "" {
					return refuse(t.file, t.upstreamLine(i, j), "pool %q: upstream %q: %s", p.Name(), u.Address(), reason)
				}
			}
			if !fresh[u.Address()] {
				continue
			}
			first, ok := addresses[u.Address()]
			if !ok {
				addresses[u.Address()] = place{pool: i, upstream: j}
				continue
			}
			if first.pool == i {
				return refuse(t.file, t.upstreamLine(i, j), "pool %q: upstream %q is already defined%s",
					p.Name(), u.Address(), onLine(t.upstreamLine(i, first.upstream)))
			}
			if !sameUpstream(t.pools[first.pool].Upstreams()[first.upstream], u) {
				return refuse(t.file, t.upstreamLine(i, j), "pool %q: upstream %q has other fields in pool %q%s",
					p.Name(), u.Address(), t.pools[first.pool].Name(), onLine(t.upstreamLine(first.pool, first.upstream)))
			}
		}
		if valid {
			continue
		}
		if j, reason := placementsFault(p); reason != "" {
			return refuse(t.file, t.placementLine(i, j), "pool %q: placement of %q in %q: %s",
				p.Name(), p.Placements()[j].Model, p.Placements()[j].Region, reason)
		}
	}
	return nil
}

// freshAddresses returns the addresses in pools that are not the same objects as
// in base: only these can be wrong.
func freshAddresses(base *kingcuphook.Tables, pools []*kingcuphook.Pool) map[string]bool {
	fresh := make(map[string]bool)
	for _, p := range pools {
		if base.Pool(p.Name()) == p {
			continue
		}
		for _, u := range p.Upstreams() {
			fresh[u.Address()] = true
		}
	}
	return fresh
}

// place is where an address was first seen.
type place struct{ pool, upstream int }

func poolFault(p *kingcuphook.Pool) string {
	if reason := nameFault("name", p.Name(), true); reason != "" {
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

func upstreamFault(u *kingcuphook.Upstream) string {
	a, err := netip.ParseAddrPort(u.Address())
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return "address must be an IP number with a port"
	}
	if a.String() != u.Address() {
		return "address must be written as " + a.String()
	}
	if reason := nameFault("region", u.Region(), true); reason != "" {
		return reason
	}
	if reason := nameFault("data-centre", u.DataCentre(), true); reason != "" {
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
		if reason := nameFault("models", m, true); reason != "" {
			return reason
		}
		if seen[m] {
			return "model " + m + " is listed twice"
		}
		seen[m] = true
	}
	return ""
}

func sameUpstream(a, b *kingcuphook.Upstream) bool {
	f, g := a.Fields(), b.Fields()
	same := slices.Equal(f.Models, g.Models)
	f.Models, g.Models = nil, nil
	return same && f.Region == g.Region && f.DataCentre == g.DataCentre && f.Kind == g.Kind &&
		f.Slots == g.Slots && f.Leaving == g.Leaving && f.ChecksFence == g.ChecksFence &&
		f.Resumes == g.Resumes && f.Priorities == g.Priorities
}

// placementsFault returns the first wrong placement and what is wrong with it.
func placementsFault(p *kingcuphook.Pool) (int, string) {
	type key struct{ model, region string }
	seen := make(map[key]bool)
	for i, f := range p.Placements() {
		if reason := nameFault("model", f.Model, true); reason != "" {
			return i, reason
		}
		if reason := nameFault("region", f.Region, true); reason != "" {
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
		case f.Min > runners(p, f):
			return i, "min is larger than the number of engines for it in the region"
		}
		seen[k] = true
	}
	return 0, ""
}

// runners counts the engines of the pool that can be given the placement.
func runners(p *kingcuphook.Pool, f kingcuphook.PlacementFields) int {
	n := 0
	for _, u := range p.Upstreams() {
		if u.Kind() == kingcuphook.UpstreamKindEngine && u.Region() == f.Region &&
			(len(u.Models()) == 0 || slices.Contains(u.Models(), f.Model)) {
			n++
		}
	}
	return n
}
