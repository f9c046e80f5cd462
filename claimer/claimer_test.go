package claimer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// key is the hash of the idempotency key that most tests claim.
var key = claimer.HashOf("cafe", "token")

// fleet is a set of claimers on one store with fault injection.
type fleet struct {
	*is.I
	store *storer.Store
	// fault returns the fault to inject into each store call; nil means none.
	fault    atomic.Pointer[func(op, key string) storer.Fault]
	claimers []*claimer.Claimer
}

// runTest runs f with n claimers under a virtual clock.
func runTest(t *testing.T, n int, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{I: is.New(t)}
		fl.store = &storer.Store{Hook: func(op, key string) storer.Fault {
			if fault := fl.fault.Load(); fault != nil {
				return (*fault)(op, key)
			}
			return storer.Fault{}
		}}
		for i := range n {
			fl.claimers = append(fl.claimers, &claimer.Claimer{Store: fl.store, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		}
		f(fl)
		time.Sleep(time.Minute)
		for _, c := range fl.claimers {
			fl.NoErr(c.Drain(t.Context()))
		}
	})
}

func (f *fleet) fail(fault func(op, key string) storer.Fault) { f.fault.Store(&fault) }

func (f *fleet) claim(n int) claimer.Ticket {
	t, err := f.claimers[n].Claim(context.Background(), key, 7)
	f.NoErr(err)
	return t
}

// once returns a function that injects the fault into the first write of a head.
func once(fault storer.Fault) func(op, key string) storer.Fault {
	var done atomic.Bool
	return func(op, key string) storer.Fault {
		if op == storer.OpPut && strings.HasSuffix(key, "head") && !done.Swap(true) {
			return fault
		}
		return storer.Fault{}
	}
}

// TestResendGetsStoredOutcome checks that a resend on any router finds the claim, and
// the outcome once it is stored.
func TestResendGetsStoredOutcome(t *testing.T) {
	runTest(t, 2, func(f *fleet) {
		first := f.claim(0)
		f.True(first.Held())
		for n := range 2 {
			again := f.claim(n)
			f.True(!again.Held())
			_, known := again.Outcome()
			f.True(!known)
			f.Equal(again.Fingerprint(), uint64(7))
		}
		want := claimer.Outcome{Status: 200, Body: []byte("paid")}
		f.claimers[0].StoreOutcome(first, want)
		time.Sleep(2 * time.Second)
		for n := range 2 {
			o, known := f.claim(n).Outcome()
			f.True(known)
			f.Equal(o, want)
		}
	})
}

func TestLargeOutcomeIsNotKept(t *testing.T) {
	runTest(t, 1, func(f *fleet) {
		f.claimers[0].StoreOutcome(f.claim(0), claimer.Outcome{Body: make([]byte, 4<<10)})
		time.Sleep(2 * time.Second)
		_, known := f.claim(0).Outcome()
		f.True(!known)
	})
}

func TestReleasedClaimIsTakenOverOnce(t *testing.T) {
	runTest(t, 3, func(f *fleet) {
		f.claimers[0].Release(f.claim(0))
		time.Sleep(2 * time.Second)
		held := make(chan bool, 2)
		for n := range 2 {
			go func() { held <- f.claim(n + 1).Held() }()
		}
		first, second := <-held, <-held
		f.True(first != second) // exactly one
	})
}

// TestLostReply checks that a claim is still acquired exactly once when the request
// or the reply of its write is lost or late.
func TestLostReply(t *testing.T) {
	for _, fault := range []storer.Fault{{LoseReply: true}, {LoseRequest: true}, {Down: true}, {Delay: time.Second}} {
		runTest(t, 2, func(f *fleet) {
			f.fail(once(fault))
			f.True(f.claim(0).Held())
			f.True(!f.claim(1).Held())
		})
	}
}

// TestConcurrentClaims claims keys through 8 claimers concurrently, with varying
// delays of the store, and checks that exactly one acquires each key.
func TestConcurrentClaims(t *testing.T) {
	runTest(t, 8, func(f *fleet) {
		var delays atomic.Uint64
		f.fail(func(string, string) storer.Fault {
			return storer.Fault{Delay: time.Duration(delays.Add(7_919)%20) * time.Millisecond}
		})
		for n := range 20 {
			h := claimer.HashOf("cafe", string(rune('a'+n)))
			held := make(chan bool, len(f.claimers))
			for _, c := range f.claimers {
				go func() {
					ticket, err := c.Claim(context.Background(), h, 1)
					held <- err == nil && ticket.Held()
				}()
			}
			count := 0
			for range f.claimers {
				if <-held {
					count++
				}
			}
			f.Equal(count, 1)
		}
	})
}

// TestClaimFailsDuringOutage checks that a claim fails after MaxWait while the store is
// down, and that the key can be claimed when the store is back.
func TestClaimFailsDuringOutage(t *testing.T) {
	runTest(t, 1, func(f *fleet) {
		f.fail(func(string, string) storer.Fault { return storer.Fault{Down: true} })
		began := time.Now()
		_, err := f.claimers[0].Claim(context.Background(), key, 7)
		f.True(errors.Is(err, kingcuphook.ErrUnavailable))
		f.Equal(time.Since(began), 2*time.Second) // the default of MaxWait
		f.fail(func(string, string) storer.Fault { return storer.Fault{} })
		f.True(f.claim(0).Held())
	})
}

// TestAbandonedClaimIsReleased checks that a claim is released when its caller
// gives up while the write is in flight.
func TestAbandonedClaimIsReleased(t *testing.T) {
	runTest(t, 2, func(f *fleet) {
		f.fail(once(storer.Fault{Delay: 400 * time.Millisecond}))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := f.claimers[0].Claim(ctx, key, 7)
		f.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(5 * time.Second)
		f.True(f.claim(1).Held())
	})
}

// TestClaimExpires checks that a claim is too old to dispatch on after a quarter of the
// retention, but can't be replaced before the end of the retention.
func TestClaimExpires(t *testing.T) {
	runTest(t, 2, func(f *fleet) {
		first := f.claim(0)
		f.True(first.Usable(time.Now()))
		time.Sleep(15 * time.Minute)
		f.True(!first.Usable(time.Now())) // too old to dispatch on
		time.Sleep(45 * time.Minute)
		f.True(!f.claim(1).Held())
		time.Sleep(time.Second)
		f.True(f.claim(1).Held())
	})
}

// TestSegments seals the head after every claim and checks that claims are found in
// segments, and that no key is claimed again while its segment is lost.
func TestSegments(t *testing.T) {
	runTest(t, 3, func(f *fleet) {
		for _, c := range f.claimers {
			c.HeadBytes = 1
		}
		f.True(f.claim(0).Held())
		for n := range 20 {
			ticket, err := f.claimers[n%2].Claim(context.Background(), claimer.HashOf("cafe", string(rune('a'+n))), 1)
			f.NoErr(err)
			f.True(ticket.Held())
		}
		f.True(f.claimers[0].Counts().Sealed > 5)
		f.True(!f.claim(1).Held())

		// The store loses the leases, and the segments with them.
		for id := range kingcuphook.LeaseID(40) {
			f.NoErr(f.store.Revoke(context.Background(), id+1))
		}
		for n := range 2 { // one claimer has cached the segments, one has not
			_, err := f.claimers[1+n].Claim(context.Background(), key, 7)
			f.True(errors.Is(err, kingcuphook.ErrUnavailable)) // not mistaken for an unclaimed key
		}
		time.Sleep(61 * time.Minute)
		f.True(f.claim(1).Held())
	})
}

func TestMalformedHeadIsRejected(t *testing.T) {
	runTest(t, 1, func(f *fleet) {
		_, err := f.store.Put(context.Background(), "claims/0/head", []byte("what"), kingcuphook.RevisionAny, 0)
		f.NoErr(err)
		_, err = f.claimers[0].Claim(context.Background(), key, 7)
		f.True(errors.Is(err, kingcuphook.ErrUnavailable))
	})
}

// lateStore applies the first write of a head only after a delay. The writer gets
// ErrOutcomeUnknown at once.
type lateStore struct {
	kingcuphook.Store
	after time.Duration
	done  atomic.Bool
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expect int64, lease kingcuphook.LeaseID) (int64, error) {
	if !strings.HasSuffix(key, "head") || s.done.Swap(true) {
		return s.Store.Put(ctx, key, value, expect, lease)
	}
	time.AfterFunc(s.after, func() { _, _ = s.Store.Put(context.Background(), key, value, expect, lease) })
	return 0, kingcuphook.ErrOutcomeUnknown
}

// TestLateWrite checks that a claim is acquired exactly once if its write takes effect
// after the store reported an unknown outcome.
func TestLateWrite(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second} {
		runTest(t, 2, func(f *fleet) {
			f.claimers[0].Store = &lateStore{Store: f.store, after: after}
			f.True(f.claim(0).Held())
			f.True(!f.claim(1).Held())
			time.Sleep(5 * time.Second)
			f.True(!f.claim(0).Held())
		})
	}
}

// TestLateWriteOfAbandonedClaim checks that a claim is released when its write
// takes effect only after Claim has returned an error.
func TestLateWriteOfAbandonedClaim(t *testing.T) {
	runTest(t, 2, func(f *fleet) {
		f.claimers[0].Store = &lateStore{Store: f.store, after: 3 * time.Second}
		down := func(string, string) storer.Fault { return storer.Fault{Down: true} }
		time.AfterFunc(time.Millisecond, func() { f.fail(down) })
		_, err := f.claimers[0].Claim(context.Background(), key, 7)
		f.True(errors.Is(err, kingcuphook.ErrUnavailable))
		f.fail(func(string, string) storer.Fault { return storer.Fault{} })
		time.Sleep(5 * time.Second)
		f.True(f.claim(1).Held())
	})
}

// TestEqualSeedsKeepClaimsDistinct checks that routers with the same random seed do
// not take each other's claims for their own.
func TestEqualSeedsKeepClaimsDistinct(t *testing.T) {
	runTest(t, 2, func(f *fleet) {
		for _, c := range f.claimers {
			c.Rand = rand.New(rand.NewPCG(1, 1))
		}
		f.True(f.claim(0).Held())
		f.True(!f.claim(1).Held())
	})
}

// A store that came back from an older copy had lost claims, and a resend through any router
// ran again.
func TestClaimsAreWrittenAgainAfterStoreCameBackOlder(t *testing.T) {
	for _, resendAfter := range []time.Duration{0, 100 * time.Millisecond, 5 * time.Second} {
		runTest(t, 3, func(f *fleet) {
			older := f.store.Snapshot()
			f.True(f.claim(0).Held())
			for n := range f.claimers {
				other, err := f.claimers[n].Claim(context.Background(), claimer.HashOf("cafe", string(rune('a'+n))), 7)
				f.NoErr(err)
				f.True(other.Held())
			}
			time.Sleep(time.Second)
			f.store.Restore(older)
			time.Sleep(resendAfter)
			for n := range f.claimers {
				again, err := f.claimers[n].Claim(context.Background(), key, 7)
				f.True(err != nil || !again.Held()) // unknown, but never run again
			}
			time.Sleep(10 * time.Second)
			for n := range f.claimers {
				f.True(!f.claim(n).Held())
			}
		})
	}
}
