package attacher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform/standin"
	"github.com/kingcuphook/kingcuphook/timekeeper"
)

const (
	// A cut lasts cutTime. A router has noticed it after cutNoticed, and its end after
	// healNoticed.
	cutTime     = 4 * time.Second
	cutNoticed  = 2 * time.Second
	healNoticed = time.Second
	// calledBefore and calledAfter are how long calls are sent before a cut, and after its end
	// was noticed.
	calledBefore = 500 * time.Millisecond
	calledAfter  = 800 * time.Millisecond
	// callInterval is the time between two calls of one kind at one router. Before the cut it is
	// firstInterval, so that the open connections don't suffice later.
	callInterval  = 60 * time.Millisecond
	firstInterval = 240 * time.Millisecond
	// callDeadline is that of each call. Calls sent later than this before the end of the cut
	// aren't counted, since they may be served after it.
	callDeadline = 800 * time.Millisecond
	// eventInterval is the time after each event of a stream.
	eventInterval = 10 * time.Millisecond
	// minCutShare is how often calls at cut routers are served at least, relative to the others;
	// minOtherShare how often those at the others are.
	minCutShare, minOtherShare = 0.9, 0.98
	// A call whose deadline passed while timers of the process were late by more than maxLateness
	// in total does not count: the machine stood still. Of the calls of each kind minCounted
	// count at least.
	maxLateness = callDeadline / 4
	minCounted  = 0.5
)

// cutKinds are the kinds of calls sent during cuts.
var cutKinds = []standin.Kind{standin.KindIdempotent, standin.KindNonIdempotent, standin.KindResumableStream}

// cutFleet is a fleet of routers, each of which can be cut off from all upstreams.
type cutFleet struct {
	*testPlatform
	sources  []netip.Addr
	routers  []*process
	networks []*forwarder.Forwarder
	sequence atomic.Int64
	keeper   *timekeeper.Timekeeper

	mu    sync.Mutex
	calls []cutCall
}

// cutCall is a call that was sent to a router, and whether it was served.
type cutCall struct {
	router int
	kind   standin.Kind
	at     time.Time
	served bool
	result string
	// late is by how much timers of the process were late until the deadline passed; 0 if it did not.
	late time.Duration
}

func newCutFleet(t *testing.T, network, routers int) *cutFleet {
	return newCutFleetOn(newTestPlatform(t), network, routers)
}

// newCutFleetOn is newCutFleet on a platform.
func newCutFleetOn(w *testPlatform, network, routers int) *cutFleet {
	f := &cutFleet{testPlatform: w, keeper: timekeeper.Start()}
	w.t.Cleanup(func() { f.keeper.Stop() })
	w.t.Cleanup(f.logFailures)
	for i := range routers {
		f.sources = append(f.sources, netip.MustParseAddr(loopback(fmt.Sprintf("%d.%d", network, i+1))))
	}
	for i, u := range f.upstreams {
		u.EventInterval = eventInterval
		n := &forwarder.Forwarder{Target: f.addresses[i]}
		address, err := n.ListenFrom(f.sources...)
		f.NoErr(err)
		f.t.Cleanup(func() { f.NoErr(n.Close()) })
		f.networks = append(f.networks, n)
		f.addresses[i] = address
		f.register(u.Instance, address, false)
	}
	f.routers = f.startFleet(network, routers)
	time.Sleep(1500 * time.Millisecond) // until the routers know each other
	return f
}

// logFailures logs why routers failed calls, if the test has failed.
func (f *cutFleet) logFailures() {
	if !f.t.Failed() {
		return
	}
	for i, p := range f.routers {
		codes := make(map[string]int)
		for _, code := range failureCode.FindAllString(p.log.String(), -1) {
			codes[code]++
		}
		f.t.Logf("router %d: %v", i, codes)
	}
}

// failureCode matches the code of a failed call in the log of a router.
var failureCode = regexp.MustCompile(`code=\S+ ran=\S+`)

// cut injects a fault between the first n routers and all upstreams.
func (f *cutFleet) cut(n int, fault forwarder.Fault) { f.cutFrom(f.sources[:n], fault) }

// cutFrom injects a fault between the routers with the addresses and all upstreams.
func (f *cutFleet) cutFrom(sources []netip.Addr, fault forwarder.Fault) {
	f.t.Helper()
	for _, source := range sources {
		for _, network := range f.networks {
			f.NoErr(network.SetFrom(source, fault))
		}
	}
}

// load sends calls of all kinds to all routers until the context ends, and waits for their
// results.
func (f *cutFleet) load(ctx context.Context) {
	var group sync.WaitGroup
	for i := range f.routers {
		for _, kind := range cutKinds {
			group.Go(func() {
				began := time.Now()
				for ctx.Err() == nil {
					group.Go(func() { f.record(i, kind) })
					if time.Since(began) < calledBefore {
						time.Sleep(firstInterval)
					} else {
						time.Sleep(callInterval)
					}
				}
			})
		}
	}
	group.Wait()
}

// record sends a call to a router and records whether it was served.
func (f *cutFleet) record(router int, kind standin.Kind) {
	c := cutCall{router: router, kind: kind, at: time.Now()}
	before := f.keeper.Late()
	c.served, c.result = f.send(router, kind, strconv.FormatInt(f.sequence.Add(1), 10))
	if time.Since(c.at) >= callDeadline {
		c.late = f.keeper.Late() - before
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, c)
}

// send sends a call with a path to a router.
func (f *cutFleet) send(router int, kind standin.Kind, path string) (served bool, result string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callDeadline)
	defer cancel()
	c := standin.Call{
		Kind: kind, ID: fmt.Sprintf("%016x", f.sequence.Add(1)), Key: "secret", Deadline: callDeadline, Body: strings.NewReader("question"),
	}
	r, err := c.Request(ctx, f.routers[router].front)
	if err != nil {
		return false, err.Error()
	}
	r.URL.Path = "/" + string(kind) + "/" + path
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false, "no answer"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, "cut"
	}
	whole := kind != standin.KindResumableStream || string(answer) == completeStream()
	return resp.StatusCode == http.StatusOK && standin.IsSigned(resp.Header) && whole, strconv.Itoa(resp.StatusCode)
}

// share returns the share of the calls of a kind between two times that were served, at the
// first n routers and at the others.
func (f *cutFleet) share(kind standin.Kind, n int, from, to time.Time) (cut, others share) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if c.kind != kind || c.at.Before(from) || !c.at.Before(to) {
			continue
		}
		if c.router < n {
			cut.add(c)
		} else {
			others.add(c)
		}
	}
	return cut, others
}

// share counts calls and their results.
type share struct {
	served, sent int
	// late counts the calls that don't count.
	late    int
	results map[string]int
}

func (s *share) add(c cutCall) {
	if !c.served && c.late > maxLateness {
		s.late++
		return
	}
	s.sent++
	if c.served {
		s.served++
		return
	}
	if s.results == nil {
		s.results = make(map[string]int)
	}
	s.results[c.result]++
}

func (s *share) of() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// counts reports whether enough calls count.
func (s *share) counts() bool { return float64(s.sent) >= minCounted*float64(s.sent+s.late) }

func (s *share) String() string {
	return fmt.Sprintf("%d of %d served %v, %d not counted", s.served, s.sent, s.results, s.late)
}

// Routers that were cut off from all upstreams failed their callers' calls, while other routers
// reached the upstreams.
func TestRouterCutOffFromUpstreamsServesItsCallers(t *testing.T) {
	const routers = 3
	for i, fault := range []forwarder.Fault{forwarder.FaultHang, forwarder.FaultReset, forwarder.FaultResetRefuse, forwarder.FaultRefuse} {
		for n := 1; n < routers; n++ {
			network := 90 + i*routers + n
			t.Run(fmt.Sprintf("%s/%d-of-%d", fault, n, routers), func(t *testing.T) {
				if !withRaceDetector { // with it, all cases at once need four cores
					t.Parallel()
				}
				f := newCutFleet(t, network, routers)
				ctx, cancel := context.WithTimeout(t.Context(), calledBefore+cutTime+healNoticed+calledAfter)
				defer cancel()
				began := time.Now()
				time.AfterFunc(calledBefore, func() { f.cut(n, fault) })
				time.AfterFunc(calledBefore+cutTime, func() { f.cut(n, forwarder.FaultNone) })
				f.load(ctx)
				begin := began.Add(calledBefore)
				for _, kind := range cutKinds {
					f.check(kind, n, begin)
				}
			})
		}
	}
}

// check checks how often calls of a kind were served, for a cut of the first n routers.
func (f *cutFleet) check(kind standin.Kind, n int, begin time.Time) {
	f.t.Helper()
	end := begin.Add(cutTime)
	cut, others := f.share(kind, n, begin.Add(cutNoticed), end.Add(-callDeadline))
	f.t.Logf("%s, cut: %v at cut routers, %v at others", kind, &cut, &others)
	if !cut.counts() || !others.counts() {
		f.t.Errorf("%s: the machine stood still during too many calls", kind)
	}
	if cut.of() < minCutShare*others.of() {
		f.t.Errorf("%s: from %v after the cut, calls at cut routers served %.2f as often, at least %.2f is to be", kind, cutNoticed, cut.of()/others.of(), minCutShare)
	}
	if _, others := f.share(kind, n, begin, end); others.of() < minOtherShare {
		f.t.Errorf("%s: during the cut %v at the other routers", kind, &others)
	}
	if cut, others := f.share(kind, n, end.Add(healNoticed), time.Now()); cut.of() < 1 || others.of() < 1 {
		f.t.Errorf("%s: from %v after the end %v at cut routers, %v at others", kind, healNoticed, &cut, &others)
	}
}

// A router whose connections to all upstreams were reset took that for crashes, and a sound
// request that it had sent to two of them was refused, also by other routers.
func TestCutOfRouterQuarantinesNoSoundRequest(t *testing.T) {
	const (
		path   = "sound"
		copies = 6
		down   = 300 * time.Millisecond
	)
	t.Parallel()
	f := newCutFleet(t, 110, 3)
	ctx, cancel := context.WithCancel(t.Context())
	loaded := make(chan struct{})
	go func() { f.load(ctx); close(loaded) }()
	for i := range f.upstreams {
		f.upstreams[1-i].Pause(down) // the calls go to the other one
		for range copies {
			go f.send(i, standin.KindStream, path)
		}
		time.Sleep(10 * eventInterval)
		f.cutFrom(f.sources[i:i+1], forwarder.FaultResetRefuse)
		time.Sleep(down)
		f.cutFrom(f.sources[i:i+1], forwarder.FaultNone)
	}
	time.Sleep(2500 * time.Millisecond) // until what is quarantined is refused by all
	cancel()
	<-loaded // without slots a call is refused, too
	for i, p := range f.routers {
		served, result := f.send(i, standin.KindStream, path)
		f.t.Logf("router %d: %s, %d suspects", i, result, p.count(logger.CrashSuspected))
		f.True(served)
	}
}
