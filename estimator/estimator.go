// Package estimator learns the speed of the upstreams of a pool from the requests that
// run on them: how long prefill takes, the gap between the chunks of a stream, and the
// average prompt and answer of a request. It has no prior knowledge of an engine and
// needs a few seconds of traffic to learn it. It uses neither clock nor network.
//
// An engine prefills prompts between the decode steps of its streams. With n concurrent
// streams, each is followed by another one when it ends, whose prompt must be prefilled
// too. So the more streams there are, the larger is the share of its time that an
// upstream spends on prefill, and the slower all streams become.
package estimator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Assumptions about an engine until samples arrive.
const (
	assumedTokenTime = 20 * time.Microsecond
	assumedFirstTime = 20 * time.Millisecond
	assumedGap       = 25 * time.Millisecond
	assumedChunks    = 20
	assumedTokens    = 1000
)

const (
	// typicalQuantile is the quantile of the first-token samples that is taken as
	// typical. It is below the median because work that the router has no report of makes
	// some samples long.
	typicalQuantile = 0.4
	// undisturbedQuantile is the quantile of the gaps between chunks that is taken as
	// the gap without concurrent prefill.
	undisturbedQuantile = 0.2
	// longAnswerQuantile is the quantile of the lengths of a class's answers that is
	// taken as a long answer.
	longAnswerQuantile = 0.9
	// meanStep is the weight of a new sample in the averages of a workload once there
	// are many samples. Before that all samples weigh the same, and the assumed value
	// counts as assumedSamples of them.
	meanStep       = 0.04
	assumedSamples = 2
	// saturatedShare is the share of its time that a saturated upstream spends on
	// prefill.
	saturatedShare = 0.87
	// maxClasses bounds the classes that are tracked; one more clears all.
	maxClasses = 256
)

// Estimator learns the speed of one pool. Its zero value is ready for use. It is used by
// one goroutine at a time.
type Estimator struct {
	ready bool
	// tokenTime is the time to prefill a token, firstOverhead the time to the first
	// chunk without prefill, gap the gap between chunks without concurrent prefill; in
	// seconds.
	tokenTime, firstOverhead, gap quantile
	// prefillTokens is the mean number of tokens prefilled before a first chunk. Samples
	// of at least the mean update tokenTime, shorter ones firstOverhead.
	prefillTokens mean
	classes       map[string]*class
}

// Workload holds the averages of the streams on a group of upstreams. Its zero value is
// ready for use.
type Workload struct {
	// tokens is the number of uncached tokens of a prompt, chunks the number of chunks
	// of an answer.
	tokens, chunks mean
}

// ObservePrompt records the uncached tokens of a new stream's prompt.
func (w *Workload) ObservePrompt(tokens int) { w.tokens.add(float64(tokens)) }

// ObserveAnswer records the number of chunks of a complete answer.
func (w *Workload) ObserveAnswer(chunks int) { w.chunks.add(float64(chunks)) }

// mean tracks the mean of samples. Its zero value is ready for use.
type mean struct {
	// value is the mean of the samples so far.
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	m.value += max(1/float64(m.samples), meanStep) * (sample - m.value)
}

// orAssumed returns the mean, weighted with the assumed value while there are few
// samples; at least 1.
func (m *mean) orAssumed(assumed float64) float64 {
	n := float64(m.samples)
	return max((n*m.value+assumedSamples*assumed)/(n+assumedSamples), 1)
}

// class holds what is learned of the requests of one class.
type class struct {
	// chunks is the number of chunks of a long answer.
	chunks quantile
}

func (e *Estimator) setDefaults() {
	if e.ready {
		return
	}
	e.ready = true
	e.tokenTime = newQuantile(typicalQuantile, assumedTokenTime.Seconds())
	e.firstOverhead = newQuantile(typicalQuantile, assumedFirstTime.Seconds())
	e.gap = newQuantile(undisturbedQuantile, assumedGap.Seconds())
	e.classes = make(map[string]*class)
}

// ObserveFirstToken records how long a first chunk took, without the round trip, and how
// many prompt tokens had to be prefilled before it, those of requests ahead included.
func (e *Estimator) ObserveFirstToken(tokens int, took time.Duration) {
	e.setDefaults()
	e.prefillTokens.add(float64(tokens))
	if tokens > 0 && float64(tokens) >= e.prefillTokens.orAssumed(assumedTokens) {
		e.tokenTime.add((took.Seconds() - e.firstOverhead.value) / float64(tokens))
		return
	}
	e.firstOverhead.add(took.Seconds() - float64(tokens)*e.tokenTime.value)
}

// ObserveAnswer records the sample of a stream whose answer is complete.
func (e *Estimator) ObserveAnswer(r *kingcuphook.Request, s kingcuphook.Sample) {
	e.setDefaults()
	e.class(r).chunks.add(float64(s.Tokens))
	if s.Tokens > 1 {
		e.gap.add(s.TokenGap.Seconds())
	}
}

func (e *Estimator) class(r *kingcuphook.Request) *class {
	c := e.classes[r.Class()]
	if c == nil {
		if len(e.classes) >= maxClasses {
			clear(e.classes)
		}
		c = &class{chunks: newQuantile(longAnswerQuantile, assumedChunks)}
		e.classes[r.Class()] = c
	}
	return c
}

// chunksOf returns the chunks of a long answer of the class. It adds no class, so that a question
// about a request that is not sent leaves what was learned.
func (e *Estimator) chunksOf(r *kingcuphook.Request) float64 {
	if c := e.classes[r.Class()]; c != nil {
		return c.chunks.value
	}
	return assumedChunks
}

// PrefillTokenTime returns the time that an upstream takes to prefill a token.
func (e *Estimator) PrefillTokenTime() time.Duration {
	e.setDefaults()
	return seconds(e.tokenTime.value)
}

// FirstTokenOverhead returns the time to the first chunk without prefill.
func (e *Estimator) FirstTokenOverhead() time.Duration {
	e.setDefaults()
	return seconds(e.firstOverhead.value)
}

// MaxStreams returns the number of concurrent streams beside which a long answer of the
// class ends in the given time.
func (e *Estimator) MaxStreams(r *kingcuphook.Request, w *Workload, allowed time.Duration) float64 {
	e.setDefaults()
	answerTime := e.chunksOf(r) * e.gap.value
	slowdown := (allowed.Seconds() - e.firstOverhead.value) / answerTime
	return max(slowdown-1, 0) / e.streamLoad(w)
}

// SaturatingStreams returns the number of concurrent streams that saturate an upstream,
// so that it spends saturatedShare of its time on prefill.
func (e *Estimator) SaturatingStreams(w *Workload) float64 {
	e.setDefaults()
	return saturatedShare / (1 - saturatedShare) / e.streamLoad(w)
}

// streamLoad returns the prefill time that a stream causes, as a share of the time that
// its answer takes alone. Beside n concurrent streams, the time of an answer grows by n
// times that share.
func (e *Estimator) streamLoad(w *Workload) float64 {
	return w.tokens.orAssumed(assumedTokens) * e.tokenTime.value / (w.chunks.orAssumed(assumedChunks) * e.gap.value)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
