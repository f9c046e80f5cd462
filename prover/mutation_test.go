package prover

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
)

// forgetfulStore accepts every write of a claim, but does not return the stored claims.
type forgetfulStore struct{ kingcuphook.Store }

func (s forgetfulStore) Get(ctx context.Context, key string) (kingcuphook.Entry, error) {
	if strings.HasSuffix(key, "/head") {
		return kingcuphook.Entry{}, kingcuphook.ErrNotFound
	}
	return s.Store.Get(ctx, key)
}

func (s forgetfulStore) Put(ctx context.Context, key string, value []byte, _ int64, lease kingcuphook.LeaseID) (int64, error) {
	return s.Store.Put(ctx, key, value, kingcuphook.RevisionAny, lease)
}

// falseNotRunEngine runs calls and returns an error that states that they did not run.
type falseNotRunEngine struct{ kingcuphook.Engine }

func (e falseNotRunEngine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	if _, err := e.Engine.Call(ctx, u, a); err != nil {
		return kingcuphook.Answer{}, err
	}
	return kingcuphook.Answer{}, fmt.Errorf("false report: %w", kingcuphook.ErrUnavailable)
}

// unrestrictedAllocator ignores the software version that requests are restricted to.
type unrestrictedAllocator struct{ kingcuphook.Allocator }

func (a unrestrictedAllocator) Acquire(ctx context.Context, r *kingcuphook.Request, excluded []string) (kingcuphook.Slot, error) {
	return a.Allocator.Acquire(ctx, kingcuphook.NewRequest(kingcuphook.RequestFields{ID: r.ID()}), excluded)
}

// relabellingEngine gives every frame the attempt and position that the router's frame
// check expects, which has the effect of a router without that check. With leaks,
// closing a stream doesn't end the run.
type relabellingEngine struct {
	kingcuphook.Engine
	leaks bool
}

func (e relabellingEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	s, err := e.Engine.Start(ctx, u, a)
	if err != nil {
		return nil, err
	}
	return &relabellingStream{Stream: s, attempt: a.ID(), next: a.ResumeFrom(), leaks: e.leaks}, nil
}

type relabellingStream struct {
	kingcuphook.Stream
	attempt string
	next    int
	leaks   bool
}

func (s *relabellingStream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	f, err := s.Stream.Next(ctx)
	if err != nil {
		return f, err
	}
	position := s.next
	if f.Kind() == kingcuphook.FrameKindData {
		s.next++
	}
	return kingcuphook.NewFrame(s.attempt, position, f.Kind(), f.Text()), nil
}

func (s *relabellingStream) Close() error {
	if s.leaks {
		return nil
	}
	return s.Stream.Close()
}

// TestChecksDetectViolations disables one protection at a time and expects a violation
// of the rule that it enforces. It guards against checks that always pass.
func TestChecksDetectViolations(t *testing.T) {
	for _, c := range []struct {
		rule   string
		cell   Cell
		mutate func(env *Environment, r *Router)
	}{
		{RuleOnce, Cell{KindClaimed, StepStreaming, []Fault{FaultRouterCrash}}, func(env *Environment, r *Router) {
			r.Dispatcher.Claimer = &claimer.Claimer{Store: forgetfulStore{env.Store}}
		}},
		{RuleOnce, Cell{KindOnce, StepDispatched, []Fault{FaultNone}}, func(env *Environment, r *Router) {
			r.Dispatcher.Engine = falseNotRunEngine{env.Engine}
		}},
		{RuleNotRun, Cell{KindService, StepDispatched, []Fault{FaultNone}}, func(env *Environment, r *Router) {
			r.Dispatcher.Engine = falseNotRunEngine{env.Engine}
		}},
		{RuleOwnAnswer, Cell{KindStream, StepStreaming, []Fault{FaultForeignFrame}}, func(env *Environment, r *Router) {
			r.Dispatcher.Engine = relabellingEngine{Engine: &processEngine{router: r, engine: env.Engine}}
		}},
		{RuleCompleteAnswer, Cell{KindStream, StepStreaming, []Fault{FaultFalseEnd}}, func(env *Environment, r *Router) {
			r.Dispatcher.Engine = relabellingEngine{Engine: &processEngine{router: r, engine: env.Engine}}
		}},
		{RuleOneVersion, Cell{KindStream, StepStreaming, []Fault{FaultEarlyEnd}}, func(_ *Environment, r *Router) {
			r.Dispatcher.Allocator = unrestrictedAllocator{r.Dispatcher.Allocator}
		}},
		{RuleWorkStops, Cell{KindStream, StepStreaming, []Fault{FaultCallerGone}}, func(env *Environment, r *Router) {
			r.Dispatcher.Engine = relabellingEngine{Engine: &processEngine{router: r, engine: env.Engine}, leaks: true}
		}},
	} {
		t.Run(c.rule+" "+c.cell.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := NewEnvironment(seed, cellRouters, cellUpstreams)
				for _, r := range env.Routers {
					c.mutate(env, r)
				}
				found := false
				for _, v := range c.cell.RunIn(env).Violations {
					found = found || v.Rule() == c.rule
				}
				is.True(found) // the check detects the violation
			})
		})
	}
}

// TestPoisonChecksDetectViolations makes a poison body crash three upstreams and a
// harmless body be quarantined, and expects a violation for each.
func TestPoisonChecksDetectViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := NewEnvironment(seed, 3, 4)
		env.CutPeers()
		env.Poison("bad")
		for i := range env.Routers {
			env.Routers[i].Dispatcher.Store = nil
			env.Call(i, KindStream, "", "bad")
		}
		env.Close()
		is.Equal(CheckPoison(env)[0].Rule(), RuleUpstreamsLost)

		env = NewEnvironment(seed, 1, 2)
		env.FailNextAttempt(runner.Fault{Kind: runner.FaultCrash})
		env.FailNextAttempt(runner.Fault{Kind: runner.FaultCrash})
		env.Call(0, KindStream, "", "unlucky")
		env.Close()
		is.Equal(CheckPoison(env)[0].Rule(), RuleOthersNotQuarantined)
	})
}

// TestErrorChecksDetectViolations expects violations for a late, untyped error that
// states that a call ran which did not.
func TestErrorChecksDetectViolations(t *testing.T) {
	is := is.New(t)
	report := Report{Request: "a", Kind: KindOnce, Err: &kingcuphook.RequestError{Code: "untyped", Ran: kingcuphook.RunStateRan}}
	report.Ended = report.Began.Add(deadline + 2*deadlineTolerance)
	found := Check([]Report{report}, nil)
	rules := make([]string, 0, len(found))
	for _, v := range found {
		rules = append(rules, v.Rule())
	}
	is.Equal(rules, []string{RuleDeadline, RuleTypedError, RuleRan})
}
