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
	stepTime            = 100 * time.Millisecond
	localDelay          = 1500 * time.Microsecond
	remoteDelay         = 30 * time.Millisecond
	callTimeout         = 500 * time.Millisecond
	storeDelay          = 20 * time.Millisecond
	changeBytes         = 217
	exchangeHeaderBytes = 440
	pullHeaderBytes     = 460
)

// router is one member of the simulated fleet.
type router struct {
	g        *gossiper.Gossiper
	address  string
	location gossiper.Location
	revision int64
	// suspended routers neither poll nor answer until resumed; stopped ones never do
	// again.
	suspended, stopped bool
	// ignored routers are partitioned from the store, so that no revision is
	// expected to reach them.
	ignored bool
	bytes   int
}

// fleet simulates gossipers in virtual time.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	routers   []*router
	byAddress map[string]*router
	// events are sorted by time.
	events []event
	// loss is the fraction of calls that fail.
	loss float64
	// prompt makes a router poll immediately after a new revision, not only every
	// stepTime.
	prompt bool
	// partitioned, if set, reports whether calls between two routers fail.
	partitioned func(a, b *router) bool
	// storeUnreachable, if set, reports whether a router cannot reach the store.
	storeUnreachable func(r *router) bool
	store            int64
	watches          int
	calls            int
	pulls            int
	// writes holds when each revision was written, latencies the time until all
	// running routers had it.
	writes    []time.Time
	latencies []time.Duration
}

type event struct {
	at  time.Time
	run func()
}

// newFleet returns n routers distributed evenly over the data centres, and these
// over the regions.
func newFleet(n, centres, regions int) *fleet {
	f := &fleet{
		now:       time.Unix(1_000_000, 0),
		rng:       rand.New(rand.NewPCG(1, 1)),
		byAddress: make(map[string]*router),
	}
	for i := range n {
		c := i % centres
		f.add(i, gossiper.Location{Region: fmt.Sprintf("region%d", c%regions), DataCentre: fmt.Sprintf("centre%d", c)}, 0)
	}
	f.setHints()
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
	f.byAddress[address] = r
}

// restart replaces a router with a new process at the same address.
func (f *fleet) restart(r *router, incarnation uint64) {
	var i [3]int
	_, _ = fmt.Sscanf(r.address, "10.%d.%d.%d", &i[0], &i[1], &i[2])
	f.routers = slices.DeleteFunc(f.routers, func(o *router) bool { return o == r })
	r.stopped = true
	f.add(i[0]<<16+i[1]<<8+i[2], r.location, incarnation)
	f.setHints()
}

// setHints passes the platform's current list to all routers. They keep it, however
// outdated, until the next call.
func (f *fleet) setHints() {
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
		return -1 // keeps events of the same time in order
	})
	f.events = slices.Insert(f.events, i, e)
}

// run advances the virtual time by d.
func (f *fleet) run(d time.Duration) {
	f.runUntil(d, func() bool { return false })
}

// runUntil runs until done returns true and returns the time that took, or -1 if it
// did not happen within limit.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
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
		if r.suspended || r.stopped {
			continue
		}
		f.watch(r)
		f.poll(r)
	}
	f.recordLatencies()
}

// writeRevision writes a new revision to the store.
func (f *fleet) writeRevision() {
	f.store++
	f.writes = append(f.writes, f.now)
}

// recordLatencies records the latency of revisions that have reached all running
// routers.
func (f *fleet) recordLatencies() {
	least := f.store
	for _, r := range f.routers {
		if !r.suspended && !r.stopped && !r.ignored {
			least = min(least, r.revision)
		}
	}
	for i := len(f.latencies); i < int(least); i++ {
		f.latencies = append(f.latencies, f.now.Sub(f.writes[i]))
	}
}

// writeRevisions writes revisions at a rate of 110,000 per day for d.
func (f *fleet) writeRevisions(d time.Duration) {
	const pause = 24 * time.Hour / 110_000
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(time.Duration(f.rng.ExpFloat64() * float64(pause)))
		f.writeRevision()
	}
}

// crash stops all routers for which lost returns true.
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

// watch delivers the store's revision to a router that watches it.
func (f *fleet) watch(r *router) {
	if !r.g.WatchesStore(f.now) || r.revision >= f.store || f.storeUnreachable != nil && f.storeUnreachable(r) {
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

// fails reports whether a call between two routers fails.
func (f *fleet) fails(a, b *router) bool {
	return b == nil || b.suspended || b.stopped || a.suspended || a.stopped ||
		f.rng.Float64() < f.loss || f.partitioned != nil && f.partitioned(a, b)
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
	peer := f.byAddress[to]
	if f.fails(r, peer) {
		f.after(callTimeout, func() {
			if !r.suspended && !r.stopped {
				r.g.ExchangeFailed(f.now, to)
			}
		})
		return
	}
	f.countBytes(r, peer, len(request)+exchangeHeaderBytes)
	f.after(f.delay(r, peer), func() {
		d := f.receive(peer, request)
		reply := f.encode(peer.g.Reply(f.now, d))
		f.countBytes(r, peer, len(reply))
		f.after(f.delay(r, peer), func() {
			if !r.suspended && !r.stopped {
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
	f.pull(r, f.byAddress[d.Sender.Address])
	return d
}

// pull fetches the tables from a peer and retries while it is needed and the peer
// is not stopped.
func (f *fleet) pull(r, peer *router) {
	if r.stopped || r.suspended || r.revision >= peer.revision {
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
		f.countBytes(r, peer, pullHeaderBytes+changeBytes*int(peer.revision-r.revision))
		f.apply(r, peer.revision)
	})
}

func (f *fleet) countBytes(a, b *router, n int) {
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

// converged reports whether the members known to each running router are exactly
// the running routers.
func (f *fleet) converged() bool {
	want := make([]string, 0, len(f.routers))
	for _, r := range f.routers {
		if !r.stopped && !r.suspended {
			want = append(want, r.address)
		}
	}
	slices.Sort(want)
	for _, r := range f.routers {
		if r.stopped || r.suspended {
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

// allCurrent reports whether all running routers have the store's revision, except
// for ignored ones.
func (f *fleet) allCurrent() bool {
	for _, r := range f.routers {
		if !r.stopped && !r.suspended && !r.ignored && r.revision < f.store {
			return false
		}
	}
	return true
}
