package pinner

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

const era = 3

// Streams of the only version were unknown when a second one had come while all routers were down, or
// were joined although another version may have begun them.
func TestStreamInNoLedgerBeganAtBase(t *testing.T) {
	single, both := []RecordedVersion{{Version: "1"}}, []RecordedVersion{{Version: "1"}, {Version: "2"}}
	half := []string{"1", "1", "2", "2"}
	later := start.Add(time.Minute)
	based := func(versions []RecordedVersion) *Record {
		return &Record{Pool: "models", Versions: versions, Base: "1", BaseEra: era}
	}
	anyShare := func(versions []RecordedVersion) *Record {
		r := based(versions)
		r.AnyShare = true
		return r
	}
	for name, test := range map[string]struct {
		record              *Record
		recordRead, logRead time.Time
		fleet               Fleet
		versions            []string
		want                Source
	}{
		"second version recorded":      {based(both), later, later, Fleet{}, half, SourceBase},
		"second version not recorded":  {based(single), later, later, Fleet{}, half, SourceBase},
		"no record":                    {nil, later, later, Fleet{}, half, ""},
		"record of the earlier build":  {&Record{Pool: "models", Versions: both}, later, later, Fleet{}, half, ""},
		"record of an earlier era":     {&Record{Pool: "models", Versions: both, Base: "1", BaseEra: era - 1}, later, later, Fleet{}, half, ""},
		"record read before":           {based(both), start, later, Fleet{}, half, ""},
		"ledger read before":           {based(both), later, start, Fleet{}, half, ""},
		"router of the earlier build":  {based(both), later, later, Fleet{Broken: true}, half, ""},
		"few upstreams have the base":  {based(both), later, later, Fleet{}, []string{"1", "2", "2"}, ""},
		"few, but any share will do":   {anyShare(both), later, later, Fleet{}, []string{"1", "1", "2", "2", "2", "2", "2", "2"}, SourceBase},
		"one in three, any share":      {anyShare(both), later, later, Fleet{}, []string{"1", "2", "3"}, SourceBase},
		"none, but any share will do":  {anyShare(both), later, later, Fleet{}, []string{"2", "3"}, ""},
		"base has left":                {based(both), later, later, Fleet{}, []string{"2"}, ""},
		"a third version has come too": {based(both), later, later, Fleet{}, []string{"1", "1", "2", "3"}, SourceBase},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Pinner{}
			p.SetEra(era)
			p.SetFleet(test.fleet)
			p.Observe(start, tables(test.versions...))
			if test.record != nil {
				p.Apply(start, test.recordRead, *test.record, 1)
			}
			p.LedgerRead(test.logRead)
			p.Learn(later, Report{Key: 2, Mark: markOf("models", "2")}, SourceStore)
			found, err := p.Find(later, later.Add(-time.Second), 1, "models")
			is.Equal(found.Source, test.want)
			is.Equal(err == nil, test.want != "")
			is.True(err == nil || errors.Is(err, kingcuphook.ErrVersionUnknown))
			found, err = p.Find(later, later.Add(-time.Second), 2, "models")
			is.True(err != nil || found.Origin.Version == "2") // the ledger has it
		})
	}
}

// recordAll writes the records that p lacks, as a store would, and returns the last one.
func recordAll(is *is.I, p *Pinner, now time.Time, revision *int64) Record {
	for _, w := range p.Writes(now) {
		*revision++
		p.Apply(now, now, w.Record, *revision)
	}
	is.Equal(len(p.Writes(now)), 0)
	return *p.pools["models"].record
}

// A record named a version as the one of all streams in no ledger while a router may have begun others so.
func TestBaseEndsOnceStreamsMayBeginElsewhere(t *testing.T) {
	half := []string{"1", "1", "2", "2"}
	for name, test := range map[string]struct {
		change func(p *Pinner, now time.Time)
		want   string
	}{
		"second version": {func(p *Pinner, now time.Time) { p.Observe(now, tables(half...)) }, "1"},
		"most have it":   {func(p *Pinner, now time.Time) { p.Observe(now, tables("1", "2", "2")) }, "1"}, // any share will do
		"most, one guards half": {func(p *Pinner, now time.Time) {
			p.Observe(now, tables("1", "2", "2"))
			p.SetFleet(Fleet{All: true, Half: true})
		}, ""},
		"earlier build":   {func(p *Pinner, now time.Time) { p.Observe(now, tables(half...)); p.SetFleet(Fleet{Broken: true}) }, ""},
		"older copy":      {func(p *Pinner, now time.Time) { p.Observe(now, tables(half...)); p.SetEra(era + 1) }, ""},
		"only older copy": {func(p *Pinner, _ time.Time) { p.SetEra(era + 1) }, ""},
		"record lost": {func(p *Pinner, now time.Time) {
			p.Observe(now, tables(half...))
			p.MissingExcept(now, nil)
		}, ""},
		"rewritten by the earlier build": {func(p *Pinner, now time.Time) {
			p.Observe(now, tables(half...))
			p.Apply(now, now, Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}, {Version: "2"}}}, 100)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, revision := &Pinner{}, int64(0)
			p.SetEra(era)
			p.Observe(start, tables("1"))
			is.Equal(recordAll(is, p, start, &revision).Base, "") // not all routers are known to guard it
			p.SetFleet(Fleet{All: true})
			is.Equal(recordAll(is, p, start, &revision).Base, "1")
			test.change(p, start)
			revision = 200
			recordAll(is, p, start.Add(holdFor), &revision)
			is.Equal(p.pools["models"].base(p.era), test.want)
			p.SetFleet(Fleet{All: true})
			recordAll(is, p, start.Add(2*holdFor), &revision)
			is.Equal(p.pools["models"].base(p.era), test.want)
		})
	}
}

// The base was removed for good at a moment in which fewer than half of the upstreams had it, by a late registration or
// amid a release, or streams began elsewhere while the record still named it.
func TestBaseOutlastsItsShare(t *testing.T) {
	few, none := []string{"1", "1", "2", "2", "2", "2", "2", "2"}, []string{"2", "2", "2"}
	timeout := 15 * time.Second
	for name, test := range map[string]struct {
		versions []string
		after    time.Duration
		fleet    Fleet
		want     string
	}{
		"another version has more":  {few, timeout + absentFor - 1, Fleet{All: true}, "1"},
		"for longer than a stream":  {few, timeout + absentFor, Fleet{All: true}, ""},
		"as many have another":      {[]string{"1", "2", "3"}, time.Hour, Fleet{All: true}, "1"},
		"none has it for a moment":  {none, absentFor - 1, Fleet{All: true}, "1"},
		"none has it":               {none, absentFor, Fleet{All: true}, ""},
		"a router that guards half": {few, 0, Fleet{All: true, Half: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, revision := &Pinner{}, int64(0)
			p.SetEra(era)
			p.SetFleet(Fleet{All: true})
			p.Observe(start, tables("1", "1"))
			is.True(recordAll(is, p, start, &revision).AnyShare)
			p.SetFleet(test.fleet)
			p.Observe(start, tables(test.versions...))
			p.RecordsRead(start)
			p.longest = timeout
			version, guarded := p.Guarded(start, "models")
			is.True(guarded && version == "1")
			is.Equal(p.TakesNew("models", "1"), slices.Contains(test.versions, "1"))
			recordAll(is, p, start.Add(test.after), &revision)
			is.Equal(p.pools["models"].base(p.era), test.want)
			_, guarded = p.Guarded(start.Add(test.after), "models")
			is.Equal(guarded, test.want != "")
		})
	}
}

// For five minutes after each release, or after the store had come back from a copy, a pool had no base, so that streams were
// lost with their routers while the store was away, though none from before was under way any more.
func TestBaseIsNamedAgainOnceStreamsFromBeforeHaveEnded(t *testing.T) {
	settled := minRetention + absentFor
	for name, test := range map[string]struct {
		before, after []string
		era           int64
		fleet         Fleet
		wait          time.Duration
		want          string
	}{
		"released":                  {[]string{"1"}, []string{"2"}, era, Fleet{All: true}, settled + 1, "2"},
		"released just before":      {[]string{"1"}, []string{"2"}, era, Fleet{All: true}, settled, ""},
		"not all guard it":          {[]string{"1"}, []string{"2"}, era, Fleet{}, settled + 1, ""},
		"two are left":              {[]string{"1", "2", "3"}, []string{"2", "3"}, era, Fleet{All: true}, time.Hour, ""},
		"older copy":                {[]string{"1"}, []string{"1"}, era + 1, Fleet{All: true}, settled, "1"},
		"older copy just before":    {[]string{"1"}, []string{"1"}, era + 1, Fleet{All: true}, settled - 1, ""},
		"older copy, two versions":  {[]string{"1"}, []string{"1", "2"}, era + 1, Fleet{All: true}, time.Hour, ""},
		"older copy amid a release": {[]string{"1"}, []string{"2"}, era + 1, Fleet{All: true}, settled + 1, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, revision := &Pinner{}, int64(0)
			p.SetEra(era)
			p.SetFleet(Fleet{All: true})
			p.Observe(start, tables(test.before...))
			recordAll(is, p, start, &revision)
			changed := start.Add(time.Minute)
			p.SetEra(test.era)
			p.Observe(changed, tables(test.after...))
			p.SetFleet(test.fleet)
			recordAll(is, p, changed.Add(absentFor), &revision)
			now := changed.Add(test.wait)
			recordAll(is, p, now, &revision)
			is.Equal(p.pools["models"].base(p.era), test.want)
			p.Observe(now, tables(append(test.after, "4")...))
			p.LedgerRead(now)
			found, err := p.Find(now, now.Add(-1), 1, "models")
			is.Equal(found.Origin.Version, test.want)
			is.Equal(err == nil, test.want != "")
		})
	}
}

// A route with a shorter timeout ended streams for the pinner that were still under way.
func TestLongestStreamOutlastsChangeOfRoute(t *testing.T) {
	is := is.New(t)
	with := func(timeout time.Duration) *kingcuphook.Tables {
		return kingcuphook.NewTables(1, []*kingcuphook.Route{kingcuphook.NewRoute(kingcuphook.RouteFields{Name: "r", Timeout: timeout})}, nil)
	}
	p := &Pinner{}
	p.Observe(start, with(time.Minute))
	p.Observe(start.Add(time.Minute), with(time.Second))
	is.Equal(p.longest, time.Minute)
	p.Observe(start.Add(time.Minute+1), with(time.Second))
	is.Equal(p.longest, time.Second)
}

// A router of the earlier build, which doesn't guard the base, was taken for one that does, or one that had ended
// for one of the earlier build.
func TestFleetGuardsBaseIfAllAnnounceIt(t *testing.T) {
	is := is.New(t)
	_, reports, err := Decode(EncodeAnnouncement())
	is.NoErr(err)
	is.True(len(reports) == 1 && reports[0].Announced() == GuardAny)
	is.Equal(Report{Key: announceKey, Mark: announceKey}.Announced(), GuardHalf)
	is.Equal(Report{Key: 1, Mark: announceAnyMark}.Announced(), GuardNone)
	one, other := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	var a Announcements
	seen := map[netip.Addr]time.Time{one: start}
	hear := func(router netip.Addr, from time.Time, digests int) (until time.Time) {
		for n := range digests {
			until = from.Add(time.Duration(n) * 300 * time.Millisecond)
			a.Heard(until, router)
		}
		return until
	}
	is.Equal(a.Judge(start, nil), Fleet{All: true})
	is.Equal(a.Judge(start, seen), Fleet{}) // it has just come
	a.Received(start, one, GuardAny)
	is.Equal(a.Judge(start, seen), Fleet{All: true}) // also if it has ended
	now := hear(one, start, maxUnannounced)
	is.Equal(a.Judge(now, seen), Fleet{Broken: true, Odd: one}) // its build was replaced
	a.Received(now, one, GuardAny)
	is.Equal(a.Judge(now, seen), Fleet{All: true})
	seen[other] = now
	hear(other, now, 1)
	is.Equal(a.Judge(now, seen), Fleet{})
	now = hear(other, now, maxUnannounced)
	is.Equal(a.Judge(now, seen), Fleet{Broken: true, Odd: other})
	a.Received(now, other, GuardHalf)
	is.Equal(a.Judge(now, seen), Fleet{All: true, Half: true})
	delete(seen, other)
	is.Equal(a.Judge(now.Add(horizon), seen), Fleet{All: true, Half: true}) // it has ended
	is.Equal(a.Judge(now.Add(horizon+1), seen), Fleet{All: true})
	for n := range 100 {
		seen[netip.AddrFrom4([4]byte{10, 0, 0, byte(n)})] = start
	}
	is.Equal(a.Judge(now, seen).Large, true) // the ledger has streams late
}

// The base of a pool was removed, and the streams of its version with it, since announcements of routers were lost while
// other datagrams of theirs came, or came only at other routers.
func TestLostAnnouncementsDoNotEndBase(t *testing.T) {
	router := netip.MustParseAddr("127.0.0.1")
	const digestInterval = 300 * time.Millisecond
	for name, test := range map[string]struct {
		keepOneIn int
		direct    bool
	}{
		"nothing lost":      {1, true},
		"half lost":         {2, true},
		"four of five lost": {5, true},
		"told by others":    {1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(7, uint64(test.keepOneIn)))
			var a Announcements
			announced := start
			for now := start; now.Before(start.Add(horizon)); now = now.Add(digestInterval) {
				if test.direct && rng.IntN(test.keepOneIn) == 0 {
					a.Heard(now, router)
				}
				if now.Sub(announced) >= AnnounceInterval {
					announced = now
					if test.direct && rng.IntN(test.keepOneIn) == 0 {
						a.Received(now, router, GuardAny)
					}
				}
				is.True(!a.Judge(now, map[netip.Addr]time.Time{router: now}).Broken)
			}
		})
	}
}

// Streams went out at another version than the base that the ledger lacked, or lost to a late write.
func TestLedgerKeepsStreamsOfOtherVersions(t *testing.T) {
	is := is.New(t)
	p := fresh(start, []RecordedVersion{{Version: "1"}}, "1", "2")
	version, guarded := p.Guarded(start.Add(time.Hour), "models") // recorded or not
	is.True(guarded && version == "1")
	p.RecordsRead(start)
	p.Observe(start, tables("1", "2", "2"))
	_, guarded = p.Guarded(start, "models")
	is.True(!guarded)
	now := start.Add(time.Second)
	p.Observe(now, tables("2", "2", "3")) // version 2 may be the base by now
	version, guarded = p.Guarded(now, "models")
	is.True(guarded && version == "2")
	is.Equal(p.UnreadPools(), []string{"models"})
	p.RecordsRead(now)
	_, guarded = p.Guarded(now, "models")
	is.True(!guarded && len(p.UnreadPools()) == 0)
	numbers := make([]int, 0, segments)
	for key := range uint64(segments) {
		p.Begun(start, key, "models", "2")
		s, ok := p.NextSegment(start, 8)
		is.True(ok)
		numbers = append(numbers, s.Number)
		p.Seal() // the write failed
	}
	is.Equal(numbers, []int{0, 1, 2, 3, 4, 5, 6, 7})
	is.True(MayBeOverwritten("streams/a/b/7") && !MayBeOverwritten("streams/a/b/6"))

	var pacer Pacer
	is.True(pacer.CanGuard(start))
	pacer.Begin(start, 8)
	is.True(!pacer.CanGuard(start.Add(MaxHold + 1)))
	pacer.End(start, false)
	is.True(!pacer.CanGuard(start))
	pacer.End(start, true)
	is.True(pacer.CanGuard(start))
	pacer.Begin(start, 8)
	pacer.End(start.Add(MaxGuard/2+1), true)
	is.True(!pacer.CanGuard(start)) // the store is slow
}

// A router that knew no record of a pool didn't read the one that had been written since, and began streams
// beside its base that the ledger didn't have.
func TestRouterWithoutRecordReadsItOnceVersionsAreMixed(t *testing.T) {
	for _, hasRead := range []bool{true, false} {
		is := is.New(t)
		p := &Pinner{}
		p.SetEra(era)
		if hasRead {
			p.RecordsRead(start) // there was none
		}
		p.Observe(start, tables("1", "1"))
		p.SetFleet(Fleet{All: true})
		now := start.Add(time.Minute)
		p.Observe(now, tables("1", "2"))
		is.Equal(p.UnreadPools(), []string{"models"})
		version, guarded := p.Guarded(now, "models")
		is.True(guarded && version == "1")
		p.RecordsRead(now) // there is none
		_, guarded = p.Guarded(now, "models")
		is.True(!guarded && len(p.UnreadPools()) == 0)
	}
}

// Streams of versions that came together began at each of them, in no ledger, before the record of the pool, so that it
// could name none as that of all of them; or a later record did that could not know.
func TestFirstRecordNamesBaseOfVersionsThatCameTogether(t *testing.T) {
	for name, test := range map[string]struct {
		era      int64
		versions [][]string // in the tables, 1 s apart
		fleet    Fleet
		lost     bool
		want     string
	}{
		"two":                     {firstEra, [][]string{{"1", "2"}}, Fleet{}, false, "1"},
		"most have it":            {firstEra, [][]string{{"1", "2", "2"}}, Fleet{}, false, "2"},
		"three":                   {firstEra, [][]string{{"1", "2", "3"}}, Fleet{}, false, "1"},
		"another one later":       {firstEra, [][]string{{"1", "2"}, {"1", "2", "3", "3", "3"}}, Fleet{}, false, "1"},
		"one, then another one":   {firstEra, [][]string{{"2"}, {"1", "1", "2"}}, Fleet{}, false, "2"},
		"it has left":             {firstEra, [][]string{{"1", "2"}, {"2"}}, Fleet{}, false, "2"},
		"large fleet":             {firstEra, [][]string{{"1", "2"}}, Fleet{Large: true}, false, "1"},
		"later era":               {firstEra + 1, [][]string{{"1", "2"}}, Fleet{}, false, ""},
		"router of earlier build": {firstEra, [][]string{{"1", "2"}}, Fleet{Broken: true}, false, ""},
		"record lost":             {firstEra, [][]string{{"1", "2"}}, Fleet{}, true, ""},
		"no version has a name":   {firstEra, [][]string{{""}}, Fleet{}, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Pinner{}
			p.SetEra(test.era)
			p.SetFleet(test.fleet)
			now := start
			for n, versions := range test.versions {
				now = start.Add(time.Duration(n) * time.Second)
				p.Observe(now, tables(versions...))
			}
			p.RecordsRead(now)
			if test.lost {
				p.Apply(now, now, Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}, {Version: "2"}}}, 1)
				p.MissingExcept(now, nil)
			}
			version, guarded := p.Guarded(now, "models")
			is.Equal(guarded, test.want != "" && p.IsMixed("models"))
			is.True(!guarded || version == test.want)
			writes := p.Writes(now)
			is.Equal(len(writes), 1)
			is.Equal(writes[0].Record.Base, test.want)
			is.Equal(writes[0].Record.AnyShare, test.want != "")
			is.Equal(writes[0].Gap == GapNone, test.want != "")
			is.Equal(writes[0].Replacing(7).Record.Base, "")
		})
	}
}

// Streams began in a new pool before its record, so that a fleet which had not seen them named another version; or were held
// up where none is to come.
func TestStreamsAwaitFirstRecord(t *testing.T) {
	is := is.New(t)
	route := func(f kingcuphook.RouteFields) *kingcuphook.Tables {
		f.Name, f.Pool = "route", "models"
		return kingcuphook.NewTables(1, []*kingcuphook.Route{kingcuphook.NewRoute(f)}, tables("1", "2").Pools())
	}
	stream := route(kingcuphook.RouteFields{Stream: true, Resumable: true})
	p := &Pinner{}
	is.True(!p.AwaitsRecord(start, "models")) // there is no such pool
	p.Observe(start, stream)
	is.True(p.AwaitsRecord(start, "models") && p.AwaitsRecords(start))
	is.True(!p.AwaitsRecords(start.Add(maxAwait)))
	p.Apply(start, start, Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}}}, 1)
	is.True(!p.AwaitsRecord(start, "models") && !p.AwaitsRecords(start))
	other := &Pinner{}
	other.Observe(start, route(kingcuphook.RouteFields{Stream: true}))
	is.True(!other.AwaitsRecords(start)) // none may be resumed
	other.SetEra(firstEra + 1)
	other.Observe(start, stream)
	is.True(!other.AwaitsRecords(start)) // the first record names nothing
}

// A stream that was queued for the ledger, and then began elsewhere or not at all, was taken for one of the version
// it was queued for.
func TestQueuedStreamBeginsAtAnyVersion(t *testing.T) {
	first, second, queued := markOf("models", "1"), markOf("models", "2"), uint64(tentative)
	for name, test := range map[string]struct {
		segments []uint64
		want     string
	}{
		"not begun":                    {[]uint64{queued}, ""},
		"begun at the base":            {[]uint64{queued, first}, "1"},
		"begun, older segment is late": {[]uint64{second, queued}, "2"},
		"begun at two":                 {[]uint64{queued, first, second}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := fresh(start, nil, "1", "2")
			p.Apply(start, start, Record{Pool: "models", Versions: []RecordedVersion{{Version: "1"}, {Version: "2"}}, Base: "1"}, 1)
			p.LedgerRead(start)
			for _, mark := range test.segments {
				p.Learn(start, Report{Key: 7, Mark: mark}, SourceStore)
			}
			found, err := p.Find(start, start.Add(-time.Second), 7, "models")
			is.Equal(found.Origin.Version, test.want)
			is.Equal(errors.Is(err, kingcuphook.ErrVersionUnknown), test.want == "")
		})
	}
	t.Run("own", func(t *testing.T) {
		is := is.New(t)
		p := fresh(start, nil, "1", "2")
		is.True(p.Queue(start, 7))
		segment, ok := p.NextSegment(start, 3)
		is.True(ok)
		reports, err := DecodeSegment(segment.Value)
		is.NoErr(err)
		is.Equal(reports, []Report{{Key: 7, Mark: tentative}})
		is.Equal(len(p.Known(start, []uint64{7})), 0)
		_, err = p.Find(start, start, 7, "models")
		is.True(errors.Is(err, kingcuphook.ErrVersionUnknown))
		is.True(p.Begun(start, 7, "models", "2"))
		is.True(!p.Queue(start, 7))
		p.Learn(start, reports[0], SourceStore)
		found, err := p.Find(start, start, 7, "models")
		is.NoErr(err)
		is.Equal(found.Origin.Version, "2")
	})
}
