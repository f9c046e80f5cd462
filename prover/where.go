package prover

const whereIntro = `The rules are those of design/where.md.`

// whereFaults are the faults of questions where a request would go.
var whereFaults = []TestedFault{
	{"asked-under-load", "each decision as without questions", []string{"scheduler.TestPreviewsChangeNothing", "throttler.TestPreviewsChangeNothing"}},
	{"choice-drawn", "the probabilities of decisions", []string{"scheduler.TestProbabilitiesAreThoseOfDecisions"}},
	{"asked-too-often, question-too-large", "refused", []string{"previewer.TestQuestionsAreBounded"}},
	{"router-not-reachable, no-tables, unknown route", "an error that names it", []string{"previewer.TestErrorsNameTheirCause", "router.TestWhereOfRunningRouter", "router.TestWhereWithoutTables"}},
	{"all-upstreams-leaving", "the refusal that callers get", []string{"attacher.TestWhereNamesTheUpstream"}},
}
