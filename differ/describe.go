package differ

import (
	"fmt"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Describe returns a value on one line, for messages to operators, with the keys
// that the text form of the tables uses. Fields with their default are left out.
func Describe(v Value) string {
	var d description
	switch {
	case v.Route != nil:
		d.route(v.Route.Fields())
	case v.Pool != nil:
		f := v.Pool.Fields()
		d.integer("max-queued", f.MaxQueued)
		d.integer("max-reloading", f.MaxReloading)
		d.boolean("spill-regions", f.SpillRegions)
	case v.Upstream != nil:
		d.upstream(v.Upstream.Fields())
	case v.Placement != nil:
		d.integer("min", v.Placement.Min)
		d.integer("max", v.Placement.Max)
	default:
		return "removed"
	}
	return "{" + strings.Join(d.parts, ", ") + "}"
}

// description collects the "key = value" parts of a row.
type description struct {
	parts []string
}

func (d *description) add(key, value string) { d.parts = append(d.parts, key+" = "+value) }

func (d *description) text(key, value string) {
	if value != "" {
		d.add(key, fmt.Sprintf("%q", value))
	}
}

func (d *description) integer(key string, value int) {
	if value != 0 {
		d.add(key, fmt.Sprint(value))
	}
}

func (d *description) number(key string, value float64) {
	if value != 0 {
		d.add(key, fmt.Sprint(value))
	}
}

func (d *description) boolean(key string, value bool) {
	if value {
		d.add(key, "true")
	}
}

func (d *description) duration(key string, value time.Duration) {
	if value != 0 {
		d.text(key, value.String())
	}
}

func (d *description) route(f kingcuphook.RouteFields) {
	d.text("class", f.Class)
	d.text("organisation", f.Organisation)
	d.text("model", f.Model)
	d.text("path", f.Path)
	d.text("pool", f.Pool)
	d.integer("tier", int(f.Tier))
	d.duration("target", f.Target)
	d.duration("token-target", f.TokenTarget)
	d.duration("deadline", f.Deadline)
	d.boolean("non-idempotent", f.NonIdempotent)
	d.number("organisation-rate", f.OrganisationRate)
	d.number("rate", f.Rate)
}

func (d *description) upstream(f kingcuphook.UpstreamFields) {
	d.text("region", f.Region)
	d.text("data-centre", f.DataCentre)
	d.text("kind", string(f.Kind))
	if len(f.Models) > 0 {
		d.add("models", fmt.Sprintf("%q", f.Models))
	}
	d.integer("slots", f.Slots)
	d.boolean("leaving", f.Leaving)
	d.boolean("checks-fence", f.ChecksFence)
	d.boolean("resumes", f.Resumes)
	d.boolean("priorities", f.Priorities)
}
