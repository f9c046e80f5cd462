package prover

import (
	"slices"
	"strings"
)

// SingleFaultCells returns a cell for every fault that applies at every step of every
// kind of call.
func SingleFaultCells() []Cell {
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

// PairSteps lists the steps at which pairs of faults are injected.
var PairSteps = []Step{StepQueued, StepClaimed, StepDispatched, StepStreaming}

// FaultPairCells returns a cell for every pair of faults that applies, including the
// same fault twice, at every step of PairSteps of every kind of call.
func FaultPairCells() []Cell {
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
// with one fault may have, separated by "|". The results are derived from the rules
// for requests, not from observed results.
func Expect(c Cell) (first, last string) {
	first = expectFirst(c.Kind, c.Faults[0], c.Step)
	if c.Kind.claimed() {
		last = expectLast(c.Faults[0], c.Step, first)
	}
	return first, last
}

// Matches reports whether a result is one of the expected results, which are separated
// by "|".
func Matches(expected, result string) bool {
	return slices.Contains(strings.Split(expected, "|"), result)
}

func expectFirst(k Kind, f Fault, s Step) string {
	if s == StepDone {
		return "answered"
	}
	dispatched := s == StepDispatched || s == StepStreaming
	switch f {
	case FaultRouterCrash:
		return "lost"
	case FaultCallerGone:
		return expectCallerGone(k, s)
	case FaultStoreDown, FaultLeaseExpired:
		if k.claimed() && s == StepQueued {
			return "unknown"
		}
	case FaultCallerSendsTwice:
		if k.claimed() && s == StepQueued {
			return "answered|unknown|replayed"
		}
	case FaultRateLimit:
		if !dispatched {
			return "not-run"
		}
	case FaultUpstreamCrash, FaultPathCut, FaultSilence, FaultGarbage, FaultEarlyEnd, FaultFalseEnd, FaultReorderedFrame, FaultReplyLost:
		if dispatched && (k.claimed() || k == KindOnce) {
			return "unknown"
		}
	case FaultRouterPause:
		// The emulated pause holds back frames but doesn't stop the router's timers, so
		// that the router treats the pause as an unresponsive connection.
		if k == KindClaimedStream && dispatched {
			return "unknown"
		}
	}
	return "answered"
}

// expectCallerGone returns the result after the caller cancelled its call, which no
// caller receives. A claimed call that was dispatched goes on, so that a resend can get
// the answer.
func expectCallerGone(k Kind, s Step) string {
	dispatched := s == StepDispatched || s == StepStreaming
	switch {
	case k.claimed() && s == StepQueued:
		return "unknown"
	case k.claimed() && dispatched:
		return "answered"
	case dispatched:
		return "unknown"
	default:
		return "not-run"
	}
}

// expectLast returns the result of the last resend, after every outage. The first resend
// runs a call whose key was never claimed, or whose claim was released.
func expectLast(f Fault, s Step, first string) string {
	switch {
	case f == FaultLeaseExpired && s == StepQueued:
		// The claims of the lost segment are still valid, but can no longer be read.
		return "unknown"
	case f == FaultLeaseExpired && (s == StepStreaming || s == StepDone):
		// The stored outcome may be deleted with its lease; the claim stays.
		return "unknown|replayed"
	case f == FaultStoreDown && s == StepQueued:
		return "answered"
	case f == FaultRateLimit && first == "not-run":
		// The resends at the same time end while the limit still holds.
		return "answered"
	case f == FaultRouterCrash && s == StepDone:
		// Outcomes are stored after the caller received its answer.
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
