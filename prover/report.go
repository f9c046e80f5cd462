package prover

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

// Report is what the caller of one call saw.
type Report struct {
	// Request and Key identify the call; Router is the index of its router.
	Request, Key string
	Router       int
	// Kind is the kind of the call.
	Kind Kind
	// Body is what was asked.
	Body []byte
	// Text is what was answered, whole or not.
	Text string
	// Lost says that the connection to the router broke.
	Lost bool
	// Err is the error that the caller was told.
	Err *kingcuphook.RequestError
	// Replayed says that the answer is a stored one.
	Replayed bool
	// Began and Ended are the times of the call.
	Began, Ended time.Time
}

// Result names the end of the call: answered, replayed, not-run, ran, unknown,
// or lost for a broken connection.
func (r Report) Result() string {
	switch {
	case r.Lost:
		return "lost"
	case r.Err != nil:
		return string(r.Err.Ran)
	case r.Replayed:
		return "replayed"
	default:
		return "answered"
	}
}

// take makes the call and notes its end.
func (r *Report) take(ctx context.Context, router *Router, c *kingcuphook.Call) {
	text := &text{process: router.process}
	out, err := router.Dispatcher.Dispatch(ctx, c, text)
	r.Text = text.String()
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

// text is the caller's side of a stream.
type text struct {
	process *process
	b       strings.Builder
}

// WriteData implements kingcuphook.FrameWriter.
func (t *text) WriteData(s string) error {
	if !t.process.alive() {
		return errors.New("prover: connection broke")
	}
	t.b.WriteString(s)
	return nil
}

func (t *text) String() string { return t.b.String() }
