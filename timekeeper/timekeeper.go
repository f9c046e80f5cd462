// Package timekeeper measures how late the timers of this process are, so that a timeout that
// passed while the process got no processor time is not taken for a failure of what it waited for.
package timekeeper

import (
	"context"
	"errors"
	"os"
	"runtime"
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks.
	tickInterval = 20 * time.Millisecond
	// tolerance is by how much a tick may be late without counting.
	tolerance = 5 * time.Millisecond
	// maxLateness is by how much ticks may be late in total for a timeout to be evidence.
	maxLateness = 40 * time.Millisecond
)

// Timekeeper measures by how much timers are late, from Start on until Stop. It is safe for
// concurrent use.
type Timekeeper struct {
	mu       sync.Mutex
	lateness lateness
	timer    *time.Timer
	stopped  bool
}

// Start returns a Timekeeper that runs. Stop or Excuses must be called.
func Start() *Timekeeper {
	k := &Timekeeper{lateness: lateness{due: time.Now().Add(tickInterval)}}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(tickInterval, k.tick)
	return k
}

// Late returns by how much timers were late in total so far.
func (k *Timekeeper) Late() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return k.lateness.sum
	}
	return k.lateness.at(time.Now())
}

// Stop ends the measurement and returns by how much timers were late in total.
func (k *Timekeeper) Stop() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.stopped {
		k.stopped = true
		k.timer.Stop()
		k.lateness.sum = k.lateness.at(time.Now())
	}
	return k.lateness.sum
}

// Excuses ends the measurement. It reports whether an error is that of a timeout, and timers were late,
// so that the error shows nothing about what was waited for.
func (k *Timekeeper) Excuses(err error) bool {
	late := k.Stop()
	isTimeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	return isTimeout && late > maxLateness
}

func (k *Timekeeper) tick() {
	runtime.Gosched() // wait like a goroutine that has received something
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	k.lateness.tick(time.Now())
	k.timer.Reset(tickInterval)
}

// lateness sums by how much ticks are late.
type lateness struct {
	// due is when the next tick is due.
	due time.Time
	sum time.Duration
}

// at returns the sum, with the time by which the next tick is late already.
func (l *lateness) at(now time.Time) time.Duration {
	if late := now.Sub(l.due); late > tolerance {
		return l.sum + late
	}
	return l.sum
}

// tick records a tick.
func (l *lateness) tick(now time.Time) {
	l.sum = l.at(now)
	l.due = now.Add(tickInterval)
}
