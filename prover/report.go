package prover

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// Report is the result of one call as its caller received it.
type Report struct {
	// Request and Key identify the call; Router is the index of its router.
	Request, Key string
	Router       int
	// Kind is the kind of the call.
	Kind Kind
	// Body is the body of the request.
	Body []byte
	// Text is the received part of the answer.
	Text string
	// ConnectionLost reports that the connection to the router broke.
	ConnectionLost bool
	// Err is the error that the caller received, or nil.
	Err *kingcuphook.RequestError
	// Replayed reports that the answer is a stored outcome.
	Replayed bool
	// Began and Ended are when the call began and ended.
	Began, Ended time.Time
}

// Result returns the name of the call's result: answered, replayed, not-run, ran,
// unknown, or lost for a broken connection.
func (r Report) Result() string {
	switch {
	case r.ConnectionLost:
		return "lost"
	case r.Err != nil:
		return string(r.Err.Ran)
	case r.Replayed:
		return "replayed"
	default:
		return "answered"
	}
}

// dispatch sends the call through the router and records its result.
func (r *Report) dispatch(ctx context.Context, router *Router, c *kingcuphook.Call) {
	writer := &answerWriter{process: router.process}
	out, err := router.Dispatcher.Dispatch(ctx, c, writer)
	r.Text = writer.String()
	if err == nil && !r.Kind.engine() {
		r.Text = string(out.Answer.Body())
	}
	r.Replayed = out.Replayed
	if err != nil && !errors.As(err, &r.Err) {
		r.Err = &kingcuphook.RequestError{Code: "untyped", Err: err}
	}
}

func newCall(r *Report) *kingcuphook.Call {
	kind := kingcuphook.UpstreamKindService
	if r.Kind.engine() {
		kind = kingcuphook.UpstreamKindEngine
	}
	return &kingcuphook.Call{
		Kind: kind,
		Body: r.Body,
		Request: kingcuphook.NewRequest(kingcuphook.RequestFields{
			ID:             r.Request,
			Class:          "till",
			Organisation:   "cafe",
			Pool:           poolName,
			Region:         regionName,
			DataCentre:     regionName,
			Tier:           kingcuphook.HighestTier,
			Arrived:        r.Began,
			Deadline:       r.Began.Add(deadline),
			NonIdempotent:  r.Kind.claimed() || r.Kind == KindOnce,
			IdempotencyKey: r.Key,
			Fingerprint:    xxhash.Sum64(r.Body),
			Stream:         r.Kind == KindStream || r.Kind == KindClaimedStream,
		}),
	}
}

// answerWriter collects the streamed answer for the caller.
type answerWriter struct {
	process *process
	b       strings.Builder
}

// WriteData implements kingcuphook.FrameWriter.
func (w *answerWriter) WriteData(s string) error {
	if !w.process.awaitRunning() {
		return errors.New("prover: connection broke")
	}
	w.b.WriteString(s)
	return nil
}

func (w *answerWriter) String() string { return w.b.String() }
