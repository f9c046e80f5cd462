package quarantiner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// Fingerprints of a request that crashes upstreams and of two that don't.
const crashing, harmless, harmless2 = 1, 2, 3

var start = time.Unix(1000, 0)

// after returns the time d after start.
func after(d time.Duration) time.Time { return start.Add(d) }

func TestQuarantineOfOnlySuspect(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	is.Equal(q.Check(start, crashing), VerdictClear)
	q.RecordCrash(start, crashing, "u1")
	q.RecordCrash(start, harmless, "u1")
	is.Equal(q.Check(start, crashing), VerdictSuspect)
	q.RecordCrash(after(time.Second), crashing, "u2")
	q.RecordCrash(after(time.Second), harmless2, "u2")
	is.Equal(q.Check(after(10*time.Second), crashing), VerdictHeld) // each of its two crashes has another suspect
	q.MarkCleared(after(10*time.Second), harmless2)
	is.Equal(q.Check(after(10*time.Second), crashing), VerdictQuarantined)
	is.Equal(q.Check(after(10*time.Second), harmless), VerdictClear) // its crash is attributed to the other request
	is.Equal(len(q.List(after(10 * time.Second))[0].Crashes()), 2)
	q.RecordCrash(after(10*time.Second), harmless, "u1")
	is.Equal(q.Check(after(10*time.Second), harmless), VerdictClear) // a late report of the same crash
	is.True(!q.set(after(11*time.Second), crashing, stateCleared))
	is.True(q.Lift(after(11*time.Second), crashing))
	is.Equal(q.Check(after(11*time.Second), crashing), VerdictClear)
	is.True(!q.Lift(after(11*time.Second), crashing))
}

func TestQuarantineWaitsForSettleTime(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	q.RecordCrash(start, crashing, "u1")
	q.RecordCrash(start, crashing, "u2")
	is.Equal(q.Check(after(defaultSettleTime-1), crashing), VerdictHeld)
	is.Equal(q.Check(after(defaultSettleTime), crashing), VerdictQuarantined)
	is.Equal(q.Check(after(defaultSettleTime+defaultQuarantineTTL), crashing), VerdictQuarantined)
	is.Equal(q.Check(after(defaultSettleTime+defaultQuarantineTTL+1), crashing), VerdictClear)
}

// TestLiftOverridesPendingQuarantineOfPeer lifts a quarantine on one router before the
// other router, which has the same crashes, has computed it. The second router must
// apply the lift although it made its own quarantine later.
func TestLiftOverridesPendingQuarantineOfPeer(t *testing.T) {
	is := is.New(t)
	var a, b Quarantiner
	a.RecordCrash(start, crashing, "u1")
	a.RecordCrash(start, crashing, "u2")
	is.NoErr(b.Import(start, a.Export(start, 1<<16)))
	is.Equal(a.Check(after(3*time.Second), crashing), VerdictQuarantined)
	is.True(a.Lift(after(3*time.Second), crashing))
	lifted := a.Export(after(3*time.Second), 1<<16)
	is.Equal(b.Check(after(4*time.Second), crashing), VerdictQuarantined)
	is.NoErr(b.Import(after(4*time.Second), lifted))
	is.Equal(b.Check(after(4*time.Second), crashing), VerdictClear)
}

func TestUnknownFingerprintIsNoSuspect(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	q.RecordCrash(start, 0, "u1")
	q.RecordCrash(start, 0, "u2")
	is.Equal(q.Check(after(defaultSettleTime), 0), VerdictClear)
}

func TestReservationOfUpstream(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	is.True(q.Reserve(crashing, "u1"))
	is.True(!q.Reserve(harmless, "u1"))
	q.Release(harmless, "u1") // reserved by another suspect
	is.Equal(q.Reserved(), []string{"u1"})
	q.Release(crashing, "u1")
	is.True(q.Reserve(harmless, "u1"))
}

// TestEvictionKeepsQuarantinedEntry adds more suspects than MaxEntries allows: the
// quarantined entry must not be evicted, and no export may exceed its limit.
func TestEvictionKeepsQuarantinedEntry(t *testing.T) {
	is := is.New(t)
	q := Quarantiner{MaxEntries: 10}
	q.RecordCrash(start, crashing, "u1")
	q.RecordCrash(start, crashing, "u2")
	is.Equal(q.Check(after(defaultSettleTime), crashing), VerdictQuarantined)
	for i := range 100 {
		q.RecordCrash(after(defaultSettleTime), uint64(10+i), "u3")
	}
	is.Equal(len(q.List(after(defaultSettleTime))), 10)
	is.Equal(q.Check(after(defaultSettleTime), crashing), VerdictQuarantined)
	for i := range 100 {
		is.True(len(q.Export(after(defaultSettleTime), i)) <= i)
	}
}

// TestLimitedExportPrefersHeldSuspect exports with a limit that has room for few
// entries. The suspect of two crashes must be among them, because peers must hold it.
func TestLimitedExportPrefersHeldSuspect(t *testing.T) {
	is := is.New(t)
	var a, b Quarantiner
	a.RecordCrash(start, crashing, "10.0.0.1:80")
	a.RecordCrash(after(time.Second), crashing, "10.0.0.2:80")
	for i := range 30 {
		a.RecordCrash(after(2*time.Second), uint64(10+i), "10.0.0.2:80")
	}
	is.NoErr(b.Import(after(2*time.Second), a.Export(after(2*time.Second), 100)))
	is.Equal(b.Check(after(2*time.Second), crashing), VerdictHeld)
}

// TestRandomExchangesConverge applies random events to three routers that exchange
// their entries at random. After a full exchange all must have the same requests
// quarantined.
func TestRandomExchangesConverge(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		now := start
		routers := make([]*Quarantiner, 3)
		for i := range routers {
			routers[i] = &Quarantiner{}
		}
		for range 30 {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			q, fingerprint := routers[r.IntN(3)], uint64(r.IntN(4))
			switch r.IntN(6) {
			case 0:
				q.MarkCleared(now, fingerprint)
			case 1:
				q.Lift(now, fingerprint)
			case 2:
				is.NoErr(q.Import(now, routers[r.IntN(3)].Export(now, 1<<16)))
			default:
				q.RecordCrash(now, fingerprint, fmt.Sprint("u", r.IntN(3)))
			}
		}
		now = now.Add(defaultSettleTime)
		for range 3 {
			for _, q := range routers {
				for _, p := range routers {
					is.NoErr(q.Import(now, p.Export(now, 1<<16)))
				}
			}
		}
		for fingerprint := range uint64(4) {
			is.Equal(routers[0].Check(now, fingerprint) == VerdictQuarantined, routers[1].Check(now, fingerprint) == VerdictQuarantined)
			is.Equal(routers[0].Check(now, fingerprint) == VerdictQuarantined, routers[2].Check(now, fingerprint) == VerdictQuarantined)
		}
	}
}

// FuzzImport checks that malformed payloads are rejected as a whole, and that accepted
// ones leave no entry with too many crashes or a time in the future.
func FuzzImport(f *testing.F) {
	var q Quarantiner
	q.RecordCrash(start, crashing, "10.0.0.1:80")
	q.RecordCrash(start, crashing, "10.0.0.2:80")
	q.RecordCrash(start, harmless, "10.0.0.1:80")
	f.Add(q.Export(after(defaultSettleTime), 1<<16))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var q Quarantiner
		if err := q.Import(start, b); err != nil {
			if !errors.Is(err, kingcuphook.ErrInvalid) || len(q.List(start)) > 0 {
				t.Fatal("malformed payload was not rejected as a whole")
			}
			return
		}
		for _, e := range q.List(start) {
			if len(e.Crashes()) > MaxCrashes || e.Changed().After(start) {
				t.Fatal("imported entry has too many crashes or a time in the future")
			}
		}
	})
}

// Sound requests that were broken off twice with others were rejected after the cause of the
// crashes had been found.
func TestRequestsOfExplainedCrashesAreCleared(t *testing.T) {
	is := is.New(t)
	var q Quarantiner
	for n, upstream := range []string{"u1", "u2"} {
		q.RecordCrash(after(time.Duration(n)*time.Second), harmless, upstream)
		q.RecordCrash(after(time.Duration(n)*time.Second), harmless2, upstream)
	}
	q.RecordCrash(after(time.Second), crashing, "u3")
	q.RecordCrash(after(2*time.Second), crashing, "u4")
	now := after(5 * time.Second)
	is.Equal(q.Check(now, harmless), VerdictHeld)
	is.Equal(q.Check(now, crashing), VerdictQuarantined)
	q.Attribute(now, []Crash{NewCrash("u1", start), NewCrash("u2", after(time.Second)), NewCrash("u3", after(time.Second))})
	is.Equal(q.Check(now, harmless), VerdictClear)
	is.Equal(q.Check(now, harmless2), VerdictClear)
	is.Equal(q.Check(now, crashing), VerdictQuarantined) // one of its crashes is not explained
	q.Attribute(now, []Crash{NewCrash("u3", after(time.Second)), NewCrash("u4", after(2*time.Second))})
	is.Equal(q.Check(now, crashing), VerdictClear)
}
