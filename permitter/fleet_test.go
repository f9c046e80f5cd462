package permitter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	step        = 10 * time.Millisecond
	linkDelay   = 30 * time.Millisecond
	answerDelay = 100 * time.Millisecond
	// maxControlBytes is what a router may send a second for control.
	maxControlBytes = 3 << 10
)

// fleet simulates routers that send requests to one upstream, which announces a limit.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	program kingcuphook.Program
	routers []*simulated
	// unreachable reports whether a message between two routers is lost.
	unreachable func(from, to *simulated) bool
	// loss is the share of messages between routers that are lost.
	loss float64
	// announced returns the limit that the n-th reply announces.
	announced func(n int) kingcuphook.RateLimit
	// requests is the rate of requests over all routers.
	requests float64
	replies  int
	events   []event
	arrivals []arrival
}

// simulated is one router of a fleet.
type simulated struct {
	*Permitter

	address string
	down    bool
	// told is when the router first passed on a reply with a limit; zero if it has not.
	told time.Time
	// bytes counts what it sent to other routers.
	bytes int
}

type event struct {
	at time.Time
	do func()
}

type arrival struct {
	at     time.Time
	router *simulated
}

func newFleet(t *testing.T, seed uint64, n int, requests float64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_700_000_000, 0),
		program: program("i-1"), requests: requests,
	}
	for i := range n {
		address := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
		f.routers = append(f.routers, &simulated{Permitter: &Permitter{Self: address}, address: address})
	}
	f.meet()
	f.run(settleTime)
	return f
}

// announce makes all further replies announce a limit.
func (f *fleet) announce(perSecond float64) {
	f.announced = func(int) kingcuphook.RateLimit { return kingcuphook.NewRateLimit(perSecond) }
}

// meet makes all routers know those that are up.
func (f *fleet) meet() {
	for _, r := range f.routers {
		r.SetRouters(f.now, f.known(r))
	}
}

func (f *fleet) known(r *simulated) []string {
	var others []string
	for _, other := range f.routers {
		if other != r && !other.down {
			others = append(others, other.address)
		}
	}
	return others
}

// after schedules an event.
func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now.Add(d), do})
}

func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(step) {
		due := f.events
		f.events = nil
		for _, e := range due {
			if e.at.After(f.now) {
				f.events = append(f.events, e)
				continue
			}
			e.do()
		}
		for _, r := range f.routers {
			f.stepRouter(r)
		}
	}
}

func (f *fleet) stepRouter(r *simulated) {
	if r.down {
		return
	}
	for n := f.requests * step.Seconds() / float64(len(f.routers)); f.rng.Float64() < n; n-- {
		f.request(r)
	}
	for _, m := range r.Messages(f.now) {
		f.send(r, m.To, m.Payload)
	}
}

func (f *fleet) request(r *simulated) {
	if !r.Acquire(f.now, f.program, 1) {
		return
	}
	sentAt := f.now
	f.after(linkDelay, func() {
		f.arrivals = append(f.arrivals, arrival{f.now, r})
		f.replies++
		announced := kingcuphook.RateLimit{}
		if f.announced != nil {
			announced = f.announced(f.replies)
		}
		f.after(answerDelay, func() {
			if announced.IsSet() && r.told.IsZero() {
				r.told = f.now
			}
			r.Observe(f.now, f.program, announced, sentAt)
		})
	})
}

func (f *fleet) send(from *simulated, to string, payload []byte) {
	from.bytes += datagramBytes + len(payload)
	if f.rng.Float64() < f.loss {
		return
	}
	f.after(linkDelay, func() {
		i := slices.IndexFunc(f.routers, func(r *simulated) bool { return r.address == to })
		if f.routers[i].down || from.down || f.unreachable != nil && f.unreachable(from, f.routers[i]) {
			return
		}
		reply, _, err := f.routers[i].Receive(f.now, from.address, payload)
		if err != nil {
			f.t.Error(err)
		}
		if reply != nil {
			f.send(f.routers[i], from.address, reply)
		}
	})
}

// most returns the largest number of calls in a window since a time, from routers that had
// passed on a limited reply at least standin.RateLimitDelay before.
func (f *fleet) most(since time.Time) int {
	var times []time.Time
	for _, a := range f.arrivals {
		if a.at.After(since) && !a.router.told.IsZero() && a.at.Sub(a.router.told) >= standin.RateLimitDelay {
			times = append(times, a.at)
		}
	}
	return standin.MostCalls(times)
}

// arrived returns the number of calls since a time.
func (f *fleet) arrived(since time.Time) int {
	n := 0
	for _, a := range f.arrivals {
		if a.at.After(since) {
			n++
		}
	}
	return n
}

// checkWindows fails the test if a window since a time has more calls than allowed.
func (f *fleet) checkWindows(since time.Time, perSecond float64) {
	f.t.Helper()
	if most, allowed := f.most(since), standin.AllowedCalls(perSecond); most > allowed {
		f.t.Errorf("limit %v, %d routers: %d calls in a window, %d are allowed", perSecond, len(f.routers), most, allowed)
	}
}

// The routers of a fleet of any size together keep a limit, and use at least half of it.
func TestFleetKeepsAndUsesLimit(t *testing.T) {
	all, some := []float64{0, 0.1, 0.5, 1, 4, 40, 10_000}, []float64{0.5, 10_000}
	for routers, limits := range map[int][]float64{1: all, 8: all, 30: all, 300: all, 1103: some} {
		for _, perSecond := range limits {
			t.Run(fmt.Sprintf("%d/%v", routers, perSecond), func(t *testing.T) {
				t.Parallel()
				const requests = 200
				f := newFleet(t, 1, routers, requests)
				start := f.now
				f.announce(perSecond)
				f.run(5 * time.Second)
				loaded := f.now
				for _, r := range f.routers {
					r.bytes = 0
				}
				f.run(20 * time.Second)
				f.checkWindows(start, perSecond)
				used := float64(f.arrived(loaded)) / 20
				control := slices.MaxFunc(f.routers, func(a, b *simulated) int { return a.bytes - b.bytes }).bytes / 20
				t.Logf("%d routers, limit %v: %.2f calls a second, at most %d bytes a second from a router", routers, perSecond, used, control)
				if control > maxControlBytes {
					t.Errorf("%d bytes a second from a router, %d are allowed", control, maxControlBytes)
				}
				if wanted := min(perSecond, requests) / 2; used < wanted {
					t.Errorf("%.2f calls a second, want at least %.2f", used, wanted)
				}
			})
		}
	}
}
