package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/gossiper"
)

const (
	stepTime       = 100 * time.Millisecond
	localDelay     = 1500 * time.Microsecond
	remoteDelay    = 30 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	storeDelay     = 20 * time.Millisecond
	changeBytes    = 217
	exchangeHeader = 440
	pullHeader     = 460
)

// router is one member of a fleet under test.
type router struct {
	g        *gossiper.Gossiper
	address  string
	location gossiper.Location
	revision int64
	// paused routers neither poll nor answer; stopped ones are gone for good.
	paused, stopped bool
	// ignored routers are cut off, so that no revision can reach them.
	ignored bool
	bytes   int
}

// fleet drives gossipers in virtual time.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	routers []*router
	byAddr  map[string]*router
	// events are in order of time.
	events []event
	// loss is the share of calls that fail.
	loss float64
	// prompt routers are polled at once after a new revision, not only every
	// stepTime.
	prompt bool
	// cut reports whether a call between two routers fails.
	cut func(a, b *router) bool
	// storeCut reports whether a router does not reach the store.
	storeCut func(r *router) bool
	store    int64
	watches  int
	calls    int
	pulls    int
	// puts holds when each revision was written; latencies how long it took
	// until all running routers had it.
	puts      []time.Time
	latencies []time.Duration
}

type event struct {
	at  time.Time
	run func()
}

// newFleet returns n routers spread over the data centres; 21 data centres lie
// in 10 regions.
func newFleet(n, centres, regions int) *fleet {
	f := &fleet{
		now:    time.Unix(1_000_000, 0),
		rng:    rand.New(rand.NewPCG(1, 1)),
		byAddr: make(map[string]*router),
	}
	for i := range n {
		c := i % centres
		f.add(i, gossiper.Location{Region: fmt.Sprintf("region%d", c%regions), DataCentre: fmt.Sprintf("centre%d", c)}, 0)
	}
	f.hint()
	return f
}

func (f *fleet) add(i int, l gossiper.Location, incarnation uint64) {
	address := fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255)
	r := &router{address: address, location: l}
	r.g = &gossiper.Gossiper{
		Address:     address,
		Location:    l,
		Incarnation: incarnation,
		Rand:        rand.New(rand.NewPCG(uint64(i), incarnation)),
	}
	r.g.Changes = func(after int64, limit int) []byte {
		if n := int(r.revision-after) * changeBytes; n <= limit {
			return make([]byte, n)
		}
		return nil
	}
	f.routers = append(f.routers, r)
	f.byAddr[address] = r
}

// restart replaces a router by a new life of the same address.
func (f *fleet) restart(r *router, incarnation uint64) {
	var i [3]int
	_, _ = fmt.Sscanf(r.address, "10.%d.%d.%d", &i[0], &i[1], &i[2])
	f.routers = slices.DeleteFunc(f.routers, func(o *router) bool { return o == r })
	r.stopped = true
	f.add(i[0]<<16+i[1]<<8+i[2], r.location, incarnation)
	f.hint()
}

// hint gives all routers the platform's list as it is now; until the next call
// it lags.
func (f *fleet) hint() {
	vms := make([]kingcuphook.VM, 0, len(f.routers))
	for _, r := range f.routers {
		if r.stopped {
			continue
		}
		vms = append(vms, kingcuphook.NewVM(r.address, r.location.Region, r.location.DataCentre, kingcuphook.VMStateLive))
	}
	for _, r := range f.routers {
		r.g.SetHints(f.now, vms)
	}
}

func (f *fleet) after(d time.Duration, run func()) {
	e := event{at: f.now.Add(d), run: run}
	i, _ := slices.BinarySearchFunc(f.events, e.at, func(o event, at time.Time) int {
		if o.at.After(at) {
			return 1
		}
		return -1 // events of the same time stay in order
	})
	f.events = slices.Insert(f.events, i, e)
}

// run lets d pass.
func (f *fleet) run(d time.Duration) {
	f.until(d, func() bool { return false })
}

// until runs until done is true, and reports how long it took; -1 if it did not
// happen within limit.
func (f *fleet) until(limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	for end := f.now.Add(limit); f.now.Before(end); {
		if done() {
			return f.now.Sub(begin)
		}
		f.step()
	}
	if done() {
		return f.now.Sub(begin)
	}
	return -1
}

func (f *fleet) step() {
	next := f.now.Add(stepTime)
	for len(f.events) > 0 && !f.events[0].at.After(next) {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
	}
	f.now = next
	for _, r := range f.routers {
		if r.paused || r.stopped {
			continue
		}
		f.watch(r)
		f.poll(r)
	}
	f.observe()
}

// put writes a new revision into the store.
func (f *fleet) put() {
	f.store++
	f.puts = append(f.puts, f.now)
}

// observe notes the revisions that have come into force everywhere.
func (f *fleet) observe() {
	least := f.store
	for _, r := range f.routers {
		if !r.paused && !r.stopped && !r.ignored {
			least = min(least, r.revision)
		}
	}
	for i := len(f.latencies); i < int(least); i++ {
		f.latencies = append(f.latencies, f.now.Sub(f.puts[i]))
	}
}

// edit writes revisions at the rate of 110,000 a day for d.
func (f *fleet) edit(d time.Duration) {
	const pause = 24 * time.Hour / 110_000
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(time.Duration(f.rng.ExpFloat64() * float64(pause)))
		f.put()
	}
}

// crash stops all routers for which lost reports true.
func (f *fleet) crash(lost func(r *router) bool) {
	for _, r := range f.routers {
		r.stopped = r.stopped || lost(r)
	}
}

func (f *fleet) poll(r *router) {
	for _, to := range r.g.Poll(f.now) {
		f.exchange(r, to)
	}
}

// watch brings the store's revision to a router that watches it.
func (f *fleet) watch(r *router) {
	if !r.g.Watches(f.now) || r.revision >= f.store || f.storeCut != nil && f.storeCut(r) {
		return
	}
	f.watches++
	revision := f.store
	f.after(storeDelay, func() { f.apply(r, revision) })
}

func (f *fleet) apply(r *router, revision int64) {
	if revision <= r.revision {
		return
	}
	r.revision = revision
	r.g.SetRevision(f.now, revision, "")
	if f.prompt {
		f.poll(r)
	}
}

// fails reports whether a call between two routers is lost.
func (f *fleet) fails(a, b *router) bool {
	return b == nil || b.paused || b.stopped || a.paused || a.stopped ||
		f.rng.Float64() < f.loss || f.cut != nil && f.cut(a, b)
}

func (f *fleet) delay(a, b *router) time.Duration {
	if a.location.Region == b.location.Region {
		return localDelay
	}
	return remoteDelay
}

func (f *fleet) exchange(r *router, to string) {
	f.calls++
	request := f.encode(r.g.Request(f.now, to))
	peer := f.byAddr[to]
	if f.fails(r, peer) {
		f.after(callTimeout, func() {
			if !r.paused && !r.stopped {
				r.g.Failed(f.now, to)
			}
		})
		return
	}
	f.charge(r, peer, len(request)+exchangeHeader)
	f.after(f.delay(r, peer), func() {
		d := f.receive(peer, request)
		reply := f.encode(peer.g.Reply(f.now, d))
		f.charge(r, peer, len(reply))
		f.after(f.delay(r, peer), func() {
			if !r.paused && !r.stopped {
				f.receive(r, reply)
			}
		})
	})
}

func (f *fleet) receive(r *router, b []byte) *gossiper.Digest {
	d, err := exchanger.Decode(b)
	if err != nil {
		panic(err)
	}
	behind, err := r.g.Merge(f.now, d)
	if err != nil {
		panic(err)
	}
	if !behind {
		return d
	}
	if len(d.Changes) > 0 && d.ChangesAfter <= r.revision {
		f.apply(r, d.Revision)
		return d
	}
	f.pull(r, f.byAddr[d.Sender.Address])
	return d
}

// pull fetches the tables; a pull that fails is repeated while it is needed.
func (f *fleet) pull(r, peer *router) {
	if r.stopped || r.paused || r.revision >= peer.revision {
		return
	}
	if f.fails(r, peer) {
		if !peer.stopped {
			f.after(callTimeout, func() { f.pull(r, peer) })
		}
		return
	}
	f.pulls++
	f.after(2*f.delay(r, peer), func() {
		f.charge(r, peer, pullHeader+changeBytes*int(peer.revision-r.revision))
		f.apply(r, peer.revision)
	})
}

func (f *fleet) charge(a, b *router, n int) {
	a.bytes += n
	b.bytes += n
}

func (f *fleet) encode(d *gossiper.Digest) []byte {
	b, err := exchanger.Encode(d)
	if err != nil {
		panic(err)
	}
	return b
}

// agrees reports whether all running routers know exactly the running routers.
func (f *fleet) agrees() bool {
	want := make([]string, 0, len(f.routers))
	for _, r := range f.routers {
		if !r.stopped && !r.paused {
			want = append(want, r.address)
		}
	}
	slices.Sort(want)
	for _, r := range f.routers {
		if r.stopped || r.paused {
			continue
		}
		if r.g.Count(f.now) != len(want) || !slices.Equal(addresses(r.g.Members(f.now)), want) {
			return false
		}
	}
	return true
}

func addresses(members []gossiper.Member) []string {
	a := make([]string, 0, len(members))
	for _, m := range members {
		a = append(a, m.Address())
	}
	return a
}

// inForce reports whether all running routers have the store's revision.
func (f *fleet) inForce() bool {
	for _, r := range f.routers {
		if !r.stopped && !r.paused && !r.ignored && r.revision < f.store {
			return false
		}
	}
	return true
}
