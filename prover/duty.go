package prover

const dutyIntro = `Faults of the duties have no cells either: the tests that play them use the stand-in of the platform's
API, most with a virtual clock.`

// dutyFaults are the faults of the duties with one holder.
var dutyFaults = []TestedFault{
	{"holder-killed", "replaced within two leases and 1 s", []string{"executor.TestDeadHolderIsReplaced"}},
	{"holder-paused", "replaced; it sends nothing when it wakes", []string{"executor.TestPausedHolderStops", "leaser.TestWallClockEndsHolding"}},
	{"holder-stopped", "handed over within 1 s", []string{"executor.TestPlannedStopHandsOver", "attacher.TestDutiesPassToNextRouterAtPlannedStop"}},
	{"former-holder-needed", "it waits for two leases after its last call", []string{"executor.TestFormerHolderWaits"}},
	{"wall-clock-stepped", "held again after the next renewal, or handed over", []string{"leaser.TestWallClockEndsHolding"}},
	{"store-down", "no holder once the lease has ended", []string{"leaser.TestHolderStopsBeforeLeaseExpires"}},
	{"store-restored", "a higher fencing number, after the time of a lease", []string{"executor.TestRestoredStore", "leaser.TestKeyWithoutLeaseIsDeleted"}},
	{"reply-of-put-lost", "the key is read back", []string{"leaser.TestLostReplyOfPutIsReadBack"}},
	{"call-rejected", "no upstream, or the holding ends and the number is not used again", []string{"executor.TestRejectedCalls"}},
	{"api-refuses-or-silent", "calls are backed off; the holding stays", []string{"executor.TestFailingCallsAreBackedOff"}},
	{"call-takes-effect-late", "rejected if its number is stale", []string{"platform/standin.TestDuties", "executor.TestOneHolderActsAtATime"}},
	{"several-at-random", "one holder at a time, and one after the faults", []string{"executor.TestOneHolderActsAtATime"}},
}
