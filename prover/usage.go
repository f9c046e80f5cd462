package prover

const usageIntro = `Counts of requests by window, and their reports to the platform, have no cells either.`

// usageFaults are the faults of the counts and reports of usage, which the cells don't play.
var usageFaults = []TestedFault{
	{"messages-lost-late-repeated", "each request counted once", []string{"accountant.TestCountsSurviveTheNetwork", "accountant.TestIncompleteCounts"}},
	{"invalid-counts", "ignored", []string{"accountant.TestInvalidReports"}},
	{"router-restarted", "counts of the earlier run stay", []string{"accountant.TestCountsSurviveTheNetwork"}},
	{"router-cut-off", "window fixed when its counts came, or at 0.6 of the limit", []string{"accountant.TestMissingCountsDelayWindow"}},
	{"holder-killed", "no window missing, none reported with other counts", []string{"accountant.TestNoWindowIsMissing", "accountant.TestWindowIsNeverReportedWithOtherCounts"}},
	{"two-holders", "no window reported with other counts", []string{"accountant.TestWindowIsNeverReportedWithOtherCounts"}},
	{"store-restored", "ended windows given up, none reported with other counts", []string{"accountant.TestLostRecord", "accountant.TestWindowIsNeverReportedWithOtherCounts"}},
	{"clocks-step", "time of day unchanged", []string{"synchronizer.TestClockSteps", "synchronizer.TestSuspension"}},
}
