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

// fleet is a few routers in three regions before one store, with a model of what
// was said about each edit.
type fleet struct {
	t     *testing.T
	store *storer.Store

	mu      sync.Mutex
	rng     *rand.Rand
	members []*member
	// faulty says that calls to the store fail now and then.
	faulty bool
	// cut is the region that no other reaches; empty for none.
	cut string
	// said is what the editor said of each edit.
	said map[string]error
	// states are the routes of each state seen in force.
	states map[uint64]string
	// heads are the heads that were read.
	heads []kingcuphook.Entry
	// unknown holds the edits whose outcome was told as unknown.
	unknown map[string]unknownEdit
}

// unknownEdit is an edit whose outcome was told as unknown.
type unknownEdit struct {
	edit   editor.Edit
	expect int64
}

// lateStore is a store whose writes may take effect after the writer gave up, and
// whose reads may be stale.
type lateStore struct {
	*storer.Store
	f *fleet
}

// Get implements kingcuphook.Store. It returns an older head now and then.
func (s lateStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	if err != nil || key != encoder.HeadKey {
		return e, err
	}
	return s.f.stale(e), nil
}

// Put implements kingcuphook.Store.
func (s lateStore) Put(ctx context.Context, key string, value []byte, expect int64, id kingcuphook.LeaseID) (int64, error) {
	d := s.f.late()
	if d == 0 {
		return s.Store.Put(ctx, key, value, expect, id)
	}
	time.AfterFunc(d, func() {
		_, _ = s.Store.Put(context.WithoutCancel(ctx), key, value, expect, id)
	})
	return 0, &kingcuphook.StoreError{Op: storer.OpPut, Key: key, Err: kingcuphook.ErrOutcomeUnknown}
}

// late returns how long a write is on its way after its writer gave up; 0 for a
// write that is not late.
func (f *fleet) late() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty || f.rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(1+f.rng.IntN(2500)) * time.Millisecond
}

// stale returns the head or, now and then, one that was there before.
func (f *fleet) stale(e kingcuphook.Entry) kingcuphook.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads = append(f.heads, e)
	if !f.faulty || f.rng.IntN(4) > 0 {
		return e
	}
	return f.heads[max(0, len(f.heads)-1-f.rng.IntN(8))]
}

// member is one router, which restarts as a new follower.
type member struct {
	router   Router
	follower *Follower
	stop     context.CancelFunc
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), said: make(map[string]error),
		states: make(map[uint64]string), unknown: make(map[string]unknownEdit),
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

// fault decides the fault of one call.
func (f *fleet) fault(op, _ string) storer.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty || op == storer.OpWatch && f.rng.IntN(4) > 0 {
		return storer.Fault{Delay: time.Millisecond}
	}
	if op == storer.OpWatch && f.rng.IntN(4) == 0 {
		// The connection has gone silent for good.
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
	var last int64
	next := &Follower{Store: lateStore{Store: f.store, f: f}, Self: m.router, Routers: f.routers, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 0))}
	next.OnEvent = func(e Event) {
		if e.InForce < last {
			f.t.Errorf("%s went back from revision %d to %d", m.router.Address, last, e.InForce)
		}
		last = e.InForce
	}
	m.follower, m.stop = next, cancel
	go next.Run(ctx)
	go f.gossip(ctx, m, next)
}

// gossip asks a random peer for newer tables every second.
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
		if data == nil || own.Offer(peer.router.Address, data) == nil {
			break
		}
	}
	s := own.Current()
	text := tierText(s.Tables())
	f.mu.Lock()
	defer f.mu.Unlock()
	if was, ok := f.states[s.Lineage()]; ok && was != text {
		f.t.Errorf("revision %d is %q on one router and %q on another", s.Revision(), text, was)
	}
	f.states[s.Lineage()] = text
}

// reaches reports whether two routers reach each other; mu is held.
func (f *fleet) reaches(a, b *member) bool {
	return a.router.DataCentre == b.router.DataCentre || f.cut != a.router.DataCentre && f.cut != b.router.DataCentre
}

func (f *fleet) follower(m *member) *Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.follower
}

func (f *fleet) current(m *member) *differ.Snapshot { return f.follower(m).Current() }

// inForce is what an editor beside m learns of the fleet.
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
		return high, f.cut == ""
	}
}

// operate makes n edits beside m; each adds a route of its own and most change a
// shared one.
func (f *fleet) operate(m *member, name string, n int) {
	e := editor.Editor{Store: lateStore{Store: f.store, f: f}, InForce: f.inForce(m)}
	e.OnAccept = func(s *differ.Snapshot) { f.follower(m).Accept(s) }
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
		f.said[id] = err
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

// disturb breaks things for a while, n times.
func (f *fleet) disturb(n int) {
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
			f.setCut(f.members[i].router.DataCentre)
			time.Sleep(2 * time.Second)
			f.setCut("")
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

func (f *fleet) setCut(region string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = region
}

func (f *fleet) setFaulty(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulty = on
}

// settle asks what became of the edits with an unknown outcome, and sends those
// again whose write may still be on its way.
func (f *fleet) settle() {
	h := historian.Historian{Store: f.store}
	e := editor.Editor{Store: f.store, InForce: f.inForce(f.members[0])}
	for id, u := range f.unknown {
		o, err := h.Find(f.t.Context(), id, u.expect)
		if err != nil {
			f.t.Error(err)
		}
		f.said[id] = nil
		switch o.Status {
		case historian.StatusNotAccepted:
			f.said[id] = kingcuphook.ErrUnavailable
		case historian.StatusUnknown:
			_, f.said[id] = e.Apply(f.t.Context(), u.edit)
		}
	}
}

// check compares every router with what the operators were told.
func (f *fleet) check() {
	first := f.current(f.members[0])
	for _, m := range f.members {
		s := f.current(m)
		if s.Revision() != first.Revision() || s.Lineage() != first.Lineage() {
			f.t.Errorf("%s has revision %d in force, %s has %d", m.router.Address, s.Revision(), f.members[0].router.Address, first.Revision())
		}
	}
	there := make(map[string]bool)
	for _, r := range first.Tables().Routes() {
		there[r.Name()] = true
	}
	for id, err := range f.said {
		if there[id] != (err == nil) {
			f.t.Errorf("edit %s: in force %t, but its operator was told %v", id, there[id], err)
		}
	}
}
