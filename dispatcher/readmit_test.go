package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/allocator"
	"github.com/kingcuphook/kingcuphook/limiter"
	"github.com/kingcuphook/kingcuphook/scheduler"
	"github.com/kingcuphook/kingcuphook/selector"
)

// unreachedEngine can't reach upstream a in the given number of its first starts.
type unreachedEngine struct {
	kingcuphook.Engine

	unsent int
	at     []time.Time
}

func (e *unreachedEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	if u.Address() != "a" {
		return e.Engine.Start(ctx, u, a)
	}
	e.at = append(e.at, time.Now())
	if len(e.at) <= e.unsent {
		return nil, errUnsent
	}
	return e.Engine.Start(ctx, u, a)
}

// runBesideFullUpstream dispatches a call while upstream a, which is free, can't be reached at first and upstream
// b has no free slot until the given time. It returns when upstream a was tried, after the start.
func runBesideFullUpstream(t *testing.T, unsent int, freed time.Duration) (tried []time.Duration, err error) {
	t.Helper()
	runTest(t, nil, func(r *harness) {
		pool := kingcuphook.PoolFields{Name: "pool"}
		for _, address := range []string{"b", "a"} {
			f := kingcuphook.UpstreamFields{Address: address, Kind: kingcuphook.UpstreamKindEngine, Slots: 1}
			pool.Upstreams = append(pool.Upstreams, kingcuphook.NewUpstream(f))
		}
		slots := &allocator.Allocator{NewScheduler: func(string) kingcuphook.Scheduler {
			return &scheduler.Scheduler{Admitter: &admitter.Admitter{}, Limiter: &limiter.Limiter{}, Selector: &selector.Selector{}}
		}}
		defer slots.Close()
		slots.Update(kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{kingcuphook.NewPool(pool)}))
		fields := kingcuphook.RequestFields{Stream: true, Pool: "pool", Tier: 1, Arrived: time.Now(), Deadline: time.Now().Add(8 * time.Second)}
		other := fields
		other.ID = "other"
		full, e := slots.Acquire(context.Background(), kingcuphook.NewRequest(other), []string{"a"})
		r.NoErr(e)
		time.AfterFunc(freed, func() { full.Release(kingcuphook.Sample{}) })
		engine := &unreachedEngine{Engine: r.engine, unsent: unsent}
		r.Allocator, r.Readmit, r.Engine = slots, slots.Readmit, engine
		start := time.Now()
		if _, reqErr := r.call(fields); reqErr != nil {
			err = reqErr
		}
		for _, at := range engine.at {
			tried = append(tried, at.Sub(start))
		}
	})
	return tried, err
}

// A call whose connection to a sound upstream timed out once waited for the other ones, which had no room, until
// its deadline.
func TestCallReturnsToUpstreamItCouldNotReach(t *testing.T) {
	tried, err := runBesideFullUpstream(t, 1, time.Hour)
	if err != nil || len(tried) != 2 || tried[1] > 200*time.Millisecond {
		t.Errorf("tried after %v, error %v", tried, err)
	}
}

// A call that waits for a slot must neither dial a dead upstream on and on nor fail because of it.
func TestWaitingCallSparesDeadUpstream(t *testing.T) {
	tried, err := runBesideFullUpstream(t, 1000, 7*time.Second)
	if err != nil || len(tried) > 5 {
		t.Errorf("tried after %v, error %v", tried, err)
	}
	for i := 1; i < len(tried); i++ {
		if least := 100 * time.Millisecond << (i - 1); tried[i]-tried[i-1] < least {
			t.Errorf("tried after %v, want %v between tries %d and %d", tried, least, i, i+1)
		}
	}
}
