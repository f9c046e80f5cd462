package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// maxResumptions is how often a caller resumes a stream again.
	maxResumptions = 3
	// resumePause is the longest time before a caller resumes a stream.
	resumePause = 400 * time.Millisecond
	// readyInterval is the time between two looks for a ready router.
	readyInterval = 20 * time.Millisecond
	// leaveOneIn is the share of the streams that their callers break off: one in so many.
	leaveOneIn = 4
	// unknownOneIn is the share of the resumptions that name no attempt, an unknown one or
	// nonsense of longAttempt bytes: one in so many.
	unknownOneIn = 15
	longAttempt  = 16 << 10
)

// stream is what a caller has of a stream over all its tries.
type stream struct {
	// first is the ID of the call that brought the first event; empty if none did.
	first string
	// begun is when that call was sent.
	begun time.Time
	// next is the number of events that the caller has.
	next int
	// version is the version of the upstream that began it.
	version string
	// misnamed is true for what an answer brings to a call that names a made-up attempt: its events may come from any
	// one version. The caller discards them.
	misnamed bool
	// complete reports that the caller has all events and the end.
	complete bool
}

// add adds the events of an answer to a call. It returns the guarantee that they violate, or
// an empty string.
func (s *stream) add(x *call, a answer) string {
	events := strings.SplitAfter(a.body, "\n\n")
	for _, event := range events[:len(events)-1] {
		version, ok := eventVersion(event, s.next)
		switch {
		case !ok:
			return fmt.Sprintf("event %q where event %d of the stream that %s began is due", event, s.next, s.first)
		case s.next == 0:
			s.first, s.begun, s.version = x.id, x.sent, version
		case s.misnamed:
			s.version, s.misnamed = version, false
		case version != s.version:
			return fmt.Sprintf("event %d of version %q in the stream that %s began at version %q, sent %s to %s", s.next, version, s.first, s.version, x.sent.Format("05.000"), x.router.name)
		}
		s.next++
	}
	s.complete = a.outcome == OutcomeComplete
	if rest := events[len(events)-1]; s.complete && (s.next != streamEvents || rest != "") {
		return fmt.Sprintf("a stream ended without an error after %d events and %q", s.next, rest)
	}
	return ""
}

// eventVersion returns the version that the n-th event of a stream names. It reports false if
// the text is not that event.
func eventVersion(event string, n int) (string, bool) {
	version := ""
	if _, after, found := strings.Cut(event, " of "); found {
		version = strings.TrimSuffix(after, "\n\n")
	}
	return version, event == standin.Event(n, version)
}

// resumption is a call that resumed a stream.
type resumption struct {
	call    *call
	version string
	// begun is when the stream began.
	begun time.Time
	// known reports that the call named the attempt that began the stream.
	known bool
}

// follow sends a call for a stream that may be resumed, and takes the stream up again while it
// is not complete.
func (c *callers) follow(ctx context.Context, rng *rand.Rand, l *line, x *call) {
	x.stream = &stream{}
	x.leaveAfter = leaveAfter(rng, x.stream)
	c.send(ctx, l, x)
	for range maxResumptions {
		if x.stream.first == "" || x.stream.complete || x.violation != "" || x.timeout < callTimeout {
			return
		}
		pauser.Pause(ctx, between(rng, time.Millisecond, resumePause))
		r := c.awaitRouter(ctx, rng)
		if r == nil {
			return
		}
		x = c.resumeStream(ctx, rng, r, x)
	}
}

// awaitRouter returns a randomly chosen ready router, or nil if there is none within
// callTimeout.
func (c *callers) awaitRouter(ctx context.Context, rng *rand.Rand) *router {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r := c.env.routers[rng.IntN(len(c.env.routers))]
		if r.isReady() {
			return r
		}
		pauser.Pause(ctx, readyInterval)
	}
	return nil
}

// resumeStream sends a call that resumes the stream of another, and returns it.
func (c *callers) resumeStream(ctx context.Context, rng *rand.Rand, r *router, x *call) *call {
	l := &line{router: r}
	defer l.close()
	y := &call{id: fmt.Sprintf("%016x", rng.Uint64()), kind: x.kind, router: r, timeout: callTimeout, stream: x.stream, parts: x.parts}
	y.leaveAfter = leaveAfter(rng, y.stream)
	y.lastEvent, y.resumes = strconv.Itoa(y.stream.next-1), y.stream.first
	switch rng.IntN(3 * unknownOneIn) {
	case 0:
		y.resumes = ""
	case 1:
		y.resumes = fmt.Sprintf("%016x", rng.Uint64())
	case 2:
		y.resumes = strings.Repeat("x", longAttempt)
	}
	t := resumption{call: y, version: y.stream.version, begun: y.stream.begun, known: y.resumes == y.stream.first}
	if !t.known && y.resumes != "" {
		// Nothing tells a made-up attempt from one that began where no ledger has it. The caller goes on with what it
		// had, by the right name: that must still go on at the version that began it.
		y.stream = &stream{first: y.resumes, next: x.stream.next, misnamed: true}
	}
	c.send(ctx, l, y)
	y.stream = x.stream
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumptions = append(c.resumptions, t)
	rejected := y.outcome == OutcomeFailed && y.status >= http.StatusBadRequest && y.status < http.StatusInternalServerError && y.status != http.StatusUnauthorized
	if rejected && len(y.resumes) < longAttempt {
		y.violation = fmt.Sprintf("status %d for a proper resumption", y.status)
	}
	return y
}

// leaveAfter returns the number of events after which the caller breaks off, or 0.
func leaveAfter(rng *rand.Rand, s *stream) int {
	if rng.IntN(leaveOneIn) > 0 || s.next >= streamEvents-1 {
		return 0
	}
	return 1 + rng.IntN(streamEvents-1-s.next)
}
