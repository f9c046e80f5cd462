package limiter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

const address = "10.0.0.1:80"

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func request(id string) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{ID: id, Tier: 1, Target: time.Second, TokenTarget: 50 * time.Millisecond})
}

func report(made time.Time, running, queued int) kingcuphook.LoadReport {
	return kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: address, Made: made, Running: running, Queued: queued})
}

func pool(slots int) *kingcuphook.Pool {
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: address, Slots: slots})
	return kingcuphook.NewPool(kingcuphook.PoolFields{Name: "pool", Upstreams: []*kingcuphook.Upstream{u}})
}

// newLimiters returns the limiters of n routers that share one upstream.
func newLimiters(n, slots int) []*Limiter {
	ls := make([]*Limiter, n)
	for i := range ls {
		ls[i] = &Limiter{}
		ls[i].SetRouterIndex(i, n)
		ls[i].Update(start, pool(slots))
	}
	return ls
}

func TestOneFreeSlotIsTakenByOneRouter(t *testing.T) {
	is := is.New(t)
	// Each of 8 routers has 2 requests in flight, so one of 17 slots is free.
	takers := map[int]int{}
	for second := range 400 {
		ls := newLimiters(8, 17)
		free := 0
		for i, l := range ls {
			for n := range 2 {
				l.Started(start, address, request(fmt.Sprint(i, n)))
			}
			l.Report(start.Add(5*time.Second), report(start.Add(time.Duration(second)*time.Second), 16, 0))
			if l.Free(start.Add(time.Duration(second)*time.Second), address, 1) > 0 {
				free++
				takers[i]++
			}
		}
		is.Equal(free, 1)
	}
	for i := range 8 {
		is.True(takers[i] >= 10) // The free slot rotates among the routers.
	}
}

func TestOldReportIsCorrectedForOwnRequests(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 10)[0]
	for i := range 4 {
		l.Started(start, address, request(fmt.Sprint(i)))
	}
	now := start.Add(2 * time.Second)
	for i := range 3 {
		l.Started(now, address, request(fmt.Sprint("new", i)))
	}
	l.Finished(now, address, request("0"), kingcuphook.Sample{Cancelled: true})
	// At the time of the report 4 requests were in flight here and 2 elsewhere; now
	// 6 are in flight here.
	l.Report(now, report(start.Add(time.Second), 6, 0))
	is.Equal(l.Free(now, address, 1), 2)
}

func TestLowerTiersLeaveHeadroom(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 20)[0]
	l.Report(start, report(start, 10, 0))
	is.Equal(l.Free(start, address, 1), 10)
	is.Equal(l.Free(start, address, 3), 2)
	is.Equal(l.Free(start, address, 5), 0)
}

func TestEqualShareWithoutReports(t *testing.T) {
	is := is.New(t)
	l := newLimiters(8, 32)[0]
	is.Equal(l.Free(start, address, 1), 4)
	l.Report(start, report(start, 0, 0))
	is.Equal(l.Free(start.Add(4*time.Second), address, 1), 4)
	// Other routers exceed the limit; this one gets its equal share and no more.
	l.Report(start, report(start.Add(time.Millisecond), 40, 0))
	is.Equal(l.Free(start.Add(4*time.Second), address, 1), 4)
	is.Equal(l.Free(start.Add(6*time.Second), address, 1), 4)
	is.Equal(newLimiters(100, 8)[0].Free(start, address, 5), 1)
}

func TestLimitShrinksWhenTokensComeSlowly(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 100)[0]
	now := start
	for i := range 20 {
		r := request(fmt.Sprint(i))
		l.Started(now, address, r)
		now = now.Add(time.Second)
		l.Finished(now, address, r, kingcuphook.Sample{FirstToken: 100 * time.Millisecond, TokenGap: 80 * time.Millisecond})
	}
	is.True(l.Limit(address) < 20)
	is.True(l.Limit(address) >= minLimit)
}

func TestLimitGrowsOnlyWhenItIsUsed(t *testing.T) {
	is := is.New(t)
	for _, running := range []int{1, 8} {
		l := newLimiters(1, 0)[0]
		for i := range running - 1 {
			l.Started(start, address, request(fmt.Sprint("other", i)))
		}
		now := start
		for i := range 200 {
			r := request(fmt.Sprint(i))
			l.Started(now, address, r)
			now = now.Add(time.Second)
			l.Finished(now, address, r, kingcuphook.Sample{FirstToken: 100 * time.Millisecond, TokenGap: 20 * time.Millisecond})
		}
		is.Equal(l.Limit(address) > defaultSlots, running == 8)
	}
}

func TestLimitFollowsTheTokenGapsInFlight(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 40)[0]
	loose := kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "loose", Tier: 5, TokenTarget: 200 * time.Millisecond})
	l.Started(start, address, loose)
	now := start
	token := 0
	stream := func(r *kingcuphook.Request, gap, d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(gap) {
			token++
			l.Progress(now, address, r, token)
		}
	}
	// 80 ms between tokens are well within the target of the only request.
	stream(loose, 80*time.Millisecond, 20*time.Second)
	is.Equal(l.Limit(address), 40.0)
	// They exceed the target of another request, which holds for a while.
	l.Started(now, address, request("tight"))
	l.Progress(now, address, request("tight"), 1)
	stream(loose, 80*time.Millisecond, 5*time.Second)
	is.True(l.Limit(address) < 30)
	// The limit grows again only while it is used up.
	was := l.Limit(address)
	stream(loose, 80*time.Millisecond, 2*tightestTTL)
	is.True(l.Limit(address) <= was)
	was = l.Limit(address)
	for i := range 40 {
		l.Started(now, address, request(fmt.Sprint(i)))
	}
	stream(loose, 80*time.Millisecond, 2*time.Second)
	is.True(l.Limit(address) > was)
}

func TestOneSlowPeriodCountsOnce(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 40)[0]
	for i := range 20 {
		r := request(fmt.Sprint(i))
		l.Started(start, address, r)
		l.Progress(start, address, r, 1)
		l.Progress(start.Add(time.Minute), address, r, 1+minTokensPerSample)
	}
	is.True(l.Limit(address) >= 40*(1-gapGain*maxGapError))
	is.True(l.Limit(address) < 40)
}

func TestLimitFollowsRunningRequestsOfQueueingUpstream(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 64)[0]
	for i := range 30 {
		l.Report(start, report(start.Add(time.Duration(i)*time.Second), 12, 20))
	}
	is.True(l.Limit(address) < 14)
}

func TestUpdateDeletesRemovedUpstreams(t *testing.T) {
	is := is.New(t)
	l := newLimiters(1, 4)[0]
	empty := kingcuphook.NewPool(kingcuphook.PoolFields{})
	l.Started(start, address, request("a"))
	l.Update(start, empty)
	is.Equal(l.InFlight(address), 1)
	l.Finished(start, address, request("a"), kingcuphook.Sample{})
	l.Update(start, empty)
	is.Equal(len(l.upstreams), 0)
}

// completion is the end of a simulated request of a router.
type completion struct {
	at     time.Time
	id     string
	router int
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate runs routers that share one upstream of 16 slots for 120 s. Those with
// demand send as many requests as they may. Load reports are made every second and
// arrive with a delay of late. It returns the mean and the highest number of
// requests in flight after the first 20 s.
func simulate(ls []*Limiter, demand func(tick int) int, late time.Duration) (mean float64, highest int) {
	rng := rand.New(rand.NewPCG(1, 2))
	var running completionHeap
	var reports []kingcuphook.LoadReport
	id, sum, n := 0, 0, 0
	for tick := range 6000 {
		now := start.Add(time.Duration(tick) * 20 * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(completion)
			ls[e.router].Finished(now, address, request(e.id), kingcuphook.Sample{FirstToken: 50 * time.Millisecond, TokenGap: 10 * time.Millisecond})
		}
		if tick%50 == 0 {
			reports = append(reports, report(now, min(len(running), 16), max(len(running)-16, 0)))
		}
		for len(reports) > 0 && !reports[0].Made().Add(late).After(now) {
			for _, l := range ls {
				l.Report(now, reports[0])
			}
			reports = reports[1:]
		}
		for i, l := range ls[:demand(tick)] {
			for l.Free(now, address, 1) > 0 {
				id++
				l.Started(now, address, request(fmt.Sprint(id)))
				heap.Push(&running, completion{now.Add(time.Duration(rng.ExpFloat64() * float64(4*time.Second))), fmt.Sprint(id), i})
			}
		}
		if tick > 1000 {
			sum += len(running)
			n++
			highest = max(highest, len(running))
		}
	}
	return float64(sum) / float64(n), highest
}

// TestRoutersShareAnUpstream covers 8 routers of which 8, 4 or 1 have unlimited
// demand, and load reports that arrive at once, 2 s or 4 s late. The excess over
// the limit is at most a quarter of it, or half with reports 4 s late.
func TestRoutersShareAnUpstream(t *testing.T) {
	is := is.New(t)
	for _, late := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		for demand, lowest := range map[int]float64{8: 0.9, 4: 0.75, 1: 0.6} {
			mean, highest := simulate(newLimiters(8, 16), func(int) int { return demand }, late)
			t.Logf("reports %v late, %d routers with demand: mean %.1f, highest %d of 16 in flight", late, demand, mean, highest)
			is.True(mean >= lowest*16)
			if late <= 2*time.Second {
				is.True(highest <= 16+16/4)
			}
			is.True(highest <= 16+16/2)
		}
	}
}

// TestLateRouterGetsItsShare covers 7 routers that fill the upstream
// before the eighth has any demand: it must get at least half of an equal share.
func TestLateRouterGetsItsShare(t *testing.T) {
	is := is.New(t)
	ls := newLimiters(8, 16)
	held, samples := 0, 0
	demand := func(tick int) int {
		if tick < 3000 {
			return 7
		}
		if tick > 4000 {
			held += ls[7].InFlight(address)
			samples++
		}
		return 8
	}
	simulate(ls, demand, 2*time.Second)
	mean := float64(held) / float64(samples)
	t.Logf("the last router has %.2f requests in flight on average, an equal share is 2", mean)
	is.True(mean >= 1)
}
