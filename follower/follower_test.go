package follower

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/encoder"
)

func TestTwoRoutersOfEachCentreWatch(t *testing.T) {
	is := is.New(t)
	routers := make([]Router, 0, 60)
	for i := range 60 {
		routers = append(routers, Router{Address: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: fmt.Sprint(i % 3)})
	}
	watchers := make(map[string]int)
	for _, r := range routers {
		if Watches(r, routers) {
			watchers[r.DataCentre]++
		}
	}
	is.Equal(watchers, map[string]int{"0": WatchersPerDataCentre, "1": WatchersPerDataCentre, "2": WatchersPerDataCentre})
	is.True(Watches(routers[0], nil))
}

// startFollower runs one follower of s and returns it with the events that it reports.
func startFollower(t *testing.T, s kingcuphook.Store, watches func() bool) (*Follower, *[]Event) {
	events := &[]Event{}
	f := &Follower{Store: s, Rand: rand.New(rand.NewPCG(1, 1)), IsWatcher: watches}
	f.OnEvent = func(e Event) { *events = append(*events, e) }
	go f.Run(t.Context())
	return f, events
}

func lastEvent(t *testing.T, events *[]Event) Event {
	t.Helper()
	synctest.Wait()
	if len(*events) == 0 {
		t.Fatal("no event")
	}
	return (*events)[len(*events)-1]
}

func TestInvalidValuesChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := outageFleet{fanout: fanout{store: &storer.Store{}}}
		c.edit(t, "1")
		f, events := startFollower(t, c.store, nil)
		time.Sleep(convergence)
		is.Equal(f.Current().Revision(), int64(1))
		_, err := c.store.Put(t.Context(), encoder.HeadKey, []byte("not a head"), kingcuphook.RevisionAny, 0)
		is.NoErr(err)
		time.Sleep(convergence)
		is.Equal(f.Current().Revision(), int64(1))
		is.Equal(lastEvent(t, events).Kind, EventRejected)
		var e *kingcuphook.InputError
		is.True(errors.As(lastEvent(t, events).Err, &e))
		is.Equal(e.File, encoder.HeadKey)

		is.True(errors.Is(f.ApplyUpdate("peer", []byte("not an update")), kingcuphook.ErrInvalid))
		bad := kingcuphook.NewTables(9, []*kingcuphook.Route{kingcuphook.NewRoute(kingcuphook.RouteFields{Name: "a", Tier: 1})}, nil)
		data, err := encoder.EncodeSnapshot(differ.NewSnapshot(bad, 1, nil))
		is.NoErr(err)
		is.True(errors.Is(f.ApplyUpdate("peer", data), kingcuphook.ErrInvalid))
		is.Equal(f.Current().Revision(), int64(1))
	})
}

func TestOlderStoreIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := outageFleet{fanout: fanout{store: &storer.Store{}}}
		c.edit(t, "1")
		old := c.store.Snapshot()
		c.edit(t, "2")
		var watches atomic.Bool
		watches.Store(true)
		f, events := startFollower(t, c.store, watches.Load)
		time.Sleep(convergence)
		c.store.Restore(old)
		// As a router that does not watch, the follower reads the older head many times.
		watches.Store(false)
		time.Sleep(10 * time.Minute)
		is.Equal(f.Current().Revision(), int64(2))
		is.Equal(lastEvent(t, events), Event{Kind: EventStoreOlder, Source: sourceStore, CurrentRevision: 2, ReceivedRevision: 1})
		n := 0
		for _, e := range *events {
			if e.Kind == EventStoreOlder {
				n++
			}
		}
		is.Equal(n, 1)

		// A store that has lost its data counts as older too.
		c.store.Restore(storer.Snapshot{})
		time.Sleep(time.Minute)
		is.Equal(f.Current().Revision(), int64(2))
		is.Equal(lastEvent(t, events), Event{Kind: EventStoreOlder, Source: sourceStore, CurrentRevision: 2})
	})
}
