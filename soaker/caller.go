package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/pauser"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// atMostOnce reports whether a call of the kind may run at most once.
func atMostOnce(k standin.Kind) bool {
	return k == standin.KindNonIdempotent || k == standin.KindStream
}

// call is one call of a caller and its result.
type call struct {
	id     string
	kind   standin.Kind
	router *router
	// parts are the IDs of the parts of the prompt.
	parts []string
	// timeout is how long the caller waits for the complete answer; interval is the time after
	// each event of a stream, 0 means eventInterval.
	timeout, interval time.Duration
	// slow makes the caller send a body in two halves.
	slow *halves
	// sent is when the caller began to send the request, written when the last byte was
	// written, and ended when the caller had the answer or gave up.
	sent, written, ended time.Time
	outcome              Outcome
	// stream is what the caller has of a stream, over all its tries; nil for other kinds.
	stream *stream
	// lastEvent and resumes name what the call resumes; empty if it begins a stream.
	lastEvent, resumes string
	// leaveAfter is the number of events after which the caller breaks off; 0 means never.
	leaveAfter int
	status     int
	// served reports that the caller received a complete answer, reportedNotRun that
	// the status states that the call did not run.
	served, reportedNotRun bool
	// violation describes the guarantee that the response violated; empty if none.
	violation string
}

// callers emulates the callers of the platform and records their calls.
type callers struct {
	env  *environment
	seed uint64

	mu sync.Mutex
	// calls holds all calls by their IDs.
	calls map[string]*call
	// resumptions holds the calls that resumed streams.
	resumptions []resumption
	// recoveredAt is the time from which calls must be served again.
	recoveredAt time.Time
}

const (
	// callTimeout is how long a caller waits for the complete answer.
	callTimeout = 5 * time.Second
	// earlyTimeout is less than a complete stream takes.
	earlyTimeout = 60 * time.Millisecond
	// callsPerConnection is how many calls a caller sends before it closes its
	// connections.
	callsPerConnection = 6
)

func newCallers(env *environment, seed uint64) *callers {
	return &callers{env: env, seed: seed, calls: make(map[string]*call)}
}

// run sends one call after another to randomly chosen ready routers until ctx ends.
func (c *callers) run(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(caller)+2))
	for n := 0; ctx.Err() == nil; {
		r := c.env.routers[rng.IntN(len(c.env.routers))]
		if !r.isReady() {
			pauser.Pause(ctx, readyInterval)
			continue
		}
		line := &line{router: r}
		for range callsPerConnection {
			n++
			k := standin.Kinds()[rng.IntN(len(standin.Kinds()))]
			x := &call{id: fmt.Sprintf("%016x", rng.Uint64()), kind: k, router: r, timeout: callTimeout}
			x.parts = c.env.promptParts(rng, k, x.id)
			switch kind := rng.IntN(20); {
			case kind == 0:
				x.timeout = earlyTimeout
			case kind < 3 && c.env.soak.Changes:
				x.slow = newHalves(rng)
			}
			switch {
			case k == standin.KindResumableStream && c.env.soak.Versions > 0:
				c.follow(ctx, rng, line, x)
			default:
				c.send(ctx, line, x)
			}
			pauser.Pause(ctx, between(rng, 5*time.Millisecond, 60*time.Millisecond))
		}
		line.close()
	}
}

// send sends one call and records its result. A call that was sent is not broken off at the
// end of ctx.
func (c *callers) send(ctx context.Context, line *line, x *call) {
	key := c.env.currentKey()
	sent := standin.Call{Kind: x.kind, ID: x.id, Key: key, Deadline: x.timeout, Interval: x.interval, Body: http.NoBody, Parts: x.parts}
	sent.LastEvent, sent.Resumes = x.lastEvent, x.resumes
	if x.isStream() && x.stream == nil {
		x.stream = &stream{}
	}
	if x.slow != nil && x.kind != standin.KindIdempotent {
		sent.Body = x.slow
	}
	r, err := sent.Request(ctx, x.router.callers)
	if err != nil {
		x.violation = err.Error()
		return
	}
	x.sent = time.Now()
	c.add(x)
	a := line.exchange(context.WithoutCancel(ctx), r, x.sent.Add(x.timeout), x.leaveAfter)
	c.record(x, key, a)
}

func (c *callers) add(x *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[x.id] = x
}

// record records the result of a call and any guarantee that it violates.
func (c *callers) record(x *call, key string, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.written, x.ended, x.outcome, x.status = a.written, time.Now(), a.outcome, a.status
	if a.malformed != nil {
		x.violation = fmt.Sprintf("bytes that are no answer: %v", a.malformed)
	}
	if a.outcome == OutcomeComplete && a.status != http.StatusOK {
		x.outcome = OutcomeFailed
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		x.reportedNotRun = true
		x.outcome = OutcomeRefused
	case http.StatusUnauthorized:
		if c.env.revoked(key).IsZero() && c.env.declaredBefore(x.sent.Add(-keyGrace)) && x.router.undisturbedSince(x.sent.Add(-keyGrace)) {
			x.violation = "a valid key was rejected"
		}
	case http.StatusNotFound, http.StatusForbidden:
		x.violation = fmt.Sprintf("status %d for a route that is declared", a.status)
	case http.StatusOK:
		x.served = a.outcome == OutcomeComplete
		if x.served {
			x.violation = c.checkAnswer(x, key, a)
		}
		if x.stream != nil && x.violation == "" {
			x.violation = x.stream.add(x, a)
		}
	}
}

// checkAnswer returns the guarantee that a complete answer violates, or an empty string.
func (c *callers) checkAnswer(x *call, key string, a answer) string {
	revoked := c.env.revoked(key)
	switch {
	case !standin.IsSigned(a.header):
		return "a success that is not signed by an upstream"
	case standin.CallID(a.header) != x.id:
		return "the answer of another call"
	case !revoked.IsZero() && x.sent.After(revoked.Add(keyGrace)) && x.router.undisturbedSince(revoked):
		return fmt.Sprintf("%s was accepted %v after it was revoked", key, x.sent.Sub(revoked))
	case !x.isStream() && !strings.HasSuffix(a.body, " to "+x.id):
		return fmt.Sprintf("unexpected answer %q", a.body)
	}
	return ""
}

// isStream reports whether the answer to the call is a stream.
func (c *call) isStream() bool {
	return c.kind == standin.KindResumableStream || c.kind == standin.KindStream
}

// allResumptions returns the calls that resumed streams.
func (c *callers) allResumptions() []resumption {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.resumptions)
}

// beginVerification starts the verification phase, in which calls must be served again.
func (c *callers) beginVerification() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredAt = time.Now()
}

// verification returns the number of calls in the verification phase and how many of
// them were served. Calls that got no status, for example because the caller cancelled
// early, streams that the caller broke off, and resumptions are not counted.
func (c *callers) verification() (all, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.calls {
		if x.sent.Before(c.recoveredAt) || x.status == 0 || x.outcome == OutcomeLeft || x.lastEvent != "" {
			continue
		}
		all++
		if x.served {
			served++
		}
	}
	return all, served
}

// reached reports whether the upstream ran a call in the verification phase.
func (c *callers) reached(u *upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := u.Runs()
	return len(runs) > 0 && runs[len(runs)-1].At.After(c.recoveredAt)
}

func (c *callers) all() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*call, 0, len(c.calls))
	for _, x := range c.calls {
		list = append(list, x)
	}
	return list
}

// byID returns the call with the ID, or nil.
func (c *callers) byID(id string) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

func (c *callers) result(env *environment) Result {
	r := Result{Outcomes: make(map[Outcome]int)}
	for _, x := range c.all() {
		r.Calls++
		r.Outcomes[x.outcome]++
		if x.served {
			r.Served++
		}
	}
	for _, runs := range env.runs() {
		r.Runs += len(runs)
	}
	return r
}
