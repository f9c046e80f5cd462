package prover

import (
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// Fault is something that goes wrong at a step.
type Fault string

// Values of Fault.
const (
	FaultNone             Fault = "none"
	FaultUpstreamRefuse   Fault = "upstream-refuse"
	FaultUpstreamCrash    Fault = "upstream-crash"
	FaultStraggle         Fault = "straggle"
	FaultSilence          Fault = "silence"
	FaultGarbage          Fault = "garbage"
	FaultEarlyEnd         Fault = "early-end"
	FaultFalseEnd         Fault = "false-end"
	FaultDuplicateEnd     Fault = "duplicate-end"
	FaultLateFrame        Fault = "late-frame"
	FaultReorderedFrame   Fault = "reordered-frame"
	FaultForeignFrame     Fault = "foreign-frame"
	FaultReplyLost        Fault = "upstream-reply-lost"
	FaultRouterCrash      Fault = "router-crash"
	FaultRouterPause      Fault = "router-pause"
	FaultRouterStop       Fault = "router-stop"
	FaultStoreDown        Fault = "store-down"
	FaultStoreSlow        Fault = "store-slow"
	FaultStoreReplyLost   Fault = "store-reply-lost"
	FaultLeaseLapsed      Fault = "lease-lapsed"
	FaultPeerCut          Fault = "peer-cut"
	FaultCallerGone       Fault = "caller-gone"
	FaultCallerSendsTwice Fault = "caller-sends-twice"
)

// Faults are all faults.
var Faults = []Fault{
	FaultNone, FaultUpstreamRefuse, FaultUpstreamCrash, FaultStraggle, FaultSilence, FaultGarbage,
	FaultEarlyEnd, FaultFalseEnd, FaultDuplicateEnd, FaultLateFrame, FaultReorderedFrame,
	FaultForeignFrame, FaultReplyLost, FaultRouterCrash, FaultRouterPause, FaultRouterStop, FaultStoreDown,
	FaultStoreSlow, FaultStoreReplyLost, FaultLeaseLapsed, FaultPeerCut, FaultCallerGone,
	FaultCallerSendsTwice,
}

// Times of the faults.
const (
	pauseTime   = 20 * time.Second
	outageTime  = 30 * time.Second
	slowDelay   = 150 * time.Millisecond
	lostReplies = 2
)

// attemptFaults are the faults of one attempt at an upstream.
var attemptFaults = map[Fault]runner.FaultKind{
	FaultUpstreamRefuse: runner.FaultRefuse,
	FaultUpstreamCrash:  runner.FaultCrash,
	FaultStraggle:       runner.FaultSlow,
	FaultSilence:        runner.FaultSilence,
	FaultGarbage:        runner.FaultGarbage,
	FaultEarlyEnd:       runner.FaultEarlyEnd,
	FaultFalseEnd:       runner.FaultFalseEnd,
	FaultDuplicateEnd:   runner.FaultDuplicateEnd,
	FaultLateFrame:      runner.FaultRepeat,
	FaultReorderedFrame: runner.FaultReorder,
	FaultForeignFrame:   runner.FaultForeign,
	FaultReplyLost:      runner.FaultLoseReply,
}

// frameFaults need an answer in frames.
var frameFaults = map[Fault]bool{
	FaultGarbage:        true,
	FaultEarlyEnd:       true,
	FaultFalseEnd:       true,
	FaultDuplicateEnd:   true,
	FaultLateFrame:      true,
	FaultReorderedFrame: true,
	FaultForeignFrame:   true,
}

// applies reports whether a fault can happen to a kind of call at a step.
func (f Fault) applies(k Kind, s Step) bool {
	_, attempt := attemptFaults[f]
	switch {
	case !attempt:
		return true
	case frameFaults[f] && !k.engine():
		return false
	case f == FaultReplyLost:
		return !k.engine() && s == StepDispatched
	case f == FaultUpstreamCrash:
		return true
	case f == FaultUpstreamRefuse:
		return s == StepQueued || s == StepClaimed || s == StepDispatched
	default:
		return s == StepDispatched || s == StepStreaming && k.engine()
	}
}

// inject lets the fault happen when the next call of a router reaches a step.
func (w *World) inject(router int, f Fault, s Step, again func()) {
	r := w.Routers[router]
	kind, attempt := attemptFaults[f]
	switch {
	case attempt && s == StepStreaming && f != FaultUpstreamCrash:
		r.At(StepDispatched, func() { w.Fail(runner.Fault{Kind: kind, At: streamMiddle}) })
	case attempt && f == FaultUpstreamCrash && s != StepDispatched:
		r.At(s, w.CrashUpstreams)
	case attempt:
		r.At(s, func() { w.Fail(runner.Fault{Kind: kind}) })
	default:
		r.At(s, func() { w.happen(r, f, again) })
	}
}

// happen lets a fault of anything but an attempt happen now.
func (w *World) happen(r *Router, f Fault, again func()) {
	switch f {
	case FaultRouterCrash:
		r.process.crash()
	case FaultRouterPause:
		r.process.pause(pauseTime)
	case FaultRouterStop:
		r.stop()
	case FaultStoreDown:
		w.FailStore(storer.Fault{Down: true})
		time.AfterFunc(outageTime, func() { w.FailStore(storer.Fault{}) })
	case FaultStoreSlow:
		w.FailStore(storer.Fault{Delay: slowDelay})
	case FaultStoreReplyLost:
		w.lost.Add(lostReplies)
	case FaultLeaseLapsed:
		w.EndLeases()
	case FaultPeerCut:
		w.Cut()
	case FaultCallerGone:
		r.leave()
	case FaultCallerSendsTwice:
		again()
	}
}

// CrashUpstreams ends every run of every upstream, once.
func (w *World) CrashUpstreams() {
	for _, u := range w.Upstreams {
		w.Engine.Crash(u.Address())
	}
}

// loseReply takes one lost reply, if there is one left.
func loseReply(n *atomic.Int64) bool {
	if n.Add(-1) >= 0 {
		return true
	}
	n.Add(1)
	return false
}
