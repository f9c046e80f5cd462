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
	// meanStep weighs a new sample in what requests bring along on average.
	meanStep = 0.02
	// readingShare is how much of the time to the first piece must be reading for the
	// sample to tell of it.
	readingShare = 0.5
	// busyShare is the part of its time that a crowded upstream reads.
	busyShare = 0.75
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
	// tokens and pieces are what a stream brings along on average: prompt tokens to
	// be read, and pieces of its answer.
	tokens, pieces float64
	classes        map[string]*class
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
	e.tokens, e.pieces = assumedTokens, assumedPieces
	e.classes = make(map[string]*class)
}

// Began takes how long a first piece took, without the way there and back, and how
// many prompt tokens had to be read before it, those ahead of the request included.
func (e *Estimator) Began(tokens int, took time.Duration) {
	e.start()
	reading := float64(tokens) * e.token.value
	if reading >= readingShare*(reading+e.first.value) {
		e.token.add((took.Seconds() - e.first.value) / float64(tokens))
		return
	}
	e.first.add(took.Seconds() - reading)
}

// Started takes the prompt tokens that a request brings along.
func (e *Estimator) Started(tokens int) {
	e.start()
	e.tokens += meanStep * (float64(tokens) - e.tokens)
}

// Ended takes the answer of a stream that ended whole.
func (e *Estimator) Ended(r *kingcuphook.Request, s kingcuphook.Sample) {
	e.start()
	e.pieces += meanStep * (float64(s.Tokens) - e.pieces)
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
		c = &class{pieces: newQuantile(longShare, e.pieces)}
		e.classes[r.Class()] = c
	}
	return c
}

// ReadTime returns how long an upstream takes to read prompt tokens.
func (e *Estimator) ReadTime(tokens int) time.Duration {
	e.start()
	return seconds(float64(tokens) * e.token.value)
}

// FirstTime returns what a first piece takes besides reading, on an upstream with
// the given streams.
func (e *Estimator) FirstTime(streams int) time.Duration {
	e.start()
	return seconds(e.first.value + e.busy(streams)*e.tokens*e.token.value)
}

// AnswerTime returns how long a long answer of the class takes after its first piece,
// on an upstream with the given streams.
func (e *Estimator) AnswerTime(r *kingcuphook.Request, streams int) time.Duration {
	e.start()
	return seconds(e.class(r).pieces.value * e.gap.value * e.Stretch(streams))
}

// Gap returns the usual pause between pieces on an upstream with the given streams.
func (e *Estimator) Gap(streams int) time.Duration {
	e.start()
	return seconds(e.gap.value * e.Stretch(streams))
}

// Stretch returns how many times longer an answer takes on an upstream with the
// given streams than beside none.
func (e *Estimator) Stretch(streams int) float64 {
	e.start()
	return 1 + float64(streams)*e.tokens*e.token.value/(e.pieces*e.gap.value)
}

// busy returns the part of its time that an upstream with the given streams reads.
func (e *Estimator) busy(streams int) float64 { return 1 - 1/e.Stretch(streams) }

// Crowd returns the number of streams that make an upstream read most of its time.
func (e *Estimator) Crowd() float64 {
	e.start()
	return busyShare / (1 - busyShare) * e.pieces * e.gap.value / (e.tokens * e.token.value)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
