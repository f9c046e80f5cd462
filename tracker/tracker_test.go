package tracker

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var events = []Event{EventClaim, EventReplay, EventDispatch, EventRefuse, EventFrame, EventBreak, EventComplete, EventFail}

// TestRandomEvents applies random events and compares the run state with a model:
// an attempt that was dispatched and not refused may have run. It guards against
// reporting not-run for such a request, and against a second run of a
// non-idempotent one.
func TestRandomEvents(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		tr := Tracker{AtMostOnce: r.IntN(2) == 0, NeedsClaim: r.IntN(2) == 0}
		claimed, running, mayHaveRun, attempts := false, false, false, 0
		for range 12 {
			e := events[r.IntN(len(events))]
			before, allowed := tr, tr.Allows(e)
			err := tr.Apply(e)
			is.Equal(err == nil, allowed)
			if err != nil {
				is.True(errors.Is(err, ErrEventNotAllowed))
				is.Equal(tr, before) // an event that is not allowed changes nothing
				continue
			}
			switch e {
			case EventClaim:
				claimed = true
			case EventDispatch:
				is.True(!tr.NeedsClaim || claimed)
				is.True(!tr.AtMostOnce || !mayHaveRun) // at most one attempt that may have run
				running, attempts = true, attempts+1
			case EventRefuse:
				running, attempts = false, attempts-1
			case EventBreak:
				running, mayHaveRun = false, true
			case EventReplay:
				is.Equal(attempts, 0)
			}
			if tr.RunState() == kingcuphook.RunStateNotRun {
				is.True(!running && !mayHaveRun)
			}
			if tr.State() == StateDone || tr.State() == StateFailed {
				break
			}
		}
	}
}

func TestRefusalRestoresState(t *testing.T) {
	for _, from := range []State{StateQueued, StateClaimed, StateInterrupted} {
		is := is.New(t)
		tr := Tracker{state: from}
		is.NoErr(tr.Apply(EventDispatch))
		is.Equal(tr.RunState(), kingcuphook.RunStateUnknown)
		is.NoErr(tr.Apply(EventRefuse))
		is.Equal(tr.State(), from)
		runState := tr.RunState()
		is.NoErr(tr.Apply(EventFail))
		is.Equal(tr.RunState(), runState) // does not change after the failure
	}
}
