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

// key is the hash of the key that most tests claim.
var key = claimer.HashOf("cafe", "token")

// fleet is a store with faults and claimers on it.
type fleet struct {
	*is.I
	store *storer.Store
	// fault decides the fault of each call; nil means none.
	fault    atomic.Pointer[func(op, key string) storer.Fault]
	claimers []*claimer.Claimer
}

// test runs f with n claimers under a virtual clock.
func test(t *testing.T, n int, f func(*fleet)) {
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

// once returns a fault for the first write of a head.
func once(fault storer.Fault) func(op, key string) storer.Fault {
	var done atomic.Bool
	return func(op, key string) storer.Fault {
		if op == storer.OpPut && strings.HasSuffix(key, "head") && !done.Swap(true) {
			return fault
		}
		return storer.Fault{}
	}
}

func TestResend(t *testing.T) {
	test(t, 2, func(f *fleet) {
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
		f.claimers[0].Settle(first, want)
		time.Sleep(2 * time.Second)
		for n := range 2 {
			o, known := f.claim(n).Outcome()
			f.True(known)
			f.Equal(o, want)
		}
	})
}

func TestLargeOutcomeIsNotKept(t *testing.T) {
	test(t, 1, func(f *fleet) {
		f.claimers[0].Settle(f.claim(0), claimer.Outcome{Body: make([]byte, 4<<10)})
		time.Sleep(2 * time.Second)
		_, known := f.claim(0).Outcome()
		f.True(!known)
	})
}

func TestReleasedClaimIsTakenOverOnce(t *testing.T) {
	test(t, 3, func(f *fleet) {
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

// TestLostReply loses the reply, or the request, of the write of a claim.
func TestLostReply(t *testing.T) {
	for _, fault := range []storer.Fault{{LoseReply: true}, {LoseRequest: true}, {Down: true}, {Delay: time.Second}} {
		test(t, 2, func(f *fleet) {
			f.fail(once(fault))
			f.True(f.claim(0).Held())
			f.True(!f.claim(1).Held())
		})
	}
}

// TestManyAtOnce claims one key after the other through 8 claimers at the same
// moment, over a store with random delays.
func TestManyAtOnce(t *testing.T) {
	test(t, 8, func(f *fleet) {
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

func TestOutage(t *testing.T) {
	test(t, 1, func(f *fleet) {
		f.fail(func(string, string) storer.Fault { return storer.Fault{Down: true} })
		began := time.Now()
		_, err := f.claimers[0].Claim(context.Background(), key, 7)
		f.True(errors.Is(err, kingcuphook.ErrUnavailable))
		f.Equal(time.Since(began), 2*time.Second) // the stated bound
		f.fail(func(string, string) storer.Fault { return storer.Fault{} })
		f.True(f.claim(0).Held())
	})
}

// TestAbandonedClaimIsReleased lets a caller give up while the write of its
// claim is on its way.
func TestAbandonedClaimIsReleased(t *testing.T) {
	test(t, 2, func(f *fleet) {
		f.fail(once(storer.Fault{Delay: 400 * time.Millisecond}))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := f.claimers[0].Claim(ctx, key, 7)
		f.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(5 * time.Second)
		f.True(f.claim(1).Held())
	})
}

func TestExpiry(t *testing.T) {
	test(t, 2, func(f *fleet) {
		first := f.claim(0)
		f.True(first.Usable(time.Now()))
		time.Sleep(15 * time.Minute)
		f.True(!first.Usable(time.Now())) // a holder that was paused
		time.Sleep(45 * time.Minute)
		f.True(!f.claim(1).Held())
		time.Sleep(time.Second)
		f.True(f.claim(1).Held())
	})
}

// TestSegments seals after every claim, and reads claims back out of segments.
func TestSegments(t *testing.T) {
	test(t, 3, func(f *fleet) {
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

		// The platform loses the leases, and the segments with them.
		for id := range kingcuphook.LeaseID(40) {
			f.NoErr(f.store.Revoke(context.Background(), id+1))
		}
		for n := range 2 { // one that has read the segments, and one that starts now
			_, err := f.claimers[1+n].Claim(context.Background(), key, 7)
			f.True(errors.Is(err, kingcuphook.ErrUnavailable)) // never taken for free
		}
		time.Sleep(61 * time.Minute)
		f.True(f.claim(1).Held())
	})
}

func TestMalformedHeadIsRefused(t *testing.T) {
	test(t, 1, func(f *fleet) {
		_, err := f.store.Put(context.Background(), "claims/0/head", []byte("what"), kingcuphook.RevisionAny, 0)
		f.NoErr(err)
		_, err = f.claimers[0].Claim(context.Background(), key, 7)
		f.True(errors.Is(err, kingcuphook.ErrUnavailable))
	})
}

// lateStore lets the first write of a head take effect only after a while, when
// its caller has given the call up.
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

func TestLateWrite(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second} {
		test(t, 2, func(f *fleet) {
			f.claimers[0].Store = &lateStore{Store: f.store, after: after}
			f.True(f.claim(0).Held())
			f.True(!f.claim(1).Held())
			time.Sleep(5 * time.Second)
			f.True(!f.claim(0).Held())
		})
	}
}

// TestLateWriteOfAbandonedClaim lets a write take effect after its only caller
// was told that there is no claim.
func TestLateWriteOfAbandonedClaim(t *testing.T) {
	test(t, 2, func(f *fleet) {
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

// TestSameSeed gives two routers the same source of randomness.
func TestSameSeed(t *testing.T) {
	test(t, 2, func(f *fleet) {
		for _, c := range f.claimers {
			c.Rand = rand.New(rand.NewPCG(1, 1))
		}
		f.True(f.claim(0).Held())
		f.True(!f.claim(1).Held())
	})
}
