package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// engine is what the estimator has to find out.
type engine struct {
	// tokensPerMS is how fast prompts are read, first what a first piece takes
	// besides, gap the pause between pieces beside no reading.
	tokensPerMS float64
	first, gap  time.Duration
}

// engines are slow and fast ones, with small and large steps.
func engines() []engine {
	rates := []float64{10, 36, 57, 200}
	gaps := []time.Duration{4 * time.Millisecond, 25 * time.Millisecond, 120 * time.Millisecond}
	list := make([]engine, 0, len(rates)*len(gaps))
	for _, rate := range rates {
		for _, gap := range gaps {
			list = append(list, engine{tokensPerMS: rate, first: 20 * time.Millisecond, gap: gap})
		}
	}
	return list
}

func request(class string) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r", Class: class, Stream: true})
}

// play shows the estimator n requests: half of them long prompts with short answers,
// half the other way round. A third of the first pieces waits for work of which the
// router doesn't know; where something is read, pauses are longer.
func (g engine) play(e *Estimator, m *Mix, n int) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		tokens, pieces, class := 8000, 10, "draft"
		if i%2 == 1 {
			tokens, pieces, class = 600, 60, "answer"
		}
		m.Started(tokens)
		took := g.first + time.Duration(float64(tokens)/g.tokensPerMS*float64(time.Millisecond))
		if rng.IntN(3) == 0 {
			took += time.Duration(rng.Int64N(int64(2 * took)))
		}
		e.Began(tokens, took)
		pieces += rng.IntN(pieces)
		pause := g.gap
		if rng.IntN(3) > 0 {
			pause += time.Duration(rng.Int64N(int64(4 * g.gap)))
		}
		e.Ended(request(class), kingcuphook.Sample{Tokens: pieces, TokenGap: pause})
		m.Ended(pieces)
	}
}

// within reports whether got is at most the given factor off.
func within(got, want, factor float64) bool { return got <= want*factor && got >= want/factor }

func TestLearnsAnyEngineWithinSeconds(t *testing.T) {
	for _, g := range engines() {
		t.Run(fmt.Sprintf("%v-tokens-%v", g.tokensPerMS, g.gap), func(t *testing.T) {
			var e Estimator
			var m Mix
			g.play(&e, &m, 120) // two seconds at 60 requests a second
			want := float64(time.Millisecond) / g.tokensPerMS
			if got := float64(e.TokenTime()); !within(got, want, 1.4) {
				t.Errorf("a token takes %v, want %v", time.Duration(got), time.Duration(want))
			}
			if got := e.gap.value; !within(got, g.gap.Seconds(), 1.4) {
				t.Errorf("a pause takes %.1f ms, want %v", got*1000, g.gap)
			}
		})
	}
}

func TestRoomGrowsWithTimeAndSpeed(t *testing.T) {
	room := func(g engine, class string, allowed time.Duration) float64 {
		var e Estimator
		var m Mix
		g.play(&e, &m, 400)
		return e.Room(request(class), &m, allowed)
	}
	slow := engine{tokensPerMS: 10, first: 20 * time.Millisecond, gap: 25 * time.Millisecond}
	fast := slow
	fast.tokensPerMS = 100
	if a, b := room(slow, "answer", 5*time.Second), room(slow, "answer", 15*time.Second); a >= b {
		t.Errorf("room %.1f for 5 s and %.1f for 15 s, want more for more time", a, b)
	}
	if a, b := room(slow, "draft", 5*time.Second), room(fast, "draft", 5*time.Second); a >= b {
		t.Errorf("room %.1f on a slow engine and %.1f on a fast one, want more on the fast one", a, b)
	}
	if got := room(slow, "answer", 100*time.Millisecond); got != 0 {
		t.Errorf("room %.1f for an answer that can't end in time on any upstream, want 0", got)
	}
}

// TestRoomKeepsAnswersInTime plays an upstream that always has as many streams in
// hand as there is room for, and looks how long the answers take.
func TestRoomKeepsAnswersInTime(t *testing.T) {
	const allowed = 5 * time.Second
	for _, g := range engines() {
		t.Run(fmt.Sprintf("%v-tokens-%v", g.tokensPerMS, g.gap), func(t *testing.T) {
			var e Estimator
			var m Mix
			g.play(&e, &m, 400)
			in := int(e.Room(request("draft"), &m, allowed))
			if took := g.stream(in, longDraft); in > 0 && took > allowed*3/2 {
				t.Errorf("with %d in hand a long draft takes %v, want about %v", in, took, allowed)
			}
			if took := g.stream(2*in+2, longDraft); took < allowed {
				t.Errorf("with %d in hand a long draft takes %v: there was room for more than %d", 2*in+2, took, in)
			}
		})
	}
}

// longDraft is the number of pieces of a long draft, meanTokens and meanPieces what a
// stream of the played mix brings along.
const (
	longDraft  = 19
	meanTokens = 4300
	meanPieces = 52
)

// stream returns how long an answer of some pieces takes on an upstream with n streams
// of the mix in hand, each of which is followed by another one: between two pieces
// the upstream reads what those that follow bring along.
func (g engine) stream(n, pieces int) time.Duration {
	read := meanTokens / g.tokensPerMS * float64(time.Millisecond)
	return time.Duration(float64(pieces) * (float64(g.gap) + float64(n)/meanPieces*read))
}

func TestLearnsTheWayToADataCentre(t *testing.T) {
	for _, trip := range []time.Duration{100 * time.Microsecond, 5 * time.Millisecond, 100 * time.Millisecond} {
		var d Distances
		if got := d.RoundTrip("a"); got != 0 {
			t.Errorf("round trip %v before the first connection, want 0", got)
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for range 30 {
			d.Connected("a", trip+time.Duration(rng.Int64N(int64(trip))/int64(1+rng.IntN(4))))
		}
		if got := d.RoundTrip("a"); !within(float64(got), float64(trip), 1.4) {
			t.Errorf("round trip %v, want %v", got, trip)
		}
	}
}
