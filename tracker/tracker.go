// Package tracker implements the state machine of a request, which determines
// whether an error may report that the request was not run. It does no I/O: the
// data path reports events, and an event that the state does not allow is an
// error.
package tracker

import (
	"errors"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// State is the state of a request.
type State string

// Values of State.
const (
	// StateQueued means that the request waits for a claim or a slot; no attempt was
	// started.
	StateQueued State = "queued"
	// StateClaimed means that the request holds its idempotency claim; no attempt was
	// started.
	StateClaimed State = "claimed"
	// StateDispatched means that an attempt is in flight; no frame was received from it.
	StateDispatched State = "dispatched"
	// StateStreaming means that an attempt is in flight and frames were received from it.
	StateStreaming State = "streaming"
	// StateInterrupted means that an attempt that may have run has failed; none is in
	// flight.
	StateInterrupted State = "interrupted"
	// StateDone means that the request was answered completely.
	StateDone State = "done"
	// StateFailed means that the caller got an error.
	StateFailed State = "failed"
)

// Event is an event in the life of a request.
type Event string

// Values of Event.
const (
	// EventClaim means that the idempotency claim was acquired.
	EventClaim Event = "claim"
	// EventReplay means that the stored outcome of an earlier call is returned.
	EventReplay Event = "replay"
	// EventDispatch means that an attempt is about to be sent to an upstream.
	EventDispatch Event = "dispatch"
	// EventRefuse means that the attempt failed and was certainly not run.
	EventRefuse Event = "refuse"
	// EventFrame means that a frame was accepted.
	EventFrame Event = "frame"
	// EventBreak means that the attempt failed without a complete answer and may have
	// run.
	EventBreak Event = "break"
	// EventComplete means that the answer is complete.
	EventComplete Event = "whole"
	// EventFail means that the caller gets an error.
	EventFail Event = "fail"
)

// ErrEventNotAllowed is returned for an event that the state of the request does
// not allow.
var ErrEventNotAllowed = errors.New("event not allowed")

// transitions holds every allowed transition except EventRefuse, which returns to
// the state that the request was dispatched from.
var transitions = map[State]map[Event]State{
	StateQueued: {
		EventClaim:    StateClaimed,
		EventReplay:   StateDone,
		EventDispatch: StateDispatched,
		EventFail:     StateFailed,
	},
	StateClaimed: {
		EventDispatch: StateDispatched,
		EventFail:     StateFailed,
	},
	StateDispatched: {
		EventFrame:    StateStreaming,
		EventBreak:    StateInterrupted,
		EventComplete: StateDone,
		EventFail:     StateFailed,
	},
	StateStreaming: {
		EventFrame:    StateStreaming,
		EventBreak:    StateInterrupted,
		EventComplete: StateDone,
		EventFail:     StateFailed,
	},
	StateInterrupted: {
		EventDispatch: StateDispatched,
		EventFail:     StateFailed,
	},
}

// runStates maps each state to the run state that an error may report to the
// caller.
var runStates = map[State]kingcuphook.RunState{
	StateQueued:      kingcuphook.RunStateNotRun,
	StateClaimed:     kingcuphook.RunStateNotRun,
	StateDispatched:  kingcuphook.RunStateUnknown,
	StateStreaming:   kingcuphook.RunStateUnknown,
	StateInterrupted: kingcuphook.RunStateUnknown,
	StateDone:        kingcuphook.RunStateRan,
}

// Tracker is the state machine of one request. It is used by one goroutine.
type Tracker struct {
	// AtMostOnce forbids another attempt after one that may have run.
	AtMostOnce bool
	// NeedsClaim requires a claim before the first attempt.
	NeedsClaim bool

	// state is the current state; empty means StateQueued.
	state State
	// origin is the state that the latest attempt was dispatched from.
	origin State
	// failedRunState is the run state reported by the error; set by EventFail.
	failedRunState kingcuphook.RunState
}

// State returns the state of the request.
func (t *Tracker) State() State {
	if t.state == "" {
		return StateQueued
	}
	return t.state
}

// RunState returns the run state that an error may report to the caller now. It
// no longer changes once the request has failed.
func (t *Tracker) RunState() kingcuphook.RunState {
	if t.state == StateFailed {
		return t.failedRunState
	}
	return runStates[t.State()]
}

// Allows reports whether an event is allowed now.
func (t *Tracker) Allows(e Event) bool {
	_, ok := t.next(e)
	return ok
}

// Apply applies an event. If the event is not allowed, it changes nothing and
// returns an error that wraps ErrEventNotAllowed.
func (t *Tracker) Apply(e Event) error {
	next, ok := t.next(e)
	if !ok {
		return fmt.Errorf("tracker: %s in state %s: %w", e, t.State(), ErrEventNotAllowed)
	}
	if e == EventDispatch {
		t.origin = t.State()
	}
	if e == EventFail {
		t.failedRunState = t.RunState()
	}
	t.state = next
	return nil
}

func (t *Tracker) next(e Event) (State, bool) {
	from := t.State()
	if e == EventRefuse {
		return t.origin, from == StateDispatched
	}
	if e == EventDispatch && !t.mayDispatch(from) {
		return "", false
	}
	to, ok := transitions[from][e]
	return to, ok
}

func (t *Tracker) mayDispatch(from State) bool {
	switch from {
	case StateQueued:
		return !t.NeedsClaim
	case StateInterrupted:
		return !t.AtMostOnce
	default:
		return true
	}
}
