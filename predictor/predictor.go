// Package predictor predicts the length of answers in tokens from the lengths of
// earlier ones, by class and organisation.
package predictor

import (
	"container/list"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultMaxSketches = 16_384
	// accuracy is the relative error of a quantile. maxBins bounds the memory of a
	// sketch; 64 bins span lengths from 1 to over 100,000 tokens.
	accuracy = 0.1
	maxBins  = 64
	// minCount is the number of answers from which on a sketch is used for
	// predictions.
	minCount = 20
	// decayCount is the total weight at which the weights of all answers so far are
	// halved, so that newer answers count more.
	decayCount = 512
	// cautiousQuantile is the quantile of the lengths that is predicted as the
	// cautious length.
	cautiousQuantile = 0.95
	// defaultTokens is the expected length while no sketch has enough answers.
	defaultTokens = 256
	// defaultCautiousFactor is the ratio of the cautious to the expected length while
	// no sketch has enough answers.
	defaultCautiousFactor = 4
	// hintScale is the number of units into which sketches, which hold integers, divide the ratio of a length to
	// its hint.
	hintScale = 100
)

// key identifies a sketch. An empty organisation means all of a class; if the class
// is empty too, the sketch covers all answers. A sketch of hinted requests has the lengths relative to
// their hints, in units of 1/hintScale.
type key struct {
	class, organisation string
	hinted              bool
}

// Predictor implements kingcuphook.LengthPredictor. Its zero value is ready for
// use. It is used by one goroutine at a time.
type Predictor struct {
	// MaxSketches bounds the number of sketches; the one that was updated least
	// recently is evicted first. 0 means 16,384.
	MaxSketches int

	sketches map[key]*list.Element
	// recent holds the sketches, the most recently updated first.
	recent list.List
}

// sketch is the distribution of the answer lengths of one key.
type sketch struct {
	key    key
	counts *ddsketch.DDSketch
}

var _ kingcuphook.LengthPredictor = (*Predictor)(nil)

// Predict implements kingcuphook.LengthPredictor. Both lengths are at most
// MaxTokens of the request, if that is set.
func (p *Predictor) Predict(r *kingcuphook.Request) (expected, cautious int) {
	expected, cautious = defaultTokens, defaultCautiousFactor*defaultTokens
	if hint := r.LengthHint(); hint > 0 {
		// Hints are assumed right at the median, so a hint is used unchanged until minCount hinted answers were observed.
		expected, cautious = hint, defaultCautiousFactor*hint
		if s := p.mostSpecific(r, true); s != nil {
			e, c := s.lengths()
			expected, cautious = max(hint*e/hintScale, 1), max(hint*c/hintScale, 1)
		}
	} else if s := p.mostSpecific(r, false); s != nil {
		expected, cautious = s.lengths()
	}
	if n := r.MaxTokens(); n > 0 {
		return min(expected, n), min(cautious, n)
	}
	return expected, cautious
}

// Observe implements kingcuphook.LengthPredictor.
func (p *Predictor) Observe(r *kingcuphook.Request, tokens int) {
	if tokens <= 0 {
		return
	}
	p.observe(keysOf(r, false), tokens)
	if hint := r.LengthHint(); hint > 0 {
		p.observe(keysOf(r, true), max(tokens*hintScale/hint, 1))
	}
}

// observe adds a length, or a ratio to a hint, to the sketches of the keys. Equal keys are adjacent and count once.
func (p *Predictor) observe(keys [3]key, n int) {
	for i, k := range keys {
		if i > 0 && k == keys[i-1] {
			continue
		}
		p.touch(k).add(n)
	}
}

// Len returns the number of sketches kept.
func (p *Predictor) Len() int { return len(p.sketches) }

// mostSpecific returns the most specific sketch with at least minCount answers, or
// nil.
func (p *Predictor) mostSpecific(r *kingcuphook.Request, hinted bool) *sketch {
	for _, k := range keysOf(r, hinted) {
		e := p.sketches[k]
		if e == nil {
			continue
		}
		if s := e.Value.(*sketch); s.counts.GetCount() >= minCount {
			return s
		}
	}
	return nil
}

// touch returns the sketch of k and marks it as most recently updated. It creates
// the sketch if there is none.
func (p *Predictor) touch(k key) *sketch {
	if e := p.sketches[k]; e != nil {
		p.recent.MoveToFront(e)
		return e.Value.(*sketch)
	}
	if p.sketches == nil {
		p.sketches = make(map[key]*list.Element)
	}
	if len(p.sketches) >= p.maxSketches() {
		oldest := p.recent.Back()
		delete(p.sketches, oldest.Value.(*sketch).key)
		p.recent.Remove(oldest)
	}
	s := &sketch{key: k, counts: newCounts()}
	p.sketches[k] = p.recent.PushFront(s)
	return s
}

func (p *Predictor) maxSketches() int {
	if p.MaxSketches > 0 {
		return p.MaxSketches
	}
	return defaultMaxSketches
}

// keysOf returns the keys of the sketches that cover r, the most specific first; hinted selects those of ratios to hints.
func keysOf(r *kingcuphook.Request, hinted bool) [3]key {
	return [3]key{{r.Class(), r.Organisation(), hinted}, {r.Class(), "", hinted}, {hinted: hinted}}
}

func (s *sketch) add(tokens int) {
	// Add fails only for values that are negative or not finite.
	_ = s.counts.Add(float64(tokens))
	if s.counts.GetCount() >= decayCount {
		_ = s.counts.Reweight(0.5)
	}
}

func (s *sketch) lengths() (expected, cautious int) {
	high, err := s.counts.GetValueAtQuantile(cautiousQuantile)
	if err != nil {
		return defaultTokens, defaultCautiousFactor * defaultTokens
	}
	mean := s.counts.GetSum() / s.counts.GetCount()
	return int(mean + 0.5), int(high + 0.5)
}

func newCounts() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, maxBins)
	if err != nil {
		panic("predictor: " + err.Error())
	}
	return s
}
