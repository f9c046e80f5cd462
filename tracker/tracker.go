// Package tracker follows one request through its states and knows what its
// caller may be told in each. It is a pure decision: the data path reports
// events, and an event that the table does not allow is an error.
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
	// StateQueued waits for a claim or a slot; no attempt has begun.
	StateQueued State = "queued"
	// StateClaimed holds its idempotency claim; no attempt has begun.
	StateClaimed State = "claimed"
	// StateDispatched has an attempt on its way; no frame has come.
	StateDispatched State = "dispatched"
	// StateStreaming has an attempt of which frames have come.
	StateStreaming State = "streaming"
	// StateInterrupted has lost an attempt that may have run; none is running.
	StateInterrupted State = "interrupted"
	// StateDone was answered whole.
	StateDone State = "done"
	// StateFailed was told an error.
	StateFailed State = "failed"
)

// Event is something that happened to a request.
type Event string

// Values of Event.
const (
	// EventClaim says that the claim is held.
	EventClaim Event = "claim"
	// EventReplay says that the stored outcome of an earlier call is returned.
	EventReplay Event = "replay"
	// EventDispatch says that the first byte is about to go to an upstream.
	EventDispatch Event = "dispatch"
	// EventRefuse says that the upstream has certainly not begun.
	EventRefuse Event = "refuse"
	// EventFrame says that a frame was accepted.
	EventFrame Event = "frame"
	// EventBreak says that the attempt ended without a whole answer.
	EventBreak Event = "break"
	// EventWhole says that the answer is whole.
	EventWhole Event = "whole"
	// EventFail says that the caller is told an error.
	EventFail Event = "fail"
)

// ErrEvent says that an event is not allowed in the state of the request.
var ErrEvent = errors.New("event not allowed")

// table holds every allowed transition but EventRefuse, which leads back to the
// state that the request was dispatched from.
var table = map[State]map[Event]State{
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
		EventFrame: StateStreaming,
		EventBreak: StateInterrupted,
		EventWhole: StateDone,
		EventFail:  StateFailed,
	},
	StateStreaming: {
		EventFrame: StateStreaming,
		EventBreak: StateInterrupted,
		EventWhole: StateDone,
		EventFail:  StateFailed,
	},
	StateInterrupted: {
		EventDispatch: StateDispatched,
		EventFail:     StateFailed,
	},
}

// sayable is what an error may tell the caller about a request that leaves the
// state.
var sayable = map[State]kingcuphook.RunState{
	StateQueued:      kingcuphook.RunStateNotRun,
	StateClaimed:     kingcuphook.RunStateNotRun,
	StateDispatched:  kingcuphook.RunStateUnknown,
	StateStreaming:   kingcuphook.RunStateUnknown,
	StateInterrupted: kingcuphook.RunStateUnknown,
	StateDone:        kingcuphook.RunStateRan,
}

// Tracker follows one request. It is used by one goroutine.
type Tracker struct {
	// Once forbids a second attempt unless the first certainly did not begin.
	Once bool
	// Claims requires a claim before the first attempt.
	Claims bool

	// state is empty before the first event, which means queued.
	state State
	// origin is the state that the running attempt was dispatched from.
	origin State
	// said is what the caller may be told; it is fixed once the request failed.
	said kingcuphook.RunState
}

// State returns the state of the request.
func (t *Tracker) State() State {
	if t.state == "" {
		return StateQueued
	}
	return t.state
}

// Says returns what an error may tell the caller now.
func (t *Tracker) Says() kingcuphook.RunState {
	if t.state == StateFailed {
		return t.said
	}
	return sayable[t.State()]
}

// Allows reports whether an event is allowed now.
func (t *Tracker) Allows(e Event) bool {
	_, ok := t.next(e)
	return ok
}

// Apply moves the request on, or returns an error that wraps ErrEvent and
// changes nothing.
func (t *Tracker) Apply(e Event) error {
	next, ok := t.next(e)
	if !ok {
		return fmt.Errorf("tracker: %s in state %s: %w", e, t.State(), ErrEvent)
	}
	if e == EventDispatch {
		t.origin = t.State()
	}
	if e == EventFail {
		t.said = t.Says()
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
	to, ok := table[from][e]
	return to, ok
}

func (t *Tracker) mayDispatch(from State) bool {
	switch from {
	case StateQueued:
		return !t.Claims
	case StateInterrupted:
		return !t.Once
	default:
		return true
	}
}
