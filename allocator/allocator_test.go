package allocator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/limiter"
	"github.com/kingcuphook/kingcuphook/preemptor"
	"github.com/kingcuphook/kingcuphook/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// firstSelector chooses the first upstream that is not excluded.
type firstSelector struct {
	kingcuphook.Selector
	pool *kingcuphook.Pool
}

func (s *firstSelector) Update(_ time.Time, p *kingcuphook.Pool)                              { s.pool = p }
func (s *firstSelector) Started(time.Time, string, *kingcuphook.Request)                      {}
func (s *firstSelector) Finished(time.Time, string, *kingcuphook.Request, kingcuphook.Sample) {}
func (s *firstSelector) Report(time.Time, kingcuphook.LoadReport)                             {}
func (s *firstSelector) Select(_ time.Time, _ *kingcuphook.Request, excluded []string) (kingcuphook.Choice, error) {
	for _, u := range s.pool.Upstreams() {
		if !slices.Contains(excluded, u.Address()) && !u.Leaving() {
			return kingcuphook.Choice{Upstream: u}, nil
		}
	}
	return kingcuphook.Choice{}, kingcuphook.ErrNoUpstream
}

// tables returns one pool with n engines of the given slots.
func tables(n, slots int) *kingcuphook.Tables {
	f := kingcuphook.PoolFields{Name: "pool"}
	for i := range n {
		f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Kind:    kingcuphook.UpstreamKindEngine,
			Slots:   slots,
		}))
	}
	return kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{kingcuphook.NewPool(f)})
}

func newAllocator(n, slots int) *Allocator {
	a := &Allocator{NewScheduler: func(string) kingcuphook.Scheduler {
		return &scheduler.Scheduler{
			Admitter:  &admitter.Admitter{},
			Limiter:   &limiter.Limiter{},
			Selector:  &firstSelector{},
			Preemptor: &preemptor.Preemptor{},
		}
	}}
	a.Update(tables(n, slots))
	return a
}

func request(id string, tier kingcuphook.Tier) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: id, Class: fmt.Sprint("class-", tier), Organisation: "org", Pool: "pool",
		Tier: tier, Arrived: time.Now(), Target: 10 * time.Second, PromptTokens: 10,
	})
}

func TestAcquireWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAllocator(1, 1)
		defer a.Close()
		first, err := a.Acquire(t.Context(), request("a", 1), nil)
		is.NoErr(err)
		got := make(chan error)
		go func() {
			s, err := a.Acquire(t.Context(), request("b", 1), nil)
			if err == nil {
				s.Release(kingcuphook.Sample{})
			}
			got <- err
		}()
		synctest.Wait()
		is.Equal(a.Waiting("pool"), 1)
		first.Release(kingcuphook.Sample{})
		is.NoErr(<-got)
	})
}

func TestAcquireCancelledCallerFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAllocator(1, 1)
		defer a.Close()
		first, err := a.Acquire(t.Context(), request("a", 1), nil)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = a.Acquire(ctx, request("b", 1), nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(a.Waiting("pool"), 0)
		first.Release(kingcuphook.Sample{})
		_, err = a.Acquire(t.Context(), request("c", 1), nil)
		is.NoErr(err)
	})
}
