// Package prover tries every fault at every step of a request on whole data
// paths over stand-ins, and checks what callers were told against what the
// stand-ins recorded. Its worlds are meant for a testing/synctest bubble.
package prover

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

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

// NewWorld returns a world with the given number of routers and upstreams. The
// seed decides the randomness of the data paths. Close must be called at the
// end.
func NewWorld(seed uint64, routers, upstreams int) *World {
	w := &World{
		Store:  &storer.Store{},
		Engine: &runner.Engine{Frames: answerWords},
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
