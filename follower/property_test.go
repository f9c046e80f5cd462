package follower

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

const (
	// fleetSeeds is how many seeds each property is checked with.
	fleetSeeds = 40
	// convergence is the time in which all routers must have applied a change.
	convergence = 3 * time.Second
)

// run lets two operators edit at the same time while faults are injected. The round
// is part of the names of the edits, which must be unique.
func (f *fleet) run(round string, edits, faults int) {
	var wg sync.WaitGroup
	wg.Go(func() { f.runOperator(f.members[0], "nour-"+round, edits) })
	wg.Go(func() { f.runOperator(f.members[4], "omar-"+round, edits) })
	wg.Go(func() { f.injectFaults(faults) })
	wg.Wait()
	time.Sleep(convergence)
	f.resolveUnknown()
}

// Under random faults, no router may go back to a lower revision, and all must end with
// the same tables, which hold just the edits that were reported as successful.
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

// After the store was restored from an older copy, no router may go back to the older
// tables, and edits after the restore must not be lost.
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

// A router that starts while the store is down must load the tables from a peer.
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
