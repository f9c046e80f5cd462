package prover

const connectionIntro = `Faults of the bytes on a connection have no cells: the tests that play them use real
connections and the clock of the machine. Among the faults of ` + "`kingcuphook soak`" + `, "sends
bytes without end" plays endless answers too; none plays large bodies of callers.`

// connectionFaults are the faults of bodies and heads.
var connectionFaults = []TestedFault{
	{
		"endless-answer", "unknown, within the memory budget", []string{
			"forwarder.TestEndlessResponses", "dialer.TestEndlessResponses", "forwarder.TestRelayedHeadIsBounded",
			"attacher.TestAnswersWithoutEndEndInTrueErrors",
		},
	},
	{"endless-event", "unknown, within the memory budget", []string{"forwarder.TestEndlessEvents", "dialer.TestEndlessResponses"}},
	{"slow-head-of-upstream", "unknown at the deadline", []string{"forwarder.TestSlowHeadEndsWithItsCall"}},
	{"many-long-heads", "not-run, or answered", []string{"receiver.TestHeadsDoNotExceedBudget", "server.TestHeadsDoNotExceedBudget"}},
	{"large-bodies", "not-run, or answered, within the memory budget", []string{"receiver.TestLargeBodiesDoNotExceedBudget", "server.TestLargeBodiesDoNotExceedBudget"}},
	{"body-without-end", "refused at the deadline", []string{"receiver.TestTricklingBodyEndsAtDeadline"}},
	{"slow-reader", "answered, within the memory budget", []string{"receiver.TestAnswersForSlowCallersAreCounted", "server.TestAnswersForSlowCallersAreCounted"}},
	{
		"refused-body", "not-run", []string{
			"receiver.TestRefusalsReachCallersThatAreSendingBodies", "server.TestRefusalsReachCallersThatAreSendingBodies",
			"receiver.TestRefusalReachesCallerThatIsSendingLate", "receiver.TestRefusalsReachCallersWhoseShortBodiesStall",
			"receiver.TestRefusedBodyReturnsItsMemory",
		},
	},
	{
		"answer-before-end-of-body", "answered if it came whole, else unknown", []string{
			"forwarder.TestAnswerBeforeEndOfBodyIsNotLost", "forwarder.TestRelayedAnswerBeforeEndOfBodyIsNotLost",
			"forwarder.TestAnswerCutBeforeEndOfBodyIsUnknown", "dialer.TestAnswerBeforeEndOfBodyIsNotLost",
			"relayer.TestResetBeforeEndOfBodyIsNoEnd",
		},
	},
	{
		"status-that-is-none", "unknown", []string{"forwarder.TestInvalidStatusIsNoAnswer", "dialer.TestInvalidStatusIsNoAnswer"},
	},
	{
		"body-left-unread", "answered", []string{"forwarder.TestStreamBeforeEndOfBodyIsNotCut", "forwarder.TestStreamOutlivesUnreadBody"},
	},
}
