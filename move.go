package kingcuphook

import (
	"context"
	"errors"
	"time"
)

// StreamMoves describes how the engines of a pool move a running stream, with its KV memory, from one to
// another. The zero value means that they don't.
type StreamMoves struct {
	// TokenBytes is the KV memory of one token in bytes.
	TokenBytes float64
	// LinkBytesPerSecond is the rate of a copy within a data centre; between two it takes twice as long.
	LinkBytesPerSecond float64
	// EventTokens is the number of tokens in an event of a stream; 0 means 1.
	EventTokens int
	// HandleTTL is how long a copy that isn't used is held.
	HandleTTL time.Duration
}

// Enabled reports whether the engines move streams.
func (m StreamMoves) Enabled() bool { return m.TokenBytes > 0 && m.LinkBytesPerSecond > 0 }

// CopyTime returns how long the copy of the KV memory of that many tokens takes, without a wait for other
// copies.
func (m StreamMoves) CopyTime(tokens int, sameDataCentre bool) time.Duration {
	if !m.Enabled() {
		return 0
	}
	seconds := float64(tokens) * m.TokenBytes / m.LinkBytesPerSecond
	if !sameDataCentre {
		seconds *= 2
	}
	return time.Duration(seconds * float64(time.Second))
}

// Errors of StreamMover.
var (
	// ErrNoSuchRun means that the engine doesn't run the request.
	ErrNoSuchRun = errors.New("no such run")
	// ErrMoveInProgress means that another call to copy the run is in progress.
	ErrMoveInProgress = errors.New("move in progress")
	// ErrNotCopied means that the target has no room for the copy or can't be reached by the source.
	ErrNotCopied = errors.New("not copied")
)

// StreamCopy is a copy of the KV memory of a running stream, which serves one attempt.
type StreamCopy struct {
	// Source is the address of the engine that the stream ran at.
	Source string
	// Handle identifies the copy at the source; empty means that there is none.
	Handle string
	// Events is the number of events that the stream had at the time of the copy.
	Events int
}

// StreamMover is implemented by an Engine that moves running streams. It is safe for concurrent use.
type StreamMover interface {
	// CopyStream copies the KV memory of a request that runs at source to target. With last, the request
	// stops first, and its answer is closed without its end. The error wraps ErrNoSuchRun, ErrMoveInProgress
	// or ErrNotCopied if the source answered so, ErrUnavailable joined with ErrNotSent if the call was certainly not sent, and
	// ErrOutcomeUnknown otherwise. With last and ErrNotCopied, the returned copy has the handle of the KV
	// memory that the source keeps.
	CopyStream(ctx context.Context, source, target *Upstream, r *Request, last bool) (StreamCopy, error)
	// FreeCopy frees a copy at its source and its target.
	FreeCopy(ctx context.Context, source *Upstream, c StreamCopy) error
	// LeavesIn asks a leaving upstream how long it goes on; known is false if it doesn't say so.
	LeavesIn(ctx context.Context, u *Upstream) (left time.Duration, known bool, err error)
}

// MoveCodec encodes the calls of a StreamMover and decodes their replies. It is safe for concurrent use.
type MoveCodec interface {
	// EncodeCopy returns the path and the body of the call that copies the KV memory of a request.
	EncodeCopy(r *Request, target *Upstream, last bool) (path string, body []byte)
	// DecodeCopy returns the copy that a reply of source describes, with the errors of CopyStream.
	DecodeCopy(source *Upstream, status int, body []byte) (StreamCopy, error)
	// FreePath returns the path of the call that frees a copy.
	FreePath(c StreamCopy) string
	// StatePath returns the path of the call that asks an upstream for its state.
	StatePath() string
	// DecodeLeave returns the time that an upstream goes on according to its state; known is false if the
	// state has none.
	DecodeLeave(status int, body []byte) (left time.Duration, known bool, err error)
}
