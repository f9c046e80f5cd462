package locator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// load is what is played: letters beside answers, for ten seconds, over eight
// routers and twelve engines in three regions.
type load struct {
	// letters and answers come a second.
	letters, answers int
}

// Letters at 2.4 and at 3.4 times their usual rate.
var (
	busy  = load{letters: 38, answers: 25}
	heavy = load{letters: 54, answers: 25}
)

const (
	playFor      = 10 * time.Second
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

// policy decides where each router sends its requests.
type policy interface {
	// pick returns where a request goes, and what the engine there may copy the
	// shared part of its prompt from. An empty address means that it must wait.
	pick(router int, now time.Time, r *kingcuphook.Request) (address, copyFrom string)
	// tell tells a router what the others have on an engine.
	tell(router int, u *kingcuphook.Upstream, now time.Time, others, reading int)
	// progress tells of a piece, finished of the end of a request.
	progress(router int, address string, now time.Time, r *kingcuphook.Request)
	finished(router int, address string, now time.Time, r *kingcuphook.Request, s kingcuphook.Sample)
}

// result is what the callers of a played load got.
type result struct {
	// answers and letters are the shares in time.
	answers, letters float64
	// reread are the shared tokens that were read though another engine had them.
	reread int
}

// player plays the load with one policy.
type player struct {
	policy  policy
	rng     *rand.Rand
	pool    *kingcuphook.Pool
	engines map[string]*engine
	// waiting are the requests without an engine, in the order of their arrival.
	waiting []*run
	// read has the shared parts that some engine has read.
	read   map[uint64]bool
	reread int
	// done counts by class, answers first: those in time, all.
	done [2][2]int
	n    int
}

func play(l load, p policy) result {
	y := &player{policy: p, rng: rand.New(rand.NewPCG(7, 7)), pool: pool(4), engines: make(map[string]*engine), read: make(map[uint64]bool)}
	for _, u := range y.pool.Upstreams() {
		y.engines[u.Address()] = &engine{kept: make(map[uint64]bool)}
	}
	nextLetter, nextAnswer, nextTell := time.Duration(0), time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < playFor+20*time.Second; now += time.Millisecond {
		for ; now < playFor && nextLetter <= now; nextLetter += time.Second / time.Duration(l.letters) {
			y.arrive(now, true)
		}
		for ; now < playFor && nextAnswer <= now; nextAnswer += time.Second / time.Duration(l.answers) {
			y.arrive(now, false)
		}
		y.place(now)
		if nextTell <= now {
			nextTell += hearEvery
			y.tellAll(now)
		}
		for _, u := range y.pool.Upstreams() {
			if e := y.engines[u.Address()]; e.busyUntil <= now {
				y.step(now, u.Address(), e)
			}
		}
	}
	share := func(class int) float64 { return float64(y.done[class][0]) / float64(y.done[class][1]) }
	return result{answers: share(0), letters: share(1), reread: y.reread}
}

func (y *player) arrive(now time.Duration, long bool) {
	y.n++
	r, size := answer(fmt.Sprint("a", y.n), y.rng.Uint64N(answerThings)), answerSize
	if long {
		r, size = letter(fmt.Sprint("l", y.n), y.rng.Uint64N(letterThings)), letterSize
	}
	router := y.rng.IntN(routers)
	y.waiting = append(y.waiting, &run{request: r, router: router, arrived: now, size: size, toRead: r.PromptTokens()})
}

// place sends the waiting requests on for which there is an engine.
func (y *player) place(now time.Duration) {
	var left []*run
	for _, x := range y.waiting {
		at, copyFrom := y.policy.pick(x.router, start.Add(now), x.request)
		if at == "" {
			left = append(left, x)
			continue
		}
		y.send(x, y.engines[at], y.engines[copyFrom])
	}
	y.waiting = left
}

func (y *player) send(x *run, e, source *engine) {
	r := x.request
	part, tokens := r.Prefix()[1], r.PrefixTokens()[1]
	switch {
	case e.kept[part], source != nil && source.kept[part]:
		x.toRead -= tokens
	case y.read[part]:
		y.reread += tokens
	}
	e.kept[part], y.read[part] = true, true
	e.queue = append(e.queue, x)
}

// tellAll tells each router what the others have on each engine.
func (y *player) tellAll(now time.Duration) {
	for _, u := range y.pool.Upstreams() {
		e := y.engines[u.Address()]
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
			y.policy.tell(router, u, start.Add(now), others, reading)
		}
	}
}

// step makes one step of the engine, if it has work.
func (y *player) step(now time.Duration, address string, e *engine) {
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
			y.policy.progress(x.router, address, start.Add(e.busyUntil), x.request)
		}
		if x.made < x.size {
			kept = append(kept, x)
			continue
		}
		y.policy.finished(x.router, address, start.Add(e.busyUntil), x.request, x.sample())
		class := 0
		if x.size == letterSize {
			class = 1
		}
		y.done[class][1]++
		if x.first <= x.request.Target() && x.longestPause <= x.request.TokenTarget() {
			y.done[class][0]++
		}
	}
	e.streams = kept
	if len(e.queue) > 0 && e.queue[0].toRead <= 0 {
		e.streams = append(e.streams, e.queue[0])
		e.queue = e.queue[1:]
	}
}

// sample returns what a router saw of the request.
func (x *run) sample() kingcuphook.Sample {
	pieces := x.made / pieceTokens
	return kingcuphook.Sample{Tokens: pieces, FirstToken: x.first, TokenGap: (x.last - x.first) / time.Duration(max(pieces-1, 1))}
}

func (x *run) piece(now time.Duration) {
	if x.first == 0 {
		x.first = now - x.arrived
	} else {
		x.longestPause = max(x.longestPause, now-x.last)
	}
	x.last = now
}

// located is the policy of the Locator. Without copies, engines are not told what
// they can copy from.
type located struct {
	locators []*Locator
	copies   bool
}

func newLocated(copies bool) *located {
	l := &located{copies: copies}
	for i := range routers {
		l.locators = append(l.locators, newLocator(regions[i%len(regions)], pool(4)))
	}
	return l
}

func (l *located) pick(router int, now time.Time, r *kingcuphook.Request) (address, copyFrom string) {
	c, err := l.locators[router].Select(now, r, nil)
	if err != nil || c.Upstream == nil {
		return "", ""
	}
	l.locators[router].Started(now, c.Upstream.Address(), r)
	if l.copies {
		copyFrom = c.CopyFrom
	}
	return c.Upstream.Address(), copyFrom
}

func (l *located) tell(router int, u *kingcuphook.Upstream, now time.Time, others, reading int) {
	l.locators[router].Report(now, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{
		Upstream: u.Address(), Made: now, Running: others, QueuedTokens: reading,
	}))
}

func (l *located) progress(router int, address string, now time.Time, r *kingcuphook.Request) {
	l.locators[router].Progress(now, address, r, 1)
}

func (l *located) finished(router int, address string, now time.Time, r *kingcuphook.Request, s kingcuphook.Sample) {
	l.locators[router].Finished(now, address, r, s)
}

// leastLoaded is the policy of a plain choice: the upstream of the region with the
// least requests of the router.
type leastLoaded struct{ loads []map[string]int }

func newLeastLoaded() *leastLoaded {
	l := &leastLoaded{}
	for range routers {
		l.loads = append(l.loads, make(map[string]int))
	}
	return l
}

func (l *leastLoaded) pick(router int, _ time.Time, _ *kingcuphook.Request) (address, copyFrom string) {
	loads := l.loads[router]
	for k := range 4 {
		if a := fmt.Sprintf("%s-%d", regions[router%len(regions)], k); address == "" || loads[a] < loads[address] {
			address = a
		}
	}
	loads[address]++
	return address, ""
}

func (*leastLoaded) tell(int, *kingcuphook.Upstream, time.Time, int, int)  {}
func (*leastLoaded) progress(int, string, time.Time, *kingcuphook.Request) {}
func (l *leastLoaded) finished(i int, at string, _ time.Time, _ *kingcuphook.Request, _ kingcuphook.Sample) {
	l.loads[i][at]--
}

// TestLettersBesideAnswers plays the load with the Locator and with a plain choice
// of the least loaded upstream of the region, and compares what callers get.
func TestLettersBesideAnswers(t *testing.T) {
	got, plain := play(busy, newLocated(true)), play(busy, newLeastLoaded())
	t.Logf("with the Locator %+v, with the plain choice %+v", got, plain)
	if got.answers < 0.95 || got.answers < plain.answers {
		t.Errorf("%.3f of the answers in time, want 0.95 and at least the plain choice's %.3f", got.answers, plain.answers)
	}
	if got.letters < 0.9 || got.letters < plain.letters {
		t.Errorf("%.3f of the letters in time, want 0.9 and at least the plain choice's %.3f", got.letters, plain.letters)
	}
	if got.reread > plain.reread/3 {
		t.Errorf("%d shared tokens read again, want at most a third of the plain choice's %d", got.reread, plain.reread)
	}
}

// TestCopiesSaveReading plays the load with copies and without.
func TestCopiesSaveReading(t *testing.T) {
	with, without := play(heavy, newLocated(true)), play(heavy, newLocated(false))
	t.Logf("with copies %+v, without %+v", with, without)
	if with.reread > without.reread/2 {
		t.Errorf("%d shared tokens read again with copies, want at most half of the %d without", with.reread, without.reread)
	}
	if with.answers < without.answers || with.letters < without.letters {
		t.Errorf("%.3f and %.3f in time with copies, want at least the %.3f and %.3f without", with.answers, with.letters, without.answers, without.letters)
	}
}

// TestOverloadLeavesAnswersInTime plays more letters than the upstreams can read beside
// the answers, which have the higher tier: callers of answers must not notice.
func TestOverloadLeavesAnswersInTime(t *testing.T) {
	for _, letters := range []int{77, 100, 130} {
		got := play(load{letters: letters, answers: 25}, newLocated(true))
		t.Logf("%d letters a second: %+v", letters, got)
		if got.answers < 0.99 {
			t.Errorf("%d letters a second: %.3f of the answers in time, want 0.99", letters, got.answers)
		}
		// What is read again is lost to all: each shared part has 5,382 tokens.
		if most := letterThings * 5382 / 2; got.reread > most {
			t.Errorf("%d letters a second: %d shared tokens read again, want at most %d", letters, got.reread, most)
		}
	}
}
