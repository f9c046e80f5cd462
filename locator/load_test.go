package locator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// The load: letters at 2.4 times their usual rate beside answers, for ten seconds,
// over eight routers and twelve engines in three regions.
const (
	playFor      = 10 * time.Second
	letterEvery  = time.Second / 38
	answerEvery  = time.Second / 25
	letterThings = 74
	answerThings = 118
	routers      = 8
	// hearEvery is how often routers hear of one another.
	hearEvery = 300 * time.Millisecond
)

// The engine: a step makes a token for each stream and reads a part of a prompt.
const (
	stepTime    = 3790 * time.Microsecond
	streamTime  = 89 * time.Microsecond
	chunkTokens = 4096
	readTime    = time.Second / 56_600
	pieceTokens = 5
	letterSize  = 76 * pieceTokens
	answerSize  = 58 * pieceTokens
)

// run is a request on an engine.
type run struct {
	request      *kingcuphook.Request
	router       int
	toRead, size int
	made         int
	first, last  time.Duration
	arrived      time.Duration
	longestPause time.Duration
}

type engine struct {
	// queue has the requests whose prompts are to be read, streams the others.
	queue, streams []*run
	kept           map[uint64]bool
	busyUntil      time.Duration
}

// play runs the load and returns the share of answers and letters in time, and the
// shared tokens that were read though another engine had them.
func play(t *testing.T, pick func(router int, now time.Time, r *kingcuphook.Request) string, tell func(router int, e *kingcuphook.Upstream, now time.Time, others, reading int), started, finished func(router int, address string, now time.Time, r *kingcuphook.Request), progress func(router int, address string, now time.Time, r *kingcuphook.Request)) (answers, letters float64, reread int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 7))
	p := pool(4)
	engines := make(map[string]*engine)
	for _, u := range p.Upstreams() {
		engines[u.Address()] = &engine{kept: make(map[uint64]bool)}
	}
	var done [2][2]int // by class: in time, all
	read := make(map[uint64]bool)
	nextLetter, nextAnswer, nextTell := time.Duration(0), time.Duration(0), time.Duration(0)
	n := 0
	arrive := func(now time.Duration, long bool) {
		n++
		var r *kingcuphook.Request
		if long {
			r = letter(fmt.Sprint("l", n), rng.Uint64N(letterThings))
		} else {
			r = answer(fmt.Sprint("a", n), rng.Uint64N(answerThings))
		}
		router := rng.IntN(routers)
		at := pick(router, start.Add(now), r)
		started(router, at, start.Add(now), r)
		e := engines[at]
		x := &run{request: r, router: router, arrived: now, size: answerSize, toRead: r.PromptTokens()}
		if long {
			x.size = letterSize
		}
		shared := r.Prefix()[1]
		if e.kept[shared] {
			x.toRead -= r.PrefixTokens()[1]
		} else if read[shared] {
			reread += r.PrefixTokens()[1]
		}
		e.kept[shared], read[shared] = true, true
		e.queue = append(e.queue, x)
	}
	for now := time.Duration(0); now < playFor+20*time.Second; now += time.Millisecond {
		for ; now < playFor && nextLetter <= now; nextLetter += letterEvery {
			arrive(now, true)
		}
		for ; now < playFor && nextAnswer <= now; nextAnswer += answerEvery {
			arrive(now, false)
		}
		if nextTell <= now {
			nextTell += hearEvery
			tellAll(p, engines, now, tell)
		}
		for address, e := range engines {
			if e.busyUntil <= now {
				e.step(now, address, &done, finished, progress)
			}
		}
	}
	return float64(done[0][0]) / float64(done[0][1]), float64(done[1][0]) / float64(done[1][1]), reread
}

// tellAll tells each router what the others have on each engine.
func tellAll(p *kingcuphook.Pool, engines map[string]*engine, now time.Duration, tell func(int, *kingcuphook.Upstream, time.Time, int, int)) {
	for _, u := range p.Upstreams() {
		e := engines[u.Address()]
		for router := range routers {
			others, reading := 0, 0
			for _, x := range e.queue {
				if x.router != router {
					others++
					reading += x.toRead
				}
			}
			for _, x := range e.streams {
				if x.router != router {
					others++
				}
			}
			tell(router, u, start.Add(now), others, reading)
		}
	}
}

// step makes one step of the engine, if it has work.
func (e *engine) step(now time.Duration, address string, done *[2][2]int, finished, progress func(int, string, time.Time, *kingcuphook.Request)) {
	if len(e.queue)+len(e.streams) == 0 {
		return
	}
	took := stepTime + time.Duration(len(e.streams))*streamTime
	if len(e.queue) > 0 {
		x := e.queue[0]
		chunk := min(x.toRead, chunkTokens)
		x.toRead -= chunk
		took += time.Duration(chunk) * readTime
	}
	e.busyUntil = now + took
	kept := e.streams[:0]
	for _, x := range e.streams {
		x.made++
		if x.made%pieceTokens == 0 {
			x.piece(e.busyUntil)
			progress(x.router, address, start.Add(e.busyUntil), x.request)
		}
		if x.made < x.size {
			kept = append(kept, x)
			continue
		}
		finished(x.router, address, start.Add(e.busyUntil), x.request)
		class := 0
		if x.size == letterSize {
			class = 1
		}
		done[class][1]++
		if x.first <= x.request.Target() && x.longestPause <= x.request.TokenTarget() {
			done[class][0]++
		}
	}
	e.streams = kept
	if len(e.queue) > 0 && e.queue[0].toRead <= 0 {
		e.streams = append(e.streams, e.queue[0])
		e.queue = e.queue[1:]
	}
}

func (x *run) piece(now time.Duration) {
	if x.first == 0 {
		x.first = now - x.arrived
	} else {
		x.longestPause = max(x.longestPause, now-x.last)
	}
	x.last = now
}

// TestLettersBesideAnswers plays the load with the Locator and with a plain choice
// of the least loaded upstream of the region, and compares what callers get.
func TestLettersBesideAnswers(t *testing.T) {
	p := pool(4)
	locators := make([]*Locator, routers)
	for i := range locators {
		locators[i] = newLocator(regions[i%len(regions)], p)
	}
	answers, letters, reread := play(t,
		func(i int, now time.Time, r *kingcuphook.Request) string { return choose(t, locators[i], now, r) },
		func(i int, u *kingcuphook.Upstream, now time.Time, others, reading int) {
			locators[i].Report(now, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: u.Address(), Made: now, Running: others, QueuedTokens: reading}))
		},
		func(i int, at string, now time.Time, r *kingcuphook.Request) { locators[i].Started(now, at, r) },
		func(i int, at string, now time.Time, r *kingcuphook.Request) {
			locators[i].Finished(now, at, r, kingcuphook.Sample{Tokens: 1})
		},
		func(i int, at string, now time.Time, r *kingcuphook.Request) { locators[i].Progress(now, at, r, 1) },
	)
	loads := make([]map[string]int, routers)
	for i := range loads {
		loads[i] = make(map[string]int)
	}
	nothing := func(int, string, time.Time, *kingcuphook.Request) {}
	plainAnswers, plainLetters, plainReread := play(t,
		func(i int, _ time.Time, _ *kingcuphook.Request) string {
			best := ""
			for k := range 4 {
				if a := fmt.Sprintf("%s-%d", regions[i%len(regions)], k); best == "" || loads[i][a] < loads[i][best] {
					best = a
				}
			}
			return best
		},
		func(int, *kingcuphook.Upstream, time.Time, int, int) {},
		func(i int, at string, _ time.Time, _ *kingcuphook.Request) { loads[i][at]++ },
		func(i int, at string, _ time.Time, _ *kingcuphook.Request) { loads[i][at]-- },
		nothing,
	)
	t.Logf("in time: answers %.3f (plain %.3f), letters %.3f (plain %.3f); shared tokens read again %d (plain %d)",
		answers, plainAnswers, letters, plainLetters, reread, plainReread)
	if answers < 0.95 || answers < plainAnswers {
		t.Errorf("%.3f of the answers in time, want 0.95 and at least the plain choice's %.3f", answers, plainAnswers)
	}
	if letters < 0.9 || letters < plainLetters {
		t.Errorf("%.3f of the letters in time, want 0.9 and at least the plain choice's %.3f", letters, plainLetters)
	}
	if reread > plainReread/3 {
		t.Errorf("%d shared tokens read again, want at most a third of the plain choice's %d", reread, plainReread)
	}
}
