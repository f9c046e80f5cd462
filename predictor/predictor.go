// Package predictor predicts the length of answers from the quantiles of
// earlier ones, by class and organisation.
package predictor

import (
	"container/list"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultMaxSketches = 16_384
	// accuracy is the relative error of a quantile, maxBins bounds the memory of
	// a sketch and lets it span lengths from 1 to over 100,000 tokens.
	accuracy = 0.1
	maxBins  = 64
	// minCount is how many answers a sketch must have seen to be trusted.
	minCount = 20
	// fadeCount is the weight at which the past is halved.
	fadeCount = 512
	// cautiousQuantile is the share of the answers that are not longer than the
	// cautious length.
	cautiousQuantile = 0.95
	// unknownTokens is predicted while nothing is known.
	unknownTokens = 256
	// unknownFactor makes the cautious length while nothing is known.
	unknownFactor = 4
)

// key names a sketch; an empty organisation stands for all of a class, and an
// empty class with it for all answers.
type key struct{ class, organisation string }

// Predictor implements kingcuphook.LengthPredictor. Its zero value is ready for
// use. It is used by one goroutine at a time.
type Predictor struct {
	// MaxSketches bounds the remembered classes and organisations; those unused
	// for the longest are forgotten first. 0 means 16,384.
	MaxSketches int

	sketches map[key]*list.Element
	// used has the sketches, the one used last in front.
	used list.List
}

// sketch is the lengths of the answers of one key.
type sketch struct {
	key    key
	counts *ddsketch.DDSketch
}

var _ kingcuphook.LengthPredictor = (*Predictor)(nil)

// Predict implements kingcuphook.LengthPredictor. Both lengths are at most the
// bound of the request, if it has one.
func (p *Predictor) Predict(r *kingcuphook.Request) (expected, cautious int) {
	expected, cautious = unknownTokens, unknownFactor*unknownTokens
	if s := p.best(r); s != nil {
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
	keys := keysOf(r)
	for i, k := range keys {
		if i > 0 && k == keys[i-1] {
			continue
		}
		p.touch(k).add(tokens)
	}
}

// Len returns the number of sketches kept.
func (p *Predictor) Len() int { return len(p.sketches) }

// best returns the most specific sketch that has seen enough, or nil.
func (p *Predictor) best(r *kingcuphook.Request) *sketch {
	for _, k := range keysOf(r) {
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

// touch returns the sketch of k as the one used last, and makes it if there is
// none.
func (p *Predictor) touch(k key) *sketch {
	if e := p.sketches[k]; e != nil {
		p.used.MoveToFront(e)
		return e.Value.(*sketch)
	}
	if p.sketches == nil {
		p.sketches = make(map[key]*list.Element)
	}
	if len(p.sketches) >= p.maxSketches() {
		oldest := p.used.Back()
		delete(p.sketches, oldest.Value.(*sketch).key)
		p.used.Remove(oldest)
	}
	s := &sketch{key: k, counts: newCounts()}
	p.sketches[k] = p.used.PushFront(s)
	return s
}

func (p *Predictor) maxSketches() int {
	if p.MaxSketches > 0 {
		return p.MaxSketches
	}
	return defaultMaxSketches
}

// keysOf returns the keys that r belongs to, the most specific first.
func keysOf(r *kingcuphook.Request) [3]key {
	return [3]key{{r.Class(), r.Organisation()}, {r.Class(), ""}, {}}
}

func (s *sketch) add(tokens int) {
	// The sketch refuses only values that are negative or not finite.
	_ = s.counts.Add(float64(tokens))
	if s.counts.GetCount() >= fadeCount {
		_ = s.counts.Reweight(0.5)
	}
}

func (s *sketch) lengths() (expected, cautious int) {
	high, err := s.counts.GetValueAtQuantile(cautiousQuantile)
	if err != nil {
		return unknownTokens, unknownFactor * unknownTokens
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
