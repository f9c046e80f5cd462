package encoder

import (
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Duration is a time.Duration whose TOML form is text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// RouteRow is the TOML form of a route.
type RouteRow struct {
	Name             string   `toml:"name"`
	Class            string   `toml:"class,omitempty"`
	Organisation     string   `toml:"organisation,omitempty"`
	Model            string   `toml:"model,omitempty"`
	Path             string   `toml:"path,omitempty"`
	Pool             string   `toml:"pool"`
	Tier             int      `toml:"tier"`
	Target           Duration `toml:"target,omitempty"`
	TokenTarget      Duration `toml:"token-target,omitempty"`
	Deadline         Duration `toml:"deadline,omitempty"`
	NonIdempotent    bool     `toml:"non-idempotent,omitempty"`
	OrganisationRate float64  `toml:"organisation-rate,omitempty"`
	Rate             float64  `toml:"rate,omitempty"`
}

// NewRouteRow returns the TOML form of a route. It leaves out the fields that the
// operators' table doesn't have.
func NewRouteRow(r *kingcuphook.Route) RouteRow {
	f := r.Fields()
	return RouteRow{
		Name: f.Name, Class: f.Class, Organisation: f.Organisation, Model: f.Model, Path: f.Path,
		Pool: f.Pool, Tier: int(f.Tier), Target: Duration(f.Target), TokenTarget: Duration(f.TokenTarget),
		Deadline: Duration(f.Deadline), NonIdempotent: f.NonIdempotent,
		OrganisationRate: f.OrganisationRate, Rate: f.Rate,
	}
}

// Route converts the row to a route.
func (r RouteRow) Route() *kingcuphook.Route {
	return kingcuphook.NewRoute(kingcuphook.RouteFields{
		Name: r.Name, Class: r.Class, Organisation: r.Organisation, Model: r.Model, Path: r.Path,
		Pool: r.Pool, Tier: kingcuphook.Tier(r.Tier), Target: time.Duration(r.Target),
		TokenTarget: time.Duration(r.TokenTarget), Deadline: time.Duration(r.Deadline),
		NonIdempotent: r.NonIdempotent, OrganisationRate: r.OrganisationRate, Rate: r.Rate,
	})
}

// UpstreamRow is the TOML form of an upstream.
type UpstreamRow struct {
	Address     string   `toml:"address"`
	Region      string   `toml:"region"`
	DataCentre  string   `toml:"data-centre"`
	Kind        string   `toml:"kind"`
	Models      []string `toml:"models,omitempty"`
	Slots       int      `toml:"slots,omitempty"`
	Leaving     bool     `toml:"leaving,omitempty"`
	ChecksFence bool     `toml:"checks-fence,omitempty"`
	Resumes     bool     `toml:"resumes,omitempty"`
	Priorities  bool     `toml:"priorities,omitempty"`
}

// NewUpstreamRow returns the TOML form of an upstream.
func NewUpstreamRow(u *kingcuphook.Upstream) UpstreamRow {
	return UpstreamRow{
		Address: u.Address(), Region: u.Region(), DataCentre: u.DataCentre(), Kind: string(u.Kind()),
		Models: u.Models(), Slots: u.Slots(), Leaving: u.Leaving(), ChecksFence: u.ChecksFence(),
		Resumes: u.Resumes(), Priorities: u.Priorities(),
	}
}

// PlacementRow is the TOML form of a placement.
type PlacementRow struct {
	Model  string `toml:"model"`
	Region string `toml:"region"`
	Min    int    `toml:"min"`
	Max    int    `toml:"max"`
}

// PoolRow is the TOML form of a pool.
type PoolRow struct {
	Name         string         `toml:"name"`
	MaxQueued    int            `toml:"max-queued,omitempty"`
	MaxReloading int            `toml:"max-reloading,omitempty"`
	SpillRegions bool           `toml:"spill-regions,omitempty"`
	Upstreams    []UpstreamRow  `toml:"upstream,omitempty"`
	Placements   []PlacementRow `toml:"placement,omitempty"`
}

// NewPoolRow returns the TOML form of a pool.
func NewPoolRow(p *kingcuphook.Pool) PoolRow {
	f := p.Fields()
	row := PoolRow{
		Name: f.Name, MaxQueued: f.MaxQueued, MaxReloading: f.MaxReloading, SpillRegions: f.SpillRegions,
		Upstreams:  make([]UpstreamRow, len(f.Upstreams)),
		Placements: make([]PlacementRow, len(f.Placements)),
	}
	for i, u := range f.Upstreams {
		row.Upstreams[i] = NewUpstreamRow(u)
	}
	for i, p := range f.Placements {
		row.Placements[i] = PlacementRow(p)
	}
	return row
}

// Pool converts the row to a pool.
func (r PoolRow) Pool() *kingcuphook.Pool {
	f := kingcuphook.PoolFields{
		Name: r.Name, MaxQueued: r.MaxQueued, MaxReloading: r.MaxReloading, SpillRegions: r.SpillRegions,
		Upstreams:  make([]*kingcuphook.Upstream, len(r.Upstreams)),
		Placements: make([]kingcuphook.PlacementFields, len(r.Placements)),
	}
	for i, u := range r.Upstreams {
		f.Upstreams[i] = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: u.Address, Region: u.Region, DataCentre: u.DataCentre, Kind: kingcuphook.UpstreamKind(u.Kind),
			Models: u.Models, Slots: u.Slots, Leaving: u.Leaving, ChecksFence: u.ChecksFence,
			Resumes: u.Resumes, Priorities: u.Priorities,
		})
	}
	for i, p := range r.Placements {
		f.Placements[i] = kingcuphook.PlacementFields(p)
	}
	return kingcuphook.NewPool(f)
}

// RouteDocument is the TOML form of the table of routes.
type RouteDocument struct {
	Routes []RouteRow `toml:"route"`
}

// PoolDocument is the TOML form of the table of pools.
type PoolDocument struct {
	Pools []PoolRow `toml:"pool"`
}
