package follower

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

const (
	// fleetSeeds is how many histories each property is tried on.
	fleetSeeds = 40
	// convergence is the time in which a change must be in force everywhere.
	convergence = 3 * time.Second
)

// run lets two operators edit while things break; round tells their edits apart.
func (f *fleet) run(round string, edits, disturbances int) {
	var wg sync.WaitGroup
	wg.Go(func() { f.operate(f.members[0], "nour-"+round, edits) })
	wg.Go(func() { f.operate(f.members[4], "omar-"+round, edits) })
	wg.Go(func() { f.disturb(disturbances) })
	wg.Wait()
	time.Sleep(convergence)
	f.settle()
}

func TestTablesNeverRevert(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed)
			f.run("first", 12, 5)
			time.Sleep(convergence)
			f.check()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		})
	}
}

func TestOlderStoreIsNotFollowed(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed)
			f.run("first", 4, 0)
			old := f.store.Snapshot()
			f.run("second", 4, 0)
			time.Sleep(convergence)
			f.store.Restore(old)
			f.run("third", 4, 3)
			time.Sleep(convergence)
			f.check()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		})
	}
}

// A router that starts while the store is down serves from a peer's copy.
func TestStartFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.run("first", 2, 0)
		time.Sleep(convergence)
		f.store.SetFault(storer.Fault{Down: true})
		f.mu.Lock()
		m := f.members[5]
		m.stop()
		f.start(m)
		f.mu.Unlock()
		time.Sleep(convergence)
		f.store.SetFault(storer.Fault{})
		f.check()
	})
}
