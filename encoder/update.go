package encoder

import (
	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

// Update is what one router sends another to bring it up to date. Exactly one
// field is set.
type Update struct {
	// Changes are contiguous; their rows are compact.
	Changes []differ.Change
	// Whole is the whole state.
	Whole *differ.Snapshot
}

// EncodeUpdate returns what brings a router at the given revision up to s: the
// changes if s has them all, else the whole tables. Revision 0 asks for the
// whole. It returns nil if there is nothing newer.
func EncodeUpdate(s *differ.Snapshot, revision int64) ([]byte, error) {
	if s.Revision() <= revision {
		return nil, nil
	}
	cs, ok := s.Since(revision)
	if ok && revision > 0 {
		m := &tablespb.Update{}
		for _, c := range cs {
			m.Changes = append(m.Changes, changeToProto(c.Compact()))
		}
		return proto.Marshal(m)
	}
	return EncodeSnapshot(s)
}

// EncodeSnapshot returns the whole state as an update.
func EncodeSnapshot(s *differ.Snapshot) ([]byte, error) {
	m := &tablespb.Update{Whole: true, Revision: s.Revision(), Lineage: s.Lineage()}
	for _, c := range s.Changes() {
		m.Changes = append(m.Changes, changeToProto(c.Compact()))
	}
	for _, r := range s.Tables().Routes() {
		m.Routes = append(m.Routes, routeToProto(r))
	}
	for _, p := range s.Tables().Pools() {
		m.Pools = append(m.Pools, poolToProto(p))
	}
	return proto.Marshal(m)
}

// DecodeUpdate reads an update of the named source. An error is a
// *kingcuphook.InputError. The tables in it are not validated.
func DecodeUpdate(source string, data []byte) (*Update, error) {
	var m tablespb.Update
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, bad(source, err)
	}
	cs, err := changesFromProto(m.GetChanges())
	if err != nil {
		return nil, bad(source, err)
	}
	if !m.GetWhole() {
		return &Update{Changes: cs}, nil
	}
	if n := len(cs); n > 0 && (cs[n-1].Revision() != m.GetRevision() || cs[n-1].Lineage() != m.GetLineage()) {
		return nil, bad(source, errHead)
	}
	routes := make([]*kingcuphook.Route, len(m.GetRoutes()))
	for i, r := range m.GetRoutes() {
		routes[i] = routeFromProto(r)
	}
	pools := make([]*kingcuphook.Pool, len(m.GetPools()))
	for i, p := range m.GetPools() {
		pools[i] = poolFromProto(p)
	}
	t := kingcuphook.NewTables(m.GetRevision(), routes, pools)
	return &Update{Whole: differ.NewSnapshot(t, m.GetLineage(), cs)}, nil
}
