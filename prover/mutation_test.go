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

// forgetfulStore takes every claim and shows none.
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

// lyingEngine says of calls that were run that they were not.
type lyingEngine struct{ kingcuphook.Engine }

func (e lyingEngine) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	if _, err := e.Engine.Call(ctx, u, a); err != nil {
		return kingcuphook.Answer{}, err
	}
	return kingcuphook.Answer{}, fmt.Errorf("lie: %w", kingcuphook.ErrUnavailable)
}

// relabellingEngine gives every frame the label that the guard expects, as a
// guard would that does not look.
type relabellingEngine struct {
	kingcuphook.Engine
	leaks bool
}

func (e relabellingEngine) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	s, err := e.Engine.Start(ctx, u, a)
	if err != nil {
		return nil, err
	}
	return &relabelled{Stream: s, attempt: a.ID(), next: a.ResumeFrom(), leaks: e.leaks}, nil
}

type relabelled struct {
	kingcuphook.Stream
	attempt string
	next    int
	leaks   bool
}

func (s *relabelled) Next(ctx context.Context) (kingcuphook.Frame, error) {
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

func (s *relabelled) Close() error {
	if s.leaks {
		return nil
	}
	return s.Stream.Close()
}

// TestChecksCanFail takes one protection away at a time and wants the rule that
// it stands for to be broken.
func TestChecksCanFail(t *testing.T) {
	for _, c := range []struct {
		rule   string
		cell   Cell
		mutate func(w *World, r *Router)
	}{
		{RuleOnce, Cell{KindClaimed, StepStreaming, []Fault{FaultRouterCrash}}, func(w *World, r *Router) {
			r.Dispatcher.Claimer = &claimer.Claimer{Store: forgetfulStore{w.Store}}
		}},
		{RuleOnce, Cell{KindOnce, StepDispatched, []Fault{FaultNone}}, func(w *World, r *Router) {
			r.Dispatcher.Engine = lyingEngine{w.Engine}
		}},
		{RuleNotRun, Cell{KindService, StepDispatched, []Fault{FaultNone}}, func(w *World, r *Router) {
			r.Dispatcher.Engine = lyingEngine{w.Engine}
		}},
		{RuleOwn, Cell{KindStream, StepStreaming, []Fault{FaultForeignFrame}}, func(w *World, r *Router) {
			r.Dispatcher.Engine = relabellingEngine{Engine: &gateEngine{router: r, engine: w.Engine}}
		}},
		{RuleWhole, Cell{KindStream, StepStreaming, []Fault{FaultFalseEnd}}, func(w *World, r *Router) {
			r.Dispatcher.Engine = relabellingEngine{Engine: &gateEngine{router: r, engine: w.Engine}}
		}},
		{RuleStops, Cell{KindStream, StepStreaming, []Fault{FaultCallerGone}}, func(w *World, r *Router) {
			r.Dispatcher.Engine = relabellingEngine{Engine: &gateEngine{router: r, engine: w.Engine}, leaks: true}
		}},
	} {
		t.Run(c.rule+" "+c.cell.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := NewWorld(seed, cellRouters, cellUpstreams)
				for _, r := range w.Routers {
					c.mutate(w, r)
				}
				found := false
				for _, v := range c.cell.RunIn(w).Violations {
					found = found || v.Rule() == c.rule
				}
				is.True(found) // the check must see it
			})
		})
	}
}

// TestPoisonChecksCanFail lets a body run thrice and quarantines a bystander.
func TestPoisonChecksCanFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWorld(seed, 3, 4)
		w.Cut()
		w.Poison("bad")
		for i := range w.Routers {
			w.Routers[i].Dispatcher.Store = nil
			w.Call(i, KindStream, "", "bad")
		}
		w.Close()
		is.Equal(CheckPoison(w)[0].Rule(), RuleTwoLost)

		w = NewWorld(seed, 1, 2)
		w.Fail(runner.Fault{Kind: runner.FaultCrash})
		w.Fail(runner.Fault{Kind: runner.FaultCrash})
		w.Call(0, KindStream, "", "unlucky")
		w.Close()
		is.Equal(CheckPoison(w)[0].Rule(), RuleNoBystand)
	})
}

func TestRanAndTimeChecksCanFail(t *testing.T) {
	is := is.New(t)
	told := Report{Request: "a", Kind: KindOnce, Err: &kingcuphook.RequestError{Code: "untyped", Ran: kingcuphook.RunStateRan}}
	told.Ended = told.Began.Add(deadline + 2*lateness)
	found := Check([]Report{told}, nil)
	rules := make([]string, 0, len(found))
	for _, v := range found {
		rules = append(rules, v.Rule())
	}
	is.Equal(rules, []string{RuleInTime, RuleTyped, RuleRan})
}
