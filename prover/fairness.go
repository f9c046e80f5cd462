package prover

const fairnessIntro = `The rules are those of design/fleet-fairness.md. Tests with simulated routers play these faults.`

// fairnessFaults are the faults of the fairness among organisations over all routers.
var fairnessFaults = []TestedFault{
	{"callers-at-few-routers", "equal tokens, within 15%", []string{"equalizer.TestFewRoutersGetAnEqualPart"}},
	{"burst-of-one-organisation", "from 3 s on the others get 0.8 of their demand", []string{"equalizer.TestBurstOfOneOrganisation"}},
	{"sums-end", "sums dropped after 1.5 s, each router by its own counts, no capacity lost", []string{"gatherer.TestServedTokensSurviveAggregators", "equalizer.TestFairnessWithoutSums"}},
	{"aggregators-fail", "others take over", []string{"gatherer.TestServedTokensSurviveAggregators"}},
	{"router-cut-off", "fair among the others, it serves by its own counts", []string{"equalizer.TestFairnessWithoutSums"}},
	{"router-restarts", "equal tokens, within 15%", []string{"equalizer.TestFewRoutersGetAnEqualPart"}},
	{"older-builds, setting off", "messages rejected or ignored, none sent", []string{"gatherer.TestServedTokensOffSendNothing", "attacher.TestServedTokensAreKeptWithoutSetting"}},
	{"more-organisations-than-listed", "the pool is as without the setting", []string{"gatherer.TestCutSumsAreNotUsed"}},
	{"overload-ends", "no surplus of factors delays an organisation", []string{"admitter.TestFactorsDontDelayAfterOverload"}},
	{"several-tiers-queued", "portions keep the order of tiers", []string{"bounder.TestPortionsKeepOrderOfTiers", "scheduler.TestPortionsFollowOrderOfTiers"}},
	{"message-invalid", "ignored, with an event", []string{"equalizer.TestInvalidLoadsAreRejected", "gatherer.TestInvalidServedTokensAreRejected", "attacher.TestServedTokensAreExchanged"}},
	{"routers with other declarations", "their messages aren't added", []string{"equalizer.TestListsDiffer", "gatherer.TestInvalidServedTokensAreRejected"}},
}
