package prover

const kvMemoryIntro = `The rules are those of design/kv-memory.md.`

// kvMemoryFaults are the faults of the bound by the KV memory of engines.
var kvMemoryFaults = []TestedFault{
	{"loads-old or missing", "the last sum counts, with the margin", []string{"reserver.TestBoundByTierAndReports", "reserver.TestMemoryIsNotExceeded"}},
	{"routers-choose-at-once", "together no more than there is room for", []string{"reserver.TestMemoryIsNotExceeded", "attacher.TestKVMemoryBindsOverRouters"}},
	{"engine-restarts", "requests sent to it before no longer count", []string{"reserver.TestHeldTokens"}},
	{"answer-longer-than-expected", "counts with its tokens so far and a further share", []string{"reserver.TestHeldTokens", "reserver.TestMemoryIsNotExceeded"}},
	{"hint-wrong", "counts with its learned error", []string{"predictor.TestHintsCountWithTheirLearnedError"}},
	{"request-larger-than-memory", "413 (`too-large`), not queued, not run", []string{"scheduler.TestRequestLargerThanMemoryIsRefused", "allocator.TestRequestLargerThanEnginesIsRefused", "attacher.TestKVMemoryBindsOverRouters"}},
	{"router-of-an-older-build", "its requests count with the mean of the pool", []string{"tallier.TestHeldMemoryBesideOtherBuilds", "reserver.TestBoundByTierAndReports"}},
	{"capacity-absent or odd", "no bound", []string{"platform.TestKVMemoryOfDeclarationAndHint", "reserver.TestUnknownCapacityBoundsNothing"}},
	{"memory-not-short", "each choice as without the bound", []string{"scheduler.TestMemoryWithRoomChangesNoChoice"}},
	{"small-requests-take-each-room", "free memory of an engine is reserved for a large one", []string{"reserver.TestIdleEngineTakesWhatItCanHold", "scheduler.TestShortMemoryHoldsRequestsBack"}},
	{"others-precede-a-large-request", "the reservation lapses while the request is not considered", []string{"scheduler.TestKeptRoomDoesNotBlockQueue"}},
}
