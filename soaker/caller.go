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

// once reports whether a call of the kind may run at most once.
func once(k standin.Kind) bool { return k == standin.KindNonIdempotent || k == standin.KindStream }

// call is one attempt of a caller and what it got.
type call struct {
	id     string
	kind   standin.Kind
	router *router
	sent   time.Time
	status int
	// served says that it got a whole answer.
	served, saidNotRun bool
	// wrong is what must not be; empty if nothing is.
	wrong string
}

// callers call routers as the platform's callers do.
type callers struct {
	world *world
	seed  uint64

	mu     sync.Mutex
	calls  map[string]*call
	calmAt time.Time
}

const (
	// callTimeout is how long a caller waits.
	callTimeout = 5 * time.Second
	// keptCalls is how many calls a caller sends on one connection.
	keptCalls = 6
)

func newCallers(w *world, seed uint64) *callers {
	return &callers{world: w, seed: seed, calls: make(map[string]*call)}
}

// run sends calls one after another until ctx ends.
func (c *callers) run(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(caller)+2))
	for n := 0; ctx.Err() == nil; {
		r := c.world.routers[rng.IntN(len(c.world.routers))]
		if !r.isReady() {
			pauser.Pause(ctx, 20*time.Millisecond)
			continue
		}
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
		for range keptCalls {
			n++
			k := standin.Kinds()[rng.IntN(len(standin.Kinds()))]
			c.call(ctx, transport, &call{id: fmt.Sprintf("%016x", rng.Uint64()), kind: k, router: r}, rng.IntN(20) == 0)
			pauser.Pause(ctx, between(rng, 5*time.Millisecond, 60*time.Millisecond))
		}
		transport.CloseIdleConnections()
	}
}

// call sends one call; an impatient caller leaves before the answer is whole.
func (c *callers) call(ctx context.Context, transport *http.Transport, x *call, impatient bool) {
	most := callTimeout
	if impatient {
		most = 60 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), most)
	defer cancel()
	key := c.world.currentKey()
	sent := standin.Call{Kind: x.kind, ID: x.id, Key: key, Deadline: most, Body: http.NoBody}
	r, err := sent.Request(ctx, x.router.callers)
	if err != nil {
		x.wrong = err.Error()
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
	c.judge(x, key, resp, string(body), err)
}

func (c *callers) add(x *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[x.id] = x
}

// judge notes what a call got, and what of it must not be.
func (c *callers) judge(x *call, key string, resp *http.Response, body string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		x.saidNotRun = true
	case http.StatusUnauthorized:
		if c.world.revoked(key).IsZero() && c.world.declaredBefore(x.sent.Add(-keyTime)) && x.router.calmSince(x.sent.Add(-keyTime)) {
			x.wrong = "a key that holds was refused"
		}
	case http.StatusNotFound, http.StatusForbidden:
		x.wrong = fmt.Sprintf("status %d for a route that is declared", resp.StatusCode)
	case http.StatusOK:
		x.served = err == nil
		if err == nil {
			x.wrong = c.wrongIn(x, key, resp, body)
		}
	}
}

// wrongIn returns what is wrong with a whole answer, or nothing.
func (c *callers) wrongIn(x *call, key string, resp *http.Response, body string) string {
	revoked := c.world.revoked(key)
	switch {
	case !standin.IsSigned(resp.Header):
		return "a success without the stamp of an upstream"
	case standin.CallID(resp.Header) != x.id:
		return "the answer of another call"
	case !revoked.IsZero() && x.sent.After(revoked.Add(keyTime)) && x.router.calmSince(revoked):
		return fmt.Sprintf("%s was honoured %v after it was taken away", key, x.sent.Sub(revoked))
	case (x.kind == standin.KindIdempotent || x.kind == standin.KindNonIdempotent) && !strings.HasSuffix(body, " to "+x.id):
		return fmt.Sprintf("the answer %q", body)
	case (x.kind == standin.KindResumableStream || x.kind == standin.KindStream) && body != wholeStream():
		return fmt.Sprintf("a stream that looks whole and has %d bytes", len(body))
	}
	return ""
}

// wholeStream returns what a whole stream of the stand-ins holds.
func wholeStream() string {
	var b strings.Builder
	for n := range pieces {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// beginCalm begins the part of the run in which calls must be served.
func (c *callers) beginCalm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calmAt = time.Now()
}

// calm returns the calls of that part and how many were served; calls whose caller
// left early are not counted.
func (c *callers) calm() (all, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.calls {
		if x.sent.Before(c.calmAt) || x.status == 0 {
			continue
		}
		all++
		if x.served {
			served++
		}
	}
	return all, served
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

// byID returns a call, or nil.
func (c *callers) byID(id string) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

func (c *callers) result(w *world) Result {
	var r Result
	for _, x := range c.all() {
		r.Calls++
		if x.served {
			r.Served++
		}
	}
	for _, runs := range w.runs() {
		r.Runs += len(runs)
	}
	return r
}
