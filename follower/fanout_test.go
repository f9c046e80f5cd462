package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/gossiper"
)

const (
	// changesPerDay is the rate of edits that the fleet is designed for.
	changesPerDay = 110_000
	// maxWrites is a tenth of the writes that the store can serve per second.
	maxWrites = 30
	// maxStoreBytes is half of the bytes per second that a node may transfer for
	// control; the rest is for exchanges with peers.
	maxStoreBytes = 1500
	// pollInterval is how often the control loop of a router polls its gossiper.
	pollInterval = 100 * time.Millisecond
)

// warmUp is the time in which the routers of a new fleet discover each other.
const warmUp = 60 * time.Second

// node is one router with its follower, its gossiper and its traffic counters.
type node struct {
	f       *Follower
	g       *gossiper.Gossiper
	address string
	watches atomic.Bool
	// storeBytes counts the bytes of values read from the store, peerBytes those of
	// digests and tables sent and received.
	storeBytes, peerBytes atomic.Int64
}

// meteredStore counts the bytes that a node reads from the store.
type meteredStore struct {
	kingcuphook.Store
	n *node
}

func (s meteredStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.n.storeBytes.Add(int64(len(e.Value())))
	return e, err
}

func (s meteredStore) Watch(ctx context.Context, prefix string, after int64) ([]kingcuphook.Entry, int64, error) {
	entries, revision, err := s.Store.Watch(ctx, prefix, after)
	for _, e := range entries {
		s.n.storeBytes.Add(int64(len(e.Value())))
	}
	return entries, revision, err
}

// fanout is a fleet whose routers exchange digests within this process.
type fanout struct {
	t      *testing.T
	store  *storer.Store
	nodes  []*node
	byAddr map[string]*node
	// onEvent receives the events of all followers; may be nil.
	onEvent func(Event)
}

func newFanout(t *testing.T, n, centres, regions int, everyWatches bool) *fanout {
	f := &fanout{t: t, store: &storer.Store{}, byAddr: make(map[string]*node)}
	f.start(n, centres, regions, everyWatches)
	return f
}

// start starts the routers.
func (f *fanout) start(n, centres, regions int, everyWatches bool) {
	vms := make([]kingcuphook.VM, n)
	for i := range n {
		centre := i % centres
		vms[i] = kingcuphook.NewVM(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			fmt.Sprintf("region-%d", centre%regions), fmt.Sprintf("centre-%d", centre), kingcuphook.VMStateLive)
	}
	for i, vm := range vms {
		nd := &node{address: vm.Address()}
		nd.f = &Follower{
			Store: meteredStore{Store: f.store, n: nd}, IsWatcher: nd.watches.Load, Rand: rand.New(rand.NewPCG(uint64(i), 1)), OnEvent: f.onEvent,
		}
		nd.g = &gossiper.Gossiper{
			Address: vm.Address(), Location: gossiper.Location{Region: vm.Region(), DataCentre: vm.DataCentre()},
			Incarnation: 1, Rand: rand.New(rand.NewPCG(uint64(i), 2)),
		}
		nd.g.Changes = func(after int64, limit int) []byte {
			data, err := nd.f.Update(after)
			if err != nil || len(data) > limit || everyWatches {
				return nil
			}
			return data
		}
		nd.g.SetHints(time.Now(), vms)
		nd.watches.Store(everyWatches || nd.g.WatchesStore(time.Now()))
		f.nodes = append(f.nodes, nd)
		f.byAddr[nd.address] = nd
		go nd.f.Run(f.t.Context())
	}
}

// poll runs one round of the control loops of all routers.
func (f *fanout) poll(everyWatches bool) {
	now := time.Now()
	for _, n := range f.nodes {
		n.watches.Store(everyWatches || n.g.WatchesStore(now))
		n.g.SetRevision(now, n.f.Current().Revision(), "")
		for _, address := range n.g.Poll(now) {
			f.exchange(now, n, f.byAddr[address])
		}
	}
}

func (f *fanout) exchange(now time.Time, a, b *node) {
	request := a.g.Request(now, b.address)
	f.merge(now, b, f.carry(a, b, request))
	f.merge(now, a, f.carry(b, a, b.g.Reply(now, request)))
}

// carry encodes a digest, counts its bytes on both sides and decodes it.
func (f *fanout) carry(from, to *node, d *gossiper.Digest) *gossiper.Digest {
	data, err := exchanger.Encode(d)
	if err != nil {
		f.t.Fatal(err)
	}
	from.peerBytes.Add(int64(len(data)))
	to.peerBytes.Add(int64(len(data)))
	d, err = exchanger.Decode(data)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

func (f *fanout) merge(now time.Time, n *node, d *gossiper.Digest) {
	behind, err := n.g.Merge(now, d)
	if err != nil {
		f.t.Fatal(err)
	}
	if !behind {
		return
	}
	peer := f.byAddr[d.Sender.Address]
	data := d.Changes
	if len(data) == 0 || d.ChangesAfter > n.f.Current().Revision() {
		data, err = peer.f.Update(n.f.Current().Revision())
		if err != nil {
			f.t.Fatal(err)
		}
		peer.peerBytes.Add(int64(len(data)))
		n.peerBytes.Add(int64(len(data)))
	}
	if err := n.f.ApplyUpdate(peer.address, data); err != nil {
		f.t.Fatal(err)
	}
	n.g.SetRevision(now, n.f.Current().Revision(), peer.address)
}

// edit makes random edits at changesPerDay for the duration d and returns the
// longest time until all routers had applied one.
func (f *fanout) edit(rng *rand.Rand, d time.Duration, everyWatches bool) time.Duration {
	e := editor.Editor{Store: f.store}
	accepted := make(map[int64]time.Time)
	var slowest time.Duration
	next, revision := time.Now(), int64(0)
	for end := time.Now().Add(d); time.Now().Before(end) || len(accepted) > 0; {
		if !time.Now().Before(next) && time.Now().Before(end) {
			revision = editRoute(f.t, &e, kingcuphook.RouteFields{
				Name: "organisation-17-class-2", Organisation: "organisation-17", Class: "class-2", Tier: 2, Rate: rng.Float64(),
			})
			accepted[revision] = time.Now()
			next = next.Add(time.Duration(rng.ExpFloat64() * float64(24*time.Hour) / changesPerDay))
		}
		time.Sleep(pollInterval)
		synctest.Wait()
		f.poll(everyWatches)
		low := f.lowest()
		for r, at := range accepted {
			if r <= low {
				slowest = max(slowest, time.Since(at))
				delete(accepted, r)
			}
		}
		if time.Since(end) > time.Minute {
			f.t.Fatalf("some routers have not applied revision %d after a minute", revision)
		}
	}
	return slowest
}

func (f *fanout) lowest() int64 {
	low := f.nodes[0].f.Current().Revision()
	for _, n := range f.nodes {
		low = min(low, n.f.Current().Revision())
	}
	return low
}

// bytes returns the mean and the highest number of bytes per node, read from the
// store and in total, and resets the counters.
func (f *fanout) bytes() (storeMean, storeMax, allMean, allMax int64) {
	for _, n := range f.nodes {
		s, p := n.storeBytes.Swap(0), n.peerBytes.Swap(0)
		storeMean += s
		allMean += s + p
		storeMax, allMax = max(storeMax, s), max(allMax, s+p)
	}
	n := int64(len(f.nodes))
	return storeMean / n, storeMax, allMean / n, allMax
}

// Changes at the rate that the fleet is designed for must reach every router in time
// and within the limits of the store and of each node. The -v flag prints the figures.
func TestFanOutStaysInBudget(t *testing.T) {
	for _, tt := range []struct {
		nodes, centres, regions int
		everyWatches            bool
	}{{8, 3, 3, false}, {8, 3, 3, true}, {*FleetNodes, 21, 10, false}, {*FleetNodes, 21, 10, true}} {
		name := fmt.Sprintf("nodes=%d/every-router-watches=%t", tt.nodes, tt.everyWatches)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFanout(t, tt.nodes, tt.centres, tt.regions, tt.everyWatches)
				rng := rand.New(rand.NewPCG(1, 1))
				f.edit(rng, warmUp, tt.everyWatches)
				f.bytes()
				before, start := f.store.Counts(), time.Now()
				slowest := f.edit(rng, 30*time.Second, tt.everyWatches)
				after, seconds := f.store.Counts(), time.Since(start).Seconds()
				reads := float64(after.Reads+after.Watches-before.Reads-before.Watches) / seconds
				writes := float64(after.Writes-before.Writes) / seconds
				storeMean, storeMax, allMean, allMax := f.bytes()
				t.Logf("store: %.1f reads and watches/s, %.1f writes/s; node: from the store mean %.0f max %.0f B/s, in all mean %.0f max %.0f B/s; slowest in force after %v",
					reads, writes, float64(storeMean)/seconds, float64(storeMax)/seconds,
					float64(allMean)/seconds, float64(allMax)/seconds, slowest)
				if tt.everyWatches {
					return
				}
				if reads > maxCalls || writes > maxWrites || float64(storeMax)/seconds > maxStoreBytes || slowest > convergence {
					t.Error("over budget")
				}
			})
		})
	}
}

// If all routers of a fleet start at the same time, only a few may load the tables
// from the store; the others must get them from peers.
func TestColdStartLoadsTablesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const centres = 21
		f := newFanout(t, *FleetNodes, centres, 10, false)
		rng := rand.New(rand.NewPCG(1, 1))
		f.edit(rng, warmUp, false)
		revision := f.lowest()
		var loads, reads atomic.Int64
		f.store.Hook = func(op, key string) storer.Fault {
			if op == storer.OpGet {
				reads.Add(1)
			}
			if strings.HasPrefix(key, encoder.ManifestPrefix) {
				loads.Add(1)
			}
			return storer.Fault{}
		}
		g := &fanout{t: t, store: f.store, byAddr: make(map[string]*node)}
		g.start(len(f.nodes), centres, 10, false)
		start := time.Now()
		for g.lowest() < revision {
			time.Sleep(pollInterval)
			synctest.Wait()
			g.poll(false)
			if time.Since(start) > time.Minute {
				t.Fatal("not all routers have tables after a minute")
			}
		}
		t.Logf("%d routers: all have tables after %v, %d loads and %d reads", len(g.nodes), time.Since(start), loads.Load(), reads.Load())
		if loads.Load() > 4*centres {
			t.Error("too many routers loaded the tables from the store")
		}
	})
}
