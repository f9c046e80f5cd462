package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	parts  []string
	sent   time.Time
	status int
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
	// recoveredAt is the time from which calls must be served again.
	recoveredAt time.Time
}

const (
	// callTimeout is how long a caller waits for the complete answer.
	callTimeout = 5 * time.Second
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
			pauser.Pause(ctx, 20*time.Millisecond)
			continue
		}
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
		for range callsPerConnection {
			n++
			k := standin.Kinds()[rng.IntN(len(standin.Kinds()))]
			x := &call{id: fmt.Sprintf("%016x", rng.Uint64()), kind: k, router: r}
			x.parts = c.env.promptParts(rng, k, x.id)
			c.send(ctx, transport, x, rng.IntN(20) == 0)
			pauser.Pause(ctx, between(rng, 5*time.Millisecond, 60*time.Millisecond))
		}
		transport.CloseIdleConnections()
	}
}

// send sends one call and records its result. With cancelEarly the caller waits only
// 60 ms, which is less than a complete stream takes.
func (c *callers) send(ctx context.Context, transport *http.Transport, x *call, cancelEarly bool) {
	timeout := callTimeout
	if cancelEarly {
		timeout = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	key := c.env.currentKey()
	sent := standin.Call{Kind: x.kind, ID: x.id, Key: key, Deadline: timeout, Body: http.NoBody, Parts: x.parts}
	r, err := sent.Request(ctx, x.router.callers)
	if err != nil {
		x.violation = err.Error()
		return
	}
	x.sent = time.Now()
	c.add(x)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.record(x, key, resp, string(body), err)
}

func (c *callers) add(x *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[x.id] = x
}

// record records the result of a call and any guarantee that it violates.
func (c *callers) record(x *call, key string, resp *http.Response, body string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		x.reportedNotRun = true
	case http.StatusUnauthorized:
		if c.env.revoked(key).IsZero() && c.env.declaredBefore(x.sent.Add(-keyGrace)) && x.router.undisturbedSince(x.sent.Add(-keyGrace)) {
			x.violation = "a valid key was rejected"
		}
	case http.StatusNotFound, http.StatusForbidden:
		x.violation = fmt.Sprintf("status %d for a route that is declared", resp.StatusCode)
	case http.StatusOK:
		x.served = err == nil
		if err == nil {
			x.violation = c.checkAnswer(x, key, resp, body)
		}
	}
}

// checkAnswer returns the guarantee that a complete answer violates, or an empty string.
func (c *callers) checkAnswer(x *call, key string, resp *http.Response, body string) string {
	revoked := c.env.revoked(key)
	switch {
	case !standin.IsSigned(resp.Header):
		return "a success that is not signed by an upstream"
	case standin.CallID(resp.Header) != x.id:
		return "the answer of another call"
	case !revoked.IsZero() && x.sent.After(revoked.Add(keyGrace)) && x.router.undisturbedSince(revoked):
		return fmt.Sprintf("%s was accepted %v after it was revoked", key, x.sent.Sub(revoked))
	case (x.kind == standin.KindIdempotent || x.kind == standin.KindNonIdempotent) && !strings.HasSuffix(body, " to "+x.id):
		return fmt.Sprintf("unexpected answer %q", body)
	case (x.kind == standin.KindResumableStream || x.kind == standin.KindStream) && body != completeStream():
		return fmt.Sprintf("a stream ended without an error after %d bytes", len(body))
	}
	return ""
}

// completeStream returns the complete stream that the emulated upstreams send.
func completeStream() string {
	var b strings.Builder
	for n := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// beginVerification starts the verification phase, in which calls must be served again.
func (c *callers) beginVerification() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredAt = time.Now()
}

// verification returns the number of calls in the verification phase and how many of
// them were served. Calls that got no status, for example because the caller cancelled
// early, are not counted.
func (c *callers) verification() (all, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.calls {
		if x.sent.Before(c.recoveredAt) || x.status == 0 {
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
	var r Result
	for _, x := range c.all() {
		r.Calls++
		if x.served {
			r.Served++
		}
	}
	for _, runs := range env.runs() {
		r.Runs += len(runs)
	}
	return r
}
