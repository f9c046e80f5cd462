package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/historian"
	"github.com/kingcuphook/kingcuphook/parser"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// fleet is a few routers in three data centres that follow one store. It records the
// outcome that was reported to the operators for each edit.
type fleet struct {
	t     *testing.T
	store *storer.Store

	mu      sync.Mutex
	rng     *rand.Rand
	members []*member
	// faulty makes some calls to the store fail.
	faulty bool
	// partitioned is the data centre that is partitioned from the others; empty for none.
	partitioned string
	// results has the result of each edit, by its ID.
	results map[string]error
	// seenStates has the routes and tiers of each snapshot that was current on some
	// router, by lineage.
	seenStates map[uint64]string
	// heads has all heads that were read, in order.
	heads []kingcuphook.Entry
	// unknown has the edits that returned an UnknownError, by ID.
	unknown map[string]unknownEdit
}

// unknownEdit is an edit that returned an UnknownError.
type unknownEdit struct {
	edit   editor.Edit
	expect int64
}

// lateStore is a store whose writes may take effect after the call has returned an
// error, and whose reads may be stale.
type lateStore struct {
	*storer.Store
	f *fleet
}

// Get implements kingcuphook.Store. Some reads of the head return an older one.
func (s lateStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	if err != nil || key != encoder.HeadKey {
		return e, err
	}
	return s.f.stale(e), nil
}

// Put implements kingcuphook.Store.
func (s lateStore) Put(ctx context.Context, key string, value []byte, expect int64, id kingcuphook.LeaseID) (int64, error) {
	d := s.f.lateBy()
	if d == 0 {
		return s.Store.Put(ctx, key, value, expect, id)
	}
	time.AfterFunc(d, func() {
		_, _ = s.Store.Put(context.WithoutCancel(ctx), key, value, expect, id)
	})
	return 0, &kingcuphook.StoreError{Op: storer.OpPut, Key: key, Err: kingcuphook.ErrOutcomeUnknown}
}

// lateBy returns the delay after which a write takes effect although its call returned an
// error at once; 0 for a write without this fault.
func (f *fleet) lateBy() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty || f.rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(1+f.rng.IntN(2500)) * time.Millisecond
}

// stale returns the head e or, while the store is faulty, sometimes an earlier one.
func (f *fleet) stale(e kingcuphook.Entry) kingcuphook.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads = append(f.heads, e)
	if !f.faulty || f.rng.IntN(4) > 0 {
		return e
	}
	return f.heads[max(0, len(f.heads)-1-f.rng.IntN(8))]
}

// member is one router. Each restart gives it a new follower.
type member struct {
	router   Router
	follower *Follower
	stop     context.CancelFunc
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), results: make(map[string]error),
		seenStates: make(map[uint64]string), unknown: make(map[string]unknownEdit),
	}
	f.store = &storer.Store{Hook: f.fault, History: 8}
	for i := range 8 {
		m := &member{router: Router{Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), DataCentre: []string{"cairo", "alex", "upper"}[i%3]}}
		f.members = append(f.members, m)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		f.start(m)
	}
	return f
}

// fault returns the random fault of one call to the store.
func (f *fleet) fault(op, _ string) storer.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty || op == storer.OpWatch && f.rng.IntN(4) > 0 {
		return storer.Fault{Delay: time.Millisecond}
	}
	if op == storer.OpWatch && f.rng.IntN(4) == 0 {
		// The connection is unresponsive for longer than the test runs.
		return storer.Fault{Delay: time.Hour}
	}
	fault := storer.Fault{Delay: time.Duration(f.rng.IntN(40)) * time.Millisecond}
	switch f.rng.IntN(8) {
	case 0:
		fault.LoseReply = true
	case 1:
		fault.LoseRequest = true
	case 2:
		fault.Down = true
	}
	return fault
}

func (f *fleet) routers() []Router {
	rs := make([]Router, len(f.members))
	for i, m := range f.members {
		rs[i] = m.router
	}
	return rs
}

// start runs a new follower for m; mu is held.
func (f *fleet) start(m *member) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var lastRevision int64
	next := &Follower{Store: lateStore{Store: f.store, f: f}, Self: m.router, Routers: f.routers, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 0))}
	next.OnEvent = func(e Event) {
		if e.CurrentRevision < lastRevision {
			f.t.Errorf("%s reverted from revision %d to %d", m.router.Address, lastRevision, e.CurrentRevision)
		}
		lastRevision = e.CurrentRevision
	}
	m.follower, m.stop = next, cancel
	go next.Run(ctx)
	go f.gossip(ctx, m, next)
}

// gossip asks two random peers for newer tables every second.
func (f *fleet) gossip(ctx context.Context, m *member, own *Follower) {
	for ctx.Err() == nil {
		for range 2 {
			f.pull(m, own)
		}
		pauser.Pause(ctx, time.Second)
	}
}

func (f *fleet) pull(m *member, own *Follower) {
	f.mu.Lock()
	peer := f.members[f.rng.IntN(len(f.members))]
	from, reached := peer.follower, f.reaches(m, peer)
	f.mu.Unlock()
	if !reached {
		return
	}
	for _, since := range []int64{own.Current().Revision(), 0} {
		data, err := from.Update(since)
		if err != nil {
			f.t.Error(err)
		}
		if data == nil || own.ApplyUpdate(peer.router.Address, data) == nil {
			break
		}
	}
	s := own.Current()
	text := tierText(s.Tables())
	f.mu.Lock()
	defer f.mu.Unlock()
	if was, ok := f.seenStates[s.Lineage()]; ok && was != text {
		f.t.Errorf("revision %d is %q on one router and %q on another", s.Revision(), text, was)
	}
	f.seenStates[s.Lineage()] = text
}

// reaches reports whether two routers reach each other; mu is held.
func (f *fleet) reaches(a, b *member) bool {
	return a.router.DataCentre == b.router.DataCentre || f.partitioned != a.router.DataCentre && f.partitioned != b.router.DataCentre
}

func (f *fleet) follower(m *member) *Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.follower
}

func (f *fleet) current(m *member) *differ.Snapshot { return f.follower(m).Current() }

// inForce returns a callback for an editor on m. It returns the highest snapshot of the
// routers that m reaches, and whether it reaches all of them.
func (f *fleet) inForce(m *member) func() (*differ.Snapshot, bool) {
	return func() (*differ.Snapshot, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		high := m.follower.Current()
		for _, o := range f.members {
			if s := o.follower.Current(); f.reaches(m, o) && s.Revision() > high.Revision() {
				high = s
			}
		}
		return high, f.partitioned == ""
	}
}

// runOperator makes n edits through m. Each adds a route of its own, and some also change
// the tier of the first route, which all operators share.
func (f *fleet) runOperator(m *member, name string, n int) {
	e := editor.Editor{Store: lateStore{Store: f.store, f: f}, InForce: f.inForce(m)}
	e.OnAccept = func(s *differ.Snapshot) { f.follower(m).ApplyEdit(s) }
	for i := range n {
		base := f.current(m)
		id := fmt.Sprintf("%s-%d", name, i)
		f.mu.Lock()
		tier := 1 + f.rng.IntN(5)
		pause := time.Duration(f.rng.IntN(1500)) * time.Millisecond
		f.mu.Unlock()
		routes := append([]*kingcuphook.Route{}, base.Tables().Routes()...)
		if len(routes) > 0 && tier > 2 {
			fields := routes[0].Fields()
			fields.Tier = kingcuphook.Tier(tier)
			routes[0] = kingcuphook.NewRoute(fields)
		}
		routes = append(routes, kingcuphook.NewRoute(kingcuphook.RouteFields{Name: id, Class: id, Pool: "p", Tier: 1}))
		ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
		edit := editor.Edit{
			ID: id, Author: name, Base: base.Revision(),
			Routes: parser.NewRouteTable("routes", routes), Pools: parser.NewPoolTable("pools", testPools()),
		}
		_, err := e.Apply(ctx, edit)
		cancel()
		var unknown *editor.UnknownError
		f.mu.Lock()
		f.results[id] = err
		if errors.As(err, &unknown) {
			f.unknown[id] = unknownEdit{edit: edit, expect: unknown.Expect}
		}
		f.mu.Unlock()
		time.Sleep(pause)
	}
}

func testPools() []*kingcuphook.Pool {
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
		Address: "127.0.0.1:9001", Region: "cairo", DataCentre: "cairo-1", Kind: kingcuphook.UpstreamKindEngine,
	})
	return []*kingcuphook.Pool{kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: []*kingcuphook.Upstream{u}})}
}

// tierText returns the routes and tiers of the tables.
func tierText(t *kingcuphook.Tables) string {
	var text []byte
	for _, r := range t.Routes() {
		text = fmt.Appendf(text, "%s:%d ", r.Name(), r.Tier())
	}
	return string(text)
}

// injectFaults injects n random faults, one after the other: a restart, a partition, a
// compaction, an outage or a faulty store.
func (f *fleet) injectFaults(n int) {
	for range n {
		f.mu.Lock()
		i, kind := f.rng.IntN(len(f.members)), f.rng.IntN(5)
		f.mu.Unlock()
		switch kind {
		case 0:
			f.mu.Lock()
			f.members[i].stop()
			f.start(f.members[i])
			f.mu.Unlock()
		case 1:
			f.setPartitioned(f.members[i].router.DataCentre)
			time.Sleep(2 * time.Second)
			f.setPartitioned("")
		case 2:
			f.store.Compact()
		case 3:
			f.store.SetFault(storer.Fault{Down: true})
			time.Sleep(3 * time.Second)
			f.store.SetFault(storer.Fault{})
		case 4:
			f.setFaulty(true)
			time.Sleep(3 * time.Second)
		}
		f.setFaulty(false)
		time.Sleep(time.Second)
	}
}

func (f *fleet) setPartitioned(dataCentre string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = dataCentre
}

func (f *fleet) setFaulty(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulty = on
}

// resolveUnknown looks up the outcome of the edits that returned an UnknownError, and repeats
// those whose outcome is still unknown.
func (f *fleet) resolveUnknown() {
	h := historian.Historian{Store: f.store}
	e := editor.Editor{Store: f.store, InForce: f.inForce(f.members[0])}
	for id, u := range f.unknown {
		o, err := h.Find(f.t.Context(), id, u.expect)
		if err != nil {
			f.t.Error(err)
		}
		f.results[id] = nil
		switch o.Status {
		case historian.StatusNotAccepted:
			f.results[id] = kingcuphook.ErrUnavailable
		case historian.StatusUnknown:
			_, f.results[id] = e.Apply(f.t.Context(), u.edit)
		}
	}
}

// check fails the test unless all routers have the same snapshot and it holds just
// the edits that were reported as successful.
func (f *fleet) check() {
	first := f.current(f.members[0])
	for _, m := range f.members {
		s := f.current(m)
		if s.Revision() != first.Revision() || s.Lineage() != first.Lineage() {
			f.t.Errorf("%s has revision %d, %s has %d", m.router.Address, s.Revision(), f.members[0].router.Address, first.Revision())
		}
	}
	applied := make(map[string]bool)
	for _, r := range first.Tables().Routes() {
		applied[r.Name()] = true
	}
	for id, err := range f.results {
		if applied[id] != (err == nil) {
			f.t.Errorf("edit %s: applied %t, but its operator got the error %v", id, applied[id], err)
		}
	}
}
