package attacher

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// quarantine sends calls with crashingPart until it is quarantined in the store, and returns the
// record.
func (f *crashFleet) quarantine() kingcuphook.Entry {
	f.t.Helper()
	f.crashing.Store(true)
	var stored kingcuphook.Entry
	f.waitFor("the record of the part", func() bool {
		f.load(500*time.Millisecond, 25*time.Millisecond, func(n int) []string {
			if n%5 == 0 {
				return crashingParts(n)
			}
			return soundParts(n)
		})
		entries, err := f.store.List(context.Background(), partPrefix)
		f.NoErr(err)
		if len(entries) > 0 {
			stored = entries[0]
		}
		return len(entries) > 0
	})
	return stored
}

// served reports whether a call with crashingPart is served.
func (f *crashFleet) served() bool { return f.send(crashingParts(1)).ok }

// A part was sent to upstreams again once all routers had ended at the same moment.
func TestQuarantineOutlivesAllRouters(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 50, 3, 8, standin.CrashBeforeHead)
	f.quarantine()
	for _, p := range f.routers {
		p.stop()
	}
	for _, p := range f.routers {
		f.waitFor("the end of the router", func() bool { return !p.isReady() })
	}
	before := len(f.crashTimes())
	f.routers = f.startFleet(51, 3)
	for range 10 {
		f.True(!f.served())
	}
	f.Equal(len(f.crashTimes()), before)
}

// A record that the store has lost is written again, and one that an operator has changed lifts
// the quarantine on all routers.
func TestOperatorLiftsQuarantineInStore(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 52, 3, 8, standin.CrashBeforeHead)
	stored := f.quarantine()
	f.NoErr(f.store.Delete(t.Context(), stored.Key(), stored.Revision()))
	f.waitFor("the record to be written again", func() bool {
		_, err := f.store.Get(t.Context(), stored.Key())
		return err == nil
	})
	f.True(!f.served())
	f.crashing.Store(false)
	record, err := isolator.DecodeRecord(stored.Value())
	f.NoErr(err)
	record.State = isolator.StateLifted
	value, err := record.Encode()
	f.put(stored.Key(), value, err)
	f.waitFor("the lift", func() bool {
		for range 5 {
			if !f.served() {
				return false
			}
		}
		return true
	})
}

// A part that crashes upstreams no more was refused for as long as its quarantine lasted.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 53, 3, 8, standin.CrashBeforeHead)
	stored := f.quarantine()
	time.Sleep(2 * time.Second) // until upstreams are back
	before := len(f.crashTimes())
	calls := f.load(18*time.Second, 100*time.Millisecond, crashingParts)
	f.Equal(len(f.crashTimes()), before+1) // one trial
	f.Equal(f.reached(calls), 1)

	entry, err := f.store.Get(t.Context(), stored.Key())
	f.NoErr(err)
	record, err := isolator.DecodeRecord(entry.Value())
	f.NoErr(err)
	f.Equal(record.Trials, 1)
	// The next trial is due at once.
	f.crashing.Store(false)
	record.TriedAt = record.TriedAt.Add(-time.Hour)
	value, err := record.Encode()
	f.put(entry.Key(), value, err)
	until := time.Now().Add(60 * time.Second)
	for !f.served() {
		if time.Now().After(until) {
			t.Fatal("the part is still refused")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// A call with a quarantined part gets at once an error that names the part.
func TestQuarantinedPartIsNamedAtOnce(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 54, 1, 8, standin.CrashBeforeHead)
	stored := f.quarantine()
	c := standin.Call{Kind: standin.KindStream, ID: "refused", Key: "secret", Deadline: 4 * time.Second, Body: strings.NewReader("x"), Parts: append(crashingParts(0), "0last")}
	r, err := c.Request(t.Context(), f.routers[0].front)
	f.NoErr(err)
	begun := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(r)
	f.NoErr(err)
	defer resp.Body.Close()
	f.True(time.Since(begun) < 200*time.Millisecond)
	f.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	f.Equal(resp.Header.Get("Retry-After"), "15.000")
	record, err := isolator.DecodeRecord(stored.Value())
	f.NoErr(err)
	f.True(strings.Contains(f.routers[0].log.String(), "prompt part "+record.Part+" crashes upstreams"))
}

// An invalid record under the key of a quarantined part was never replaced, so that the quarantine
// would have ended with the routers that knew it.
func TestInvalidPartRecordIsReplaced(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 55, 3, 8, standin.CrashBeforeHead)
	stored := f.quarantine()
	f.crashing.Store(false)
	f.put(stored.Key(), []byte("null"), nil)
	f.waitFor("a valid record", func() bool {
		e, err := f.store.Get(t.Context(), stored.Key())
		f.NoErr(err)
		_, err = isolator.DecodeRecord(e.Value())
		return err == nil
	})
	for _, p := range f.routers {
		f.True(p.count(logger.PartRecordRejected) <= 1)
	}
	f.True(!f.served())
}
