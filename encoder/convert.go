package encoder

import (
	"errors"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

var errEmptyRow = errors.New("a row has no value")

func routeToProto(r *kingcuphook.Route) *tablespb.Route {
	f := r.Fields()
	return &tablespb.Route{
		Name: f.Name, Class: f.Class, Organisation: f.Organisation, Model: f.Model, Path: f.Path,
		Pool: f.Pool, Tier: int32(f.Tier), TargetNanoseconds: int64(f.Target),
		TokenTargetNanoseconds: int64(f.TokenTarget), DeadlineNanoseconds: int64(f.Deadline),
		NonIdempotent: f.NonIdempotent, OrganisationRate: f.OrganisationRate, Rate: f.Rate,
	}
}

func routeFromProto(r *tablespb.Route) *kingcuphook.Route {
	return kingcuphook.NewRoute(kingcuphook.RouteFields{
		Name: r.GetName(), Class: r.GetClass(), Organisation: r.GetOrganisation(), Model: r.GetModel(),
		Path: r.GetPath(), Pool: r.GetPool(), Tier: kingcuphook.Tier(r.GetTier()),
		Target: time.Duration(r.GetTargetNanoseconds()), TokenTarget: time.Duration(r.GetTokenTargetNanoseconds()),
		Deadline: time.Duration(r.GetDeadlineNanoseconds()), NonIdempotent: r.GetNonIdempotent(),
		OrganisationRate: r.GetOrganisationRate(), Rate: r.GetRate(),
	})
}

func upstreamToProto(u *kingcuphook.Upstream) *tablespb.Upstream {
	return &tablespb.Upstream{
		Address: u.Address(), Region: u.Region(), DataCentre: u.DataCentre(), Kind: string(u.Kind()),
		Models: u.Models(), Slots: int32(u.Slots()), Leaving: u.Leaving(), ChecksFence: u.ChecksFence(),
		Resumes: u.Resumes(), Priorities: u.Priorities(),
	}
}

func upstreamFromProto(u *tablespb.Upstream) *kingcuphook.Upstream {
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
		Address: u.GetAddress(), Region: u.GetRegion(), DataCentre: u.GetDataCentre(),
		Kind: kingcuphook.UpstreamKind(u.GetKind()), Models: u.GetModels(), Slots: int(u.GetSlots()),
		Leaving: u.GetLeaving(), ChecksFence: u.GetChecksFence(), Resumes: u.GetResumes(),
		Priorities: u.GetPriorities(),
	})
}

func placementToProto(p kingcuphook.PlacementFields) *tablespb.Placement {
	return &tablespb.Placement{Model: p.Model, Region: p.Region, Min: int32(p.Min), Max: int32(p.Max)}
}

func placementFromProto(p *tablespb.Placement) kingcuphook.PlacementFields {
	return kingcuphook.PlacementFields{
		Model: p.GetModel(), Region: p.GetRegion(), Min: int(p.GetMin()), Max: int(p.GetMax()),
	}
}

func poolToProto(p *kingcuphook.Pool) *tablespb.Pool {
	f := p.Fields()
	m := &tablespb.Pool{
		Name: f.Name, MaxQueued: int32(f.MaxQueued), MaxReloading: int32(f.MaxReloading), SpillRegions: f.SpillRegions,
		Upstreams:  make([]*tablespb.Upstream, len(f.Upstreams)),
		Placements: make([]*tablespb.Placement, len(f.Placements)),
	}
	for i, u := range f.Upstreams {
		m.Upstreams[i] = upstreamToProto(u)
	}
	for i, p := range f.Placements {
		m.Placements[i] = placementToProto(p)
	}
	return m
}

func poolFromProto(m *tablespb.Pool) *kingcuphook.Pool {
	f := kingcuphook.PoolFields{
		Name: m.GetName(), MaxQueued: int(m.GetMaxQueued()), MaxReloading: int(m.GetMaxReloading()),
		SpillRegions: m.GetSpillRegions(),
		Upstreams:    make([]*kingcuphook.Upstream, len(m.GetUpstreams())),
		Placements:   make([]kingcuphook.PlacementFields, len(m.GetPlacements())),
	}
	for i, u := range m.GetUpstreams() {
		f.Upstreams[i] = upstreamFromProto(u)
	}
	for i, p := range m.GetPlacements() {
		f.Placements[i] = placementFromProto(p)
	}
	return kingcuphook.NewPool(f)
}

func valueToProto(v differ.Value) *tablespb.Value {
	switch {
	case v.Route != nil:
		return &tablespb.Value{Value: &tablespb.Value_Route{Route: routeToProto(v.Route)}}
	case v.Pool != nil:
		return &tablespb.Value{Value: &tablespb.Value_Pool{Pool: poolToProto(v.Pool)}}
	case v.Upstream != nil:
		return &tablespb.Value{Value: &tablespb.Value_Upstream{Upstream: upstreamToProto(v.Upstream)}}
	case v.Placement != nil:
		return &tablespb.Value{Value: &tablespb.Value_Placement{Placement: placementToProto(*v.Placement)}}
	}
	return nil
}

func valueFromProto(m *tablespb.Value) differ.Value {
	switch v := m.GetValue().(type) {
	case *tablespb.Value_Route:
		return differ.Value{Route: routeFromProto(v.Route)}
	case *tablespb.Value_Pool:
		return differ.Value{Pool: poolFromProto(v.Pool)}
	case *tablespb.Value_Upstream:
		return differ.Value{Upstream: upstreamFromProto(v.Upstream)}
	case *tablespb.Value_Placement:
		p := placementFromProto(v.Placement)
		return differ.Value{Placement: &p}
	}
	return differ.Value{}
}

func changeToProto(c differ.Change) *tablespb.Change {
	f := c.Fields()
	m := &tablespb.Change{
		Revision: f.Revision, EditId: f.EditID, Author: f.Author, Reason: f.Reason,
		TimeUnixMilliseconds: f.Time.UnixMilli(), Parent: f.Parent, Lineage: f.Lineage,
		Truncated: f.Truncated, RowCount: int32(f.RowCount), Compact: f.Compact,
		Rows: make([]*tablespb.Row, len(f.Rows)),
	}
	for i, r := range f.Rows {
		rf := r.Fields()
		m.Rows[i] = &tablespb.Row{
			Pool: rf.Pool, Before: valueToProto(rf.Before), After: valueToProto(rf.After),
			Placed: rf.Placed, PreviousBefore: rf.PreviousBefore, PreviousAfter: rf.PreviousAfter,
		}
	}
	return m
}

func changeFromProto(m *tablespb.Change) (differ.Change, error) {
	f := differ.ChangeFields{
		Revision: m.GetRevision(), EditID: m.GetEditId(), Author: m.GetAuthor(), Reason: m.GetReason(),
		Time: time.UnixMilli(m.GetTimeUnixMilliseconds()).UTC(), Parent: m.GetParent(), Lineage: m.GetLineage(),
		Truncated: m.GetTruncated(), RowCount: int(m.GetRowCount()), Compact: m.GetCompact(),
		Rows: make([]differ.Row, len(m.GetRows())),
	}
	for i, r := range m.GetRows() {
		row := differ.NewRow(differ.RowFields{
			Pool: r.GetPool(), Before: valueFromProto(r.GetBefore()), After: valueFromProto(r.GetAfter()),
			Placed: r.GetPlaced(), PreviousBefore: r.GetPreviousBefore(), PreviousAfter: r.GetPreviousAfter(),
		})
		if row.Key() == (differ.Key{}) {
			return differ.Change{}, errEmptyRow
		}
		f.Rows[i] = row
	}
	return differ.NewChange(f), nil
}

func changesToProto(cs []differ.Change) []*tablespb.Change {
	ms := make([]*tablespb.Change, len(cs))
	for i, c := range cs {
		ms[i] = changeToProto(c)
	}
	return ms
}

// changesFromProto decodes changes and checks that they are contiguous: each must
// have the next revision and the lineage of the one before as its parent.
func changesFromProto(ms []*tablespb.Change) ([]differ.Change, error) {
	changes := make([]differ.Change, len(ms))
	for i, m := range ms {
		c, err := changeFromProto(m)
		if err != nil {
			return nil, err
		}
		changes[i] = c
		if i > 0 && (c.Revision() != changes[i-1].Revision()+1 || c.Parent() != changes[i-1].Lineage()) {
			return nil, errNotContiguous
		}
	}
	return changes, nil
}

var errNotContiguous = errors.New("the changes are not contiguous")
