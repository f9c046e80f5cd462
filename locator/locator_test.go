package locator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var (
	start   = time.Unix(1_000, 0)
	regions = []string{"cairo", "alex", "upper"}
)

// pool returns engines in each region.
func pool(each int) *kingcuphook.Pool {
	var f kingcuphook.PoolFields
	for _, region := range regions {
		for i := range each {
			f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
				Address: fmt.Sprintf("%s-%d", region, i), Instance: fmt.Sprintf("i-%s-%d", region, i),
				Region: region, DataCentre: region, Kind: kingcuphook.UpstreamKindEngine, Slots: 64,
			}))
		}
	}
	return kingcuphook.NewPool(f)
}

func newLocator(region string, p *kingcuphook.Pool) *Locator {
	l := &Locator{Region: region, DataCentre: region}
	l.Update(start, p)
	return l
}

// letter is a long prompt with a large shared part of the thing; answer is a short
// one whose stream has a tight target for pauses.
func letter(id string, thing uint64) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: id, Class: "letter", Tier: 3, Target: 2500 * time.Millisecond, TokenTarget: 1500 * time.Millisecond, Stream: true,
		PromptTokens: 12_000, Bytes: 12_000, Prefix: []uint64{1, 1000 + thing, hash(id)}, PrefixTokens: []int{512, 5382, 12_000},
	})
}

func answer(id string, thing uint64) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: id, Class: "answer", Tier: 1, Target: 500 * time.Millisecond, TokenTarget: 400 * time.Millisecond, Stream: true,
		PromptTokens: 826, Bytes: 830, Prefix: []uint64{2, 9000 + thing, hash(id)}, PrefixTokens: []int{119, 198, 826},
	})
}

func hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

func choose(t *testing.T, l *Locator, now time.Time, r *kingcuphook.Request, excluded ...string) string {
	t.Helper()
	c, err := l.Select(now, r, excluded)
	if err != nil || c.Upstream == nil {
		t.Fatalf("no choice: %v", err)
	}
	return c.Upstream.Address()
}

func TestRoutersAgreeOnHomes(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	homes := make(map[string]bool)
	for thing := range uint64(50) {
		first := ""
		for _, region := range regions {
			at := choose(t, newLocator(region, p), start.Add(time.Minute), letter("r", thing))
			if first == "" {
				first = at
			}
			is.Equal(at, first) // without having told one another
		}
		homes[first] = true
	}
	is.True(len(homes) >= 7) // of the nine that are not kept quiet
}

func TestStreamsWithTightPausesGoToQuietUpstreams(t *testing.T) {
	is := is.New(t)
	l := newLocator("cairo", pool(4))
	for thing := range uint64(50) {
		is.True(!l.byAddress[choose(t, l, start, letter("r", thing))].quiet)
		at := l.byAddress[choose(t, l, start, answer("r", thing))]
		is.True(at.quiet)
		is.Equal(at.row.Region(), "cairo") // its shared part is not worth the way
	}
}

func TestGoesElsewhereAfterAFailure(t *testing.T) {
	is := is.New(t)
	l := newLocator("cairo", pool(4))
	r := letter("r", 1)
	home := choose(t, l, start, r)
	second := choose(t, l, start, r, home)
	is.True(second != home)
	for range 3 {
		l.Started(start, home, r)
		l.Finished(start, home, r, kingcuphook.Sample{Failed: true})
	}
	is.Equal(choose(t, l, start, r), second)
	is.Equal(choose(t, l, start.Add(failureFade), r), home) // the failure has faded

	// An upstream that answers with errors of its own is well.
	l.Started(start, home, r)
	l.Finished(start.Add(failureFade), home, r, kingcuphook.Sample{Failed: true, Answered: true})
	is.Equal(choose(t, l, start.Add(failureFade), r), home)
}

func TestUpstreamThatLostItsAddressGetsNothing(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	l := newLocator("cairo", p)
	r := letter("r", 1)
	home := choose(t, l, start, r)
	l.Started(start, home, r)
	l.Finished(start, home, r, kingcuphook.Sample{Failed: true, Displaced: true})
	is.True(choose(t, l, start.Add(time.Hour), r) != home)
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	l := newLocator("cairo", p)
	r := letter("r", 1)
	home := choose(t, l, start, r)
	f := p.Fields()
	for i, u := range f.Upstreams {
		if u.Address() == home {
			leaving := u.Fields()
			leaving.Leaving = true
			f.Upstreams[i] = kingcuphook.NewUpstream(leaving)
		}
	}
	l.Update(start, kingcuphook.NewPool(f))
	is.True(choose(t, l, start, r) != home)
}

func TestCountsWhatOthersRun(t *testing.T) {
	is := is.New(t)
	l := newLocator("cairo", pool(4))
	r := letter("r", 1)
	home := choose(t, l, start, r)
	l.Report(start, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: home, Made: start, Running: 64, QueuedTokens: 300_000}))
	is.True(choose(t, l, start, r) != home)
	l.Report(start, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: home, Made: start}))
	is.Equal(choose(t, l, start, r), home)
}

// The second home of a shared part, or any other upstream, copies it from the first.
func TestCopiesFromWhereThePartIsKept(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	l := newLocator("cairo", p)
	now := start.Add(time.Minute)
	home := choose(t, l, now, letter("a", 1))
	c, err := l.Select(now, letter("b", 1), []string{home})
	is.NoErr(err)
	is.Equal(c.CopyFrom, home) // the home has it
	l.Started(now, c.Upstream.Address(), letter("b", 1))
	back, err := l.Select(now, letter("c", 1), []string{c.Upstream.Address()})
	is.NoErr(err)
	is.Equal(back.Upstream.Address(), home)
	is.Equal(back.CopyFrom, c.Upstream.Address()) // should the home have lost it
	l.Started(now, home, letter("d", 1))
	l.Finished(now, home, letter("d", 1), kingcuphook.Sample{Failed: true})
	other, err := l.Select(now, letter("e", 1), []string{home, c.Upstream.Address()})
	is.NoErr(err)
	is.Equal(other.CopyFrom, c.Upstream.Address()) // the home has just failed

	rows := p.Fields()
	for i, u := range rows.Upstreams {
		f := u.Fields()
		f.Leaving = f.Address == c.Upstream.Address()
		rows.Upstreams[i] = kingcuphook.NewUpstream(f)
	}
	l.Update(start, kingcuphook.NewPool(rows))
	leaving, err := l.SelectUsable(start.Add(time.Second), letter("4", 7), nil, func(a string) bool { return a != home })
	is.NoErr(err)
	is.True(leaving.CopyFrom != c.Upstream.Address()) // nothing is copied from an upstream that leaves
}

func TestNoUpstream(t *testing.T) {
	is := is.New(t)
	l := newLocator("cairo", kingcuphook.NewPool(kingcuphook.PoolFields{}))
	_, err := l.Select(start, letter("r", 1), nil)
	is.True(err != nil)
	l = newLocator("cairo", pool(1))
	c, err := l.SelectUsable(start, letter("r", 1), nil, func(string) bool { return false })
	is.NoErr(err)
	is.True(c.Upstream == nil) // it can wait
}

func BenchmarkSelect(b *testing.B) {
	l := newLocator("cairo", pool(40))
	requests := make([]*kingcuphook.Request, 64)
	for i := range requests {
		requests[i] = letter(fmt.Sprint(i), uint64(i))
	}
	usable := func(string) bool { return true }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := l.SelectUsable(start, requests[i%len(requests)], nil, usable); err != nil {
			b.Fatal(err)
		}
	}
}

// TestNoClassStarves asks for an upstream for answers that take longer than they are
// given, while others are on every upstream.
func TestNoClassStarves(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	l := newLocator("cairo", p)
	slow := func(id string) *kingcuphook.Request {
		return kingcuphook.NewRequest(kingcuphook.RequestFields{
			ID: id, Class: "report", Stream: true, PromptTokens: 500, Arrived: start, Deadline: start.Add(time.Second),
		})
	}
	for i := range 50 { // each takes 10 s
		at := choose(t, l, start, slow(fmt.Sprint("s", i)))
		l.Started(start, at, slow(fmt.Sprint("s", i)))
		l.Progress(start.Add(50*time.Millisecond), at, slow(fmt.Sprint("s", i)), 1)
		l.Finished(start.Add(10*time.Second), at, slow(fmt.Sprint("s", i)), kingcuphook.Sample{Tokens: 100, TokenGap: 100 * time.Millisecond})
	}
	for _, u := range p.Upstreams() {
		r := answer("a-"+u.Address(), 1)
		l.Started(start, u.Address(), r)
	}
	choose(t, l, start.Add(20*time.Second), slow("last"))
	_, err := l.Select(start, slow("last"), nil)
	is.NoErr(err)
}

// TestClosedHomesDontSendAllToOne fills the homes of many shared parts, and looks how
// routers that know the same spread the long prompts that come then.
func TestClosedHomesDontSendAllToOne(t *testing.T) {
	p := pool(20)
	l := newLocator("cairo", p)
	for i, u := range p.Upstreams() {
		running := 60
		if i%6 == 0 {
			running = 1 // these look free
		}
		l.Report(start, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: u.Address(), Made: start, Running: running}))
	}
	chosen := make(map[string]int)
	for thing := range uint64(200) {
		c, err := l.Select(start, letter(fmt.Sprint("l", thing), thing), nil)
		if err == nil && c.Upstream != nil {
			chosen[c.Upstream.Address()]++
		}
	}
	for at, n := range chosen {
		if n > 200/5 {
			t.Errorf("%d of 200 long prompts go to %s", n, at)
		}
	}
}
