package encoder

import (
	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

// Update is a decoded update, which one router sends to another: either the changes
// since the receiver's revision or the complete state. Whole is nil in the first
// case, and Changes in the second.
type Update struct {
	// Changes are contiguous; their rows are compact.
	Changes []differ.Change
	// Whole is the complete state.
	Whole *differ.Snapshot
}

// EncodeUpdate encodes an update from the given revision to that of s: the changes
// since if s has all of them, else the complete state. For revision 0 it is always
// the complete state. It returns nil if s is not newer than revision.
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

// EncodeSnapshot encodes the complete state as an update.
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

// DecodeUpdate decodes an update. Source is its origin in errors, which are of type
// *kingcuphook.InputError. It does not validate the tables in the update.
func DecodeUpdate(source string, data []byte) (*Update, error) {
	var m tablespb.Update
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, inputError(source, err)
	}
	cs, err := changesFromProto(m.GetChanges())
	if err != nil {
		return nil, inputError(source, err)
	}
	if !m.GetWhole() {
		return &Update{Changes: cs}, nil
	}
	if n := len(cs); n > 0 && (cs[n-1].Revision() != m.GetRevision() || cs[n-1].Lineage() != m.GetLineage()) {
		return nil, inputError(source, errHeadMismatch)
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
