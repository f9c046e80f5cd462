package isolator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The part of sound requests was quarantined since the connections of one router had been reset
// again and again.
func TestCrashesOfAnsweringUpstreamsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	var cut, peer, other Isolator
	now := start
	for n := range minCrashes {
		now = crashEach(&cut, now, n, 1, shared)
		message, _ := cut.Export(now.Add(-settleTime), 180)
		for _, i := range []*Isolator{&peer, &other} {
			is.NoErr(i.Import(now.Add(-settleTime), message))
		}
	}
	is.True(isQuarantined(&cut, now, shared))
	crashEach(&cut, now, 20, 1, crashing)
	message, _ := cut.Export(now.Add(time.Millisecond), 180)
	is.NoErr(peer.Import(now.Add(time.Millisecond), message))
	peer.RecordAnswer(now.Add(time.Second), upstream(20), now) // sent before the crash was known
	is.Equal(peer.withdrawn, nil)
	peer.RecordAnswer(now.Add(time.Second), upstream(20), now.Add(time.Second))
	for n := range minCrashes {
		peer.Withdraw(now.Add(time.Second), upstream(n), now)
	}
	now = now.Add(time.Second)
	for _, i := range []*Isolator{&cut, &other} {
		for range 2 {
			message, changed := peer.Export(now, 180)
			is.True(changed)
			is.NoErr(i.Import(now, message))
		}
		is.True(!isQuarantined(i, now, shared))
		for _, e := range i.List(now) {
			is.True(e.State() != StateQuarantined)
			for _, c := range e.Crashes() {
				is.True(c.program != hashProgram(upstream(20).Program()))
			}
		}
	}
}

// A withdrawn crash must not hide later ones.
func TestCrashesAfterWithdrawalCount(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := crashEach(&i, start, 0, minCrashes, crashing)
	for n := range minCrashes {
		i.Withdraw(now, upstream(n), now)
	}
	is.True(!isQuarantined(&i, now, crashing))
	now = crashEach(&i, now.Add(time.Second), 0, minCrashes, crashing)
	is.True(isQuarantined(&i, now, crashing))
}
