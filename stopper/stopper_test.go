package stopper

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forecaster"
)

func TestStartEndsBegunAndSetsTimes(t *testing.T) {
	is := is.New(t)
	var s Stopper
	begun := s.Begun()
	late, end := s.Times()
	is.True(!s.Started() && late.IsZero() && end.IsZero())
	is.NoErr(begun.Err())
	now := time.Now()
	s.Start(now, now.Add(time.Minute))
	late, end = s.Times()
	is.True(s.Started())
	is.Equal(begun.Err(), context.Canceled)
	is.Equal(late, now.Add(forecastTime))
	is.Equal(end, now.Add(time.Minute))
}

// Before the late time a call is taken by its forecast, after it only if its deadline comes before the end.
func TestCheckTakesCallsThatEndInTime(t *testing.T) {
	short, unknown := forecaster.Call{Route: "short"}, forecaster.Call{Route: "unknown"}
	for name, test := range map[string]struct {
		late, end, deadline time.Duration
		call                forecaster.Call
		isTaken             bool
	}{
		"short by its forecast":     {late: time.Hour, end: 5 * time.Second, deadline: time.Minute, call: short, isTaken: true},
		"nothing known":             {late: time.Hour, end: 5 * time.Second, deadline: time.Minute, call: unknown},
		"nothing known, surely":     {late: time.Hour, end: 5 * time.Second, deadline: time.Second, call: unknown, isTaken: true},
		"late, by its forecast":     {late: -time.Second, end: 5 * time.Second, deadline: time.Minute, call: short},
		"late, surely":              {late: -time.Second, end: 5 * time.Second, deadline: time.Second, call: short, isTaken: true},
		"after the end":             {late: -time.Minute, end: -time.Second, deadline: time.Second, call: short},
		"no time left for anything": {late: time.Hour, end: time.Millisecond, deadline: time.Minute, call: short},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			c := Calls{Times: func() (late, end time.Time) { return now.Add(test.late), now.Add(test.end) }}
			for range 100 {
				c.Observe(now, short, 10*time.Millisecond)
			}
			err := c.Check(test.call, now.Add(test.deadline))
			is.Equal(err == nil, test.isTaken)
			is.Equal(errors.Is(err, kingcuphook.ErrStopping), !test.isTaken)
		})
	}
}

func TestCheckTakesAllCallsWithoutShutdown(t *testing.T) {
	is := is.New(t)
	for _, c := range []*Calls{{}, {Times: new(Stopper).Times}} {
		is.NoErr(c.Check(forecaster.Call{Route: "unknown"}, time.Now().Add(time.Hour)))
		is.True(!c.Started())
		is.True(c.LatestStart(kingcuphook.NewRequest(kingcuphook.RequestFields{})).IsZero())
	}
}

func TestEndEndsOpenAndLaterCalls(t *testing.T) {
	is := is.New(t)
	var c Calls
	open, cancelOpen := c.Context(t.Context())
	defer cancelOpen()
	finished, cancelFinished := c.Context(t.Context())
	cancelFinished()
	is.NoErr(open.Err())
	c.End()
	later, cancelLater := c.Context(t.Context())
	defer cancelLater()
	for _, ctx := range []context.Context{open, later} {
		<-ctx.Done()
		is.Equal(context.Cause(ctx), kingcuphook.ErrStopping)
	}
	is.Equal(context.Cause(finished), context.Canceled)
}
