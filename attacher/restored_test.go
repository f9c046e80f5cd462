package attacher

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/pinner"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// A change at a store revision that had been given out before was not in force on routers that
// get the changes from others.
func TestChangeIsAppliedAfterStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	fleet := w.startFleet(60, 6)
	time.Sleep(3 * time.Second) // until delegates are chosen
	older := w.store.Snapshot()
	w.declare()
	w.declare()
	time.Sleep(applyTime)
	w.served.Restore(older)
	w.version -= 3
	w.declare() // the operator writes again what was lost
	w.revokeKey(fleet)
}

// An upstream that leaves after the store came back older still got new work, since its
// registration had a lower revision than one that the store had lost.
func TestLeavingIsAppliedAfterStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	fleet := w.startFleet(61, 6)
	time.Sleep(3 * time.Second)
	older := w.store.Snapshot()
	for range 5 {
		w.register("i-0", w.addresses[0], false)
	}
	time.Sleep(applyTime)
	w.served.Restore(older)
	w.register("i-0", w.addresses[0], false)
	w.register("i-0", w.addresses[0], true)
	time.Sleep(applyTime)
	for _, p := range fleet {
		w.True(strings.Contains(p.log.String(), "leaving=1"))
	}
}

// An upstream that had left got new work again from the registration in the older copy.
func TestUpstreamThatLeftStaysGoneAfterStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	fleet := w.startFleet(62, 3)
	older := w.store.Snapshot()
	w.register("i-0", w.addresses[0], true)
	time.Sleep(time.Second)
	w.unregister("i-0")
	time.Sleep(applyTime)
	w.served.Restore(older)
	before := w.runsOfFirst()
	for until := time.Now().Add(applyTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, p := range fleet {
			status, _, err := p.call(standin.KindIdempotent, "secret")
			w.NoErr(err)
			w.Equal(status, http.StatusOK)
		}
	}
	w.Equal(w.runsOfFirst(), before)
}

// A router that started while the store had an older copy began with the older configuration,
// though its peers knew the newer one.
func TestRouterStartsWithNewestConfigurationOfPeers(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	fleet := w.startFleet(63, 3)
	older := w.store.Snapshot()
	w.revokeKey(fleet)
	w.served.Restore(older)
	time.Sleep(applyTime)
	for _, p := range fleet {
		w.True(p.rejects("secret"))
	}
	started := w.start(loopback("64.1"), w.server.Listener.Addr().String(), loopback("63.1"), loopback("63.2"))
	w.waitFor("readiness", started.isReady)
	w.True(started.rejects("secret"))
	w.True(!started.rejects("other"))
}

// The record of versions that an older copy of the store lacked was never written again.
func TestVersionsAreRecordedAgainAfterStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	older := w.store.Snapshot()
	w.startFleet(71, 2)
	isRecorded := func() bool {
		records, err := w.store.List(t.Context(), pinner.RecordPrefix)
		w.NoErr(err)
		return len(records) > 0
	}
	w.waitFor("a record", isRecorded)
	time.Sleep(3 * time.Second) // until both routers have it
	w.served.Restore(older)
	w.waitFor("the record to be back", isRecorded)
}

// Streams were unknown whose segments of the ledger an older copy of the store lacked.
func TestLedgerIsWrittenAgainAfterStoreCameBackOlder(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "2")
	fleet := w.startFleet(89, 2)
	time.Sleep(2 * time.Second) // until the routers know each other
	older := w.store.Snapshot()
	streams := w.begin(fleet[0], 4)
	w.served.Restore(older)
	time.Sleep(2 * time.Second)
	w.restart(89, fleet, 0, 1)
	w.Equal(w.countResumed(fleet[1], streams), len(streams))
}
