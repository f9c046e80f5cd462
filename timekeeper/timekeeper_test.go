package timekeeper

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Only the time by which ticks are late counts, also that of a tick that has not come yet.
func TestLateness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := lateness{due: now.Add(tickInterval)}
	for range 50 {
		now = l.due.Add(tolerance)
		l.tick(now)
	}
	is.Equal(l.sum, time.Duration(0))
	l.tick(l.due.Add(300 * time.Millisecond))
	is.Equal(l.sum, 300*time.Millisecond)
	is.Equal(l.at(l.due.Add(-tickInterval/2)), 300*time.Millisecond) // the next tick is not due
	is.Equal(l.at(l.due.Add(time.Second)), 1300*time.Millisecond)
	l.tick(l.due.Add(40 * time.Millisecond))
	is.Equal(l.sum, 340*time.Millisecond)
}

func TestStopEndsTheTicks(t *testing.T) {
	is := is.New(t)
	k := Start()
	time.Sleep(3 * tickInterval)
	late := k.Stop()
	time.Sleep(3 * tickInterval)
	is.Equal(k.Stop(), late)
}

func TestOnlyLateTimeoutsAreExcused(t *testing.T) {
	is := is.New(t)
	excuses := func(late time.Duration, err error) bool {
		k := &Timekeeper{stopped: true, lateness: lateness{sum: late}}
		return k.Excuses(err)
	}
	for _, timeout := range []error{context.DeadlineExceeded, fmt.Errorf("dial: %w", os.ErrDeadlineExceeded)} {
		is.True(excuses(maxLateness+1, timeout))
		is.True(!excuses(maxLateness, timeout))
	}
	is.True(!excuses(time.Second, errors.New("connection refused")))
	is.True(!excuses(time.Second, nil))
}
