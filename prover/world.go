// Package prover tries every fault at every step of a request on whole data
// paths over stand-ins, and checks what callers were told against what the
// stand-ins recorded. Its worlds are meant for a testing/synctest bubble.
package prover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/claimer"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/sharer"
)

// Step is a state of a request at which a fault happens.
type Step string

// Values of Step.
const (
	// StepQueued is when the request arrives, before its claim.
	StepQueued Step = "queued"
	// StepClaimed is when the claim is held, if there is one, and no slot yet.
	StepClaimed Step = "claimed"
	// StepDispatched is when the first byte is about to leave.
	StepDispatched Step = "dispatched"
	// StepStreaming is in the middle of the answer.
	StepStreaming Step = "streaming"
	// StepDone is when the caller has its answer or error.
	StepDone Step = "done"
)

// Steps are all steps in the order of a request's life.
var Steps = []Step{StepQueued, StepClaimed, StepDispatched, StepStreaming, StepDone}

// Kind is a kind of call.
type Kind string

// Values of Kind.
const (
	// KindStream is an idempotent call of an engine whose caller takes a stream.
	KindStream Kind = "stream"
	// KindPlain is the same with a caller that takes the answer whole.
	KindPlain Kind = "plain"
	// KindService is an idempotent call of a plain service.
	KindService Kind = "service"
	// KindClaimed is a non-idempotent call of a plain service with a key.
	KindClaimed Kind = "claimed"
	// KindClaimedStream is a non-idempotent streamed call of an engine with a
	// key.
	KindClaimedStream Kind = "claimed-stream"
	// KindOnce is a non-idempotent call of a plain service without a key.
	KindOnce Kind = "once"
)

// Kinds are all kinds of calls.
var Kinds = []Kind{KindStream, KindPlain, KindService, KindClaimed, KindClaimedStream, KindOnce}

// claimed reports whether calls of the kind have a claim.
func (k Kind) claimed() bool { return k == KindClaimed || k == KindClaimedStream }

// engine reports whether calls of the kind go to a model engine.
func (k Kind) engine() bool { return k != KindService && k != KindClaimed && k != KindOnce }

const (
	// streamMiddle is the number of frames before the middle of an answer.
	streamMiddle = 7
	// callMiddle is the time before the middle of a plain call.
	callMiddle = 5 * time.Millisecond
	// answerWords is the number of frames of an answer.
	answerWords = 20
	// deadline is how long a caller waits.
	deadline = 100 * time.Second
	// storeDelay is the time of a call to the store.
	storeDelay = time.Millisecond
	// drainTime is longer than any claim waits for the store.
	drainTime = 5 * time.Second
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

// World is a fleet of routers over one store and one set of upstreams.
type World struct {
	// Store and Engine are the stand-ins.
	Store  *storer.Store
	Engine *runner.Engine
	// Routers are the data paths.
	Routers []*Router
	// Upstreams serve every call.
	Upstreams []*kingcuphook.Upstream

	mu      sync.Mutex
	reports []Report
	// faults are those of the next attempts, one each.
	faults []runner.Fault
	// poison are the bodies that crash every upstream.
	poison map[uint64]bool
	// cut says that peers do not reach each other.
	cut   bool
	calls int
	// store is the fault of every call to the store.
	store storer.Fault
	// ctx ends what runs beside the calls; group waits for it.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// closers are called at the end.
	closers []func()
	// lost is the number of writes whose replies are still to be lost.
	lost atomic.Int64
}

// Router is one router of a World.
type Router struct {
	// Dispatcher is its data path.
	Dispatcher *dispatcher.Dispatcher

	world   *World
	process *process
	sharer  *sharer.Sharer
	mu      sync.Mutex
	// stopping says that the router ends after its running call.
	stopping bool
	// cancel ends the call that began last.
	cancel context.CancelFunc
	// triggers are run once when a call reaches their step.
	triggers map[Step][]func()
}

// NewWorld returns a world with the given number of routers and upstreams. The
// seed decides the randomness of the data paths. Close must be called at the
// end.
func NewWorld(seed uint64, routers, upstreams int) *World {
	w := &World{
		Store:  &storer.Store{},
		Engine: &runner.Engine{Words: answerWords},
		poison: make(map[uint64]bool),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.Engine.Hook = w.fault
	w.Store.Hook = w.storeFault
	for i := range upstreams {
		w.Upstreams = append(w.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address:    fmt.Sprintf("10.0.0.%d:80", i+1),
			Region:     regionName,
			DataCentre: regionName,
			Kind:       kingcuphook.UpstreamKindEngine,
			Resumes:    true,
		}))
	}
	for i := range routers {
		w.Routers = append(w.Routers, w.newRouter(seed, i))
	}
	return w
}

func (w *World) newRouter(seed uint64, index int) *Router {
	r := &Router{
		world:    w,
		process:  &process{died: make(chan struct{})},
		triggers: make(map[Step][]func()),
	}
	source := rand.New(rand.NewPCG(seed, uint64(index)))
	r.Dispatcher = &dispatcher.Dispatcher{
		Allocator: &unbounded{router: r, next: index},
		Engine:    &gateEngine{router: r, engine: w.Engine},
		Store:     &gateStore{process: r.process, store: w.Store},
		Owner:     fmt.Sprintf("router-%d", index),
		Rand:      source,
		Claimer: &claimer.Claimer{
			Store: &gateStore{process: r.process, store: w.Store},
			Rand:  rand.New(rand.NewPCG(seed, uint64(1000+index))),
			// Every write seals the head before it, so that the sealed segments
			// take part in each cell.
			HeadBytes: 1,
			Retention: 4 * time.Minute,
		},
		Quarantiner: &quarantiner.Quarantiner{},
	}
	r.sharer = &sharer.Sharer{
		Store:       &gateStore{process: r.process, store: w.Store, cut: w.isCut},
		Quarantiner: r.Dispatcher.Quarantiner,
		Owner:       r.Dispatcher.Owner,
	}
	r.Dispatcher.Share = r.sharer.Share
	// It ends with the context of the world.
	w.group.Go(func() { _ = r.sharer.Run(w.ctx) })
	return r
}

// At runs f once when a call of the router reaches a step.
func (r *Router) At(s Step, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.triggers[s] = append(r.triggers[s], f)
}

func (r *Router) reach(s Step) {
	r.mu.Lock()
	triggers := r.triggers[s]
	delete(r.triggers, s)
	r.mu.Unlock()
	for _, f := range triggers {
		f()
	}
}

func (w *World) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// fault decides the fault of an attempt.
func (w *World) fault(_ *kingcuphook.Upstream, a *kingcuphook.Attempt) runner.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.poison[a.Request().Fingerprint()] {
		return runner.Fault{Kind: runner.FaultCrash, At: a.ResumeFrom()}
	}
	if len(w.faults) == 0 {
		return runner.Fault{}
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// storeFault decides the fault of a call to the store.
func (w *World) storeFault(op, key string) storer.Fault {
	w.mu.Lock()
	f := w.store
	w.mu.Unlock()
	if f.Delay == 0 {
		f.Delay = storeDelay
	}
	head := op == storer.OpPut && strings.HasSuffix(key, "/head")
	f.LoseReply = head && loseReply(&w.lost)
	return f
}

// FailStore sets the fault of every call to the store from now on.
func (w *World) FailStore(f storer.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store = f
}

// Fail lets the next attempt that has no fault yet go wrong.
func (w *World) Fail(f runner.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, f)
}

// Poison lets a body crash every upstream that runs it.
func (w *World) Poison(body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poison[xxhash.Sum64String(body)] = true
}

// Cut cuts the routers off from each other.
func (w *World) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = true
}

// EndLeases ends every lease of the store, as a platform does that lost them.
func (w *World) EndLeases() {
	const most = 100
	for id := range kingcuphook.LeaseID(most) {
		_ = w.Store.Revoke(context.Background(), id+1)
	}
}

// Drain waits until no router has anything left to write.
func (w *World) Drain() {
	time.Sleep(drainTime)
	for _, r := range w.Routers {
		// A background context never ends.
		_ = r.Dispatcher.Claimer.Drain(context.Background())
	}
}

// Close ends the world.
func (w *World) Close() {
	w.Drain()
	for _, f := range w.closers {
		f()
	}
	w.cancel()
	w.group.Wait()
}

// Reports returns what the callers saw so far.
func (w *World) Reports() []Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reports)
}

// Call sends a call through a router and returns what its caller saw.
func (w *World) Call(router int, kind Kind, key, body string) Report {
	r := w.Routers[router]
	report := Report{Request: w.newID(), Router: router, Kind: kind, Body: []byte(body), Began: time.Now()}
	if kind.claimed() {
		report.Key = key
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	r.reach(StepQueued)
	if r.process.alive() {
		report.take(ctx, r, newCall(&report))
	}
	report.Lost = !r.process.alive()
	report.Ended = time.Now()
	r.reach(StepDone)
	r.exit()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = append(w.reports, report)
	return report
}

func (w *World) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return fmt.Sprintf("call-%d", w.calls)
}

// stop begins a planned stop: the running call ends, and then the process.
func (r *Router) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// exit ends the process of a router that is stopping, once nothing is left to
// be written.
func (r *Router) exit() {
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	if !stopping {
		return
	}
	// A background context never ends.
	_ = r.Dispatcher.Claimer.Drain(context.Background())
	r.process.crash()
}

// leave lets the caller of the call that began last go away.
func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel()
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
			ID:            r.Request,
			Class:         "till",
			Organisation:  "cafe",
			Pool:          poolName,
			Region:        regionName,
			DataCentre:    regionName,
			Tier:          kingcuphook.HighestTier,
			Arrived:       r.Began,
			Deadline:      r.Began.Add(deadline),
			NonIdempotent: r.Kind.claimed() || r.Kind == KindOnce,
			Key:           r.Key,
			Fingerprint:   xxhash.Sum64(r.Body),
			Stream:        r.Kind == KindStream || r.Kind == KindClaimedStream,
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
