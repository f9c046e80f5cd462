package soaker

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/platform"
)

// fault is something that goes wrong for a while.
type fault struct {
	name  string
	lasts time.Duration
	// begin and end must not wait for long.
	begin, end func()
}

// afterFault is how long after a disturbance a router counts as disturbed.
const afterFault = 5 * time.Second

// draw returns the next fault.
func (s *Soak) draw() fault {
	w := s.world
	r := w.routers[s.rng.IntN(len(w.routers))]
	i := s.rng.IntN(s.Upstreams)
	lasts := between(s.rng, 300*time.Millisecond, 3*time.Second)
	storm := s.rng.IntN(3) == 0
	nothing := func() {}
	kinds := []func() fault{
		func() fault { return fault{"stop " + r.name, 0, func() { w.stop(r) }, nothing} },
		func() fault { return fault{"kill " + r.name, 0, func() { w.kill(r, lasts) }, nothing} },
		func() fault {
			return fault{"pause " + r.name, lasts, func() { r.disturb(lasts + afterFault); r.signal(syscall.SIGSTOP) }, func() { r.signal(syscall.SIGCONT) }}
		},
		func() fault { return fault{"reload " + r.name, 0, func() { r.signal(syscall.SIGHUP) }, nothing} },
		func() fault {
			return fault{"new key", 0, func() {
				w.newKey()
				for n := 0; storm && n < 5; n++ {
					time.Sleep(100 * time.Millisecond)
					w.newKey()
				}
			}, nothing}
		},
		func() fault { return fault{"upstream leaves", 0, func() { w.leave(i) }, nothing} },
		func() fault { return fault{"upstream leaves by its word", 0, func() { w.leaveByWord(i) }, nothing} },
		func() fault { return fault{"upstream rests", lasts, func() { w.upstream(i).Pause(lasts) }, nothing} },
		func() fault { return fault{"upstream crashes", 0, func() { w.crash(i) }, nothing} },
		func() fault { return w.storeFault(r, s.rng.IntN(4), lasts) },
		func() fault { return w.upstreamFault(i, s.rng.IntN(5), lasts) },
		func() fault {
			return fault{"store refuses", lasts, func() { w.disturbAll(lasts); w.storeRefuses.Store(true) }, func() { w.storeRefuses.Store(false) }}
		},
		func() fault {
			return fault{"store forgets", 0, func() { w.disturbAll(0); w.store.Compact() }, nothing}
		},
	}
	return kinds[s.rng.IntN(len(kinds))]()
}

func (w *world) disturbAll(d time.Duration) {
	for _, r := range w.routers {
		r.disturb(d + afterFault)
	}
}

// stop stops a router as planned and starts it again.
func (w *world) stop(r *router) { w.restart(r, syscall.SIGTERM, grace, 0) }

// kill kills a router and starts it again after a while.
func (w *world) kill(r *router, down time.Duration) { w.restart(r, syscall.SIGKILL, down, down/2) }

// restart signals a router, waits for its end and starts it again after the pause.
// It is disturbed for the given time and a while after; one that is being restarted
// already is left alone.
func (w *world) restart(r *router, s syscall.Signal, disturbed, pause time.Duration) {
	if !r.take() {
		return
	}
	r.disturb(disturbed + afterFault)
	r.signal(s)
	go func() {
		defer r.give()
		r.await(grace)
		time.Sleep(pause)
		_ = r.start(w.soak.Binary)
	}()
}

// take reserves a router for a stop or a kill, and reports whether it was free.
func (r *router) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.stopping
	r.stopping = true
	return !was
}

func (r *router) give() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = false
}

// storeFault disturbs the way from a router to the store.
func (w *world) storeFault(r *router, kind int, lasts time.Duration) fault {
	r.disturb(lasts + afterFault)
	f := fault{"store of " + r.name, lasts, nil, func() { r.store.Set(forwarder.FaultNone, 0) }}
	switch kind {
	case 0:
		f.name += " cut"
		f.begin = func() { r.store.Set(forwarder.FaultBlackhole, 0) }
	case 1:
		f.name += " one way"
		f.begin = func() { r.store.Set(forwarder.FaultNoReply, 0) }
	case 2:
		f.name += " silent"
		f.begin = r.store.Blackhole
	default:
		f.name += " slow"
		f.begin = func() { r.store.Set(forwarder.FaultNone, 300*time.Millisecond) }
	}
	return f
}

// upstreamFault disturbs the way to an upstream.
func (w *world) upstreamFault(i, kind int, lasts time.Duration) fault {
	u := w.upstream(i)
	f := fault{"way to " + u.name, lasts, nil, func() { u.network.Set(forwarder.FaultNone, 0) }}
	set := func(kind forwarder.Fault, delay time.Duration) func() {
		return func() { u.network.Set(kind, delay) }
	}
	switch kind {
	case 0:
		f.name, f.begin = f.name+" cut", set(forwarder.FaultBlackhole, 0)
	case 1:
		f.name, f.begin = f.name+" one way", set(forwarder.FaultNoReply, 0)
	case 2:
		f.name, f.begin = f.name+" refused", set(forwarder.FaultRefuse, 0)
	case 3:
		f.name, f.begin = f.name+" reset", u.network.Reset
	default:
		f.name, f.begin = f.name+" slow", set(forwarder.FaultNone, 50*time.Millisecond)
	}
	return f
}

// leave replaces an upstream: the new one starts, the old one says that it leaves,
// serves on for a while and goes.
func (w *world) leave(i int) {
	old := w.replace(i)
	if old == nil || w.register(old, true) != nil {
		return
	}
	w.mu.Lock()
	old.left = time.Now()
	w.mu.Unlock()
	go func() {
		time.Sleep(leaveTime + time.Second)
		w.remove(old)
	}()
}

// leaveByWord replaces an upstream: the new one starts, the old one says with its
// answers that it leaves, its registration stays, and it serves on.
func (w *world) leaveByWord(i int) {
	if old := w.replace(i); old != nil {
		old.Leave()
	}
}

// crash ends an upstream in the middle of its work; another one takes over.
func (w *world) crash(i int) {
	old := w.replace(i)
	if old == nil {
		return
	}
	_ = old.server.Close()
	old.network.Set(forwarder.FaultRefuse, 0)
	go func() {
		time.Sleep(time.Second)
		w.remove(old)
	}()
}

// replace starts a new upstream in the place of another, which it returns; nil if
// it can't.
func (w *world) replace(i int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.upstreams[i]
	u, err := w.newUpstream(i, len(w.upstreams))
	if err != nil {
		return nil
	}
	w.upstreams = append(w.upstreams, old)
	w.upstreams[i] = u
	return old
}

// remove takes the registration of an upstream out of the store.
func (w *world) remove(u *upstream) {
	key := platform.RegistrationPrefix + u.name
	// A registration that is gone already needs no removal.
	_ = w.store.Delete(context.Background(), key, kingcuphook.RevisionAny)
}

// String returns the name and the length of the fault.
func (f fault) String() string { return fmt.Sprintf("%s for %v", f.name, f.lasts) }
