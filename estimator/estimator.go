// Package estimator learns how fast the upstreams of a pool work, from what the
// requests that run on them show: how long prompts take to be read, how long the
// pieces of a stream take, and how much of both the requests bring along. It knows
// nothing of an engine beforehand and takes a few seconds of traffic to learn it.
// It is a pure decision: no clock, no network.
//
// An engine reads prompts between the pieces of the streams beside them. Of n
// streams in hand, each is followed by another one once it ends, whose prompt must
// be read too. So the more streams there are, the larger is the part of its time
// that an upstream reads, and the slower are the pieces of all.
package estimator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// What is assumed of an engine before it has shown anything.
const (
	assumedTokenTime = 20 * time.Microsecond
	assumedFirstTime = 20 * time.Millisecond
	assumedGap       = 25 * time.Millisecond
	assumedPieces    = 20
	assumedTokens    = 1000
)

const (
	// usualShare is the quantile that stands for the usual time to read a prompt: what
	// a router doesn't know of makes some samples long.
	usualShare = 0.4
	// undisturbedShare is the quantile of the pauses in streams that stands for
	// streams beside which nothing is read.
	undisturbedShare = 0.2
	// longShare is the quantile that stands for a long answer of its class.
	longShare = 0.9
	// meanStep weighs a new sample in what requests bring along on average, once there
	// are enough of them; before that all weigh the same, and what is assumed as much
	// as assumedSamples of them.
	meanStep       = 0.04
	assumedSamples = 2
	// busyShare is the part of its time that a crowded upstream reads.
	busyShare = 0.87
	// maxClasses bounds the classes that are kept apart.
	maxClasses = 256
)

// Estimator learns one pool. Its zero value is ready for use. It is used by one
// goroutine at a time.
type Estimator struct {
	ready bool
	// token is the time to read a token of a prompt, first what a first piece takes
	// besides, gap the pause between pieces beside which nothing is read; in seconds.
	token, first, gap quantile
	// tokens is how much is usually read before a first piece: long prompts tell of
	// the time to read a token, short ones of the rest.
	tokens  mean
	classes map[string]*class
}

// Mix is what the streams on a group of upstreams bring along on average. Its zero
// value is ready for use.
type Mix struct {
	// tokens are prompt tokens to be read, pieces those of the answer.
	tokens, pieces mean
}

// Started takes the prompt tokens that a stream brings along.
func (m *Mix) Started(tokens int) { m.tokens.add(float64(tokens)) }

// Ended takes the pieces of an answer that ended whole.
func (m *Mix) Ended(pieces int) { m.pieces.add(float64(pieces)) }

// mean follows the mean of samples. Its zero value is ready for use.
type mean struct {
	// value is that of the samples so far.
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	m.value += max(1/float64(m.samples), meanStep) * (sample - m.value)
}

// or returns the mean, or what is assumed as long as there are few samples.
func (m *mean) or(assumed float64) float64 {
	n := float64(m.samples)
	return max((n*m.value+assumedSamples*assumed)/(n+assumedSamples), 1)
}

// class is what the requests of one class have in common.
type class struct {
	// pieces is the number of pieces of a long answer.
	pieces quantile
}

func (e *Estimator) start() {
	if e.ready {
		return
	}
	e.ready = true
	e.token = newQuantile(usualShare, assumedTokenTime.Seconds())
	e.first = newQuantile(usualShare, assumedFirstTime.Seconds())
	e.gap = newQuantile(undisturbedShare, assumedGap.Seconds())
	e.classes = make(map[string]*class)
}

// Began takes how long a first piece took, without the way there and back, and how
// many prompt tokens had to be read before it, those ahead of the request included.
func (e *Estimator) Began(tokens int, took time.Duration) {
	e.start()
	e.tokens.add(float64(tokens))
	if tokens > 0 && float64(tokens) >= e.tokens.or(assumedTokens) {
		e.token.add((took.Seconds() - e.first.value) / float64(tokens))
		return
	}
	e.first.add(took.Seconds() - float64(tokens)*e.token.value)
}

// Ended takes the answer of a stream that ended whole.
func (e *Estimator) Ended(r *kingcuphook.Request, s kingcuphook.Sample) {
	e.start()
	e.class(r).pieces.add(float64(s.Tokens))
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
		c = &class{pieces: newQuantile(longShare, assumedPieces)}
		e.classes[r.Class()] = c
	}
	return c
}

// TokenTime returns how long an upstream takes to read a token of a prompt.
func (e *Estimator) TokenTime() time.Duration {
	e.start()
	return seconds(e.token.value)
}

// FirstTime returns what a first piece takes besides reading.
func (e *Estimator) FirstTime() time.Duration {
	e.start()
	return seconds(e.first.value)
}

// Room returns the number of streams on an upstream beside which a long answer of the
// class ends in the given time.
func (e *Estimator) Room(r *kingcuphook.Request, m *Mix, allowed time.Duration) float64 {
	e.start()
	answer := e.class(r).pieces.value * e.gap.value
	stretch := (allowed.Seconds() - e.first.value) / answer
	return max(stretch-1, 0) / e.load(m)
}

// Crowd returns the number of streams that make an upstream read most of its time.
func (e *Estimator) Crowd(m *Mix) float64 {
	e.start()
	return busyShare / (1 - busyShare) / e.load(m)
}

// load returns the time that a stream makes the upstream read, as a share of the time
// that its answer takes beside no other. With n streams in hand, answers take 1 + n
// times that share longer.
func (e *Estimator) load(m *Mix) float64 {
	return m.tokens.or(assumedTokens) * e.token.value / (m.pieces.or(assumedPieces) * e.gap.value)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
