package prover

import (
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/runner"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// Fault is a fault that is injected at a step of a request.
type Fault string

// Values of Fault.
const (
	FaultNone             Fault = "none"
	FaultUpstreamRefuse   Fault = "upstream-refuse"
	FaultUpstreamCrash    Fault = "upstream-crash"
	FaultRateLimit        Fault = "upstream-rate-limit"
	FaultStraggle         Fault = "straggle"
	FaultSilence          Fault = "silence"
	FaultShortSilence     Fault = "short-silence"
	FaultPathCut          Fault = "path-cut"
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
	FaultLeaseExpired     Fault = "lease-lapsed"
	FaultPeerCut          Fault = "peer-cut"
	FaultCallerGone       Fault = "caller-gone"
	FaultCallerSendsTwice Fault = "caller-sends-twice"
)

// Faults lists all faults, FaultNone first.
var Faults = []Fault{
	FaultNone, FaultUpstreamRefuse, FaultUpstreamCrash, FaultRateLimit, FaultStraggle, FaultSilence, FaultShortSilence, FaultPathCut, FaultGarbage,
	FaultEarlyEnd, FaultFalseEnd, FaultDuplicateEnd, FaultLateFrame, FaultReorderedFrame,
	FaultForeignFrame, FaultReplyLost, FaultRouterCrash, FaultRouterPause, FaultRouterStop, FaultStoreDown,
	FaultStoreSlow, FaultStoreReplyLost, FaultLeaseExpired, FaultPeerCut, FaultCallerGone,
	FaultCallerSendsTwice,
}

// Durations and numbers of the faults.
const (
	pauseTime   = 20 * time.Second
	outageTime  = 30 * time.Second
	slowDelay   = 150 * time.Millisecond
	lostReplies = 2
	// limitTime is how long all upstreams are at their rate limit.
	limitTime = 3 * time.Second
)

// attemptFaults maps the faults of a single attempt at an upstream to those of the
// emulated engine.
var attemptFaults = map[Fault]runner.FaultKind{
	FaultUpstreamRefuse: runner.FaultRefuse,
	FaultUpstreamCrash:  runner.FaultCrash,
	FaultStraggle:       runner.FaultSlow,
	FaultSilence:        runner.FaultSilence,
	FaultShortSilence:   runner.FaultPause,
	FaultPathCut:        runner.FaultPathLost,
	FaultGarbage:        runner.FaultGarbage,
	FaultEarlyEnd:       runner.FaultEarlyEnd,
	FaultFalseEnd:       runner.FaultFalseEnd,
	FaultDuplicateEnd:   runner.FaultDuplicateEnd,
	FaultLateFrame:      runner.FaultRepeat,
	FaultReorderedFrame: runner.FaultReorder,
	FaultForeignFrame:   runner.FaultForeign,
	FaultReplyLost:      runner.FaultLoseReply,
}

// frameFaults holds the faults that require an answer in frames.
var frameFaults = map[Fault]bool{
	FaultGarbage:        true,
	FaultEarlyEnd:       true,
	FaultFalseEnd:       true,
	FaultDuplicateEnd:   true,
	FaultLateFrame:      true,
	FaultReorderedFrame: true,
	FaultForeignFrame:   true,
}

// applies reports whether a fault can be injected into a kind of call at a step.
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

// inject arranges that the fault is injected when the next call of a router reaches a
// step. resendCall sends the call a second time.
func (env *Environment) inject(router int, f Fault, s Step, resendCall func()) {
	r := env.Routers[router]
	kind, attempt := attemptFaults[f]
	switch {
	case attempt && s == StepStreaming && f != FaultUpstreamCrash:
		r.OnStep(StepDispatched, func() { env.FailNextAttempt(runner.Fault{Kind: kind, At: streamMiddle}) })
	case attempt && f == FaultUpstreamCrash && s != StepDispatched:
		r.OnStep(s, env.CrashUpstreams)
	case attempt:
		r.OnStep(s, func() { env.FailNextAttempt(runner.Fault{Kind: kind}) })
	default:
		r.OnStep(s, func() { env.injectNow(r, f, resendCall) })
	}
}

// injectNow injects a fault that is not one of attemptFaults.
func (env *Environment) injectNow(r *Router, f Fault, resendCall func()) {
	switch f {
	case FaultRouterCrash:
		r.process.crash()
	case FaultRouterPause:
		r.process.pause(pauseTime)
	case FaultRouterStop:
		r.stopAfterCall()
	case FaultStoreDown:
		env.SetStoreFault(storer.Fault{Down: true})
		time.AfterFunc(outageTime, func() { env.SetStoreFault(storer.Fault{}) })
	case FaultStoreSlow:
		env.SetStoreFault(storer.Fault{Delay: slowDelay})
	case FaultStoreReplyLost:
		env.repliesToLose.Add(lostReplies)
	case FaultLeaseExpired:
		env.RevokeLeases()
	case FaultPeerCut:
		env.CutPeers()
	case FaultRateLimit:
		env.limitUpstreams(time.Now().Add(limitTime))
	case FaultCallerGone:
		r.cancelCall()
	case FaultCallerSendsTwice:
		resendCall()
	}
}

// CrashUpstreams crashes every upstream once, which ends its current runs.
func (env *Environment) CrashUpstreams() {
	for _, u := range env.Upstreams {
		env.Engine.Crash(u.Address())
	}
}

// consumeLostReply decrements n if it is positive, and reports whether it was.
func consumeLostReply(n *atomic.Int64) bool {
	if n.Add(-1) >= 0 {
		return true
	}
	n.Add(1)
	return false
}
