package prover

const movesIntro = `The rules are those of design/moves.md. The engines of these tests are emulated, with a virtual clock.`

// moveFaults are the faults of the moves of running streams.
var moveFaults = []TestedFault{
	{"upstream-reclaimed", "its streams go on elsewhere, whole and in order", []string{"dispatcher.TestStreamIsMoved", "attacher.TestStreamsMoveOffReclaimedUpstream"}},
	{"first-call-fails or unanswered", "another target, or the stream stays", []string{"dispatcher.TestStreamIsMoved"}},
	{"last-call-unanswered", "continued if the source closed the stream; it stays otherwise", []string{"dispatcher.TestStreamIsMoved"}},
	{"last-call-lost or not sent", "the stream stays, one run", []string{"dispatcher.TestStreamIsMoved", "forwarder.TestMoveCalls"}},
	{"target-full, refusing or unreachable", "goes on at the source, then at another target", []string{"dispatcher.TestStreamIsMoved"}},
	{"target-dies", "cut, not sent to the source", []string{"dispatcher.TestStreamIsMoved"}},
	{"caller-gone", "copy freed, slots released, attempt given back", []string{"dispatcher.TestMoveEndsWithCaller"}},
	{"slot-of-target-preempted", "given up at once unless the stream is known to have stopped", []string{"dispatcher.TestHeldSlotIsPreempted"}},
	{"budget-spent", "the stream stays", []string{"dispatcher.TestStreamIsMoved"}},
	{"notice-late or repeated", "the earliest time counts", []string{"subscriber.TestUpstreamLeavesAtEarliestTime", "mover.TestPlan"}},
	{"reply-odd", "no copy is assumed", []string{"platform.TestDecodeCopy", "platform.TestMovesOfDeclarationAndRegistration"}},
}
