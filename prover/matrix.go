package prover

import (
	"slices"
	"strings"
)

// Singles returns a cell for every fault at every step of every kind.
func Singles() []Cell {
	var cells []Cell
	for _, k := range Kinds {
		for _, f := range Faults {
			for _, s := range Steps {
				if f.applies(k, s) {
					cells = append(cells, Cell{Kind: k, Step: s, Faults: []Fault{f}})
				}
			}
		}
	}
	return cells
}

// PairSteps are the steps at which every pair of faults is tried.
var PairSteps = []Step{StepQueued, StepClaimed, StepDispatched, StepStreaming}

// Pairs returns a cell for every pair of faults, the same twice included, at
// every step of PairSteps of every kind.
func Pairs() []Cell {
	var cells []Cell
	for _, k := range Kinds {
		for _, s := range PairSteps {
			for i, f := range Faults[1:] {
				for _, g := range Faults[1+i:] {
					if f.applies(k, s) && g.applies(k, s) {
						cells = append(cells, Cell{Kind: k, Step: s, Faults: []Fault{f, g}})
					}
				}
			}
		}
	}
	return cells
}

// Expect returns the results that the first call and the last resend of a cell
// with one fault may have, separated by "|". It follows from the rules for
// requests, not from what was observed.
func Expect(c Cell) (first, last string) {
	first = expectFirst(c.Kind, c.Faults[0], c.Step)
	if c.Kind.claimed() {
		last = expectLast(c.Faults[0], c.Step, first)
	}
	return first, last
}

// Matches reports whether a result is one of those expected.
func Matches(expected, result string) bool {
	return slices.Contains(strings.Split(expected, "|"), result)
}

func expectFirst(k Kind, f Fault, s Step) string {
	if s == StepDone {
		return "answered"
	}
	begun := s == StepDispatched || s == StepStreaming
	switch f {
	case FaultRouterCrash:
		return "lost"
	case FaultCallerGone:
		return expectGone(k, s)
	case FaultStoreDown, FaultLeaseLapsed:
		if k.claimed() && s == StepQueued {
			return "unknown"
		}
	case FaultCallerSendsTwice:
		if k.claimed() && s == StepQueued {
			return "answered|unknown|replayed"
		}
	case FaultUpstreamCrash, FaultSilence, FaultGarbage, FaultEarlyEnd, FaultFalseEnd, FaultReorderedFrame, FaultReplyLost:
		if begun && (k.claimed() || k == KindOnce) {
			return "unknown"
		}
	case FaultRouterPause:
		// The stand-in's pause holds the frames and not the timers, so that the
		// pause looks like a silent connection.
		if k == KindClaimedStream && begun {
			return "unknown"
		}
	}
	return "answered"
}

// expectGone is what is told, were there anybody to hear it, when the caller is
// gone. A claimed call that was dispatched goes on for the sake of a resend.
func expectGone(k Kind, s Step) string {
	begun := s == StepDispatched || s == StepStreaming
	switch {
	case k.claimed() && s == StepQueued:
		return "unknown"
	case k.claimed() && begun:
		return "answered"
	case begun:
		return "unknown"
	default:
		return "not-run"
	}
}

// expectLast is what a resend gets when every outage is over. A key whose claim
// was never taken, or was released, is run by a resend.
func expectLast(f Fault, s Step, first string) string {
	switch {
	case f == FaultLeaseLapsed && s == StepQueued:
		// The claims of the lost segment still count, and nobody can read them.
		return "unknown"
	case f == FaultLeaseLapsed && (s == StepStreaming || s == StepDone):
		// The stored outcome may go with its lease; the claim stays.
		return "unknown|replayed"
	case f == FaultStoreDown && s == StepQueued:
		return "answered"
	case f == FaultRouterCrash && s == StepDone:
		// Outcomes are stored after the caller has its answer.
		return "unknown|replayed"
	case f == FaultRouterCrash && s == StepQueued, f == FaultCallerGone:
		return "replayed"
	case f == FaultCallerSendsTwice:
		return "replayed"
	case first == "answered":
		return "replayed"
	default:
		return "unknown"
	}
}
