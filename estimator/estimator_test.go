package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// engine is a simulated engine whose speed the estimator must learn.
type engine struct {
	// tokensPerMS is the prefill rate, first the time to the first chunk without
	// prefill, gap the gap between chunks without concurrent prefill.
	tokensPerMS float64
	first, gap  time.Duration
}

// engines returns slow and fast engines, with small and large gaps.
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

// feed gives the estimator n requests: half of them have long prompts and short answers,
// half short prompts and long answers. A third of the first chunks wait for work that
// the router has no report of; two thirds of the gaps are longer because of concurrent
// prefill.
func (g engine) feed(e *Estimator, m *Workload, n int) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		tokens, chunks, class := 8000, 10, "draft"
		if i%2 == 1 {
			tokens, chunks, class = 600, 60, "answer"
		}
		m.ObservePrompt(tokens)
		took := g.first + time.Duration(float64(tokens)/g.tokensPerMS*float64(time.Millisecond))
		if rng.IntN(3) == 0 {
			took += time.Duration(rng.Int64N(int64(2 * took)))
		}
		e.ObserveFirstToken(tokens, took)
		chunks += rng.IntN(chunks)
		tokenGap := g.gap
		if rng.IntN(3) > 0 {
			tokenGap += time.Duration(rng.Int64N(int64(4 * g.gap)))
		}
		e.ObserveAnswer(request(class), kingcuphook.Sample{Tokens: chunks, TokenGap: tokenGap})
		m.ObserveAnswer(chunks)
	}
}

// within reports whether got differs from want by at most the factor.
func within(got, want, factor float64) bool { return got <= want*factor && got >= want/factor }

func TestEstimatesConvergeWithinSeconds(t *testing.T) {
	for _, g := range engines() {
		t.Run(fmt.Sprintf("%v-tokens-%v", g.tokensPerMS, g.gap), func(t *testing.T) {
			var e Estimator
			var m Workload
			g.feed(&e, &m, 120) // two seconds at 60 requests/s
			want := float64(time.Millisecond) / g.tokensPerMS
			if got := float64(e.PrefillTokenTime()); !within(got, want, 1.4) {
				t.Errorf("prefill of a token takes %v, want %v", time.Duration(got), time.Duration(want))
			}
			if got := e.gap.value; !within(got, g.gap.Seconds(), 1.4) {
				t.Errorf("gap between chunks is %.1f ms, want %v", got*1000, g.gap)
			}
		})
	}
}

func TestMaxStreamsGrowsWithTimeAndSpeed(t *testing.T) {
	maxStreams := func(g engine, class string, allowed time.Duration) float64 {
		var e Estimator
		var m Workload
		g.feed(&e, &m, 400)
		return e.MaxStreams(request(class), &m, allowed)
	}
	slow := engine{tokensPerMS: 10, first: 20 * time.Millisecond, gap: 25 * time.Millisecond}
	fast := slow
	fast.tokensPerMS = 100
	if a, b := maxStreams(slow, "answer", 5*time.Second), maxStreams(slow, "answer", 15*time.Second); a >= b {
		t.Errorf("%.1f streams for 5 s and %.1f for 15 s, want more for more time", a, b)
	}
	if a, b := maxStreams(slow, "draft", 5*time.Second), maxStreams(fast, "draft", 5*time.Second); a >= b {
		t.Errorf("%.1f streams on a slow engine and %.1f on a fast one, want more on the fast one", a, b)
	}
	if got := maxStreams(slow, "answer", 100*time.Millisecond); got != 0 {
		t.Errorf("%.1f streams for an answer that can't end in time on any upstream, want 0", got)
	}
}

// TestMaxStreamsKeepsAnswersInTime runs as many streams as the estimator allows, and
// checks that long answers take about the allowed time, and that twice as many streams
// would exceed it.
func TestMaxStreamsKeepsAnswersInTime(t *testing.T) {
	const allowed = 5 * time.Second
	for _, g := range engines() {
		t.Run(fmt.Sprintf("%v-tokens-%v", g.tokensPerMS, g.gap), func(t *testing.T) {
			var e Estimator
			var m Workload
			g.feed(&e, &m, 400)
			n := int(e.MaxStreams(request("draft"), &m, allowed))
			if took := g.answerTime(n, longDraft); n > 0 && took > allowed*3/2 {
				t.Errorf("with %d streams a long draft takes %v, want about %v", n, took, allowed)
			}
			if took := g.answerTime(2*n+2, longDraft); took < allowed {
				t.Errorf("with %d streams a long draft takes %v: more than %d streams were possible", 2*n+2, took, n)
			}
		})
	}
}

// longDraft is the number of chunks of a long draft, meanPromptTokens and meanChunks are
// the averages of a request of the simulated workload.
const (
	longDraft        = 19
	meanPromptTokens = 4300
	meanChunks       = 52
)

// answerTime returns how long an answer takes on an upstream with n concurrent streams,
// each of which is followed by another one: between two chunks the upstream prefills the
// prompts of those that follow.
func (g engine) answerTime(n, chunks int) time.Duration {
	prefill := meanPromptTokens / g.tokensPerMS * float64(time.Millisecond)
	return time.Duration(float64(chunks) * (float64(g.gap) + float64(n)/meanChunks*prefill))
}

func TestLearnsRoundTripToDataCentre(t *testing.T) {
	for _, trip := range []time.Duration{100 * time.Microsecond, 5 * time.Millisecond, 100 * time.Millisecond} {
		var d RoundTrips
		if got := d.RoundTrip("a"); got != 0 {
			t.Errorf("round trip %v before the first connection, want 0", got)
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for range 30 {
			d.Observe("a", trip+time.Duration(rng.Int64N(int64(trip))/int64(1+rng.IntN(4))))
		}
		if got := d.RoundTrip("a"); !within(float64(got), float64(trip), 1.4) {
			t.Errorf("round trip %v, want %v", got, trip)
		}
	}
}
