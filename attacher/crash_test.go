package attacher

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// crashingPart is the ID of the part that crashes upstreams in tests.
const crashingPart = "bad0bad0"

// crashFleet is a fleet of routers before upstreams that crash.
type crashFleet struct {
	*testPlatform
	routers  []*process
	machines []*standin.Machine
	// crashing is set once crashingPart crashes upstreams.
	crashing atomic.Bool
	sequence atomic.Int64
}

// newCrashFleet starts routers before machines that crash in the given mode.
func newCrashFleet(t *testing.T, network, routers, machines int, mode standin.CrashMode) *crashFleet {
	w := newTestPlatform(t)
	f := &crashFleet{testPlatform: w}
	for _, u := range w.upstreams {
		w.unregister(u.Instance)
	}
	for n := range machines {
		m := &standin.Machine{
			Name: fmt.Sprintf("h%d", n), Prefill: 40 * time.Millisecond, Events: 20, EventInterval: 25 * time.Millisecond,
			Restart: 2 * time.Second, Mode: mode,
			Parts: func() []string {
				if f.crashing.Load() {
					return []string{crashingPart}
				}
				return nil
			},
			OnStart: func(instance, address string, born time.Time) { f.registerBorn(instance, address, born) },
			OnCrash: func(instance string) { time.AfterFunc(time.Second, func() { w.unregister(instance) }) },
		}
		w.NoErr(m.Start())
		t.Cleanup(m.Stop)
		f.machines = append(f.machines, m)
	}
	f.routers = w.startFleet(network, routers)
	return f
}

func (w *testPlatform) unregister(instance string) {
	entry, err := w.store.Get(context.Background(), platform.RegistrationPrefix+instance)
	if err == nil {
		_ = w.store.Delete(context.Background(), entry.Key(), entry.Revision())
	}
}

func (f *crashFleet) registerBorn(instance, address string, born time.Time) {
	value, err := standin.EncodeRegistration(address, false, born, f.seq.Add(1))
	if err == nil {
		_, err = f.store.Put(context.Background(), platform.RegistrationPrefix+instance, value, kingcuphook.RevisionAny, 0)
	}
	if err != nil {
		f.t.Error(err)
	}
}

// sent is a call with its result.
type sent struct {
	at   time.Time
	id   string
	body string
	ok   bool
}

// send sends a stream with the given prompt parts to a random router.
func (f *crashFleet) send(parts []string) sent {
	s := sent{at: time.Now(), id: fmt.Sprintf("call-%d", f.sequence.Add(1))}
	c := standin.Call{
		Kind: standin.KindStream, ID: s.id, Key: "secret", Deadline: 4 * time.Second,
		Body: strings.NewReader("body of " + s.id), Parts: append(parts, "0"+s.id),
	}
	r, err := c.Request(context.Background(), f.routers[rand.N(len(f.routers))].front)
	if err != nil {
		return s
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.body = string(body)
	s.ok = err == nil && resp.StatusCode == http.StatusOK
	return s
}

// load sends calls with the parts that next returns, one every interval for d, and
// returns them with their results.
func (f *crashFleet) load(d, interval time.Duration, next func(n int) []string) []sent {
	var mu sync.Mutex
	var calls []sent
	var group sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := range int(d / interval) {
		<-ticker.C
		group.Go(func() {
			s := f.send(next(n))
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, s)
		})
	}
	group.Wait()
	return calls
}

// crashTimes returns when the upstreams crashed, in order.
func (f *crashFleet) crashTimes() []time.Time {
	var times []time.Time
	for _, m := range f.machines {
		times = append(times, m.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// reached returns how many of the calls reached upstreams.
func (f *crashFleet) reached(calls []sent) int {
	runs := make(map[string]int)
	for _, m := range f.machines {
		for _, r := range m.Runs() {
			runs[r.ID]++
		}
	}
	n := 0
	for _, c := range calls {
		n += runs[c.id]
	}
	return n
}

// sentAfter returns the calls that were sent after t.
func sentAfter(calls []sent, t time.Time) []sent {
	return slices.DeleteFunc(slices.Clone(calls), func(c sent) bool { return c.at.Before(t) })
}

// servedShare returns the share of the calls that were answered with a whole stream.
func servedShare(calls []sent) float64 {
	served := 0
	for _, c := range calls {
		if c.ok && c.body == completeStream() {
			served++
		}
	}
	return float64(served) / float64(max(len(calls), 1))
}

// soundParts returns the parts of a sound call: one that all share and one of the organisation.
func soundParts(n int) []string { return []string{"5e55", fmt.Sprintf("0c%02d", n%7)} }

// crashingParts returns the parts of a sound call with crashingPart at a changing position.
func crashingParts(n int) []string {
	return slices.Insert(soundParts(n), n%3, crashingPart)
}

// Calls that had nothing in common but one part of their prompt crashed upstream after
// upstream, since only whole bodies were suspected.
func TestPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	for i, mode := range append(standin.CrashModes(), "") {
		routers := 8
		if mode == "" {
			routers = 1
		}
		t.Run(fmt.Sprintf("%d-routers-%s", routers, mode), func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 40+i, routers, 12, mode)
			f.load(time.Second, 25*time.Millisecond, soundParts)
			f.crashing.Store(true)
			const loaded = 16 * time.Second
			var sound, crashing []sent
			var group sync.WaitGroup
			group.Go(func() { sound = f.load(loaded, 25*time.Millisecond, soundParts) })
			group.Go(func() { crashing = f.load(loaded, 250*time.Millisecond, crashingParts) })
			group.Wait()
			crashes := f.crashTimes()
			if len(crashes) == 0 {
				t.Fatal("no crashes")
			}
			known := crashes[min(len(crashes), standin.CrashesKnown)-1]
			late := sentAfter(crashing, known.Add(standin.CrashContactTime))
			share := servedShare(sentAfter(sound, known.Add(2*standin.CrashContactTime)))
			t.Logf("%d crashes, %d of %d later calls reached upstreams, %.3f of the sound ones served", len(crashes), f.reached(late), len(late), share)
			if n := f.reached(late); n > standin.MaxLateCalls {
				t.Errorf("%d calls reached upstreams later than %v after the fifth crash, %d are allowed", n, standin.CrashContactTime, standin.MaxLateCalls)
			}
			if share < standin.MinServedShare {
				t.Errorf("%.3f of the sound calls served, at least %.2f are to be", share, standin.MinServedShare)
			}
		})
	}
}
