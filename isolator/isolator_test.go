package isolator

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

const crashing, shared = 1, 2

var start = time.Unix(1000, 0)

func upstream(n int) *kingcuphook.Upstream {
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: fmt.Sprintf("u%d", n), Instance: fmt.Sprintf("i%d", n)})
}

func request(parts ...uint64) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{Parts: parts})
}

// crashEach lets n upstreams crash, one each second from first on, while requests with
// other parts begin soundly in between. It returns the time after it.
func crashEach(i *Isolator, first time.Time, from, n int, parts ...uint64) time.Time {
	now := first
	for c := range n {
		i.Begin(upstream(from+c), request(parts...)).BrokenOff(now)
		sound := i.Begin(upstream(1000), request(99))
		sound.Progress(now.Add(100 * time.Millisecond))
		sound.Complete(now.Add(200*time.Millisecond), true)
		now = now.Add(time.Second)
	}
	return now.Add(settleTime)
}

func isQuarantined(i *Isolator, now time.Time, part uint64) bool {
	verdict, _ := i.Check(now, []uint64{part})
	return verdict == VerdictQuarantined
}

func TestPartOfEveryCrashIsQuarantined(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := crashEach(&i, start, 0, minCrashes-1, crashing)
	is.True(!isQuarantined(&i, now, crashing))
	now = crashEach(&i, now, 10, 1, crashing)
	is.True(isQuarantined(&i, now, crashing))
	is.True(!isQuarantined(&i, now, 99))
	e := i.List(now)[0]
	is.Equal(e.Part(), uint64(crashing))
	is.Equal(len(e.Crashes()), minCrashes)
}

// A part that began soundly elsewhere after each crash isn't refused with the crashing one.
func TestPartThatBeginsSoundlyIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := start
	for c := range 2 * minCrashes {
		i.Begin(upstream(c), request(shared, crashing)).BrokenOff(now)
		sound := i.Begin(upstream(1000), request(shared))
		sound.Progress(now.Add(100 * time.Millisecond))
		sound.Complete(now.Add(200*time.Millisecond), true)
		now = now.Add(time.Second)
	}
	is.True(isQuarantined(&i, now, crashing))
	is.True(!isQuarantined(&i, now, shared))
}

// An answer without a marked end, which a crash has cut short, counts as broken off.
func TestAnswerCutAtItsEndCountsAsBrokenOff(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := start
	for c := range minCrashes {
		a := i.Begin(upstream(c), request(crashing))
		a.Progress(now)
		a.Complete(now.Add(20*time.Millisecond), false)
		i.RecordCrash(now.Add(50*time.Millisecond), upstream(c))
		now = crashEach(&i, now.Add(time.Second), 100+c, 0)
		sound := i.Begin(upstream(1000), request(99))
		sound.Progress(now)
		sound.Complete(now, true)
		now = now.Add(time.Second)
	}
	is.True(isQuarantined(&i, now.Add(settleTime), crashing))
}

// A request that was broken off long after it began crashes nothing by its parts.
func TestLaterBreakIsNoSuspicion(t *testing.T) {
	is := is.New(t)
	var i Isolator
	a := i.Begin(upstream(1), request(crashing))
	a.Progress(start)
	a.Progress(start.Add(survivalTime))
	is.True(!a.BrokenOff(start.Add(time.Second)))
	is.Equal(len(i.List(start.Add(time.Second))), 0)
}

// A lift is in force on all routers, whichever message arrives last, until the part crashes
// as many upstreams again.
func TestLiftOverridesOlderQuarantine(t *testing.T) {
	is := is.New(t)
	var first, second Isolator
	now := crashEach(&first, start, 0, minCrashes, crashing)
	is.True(isQuarantined(&first, now, crashing))
	quarantine, _ := first.Export(now, 1000)
	is.NoErr(second.Import(now, quarantine))
	is.True(isQuarantined(&second, now, crashing))
	is.True(second.Lift(now, crashing))
	is.True(!second.Lift(now, crashing))
	is.NoErr(second.Import(now.Add(time.Second), quarantine))
	is.True(!isQuarantined(&second, now.Add(time.Second), crashing))
	lift, _ := second.Export(now.Add(time.Second), 1000)
	is.NoErr(first.Import(now.Add(time.Second), lift))
	is.True(!isQuarantined(&first, now.Add(time.Second), crashing))
	now = crashEach(&first, now.Add(2*time.Second), 50, minCrashes, crashing)
	is.True(isQuarantined(&first, now, crashing))
	quarantine, _ = first.Export(now, 1000)
	is.NoErr(second.Import(now, quarantine))
	is.True(isQuarantined(&second, now, crashing))
}

// Once the part that had explained crashes was lifted, a part that shared them was refused.
func TestLiftedPartStillExplainsItsCrashes(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := crashEach(&i, start, 0, minCrashes+1, crashing, shared)
	now = crashEach(&i, now.Add(-settleTime), 10, 2, crashing)
	is.True(isQuarantined(&i, now, crashing))
	is.True(!isQuarantined(&i, now, shared))
	is.True(i.Lift(now, crashing))
	is.True(!isQuarantined(&i, now.Add(time.Second), crashing))
	is.True(!isQuarantined(&i, now.Add(time.Second), shared))
}

// The word of one peer without crashes quarantines nothing.
func TestQuarantineWithoutCrashesIsIgnored(t *testing.T) {
	is := is.New(t)
	var i Isolator
	e := Entry{part: shared, state: StateQuarantined, generation: 1, since: start}
	is.NoErr(i.Import(start, e.append([]byte{messageType}, start)))
	is.True(!isQuarantined(&i, start, shared))
}

// Made-up parts of callers take bounded memory and push no quarantined part out.
func TestManyPartsTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := crashEach(&i, start, 0, minCrashes, crashing)
	is.True(isQuarantined(&i, now, crashing))
	for n := range uint64(10_000) {
		i.Begin(upstream(500), request(1000+n)).BrokenOff(now)
		sound := i.Begin(upstream(501), request(50_000+n))
		sound.Progress(now)
		sound.Complete(now, true)
	}
	is.True(len(i.entries) <= maxEntries)
	is.True(len(i.sound)+len(i.soundBefore) <= 2*maxSound)
	is.True(len(i.outcomes) <= maxOutcomes)
	is.True(isQuarantined(&i, now, crashing))
}

func TestImportRejectsMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var i Isolator
		b := append([]byte{messageType}, rapid.SliceOf(rapid.Byte()).Draw(t, "message")...)
		if err := i.Import(start, b); err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
			t.Fatal(err)
		}
	})
}

// Requests to a pool that went on made crashes of all upstreams of another pool count apart.
func TestOtherPoolsShowNoSoundBeginnings(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := start
	for c := range 3 * minCrashes {
		i.Begin(upstream(c), request(shared)).BrokenOff(now)
		other := i.Begin(upstream(1000), kingcuphook.NewRequest(kingcuphook.RequestFields{Pool: "other"}))
		other.Progress(now.Add(100 * time.Millisecond))
		other.Complete(now.Add(200*time.Millisecond), true)
		now = now.Add(time.Second)
	}
	is.True(!isQuarantined(&i, now.Add(settleTime), shared))
}

// A trial was broken off by crashes of another cause, and a sound part stayed quarantined until
// the next trial.
func TestNoTrialWhileUpstreamsCrash(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := crashEach(&i, start, 0, minCrashes, crashing)
	is.True(isQuarantined(&i, now, crashing))
	now = now.Add(firstTrial)
	is.True(isQuarantined(&i, now, crashing)) // a request for a trial comes
	i.Begin(upstream(900), request(shared)).BrokenOff(now.Add(-time.Second))
	is.Equal(len(i.TrialsWanted(now)), 0)
	now = now.Add(calmTime)
	is.True(isQuarantined(&i, now, crashing))
	is.Equal(i.TrialsWanted(now), []string{FormatPart(crashing)})
}

// An odd record in the store must not become a quarantine, allow endless trials or flood the log.
func TestOddRecordIsInvalid(t *testing.T) {
	is := is.New(t)
	valid := `{"part":"ab","state":"quarantined","generation":1,"since":"2026-12-05T00:00:00Z","crashes":3,"trials":1,"tried-at":"2026-12-05T00:00:00Z"}`
	_, err := DecodeRecord([]byte(valid))
	is.NoErr(err)
	huge := `"` + strings.Repeat("x", 1<<20) + `"`
	for _, field := range []string{`"part":"ab"`, `"state":"quarantined"`, `"generation":1`, `"since":"2026-12-05T00:00:00Z"`, `"crashes":3`, `"trials":1`} {
		name, _, _ := strings.Cut(field, ":")
		for _, odd := range []string{`{}`, `-1`, `1e400`, `256.5`, `99999999999999999999`, `"00ab"`, `"AB"`, huge, strings.Repeat("[", 100_000)} {
			_, err := DecodeRecord([]byte(strings.Replace(valid, field, name+":"+odd, 1)))
			if !errors.Is(err, kingcuphook.ErrInvalid) || len(err.Error()) > 8*maxErrorBytes {
				t.Errorf("%s:%.80s: %.900v", name, odd, err)
			}
		}
	}
	for _, odd := range []string{"", "null", "{}", "[]", "\xff", valid + valid} {
		_, err := DecodeRecord([]byte(odd))
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
	}
}

// A part in nearly all requests was never found: between its crashes too few others began soundly.
func TestPartIsFoundAmongFewSoundRequests(t *testing.T) {
	const badInterval, soundInterval = 350 * time.Millisecond, 5 * time.Second
	for _, first := range []time.Duration{50 * time.Millisecond, 2500 * time.Millisecond, 4950 * time.Millisecond} {
		is := is.New(t)
		var i Isolator
		crashes := 0
		for since := time.Duration(0); since < knownAfter*badInterval+contactTime+2*badInterval; since += 10 * time.Millisecond {
			now := start.Add(since)
			if since%badInterval == 0 && !isQuarantined(&i, now, crashing) {
				i.Begin(upstream(crashes), request(shared, crashing, uint64(1000+crashes))).BrokenOff(now)
				crashes++
			}
			if since%soundInterval == first {
				sound := i.Begin(upstream(1000), request(shared, uint64(2000+crashes)))
				sound.Progress(now)
				sound.Complete(now.Add(survivalTime), true)
			}
		}
		now := start.Add(knownAfter*badInterval + contactTime + 2*badInterval)
		is.True(isQuarantined(&i, now, crashing))
		is.True(!isQuarantined(&i, now, shared))
	}
}

// A part of most requests was taken for the cause while requests without it were broken off too.
func TestPartWithoutAllCrashesNeedsMoreSoundRequests(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := start
	for c := range maxCrashes {
		parts := []uint64{shared}
		if c%5 == 0 {
			parts = []uint64{uint64(1000 + c)}
		}
		i.Begin(upstream(c), request(parts...)).BrokenOff(now)
		if c == maxCrashes/2 {
			sound := i.Begin(upstream(1000), request(99))
			sound.Progress(now.Add(100 * time.Millisecond))
			sound.Complete(now.Add(200*time.Millisecond), true)
		}
		now = now.Add(300 * time.Millisecond)
	}
	is.True(!isQuarantined(&i, now.Add(settleTime), shared))
}

// Where every request crashed upstreams, the parts of all were taken for the cause.
func TestPartsOfDifferentRequestsNeedMoreSoundRequests(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := start
	for c := range maxCrashes {
		for part := uint64(1); part <= 3; part++ {
			i.Begin(upstream(c), request(part)).BrokenOff(now)
		}
		if c == maxCrashes/2 {
			sound := i.Begin(upstream(1000), request(99))
			sound.Progress(now.Add(100 * time.Millisecond))
			sound.Complete(now.Add(200*time.Millisecond), true)
		}
		now = now.Add(300 * time.Millisecond)
	}
	for part := uint64(1); part <= 3; part++ {
		is.True(!isQuarantined(&i, now.Add(settleTime), part))
	}
}

// Of two parts that crashed upstreams at once, the crashes of both counted for the first one found.
func TestPartIsFoundBesideQuarantinedOne(t *testing.T) {
	is := is.New(t)
	var i Isolator
	now := crashEach(&i, start, 0, 1, crashing, shared)
	now = crashEach(&i, now, 10, minCrashes, crashing)
	is.True(isQuarantined(&i, now, crashing))
	now = crashEach(&i, now, 20, minGroups-1, shared)
	is.True(!isQuarantined(&i, now, shared))
	now = crashEach(&i, now, 30, 1, shared)
	is.True(isQuarantined(&i, now, shared))
}
