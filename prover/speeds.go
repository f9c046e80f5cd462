package prover

const speedIntro = `Engines of the matrix are equally fast. Tests with simulated engines and routers play these faults.`

// speedFaults are the faults of the speeds of upstreams. Tests play them with simulated upstreams
// and routers.
var speedFaults = []TestedFault{
	{"slow-upstreams", "answered, load in proportion to speed", []string{"locator.TestUnevenEnginesAreLoadedBySpeed", "locator.TestUnevenEnginesServeShortPromptsFirst"}},
	{"upstream-slows-down", "seen within 10 s", []string{"estimator.TestSpeedsAreLearned", "locator.TestSpeedsAreLearnedUnderLoad"}},
	{"slow-spans", "served as without learned speeds", []string{"estimator.TestAlikeUpstreamsHaveSpeedOne", "locator.TestAlikeEnginesAreServedAsBefore"}},
	{"aggregators-fail", "speeds reach all routers again", []string{"gatherer.TestFleetSumsSpeedsWithinBytes"}},
	{"older-builds", "messages rejected", []string{"gatherer.TestOlderBuildsRejectSpeeds"}},
}
