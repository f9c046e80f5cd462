package pinner

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.UnixMilli(1_800_000_000_000)

// tables returns tables with one pool of upstreams of the versions.
func tables(versions ...string) *kingcuphook.Tables {
	upstreams := make([]*kingcuphook.Upstream, 0, len(versions))
	for _, v := range versions {
		upstreams = append(upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: v}))
	}
	pool := kingcuphook.NewPool(kingcuphook.PoolFields{Name: "models", Upstreams: upstreams})
	return kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{pool})
}

// fresh returns a pinner that has just read the tables, and the record if any.
func fresh(now time.Time, record []RecordedVersion, versions ...string) *Pinner {
	p := &Pinner{}
	if record != nil {
		p.Apply(now, now, Record{Pool: "models", Versions: record}, 1)
	}
	p.Observe(now, tables(versions...))
	p.Confirm(now)
	return p
}

// A stream was taken for one of the version in service although another version may have begun it.
func TestOnlyVersionIsCertainIfNoOtherMayHaveBegunStreams(t *testing.T) {
	gone := func(ago time.Duration) RecordedVersion {
		return RecordedVersion{Version: "0", LeftMS: start.Add(-ago).UnixMilli()}
	}
	for name, test := range map[string]struct {
		record   []RecordedVersion
		versions []string
		after    time.Duration // from the start until the confirmation
		unsure   time.Duration // from the confirmation until the resumption
		want     bool
	}{
		"one version in record":          {[]RecordedVersion{{Version: "1"}}, []string{"1"}, 0, 0, true},
		"no record":                      {nil, []string{"1"}, 0, 0, false},
		"no record, observed for long":   {nil, []string{"1"}, horizon, 0, true},
		"other version left lately":      {[]RecordedVersion{{Version: "1"}, gone(time.Minute)}, []string{"1"}, 0, 0, false},
		"clock a little behind":          {[]RecordedVersion{{Version: "1"}, gone(horizon + 20*time.Second)}, []string{"1"}, 0, 0, false},
		"other version left long ago":    {[]RecordedVersion{{Version: "1"}, gone(horizon + time.Minute)}, []string{"1"}, 0, 0, true},
		"other version in service":       {[]RecordedVersion{{Version: "1"}, {Version: "2"}}, []string{"1"}, 0, 0, false},
		"other version not recorded yet": {[]RecordedVersion{{Version: "1"}}, []string{"1", "2"}, 0, 0, false},
		"tables not confirmed":           {[]RecordedVersion{{Version: "1"}}, []string{"1"}, 10 * time.Second, freshFor + 1, false},
		"no upstream left":               {[]RecordedVersion{{Version: "1"}}, nil, 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := fresh(start, test.record, test.versions...)
			p.Confirm(start.Add(test.after))
			found, err := p.Find(start.Add(test.after+test.unsure), start, Key("org", "other"), "models")
			is.Equal(err == nil, test.want)
			if test.want {
				is.Equal(found, Found{Origin: kingcuphook.Origin{Pool: "models", Version: "1"}, Source: SourceSingle})
			} else {
				is.True(errors.Is(err, kingcuphook.ErrVersionUnknown))
			}
		})
	}
}

func TestFindsOriginByMemory(t *testing.T) {
	is := is.New(t)
	p, peer := fresh(start, nil, "1", "2"), fresh(start, nil, "1", "2")
	key := Key("org", "call")
	p.Begun(start, key, "models", "2")
	now := start.Add(time.Second)
	want := Found{Origin: kingcuphook.Origin{Pool: "models", Version: "2"}, Source: SourceMemory, Age: time.Second}
	found, err := p.Find(now, start, key, "another")
	is.NoErr(err)
	is.Equal(found, want)

	_, reports, err := Decode(EncodeAnswer(p.Known(now, []uint64{key, 7})))
	is.NoErr(err)
	is.Equal(len(reports), 1)
	peer.Learn(now, reports[0], SourcePeer)
	found, err = peer.Find(now, start, key, "models")
	is.NoErr(err)
	is.Equal(found.Origin, want.Origin)

	peer.Observe(now, tables("1"))
	peer.Refresh(now.Add(2 * horizon))
	peer.Learn(now.Add(2*horizon), reports[0], SourcePeer)
	_, err = peer.Find(now.Add(2*horizon), start, key, "models")
	is.True(errors.Is(err, kingcuphook.ErrVersionGone))
	_, err = p.Find(start.Add(minRetention+1), start, key, "models")
	is.True(errors.Is(err, kingcuphook.ErrVersionUnknown)) // it has expired
}

// A stream with a repeated ID, or of which sources tell different versions, went on at one of them.
func TestStreamOfTwoVersionsIsUnknown(t *testing.T) {
	is := is.New(t)
	p := fresh(start, nil, "1", "2")
	p.Begun(start, 1, "models", "1")
	p.Begun(start, 1, "models", "2")
	p.Begun(start, 2, "models", "1")
	p.Learn(start, Report{Key: 2, Mark: markOf("models", "2")}, SourcePeer)
	p.Learn(start, Report{Key: 3, Mark: markOf("models", "2")}, SourcePeer)
	p.Learn(start, Report{Key: 3, Mark: markOf("models", "1")}, SourceStore)
	for key := range uint64(4) {
		_, err := p.Find(start, start, key, "models")
		is.True(errors.Is(err, kingcuphook.ErrVersionUnknown))
		is.Equal(errors.Is(err, ErrAmbiguous), key > 0)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	p := fresh(start, nil, "1", "2")
	for key := range uint64(2 * maxEntries) {
		p.Begun(start, key, "models", "1")
		p.Learn(start, Report{Key: key, Mark: 1}, SourcePeer)
	}
	is.Equal(p.Remembered(), 2*maxEntries)
	_, known := p.begun.get(start, 2*maxEntries-1)
	is.True(known) // the newest
	p.Begun(start.Add(2*minRetention), 1, "models", "1")
	is.Equal(p.Remembered(), 1+maxEntries)
}

// The streams that had begun before a second version appeared were missing in the ledger.
func TestLedgerHasStreamsBegunBeforeSecondVersion(t *testing.T) {
	is := is.New(t)
	p := fresh(start, nil, "1")
	const streams = 1000
	for key := range uint64(streams) {
		p.Begun(start, key, "models", "1")
	}
	_, ok := p.NextSegment(start, 8)
	is.True(!ok) // one version
	p.Observe(start, tables("1", "2"))
	started := fresh(start, nil, "1", "2")
	bySegment := make(map[int]Segment)
	for s, ok := p.NextSegment(start, 8); ok; s, ok = p.NextSegment(start, 8) {
		is.True(len(s.Value) <= maxLedgerBytes/segments)
		bySegment[s.Number] = s
	}
	for _, s := range bySegment {
		reports, err := DecodeSegment(s.Value)
		is.NoErr(err)
		for _, r := range reports {
			started.Learn(start, r, SourceStore)
		}
	}
	for key := range uint64(streams) {
		found, err := started.Find(start, start, key, "models")
		is.NoErr(err)
		is.Equal(found.Origin.Version, "1")
	}
}

// The record of a pool was written again and again, or lacked a version.
func TestRecordFollowsTables(t *testing.T) {
	is := is.New(t)
	p := fresh(start, nil, "1")
	revision := int64(0)
	write := func(now time.Time) string {
		writes := p.Writes(now)
		if len(writes) == 0 {
			return ""
		}
		is.Equal(writes[0].Revision, revision)
		revision++
		value, err := writes[0].Record.Encode()
		is.NoErr(err)
		record, err := DecodeRecord(writes[0].Record.Key(), value)
		is.NoErr(err)
		p.Apply(now, now, record, revision)
		is.Equal(len(p.Writes(now)), 0)
		return record.String()
	}
	is.Equal(write(start), "1")
	p.Observe(start, tables("1", "2"))
	is.Equal(write(start), "") // it is held back
	now := start.Add(holdFor)
	is.Equal(write(now), "1,2")
	p.Observe(now, tables("2"))
	is.Equal(write(now), "") // it may be back at once
	now = now.Add(absentFor)
	is.Equal(write(now), "2,1-")
	p.Observe(now, tables("2", "1"))
	is.Equal(write(now), "1,2")
	many := make([]string, 0, 3*maxVersions)
	for n := range 3 * maxVersions {
		many = append(many, fmt.Sprint(n))
	}
	p.Observe(now, tables(many...))
	write(now)
	is.True(p.IsMixed("models"))
}

// A stream that no router knew was refused, or went on at any version, when a second version came
// while all routers were down.
func TestSecondVersionIsHeldBack(t *testing.T) {
	alone, both := []RecordedVersion{{Version: "1"}}, []RecordedVersion{{Version: "1"}, {Version: "2"}}
	for name, test := range map[string]struct {
		record   []RecordedVersion
		versions []string
		after    time.Duration
		held     bool
		certain  bool
	}{
		"it has just come":              {alone, []string{"1", "1", "2"}, 0, true, true},
		"it is recorded":                {both, []string{"1", "1", "2"}, 0, false, false},
		"no record":                     {nil, []string{"1", "1", "2"}, 0, false, false},
		"half of the upstreams have it": {alone, []string{"1", "2"}, 0, true, false},
		"most upstreams have it":        {alone, []string{"1", "2", "2"}, 0, false, false},
		"it can't be recorded":          {alone, []string{"1", "1", "2"}, maxHold + 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := fresh(start, test.record, test.versions...)
			now := start.Add(test.after)
			version, held := p.Held(now, "models")
			is.Equal(held, test.held)
			is.Equal(version == "1", test.held)
			_, err := p.Find(now, now.Add(-time.Millisecond), 1, "models")
			is.Equal(err == nil, test.certain)
			_, err = p.Find(now, now, 1, "models") // the record was read before
			is.True(errors.Is(err, kingcuphook.ErrVersionUnknown))
		})
	}
}

func TestKeyOfRecordIsBounded(t *testing.T) {
	is := is.New(t)
	for _, pool := range []string{"models", "a/b c", strings.Repeat("ä", 300)} {
		r := Record{Pool: pool, Versions: []RecordedVersion{{Version: "1"}}}
		is.True(len(r.Key()) <= 200)
		value, err := r.Encode()
		is.NoErr(err)
		_, err = DecodeRecord(r.Key(), value)
		is.NoErr(err)
		_, err = DecodeRecord(r.Key()+"x", value)
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(EncodeQuery([]uint64{1, 2}))
	f.Add(EncodeAnswer([]Report{{Key: 1, Mark: 2, Age: time.Second}}))
	f.Add([]byte{segmentFormat, 1, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0, 4, 0})
	f.Add([]byte(`{"pool":"models","versions":[{"version":"1"},{"version":"2","left-unix-ms":1}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		keys, reports, err := Decode(b)
		is.True(err == nil || errors.Is(err, kingcuphook.ErrInvalid))
		if err == nil {
			again := EncodeQuery(keys)
			if len(reports) > 0 {
				again = EncodeAnswer(reports)
			}
			is.True(bytes.Equal(again, b))
		}
		_, err = DecodeSegment(b)
		is.True(err == nil || errors.Is(err, kingcuphook.ErrInvalid))
		record, err := DecodeRecord(RecordPrefix+"models", b)
		is.True(err == nil || errors.Is(err, kingcuphook.ErrInvalid))
		if err == nil {
			fresh(start, nil, "1").Apply(start, start, record, 1)
		}
	})
}

// BenchmarkBegun measures the time and the memory of a stream that begins while two versions are
// in service.
func BenchmarkBegun(b *testing.B) {
	p := fresh(start, nil, "1", "2")
	b.ReportAllocs()
	for n := range b.N {
		p.Begun(start.Add(time.Duration(n)*time.Millisecond), uint64(n), "models", "1")
	}
}

// BenchmarkMemory measures the memory of a stream that is remembered, with full memories.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := fresh(start, nil, "1", "2")
		for key := range uint64(maxEntries) {
			p.Begun(start, key, "models", "1")
			p.Learn(start, Report{Key: key, Mark: 1}, SourcePeer)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(p.Remembered()), "B/stream")
	}
}

// A stream whose route led, or had led, to another pool as well was taken for one of the only
// version in a pool.
func TestOnlyVersionIsCertainInAllPoolsOfRoute(t *testing.T) {
	is := is.New(t)
	route := func(f kingcuphook.RouteFields) []*kingcuphook.Route {
		f.Name, f.Stream, f.Resumable = "stream", true, true
		return []*kingcuphook.Route{kingcuphook.NewRoute(f)}
	}
	pools := func(version string) []*kingcuphook.Pool {
		u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{SoftwareVersion: version})
		other := kingcuphook.NewPool(kingcuphook.PoolFields{Name: "other", Upstreams: []*kingcuphook.Upstream{u}})
		return append(tables("1").Pools(), other)
	}
	split := kingcuphook.NewSplit([]kingcuphook.PoolShare{{Pool: "models", Weight: 1}, {Pool: "other", Weight: 1}})
	for other, want := range map[string]bool{"1": true, "2": false} {
		certain := func(p *Pinner, now time.Time) bool {
			p.Refresh(now)
			p.Confirm(now)
			_, err := p.Find(now, now, 1, "models")
			return err == nil
		}
		moved := &Pinner{}
		moved.Observe(start, kingcuphook.NewTables(1, route(kingcuphook.RouteFields{Pool: "other"}), pools(other)))
		now := start.Add(horizon)
		is.True(certain(moved, now)) // no route leads to both
		moved.Observe(now, kingcuphook.NewTables(1, route(kingcuphook.RouteFields{Pool: "models"}), pools(other)))
		is.Equal(certain(moved, now), want)
		is.Equal(moved.IsMixed("models"), !want)
		is.True(certain(moved, now.Add(horizon+time.Second)))

		both := &Pinner{}
		both.Observe(start, kingcuphook.NewTables(1, route(kingcuphook.RouteFields{Split: split}), pools(other)))
		is.Equal(certain(both, now), want)
	}
}

// A version that only the lost record of a restored store had was forgotten with it.
func TestVersionsOfLostRecordAreRecordedAgain(t *testing.T) {
	is := is.New(t)
	left := RecordedVersion{Version: "0", LeftMS: start.Add(-time.Minute).UnixMilli()}
	p := fresh(start, []RecordedVersion{{Version: "1"}, left}, "1")
	is.Equal(len(p.Writes(start)), 0)
	p.MissingExcept(start, map[string]bool{RecordPrefix + "models": true})
	is.Equal(len(p.Writes(start)), 0) // the store has it
	p.MissingExcept(start, nil)
	is.True(p.IsMixed("models"))
	writes := p.Writes(start)
	is.Equal(len(writes), 1)
	is.Equal(writes[0], Write{Record: Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}, left}}, Gap: GapVersions})
}

// With more versions than a record holds, some in service counted as gone, and the record was
// written again with each change of the tables.
func TestAllVersionsInServiceAreKept(t *testing.T) {
	is := is.New(t)
	many := make([]string, 0, 2*maxVersions)
	for n := range 2 * maxVersions {
		many = append(many, fmt.Sprint(n))
	}
	p := fresh(start, nil, many...)
	for n, version := range many {
		p.Begun(start, uint64(n), "models", version)
		_, err := p.Find(start, start, uint64(n), "models")
		is.NoErr(err)
	}
	writes := 0
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		p.Observe(now, tables(many...))
		for _, w := range p.Writes(now) {
			writes++
			p.Apply(now, now, w.Record, int64(writes))
		}
	}
	is.Equal(writes, 1)
}

// Knowledge that arrived late, as after a pause of the router, counted from its arrival.
func TestLateKnowledgeIsNotFresh(t *testing.T) {
	is := is.New(t)
	p := fresh(start, []RecordedVersion{{Version: "1"}}, "1")
	now := start.Add(5 * time.Second)
	p.Confirm(start.Add(time.Second))
	p.Apply(now, start.Add(2*time.Second), Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}}}, 1)
	_, err := p.Find(now, now, 1, "models")
	is.True(errors.Is(err, kingcuphook.ErrVersionUnknown))
	p.Confirm(now.Add(-time.Second))
	p.Confirm(start) // a later reply about an earlier time
	_, err = p.Find(now, now, 1, "models")
	is.NoErr(err)
}

// A router that saw a second version 5 s after the others took a stream for one of the recorded version
// although the others no longer held the second one back.
func TestLateRouterDoesNotRelyOnVersionHeldBack(t *testing.T) {
	is := is.New(t)
	came, seen := start, start.Add(5*time.Second)
	p := fresh(seen, []RecordedVersion{{Version: "1"}}, "1", "1", "2")
	for after := maxHold; after <= 2*maxHold; after += 100 * time.Millisecond {
		now := came.Add(after)
		p.Apply(now, now, Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}}}, 1)
		_, err := p.Find(now, now.Add(-time.Millisecond), 1, "models")
		is.True(errors.Is(err, kingcuphook.ErrVersionUnknown))
	}
}
