package encoder

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

const (
	// segmentRows is the mean number of rows in a segment: a segment ends after a
	// row whose hash is a multiple of it.
	segmentRows = 256
	// maxSegmentBytes is the size at which a segment ends whatever the hashes of
	// its rows.
	maxSegmentBytes = kingcuphook.MaxValueBytes / 4
)

// Segment is a part of a table, encoded as one value of the store. The hashes of row
// names decide where a segment ends (content-defined chunking), so that an edit
// changes few segments.
type Segment struct {
	// Hash is the hash of Data.
	Hash uint64
	// Data is the encoded segment.
	Data []byte
}

// splitter splits the rows of a table into segments.
type splitter struct {
	segments []Segment
	current  *tablespb.Segment
	// bytes is the size of the rows in current.
	bytes int
}

// endsSegment adds the size of a row, n, to that of the current segment and reports
// whether the segment ends after the row.
func (s *splitter) endsSegment(name string, n int) bool {
	s.bytes += n
	return xxhash.Sum64String(name)%segmentRows == 0 || s.bytes >= maxSegmentBytes
}

// flush encodes the current segment, unless it is empty, and starts a new one.
func (s *splitter) flush() error {
	if s.bytes == 0 {
		return nil
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.current)
	if err != nil {
		return err
	}
	s.segments = append(s.segments, Segment{Hash: SegmentHash(data), Data: data})
	s.current, s.bytes = &tablespb.Segment{}, 0
	return nil
}

// SplitRoutes splits the routes into segments.
func SplitRoutes(routes []*kingcuphook.Route) ([]Segment, error) {
	s := splitter{current: &tablespb.Segment{}}
	for _, r := range routes {
		m := routeToProto(r)
		s.current.Routes = append(s.current.Routes, m)
		if !s.endsSegment(r.Name(), proto.Size(m)) {
			continue
		}
		if err := s.flush(); err != nil {
			return nil, err
		}
	}
	if err := s.flush(); err != nil {
		return nil, err
	}
	return s.segments, nil
}

// SplitPools splits the pools into segments. A pool may continue in the next
// segment.
func SplitPools(pools []*kingcuphook.Pool) ([]Segment, error) {
	s := splitter{current: &tablespb.Segment{}}
	for _, p := range pools {
		if err := s.addPool(p); err != nil {
			return nil, err
		}
	}
	if err := s.flush(); err != nil {
		return nil, err
	}
	return s.segments, nil
}

// addPool adds a pool. Each segment that contains part of the pool repeats its name
// and other fields.
func (s *splitter) addPool(p *kingcuphook.Pool) error {
	f := p.Fields()
	startPool := func() *tablespb.Pool {
		m := &tablespb.Pool{
			Name: f.Name, MaxQueued: int32(f.MaxQueued), MaxReloading: int32(f.MaxReloading), SpillRegions: f.SpillRegions,
		}
		s.current.Pools = append(s.current.Pools, m)
		s.bytes += proto.Size(m)
		return m
	}
	m := startPool()
	for _, u := range f.Upstreams {
		if m == nil {
			m = startPool()
		}
		um := upstreamToProto(u)
		m.Upstreams = append(m.Upstreams, um)
		if !s.endsSegment(u.Address(), proto.Size(um)) {
			continue
		}
		if err := s.flush(); err != nil {
			return err
		}
		m = nil
	}
	for _, pl := range f.Placements {
		if m == nil {
			m = startPool()
		}
		pm := placementToProto(pl)
		m.Placements = append(m.Placements, pm)
		if !s.endsSegment(pl.Model+pl.Region, proto.Size(pm)) {
			continue
		}
		if err := s.flush(); err != nil {
			return err
		}
		m = nil
	}
	return nil
}

// JoinRoutes decodes the routes of segments in order. Keys holds the store key of
// each value for errors, which are of type *kingcuphook.InputError.
func JoinRoutes(keys []string, values [][]byte) ([]*kingcuphook.Route, error) {
	var routes []*kingcuphook.Route
	for i, data := range values {
		var m tablespb.Segment
		if err := proto.Unmarshal(data, &m); err != nil {
			return nil, inputError(keys[i], err)
		}
		for _, r := range m.GetRoutes() {
			routes = append(routes, routeFromProto(r))
		}
	}
	return routes, nil
}

// JoinPools decodes the pools of segments in order. Keys holds the store key of each
// value for errors, which are of type *kingcuphook.InputError.
func JoinPools(keys []string, values [][]byte) ([]*kingcuphook.Pool, error) {
	var ms []*tablespb.Pool
	for i, data := range values {
		var m tablespb.Segment
		if err := proto.Unmarshal(data, &m); err != nil {
			return nil, inputError(keys[i], err)
		}
		for _, p := range m.GetPools() {
			if n := len(ms); n > 0 && ms[n-1].GetName() == p.GetName() {
				ms[n-1].Upstreams = append(ms[n-1].Upstreams, p.GetUpstreams()...)
				ms[n-1].Placements = append(ms[n-1].Placements, p.GetPlacements()...)
				continue
			}
			ms = append(ms, p)
		}
	}
	pools := make([]*kingcuphook.Pool, len(ms))
	for i, m := range ms {
		pools[i] = poolFromProto(m)
	}
	return pools, nil
}

// SegmentHash returns the hash of an encoded segment.
func SegmentHash(data []byte) uint64 { return xxhash.Sum64(data) }
