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

// fault is a fault that is injected for some time.
type fault struct {
	name     string
	duration time.Duration
	// begin and end start and end the fault. They must return soon.
	begin, end func()
}

// disturbedAfter is how long after the end of a disturbance a router still counts as
// disturbed.
const disturbedAfter = 5 * time.Second

// randomFault returns the next fault, chosen by the random numbers of the run.
func (s *Soak) randomFault() fault {
	env := s.env
	r := env.routers[s.rng.IntN(len(env.routers))]
	i := s.rng.IntN(s.Upstreams)
	duration := between(s.rng, 300*time.Millisecond, 3*time.Second)
	repeat := s.rng.IntN(3) == 0
	nothing := func() {}
	kinds := []func() fault{
		func() fault { return fault{"stop " + r.name, 0, func() { env.stop(r) }, nothing} },
		func() fault { return fault{"kill " + r.name, 0, func() { env.kill(r, duration) }, nothing} },
		func() fault {
			return fault{"pause " + r.name, duration, func() { r.pause(duration) }, func() { r.signal(syscall.SIGCONT) }}
		},
		func() fault { return fault{"reload " + r.name, 0, func() { r.signal(syscall.SIGHUP) }, nothing} },
		func() fault {
			return fault{"new key", 0, func() {
				env.rotateKey()
				for n := 0; repeat && n < 5; n++ {
					time.Sleep(100 * time.Millisecond)
					env.rotateKey()
				}
			}, nothing}
		},
		func() fault {
			return fault{"upstream registers as leaving", 0, func() { env.leaveByRegistration(i) }, nothing}
		},
		func() fault {
			return fault{"upstream reports in responses that it leaves", 0, func() { env.leaveByResponse(i) }, nothing}
		},
		func() fault {
			return fault{"upstream is paused", duration, func() { env.upstream(i).Pause(duration) }, nothing}
		},
		func() fault { return fault{"upstream crashes", 0, func() { env.crash(i) }, nothing} },
		func() fault { return env.brittleFault(i, s.rng, duration) },
		func() fault { return env.limitFault(i, s.rng, duration) },
		func() fault { return env.limitFault(i, s.rng, duration) },
		func() fault { return env.partFault(s.rng) },
		func() fault { return env.restoreFault(duration) },
		func() fault { return env.storeFault(r, s.rng.IntN(4), duration) },
		func() fault { return env.upstreamFault(i, s.rng.IntN(5), duration) },
		func() fault {
			return fault{"store refuses", duration, func() { env.disturbAll(duration); env.storeRefuses.Store(true) }, func() { env.storeRefuses.Store(false) }}
		},
		func() fault {
			return fault{"store compacts its history", 0, func() { env.disturbAll(0); env.store.Compact() }, nothing}
		},
	}
	if s.Changes {
		kinds = append(kinds,
			func() fault { return env.changeFault(s.rng) },
			func() fault { return env.changeFault(s.rng) },
			func() fault { return env.emptyFault(s.rng, duration) },
			func() fault { return env.reuseFault(i) },
			func() fault { return env.silenceFault(i, s.rng, maxSilence) },
			func() fault { return env.longStopFault(r, s.rng) },
		)
	}
	if s.Versions > 0 {
		kinds = append(kinds, s.versionFaults(duration)...)
	}
	if s.Cuts {
		kinds = append(kinds,
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.cutFault(s.rng) },
			func() fault { return env.linkFault(i, s.rng) },
			func() fault { return env.silenceFault(i, s.rng, maxLinkSilence) },
		)
	}
	if s.Odd {
		kinds = append(kinds,
			func() fault { return env.oddFault(s.rng, duration) },
			func() fault { return env.oddFault(s.rng, duration) },
			func() fault { return env.oddFault(s.rng, duration) },
			func() fault { return env.repeatFault(i) },
			func() fault { return env.repeatFault(i) },
			func() fault { return env.cutHeadFault(i, s.rng) },
			func() fault { return env.endlessFault(i, s.rng) },
		)
	}
	if s.Duties {
		duties := s.dutyFaults(duration)
		kinds = append(append(kinds, duties...), duties...)
	}
	if s.Previous != "" {
		kinds = append(kinds,
			func() fault { return fault{"replace " + r.name, 0, func() { env.stop(r) }, nothing} },
			func() fault { return fault{"replace " + r.name, 0, func() { env.stop(r) }, nothing} },
			func() fault { return fault{"replace all in turn", 0, func() { env.replaceAll() }, nothing} },
		)
	}
	if s.Odd && s.Versions == 0 {
		// A caller that resumes a stream itself would get these answers as they are.
		kinds = append(kinds, func() fault { return env.brokenStreamFault(s.rng) })
	}
	return kinds[s.rng.IntN(len(kinds))]()
}

func (env *environment) disturbAll(d time.Duration) {
	for _, r := range env.routers {
		r.disturb(d + disturbedAfter)
	}
}

// stop sends a router SIGTERM and starts it again after its end.
func (env *environment) stop(r *router) { env.restart(r, syscall.SIGTERM, stopGrace, 0) }

// replaceGap is the time between the stops of two routers that are replaced in turn.
const replaceGap = time.Second

// replaceAll stops one router after the other, each of which starts again.
func (env *environment) replaceAll() {
	for _, r := range env.routers {
		env.stop(r)
		time.Sleep(replaceGap)
	}
}

// kill sends a router SIGKILL and starts it again down/2 after its end.
func (env *environment) kill(r *router, down time.Duration) {
	env.restart(r, syscall.SIGKILL, down, down/2)
}

// restart signals a router, waits for its end and starts it again after the pause. It
// marks the router as disturbed for the given time plus disturbedAfter. A router that
// is being restarted already is left as it is.
func (env *environment) restart(r *router, s syscall.Signal, disturbed, pause time.Duration) {
	if !r.acquire() {
		return
	}
	r.interrupt(disturbed)
	ending := time.Now()
	if s == syscall.SIGTERM {
		ending = ending.Add(stopMargin)
	}
	r.signal(s)
	go func() {
		defer r.release()
		r.await(stopGrace)
		r.fail(ending, time.Now())
		time.Sleep(pause)
		_ = r.start()
	}()
}

// pause pauses the router's process until SIGCONT, d later.
func (r *router) pause(d time.Duration) {
	r.interrupt(d)
	now := time.Now()
	r.fail(now, now.Add(d))
	r.signal(syscall.SIGSTOP)
}

// acquire reserves a router for a restart, and reports whether it was free.
func (r *router) acquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.restarting
	r.restarting = true
	return !was
}

// release ends the reservation by acquire.
func (r *router) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarting = false
}

// storeFault returns a fault of the connection from a router to the store, and marks
// the router as disturbed.
func (env *environment) storeFault(r *router, kind int, duration time.Duration) fault {
	r.disturb(duration + disturbedAfter)
	f := fault{"store connection of " + r.name, duration, nil, func() { r.store.Set(forwarder.FaultNone, 0) }}
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

// upstreamFault returns a fault of the connections to an upstream.
func (env *environment) upstreamFault(i, kind int, duration time.Duration) fault {
	u := env.upstream(i)
	f := fault{"connection to " + u.name, duration, nil, func() { u.network.Set(forwarder.FaultNone, 0); u.calm() }}
	set := func(kind forwarder.Fault, delay time.Duration) func() {
		return func() {
			if kind != forwarder.FaultNone {
				u.trouble()
			}
			u.network.Set(kind, delay)
		}
	}
	switch kind {
	case 0:
		f.name, f.begin = f.name+" cut", set(forwarder.FaultBlackhole, 0)
	case 1:
		f.name, f.begin = f.name+" one way", set(forwarder.FaultNoReply, 0)
	case 2:
		f.name, f.begin = f.name+" refused", set(forwarder.FaultRefuse, 0)
	case 3:
		f.name, f.begin = f.name+" reset", func() { u.trouble(); u.network.Reset() }
	default:
		f.name, f.begin = f.name+" slow", set(forwarder.FaultNone, 50*time.Millisecond)
	}
	return f
}

// leaveByRegistration replaces an upstream: a new one starts, the old one registers as
// leaving, and its registration is removed one second after leaveGrace. The old one
// still serves the calls that arrive.
func (env *environment) leaveByRegistration(i int) {
	old := env.replace(i)
	if old == nil || env.register(old, true) != nil {
		return
	}
	env.mu.Lock()
	old.leftAt = time.Now()
	env.mu.Unlock()
	go func() {
		time.Sleep(leaveGrace + time.Second)
		env.remove(old)
	}()
}

// leaveByResponse replaces an upstream: a new one starts, and the old one reports in
// its responses that it leaves. Its registration stays, and it still serves calls.
func (env *environment) leaveByResponse(i int) {
	if old := env.replace(i); old != nil {
		old.Leave()
	}
}

// crash closes an upstream with its calls in flight and starts another in its place.
// The registration is removed a second later.
func (env *environment) crash(i int) {
	old := env.replace(i)
	if old == nil {
		return
	}
	old.trouble()
	_ = old.server.Close()
	old.network.Set(forwarder.FaultRefuse, 0)
	go func() {
		time.Sleep(time.Second)
		env.remove(old)
	}()
}

// replace starts a new upstream in the place of another and returns the old one, or
// nil if the new one can't be started.
func (env *environment) replace(i int) *upstream {
	env.mu.Lock()
	defer env.mu.Unlock()
	old := env.upstreams[i]
	old.replacedAt = time.Now()
	u, err := env.newUpstream(i, len(env.upstreams))
	if err != nil {
		return nil
	}
	env.upstreams = append(env.upstreams, old)
	env.upstreams[i] = u
	return old
}

// remove deletes the registration of an upstream from the store.
func (env *environment) remove(u *upstream) {
	key := platform.RegistrationPrefix + u.name
	// The error is ignored: a registration that is missing needs no removal.
	_ = env.store.Delete(context.Background(), key, kingcuphook.RevisionAny)
}

// String returns the name and the duration of the fault.
func (f fault) String() string { return fmt.Sprintf("%s for %v", f.name, f.duration) }
