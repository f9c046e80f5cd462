package encoder

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

const (
	// segmentRows is the mean number of rows in a segment.
	segmentRows = 256
	// maxSegmentBytes ends a segment however its rows hash.
	maxSegmentBytes = kingcuphook.MaxValueBytes / 4
)

// Segment is a run of rows as the store keeps it. Where a segment ends follows
// from the names of its rows, so that an edit changes few segments.
type Segment struct {
	// Hash is the hash of Data.
	Hash uint64
	// Data is the value.
	Data []byte
}

// splitter cuts a run of rows into segments.
type splitter struct {
	segments []Segment
	current  *tablespb.Segment
	bytes    int
}

// next counts a row of the given name and size, and reports whether a new
// segment starts behind it.
func (s *splitter) next(name string, n int) bool {
	s.bytes += n
	return xxhash.Sum64String(name)%segmentRows == 0 || s.bytes >= maxSegmentBytes
}

func (s *splitter) cut() error {
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

// SplitRoutes returns the segments of the routes.
func SplitRoutes(routes []*kingcuphook.Route) ([]Segment, error) {
	s := splitter{current: &tablespb.Segment{}}
	for _, r := range routes {
		m := routeToProto(r)
		s.current.Routes = append(s.current.Routes, m)
		if !s.next(r.Name(), proto.Size(m)) {
			continue
		}
		if err := s.cut(); err != nil {
			return nil, err
		}
	}
	if err := s.cut(); err != nil {
		return nil, err
	}
	return s.segments, nil
}

// SplitPools returns the segments of the pools. A pool may go on in the next
// segment.
func SplitPools(pools []*kingcuphook.Pool) ([]Segment, error) {
	s := splitter{current: &tablespb.Segment{}}
	for _, p := range pools {
		if err := s.pool(p); err != nil {
			return nil, err
		}
	}
	if err := s.cut(); err != nil {
		return nil, err
	}
	return s.segments, nil
}

func (s *splitter) pool(p *kingcuphook.Pool) error {
	f := p.Fields()
	start := func() *tablespb.Pool {
		m := &tablespb.Pool{
			Name: f.Name, MaxQueued: int32(f.MaxQueued), MaxReloading: int32(f.MaxReloading), SpillRegions: f.SpillRegions,
		}
		s.current.Pools = append(s.current.Pools, m)
		s.bytes += proto.Size(m)
		return m
	}
	m := start()
	for _, u := range f.Upstreams {
		if m == nil {
			m = start()
		}
		um := upstreamToProto(u)
		m.Upstreams = append(m.Upstreams, um)
		if !s.next(u.Address(), proto.Size(um)) {
			continue
		}
		if err := s.cut(); err != nil {
			return err
		}
		m = nil
	}
	for _, pl := range f.Placements {
		if m == nil {
			m = start()
		}
		pm := placementToProto(pl)
		m.Placements = append(m.Placements, pm)
		if !s.next(pl.Model+pl.Region, proto.Size(pm)) {
			continue
		}
		if err := s.cut(); err != nil {
			return err
		}
		m = nil
	}
	return nil
}

// JoinRoutes returns the routes of segments in order. The keys name the values
// in errors, which are *kingcuphook.InputError.
func JoinRoutes(keys []string, values [][]byte) ([]*kingcuphook.Route, error) {
	var routes []*kingcuphook.Route
	for i, data := range values {
		var m tablespb.Segment
		if err := proto.Unmarshal(data, &m); err != nil {
			return nil, bad(keys[i], err)
		}
		for _, r := range m.GetRoutes() {
			routes = append(routes, routeFromProto(r))
		}
	}
	return routes, nil
}

// JoinPools returns the pools of segments in order. The keys name the values in
// errors, which are *kingcuphook.InputError.
func JoinPools(keys []string, values [][]byte) ([]*kingcuphook.Pool, error) {
	var ms []*tablespb.Pool
	for i, data := range values {
		var m tablespb.Segment
		if err := proto.Unmarshal(data, &m); err != nil {
			return nil, bad(keys[i], err)
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

// SegmentHash returns the hash of a segment's value.
func SegmentHash(data []byte) uint64 { return xxhash.Sum64(data) }
