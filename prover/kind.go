package prover

// Step is a step of a request at which faults are injected.
type Step string

// Values of Step.
const (
	// StepQueued is when the request arrives, before its claim.
	StepQueued Step = "queued"
	// StepClaimed is after the claim is acquired, if there is one, and before a slot is.
	StepClaimed Step = "claimed"
	// StepDispatched is directly before the attempt is sent to the upstream.
	StepDispatched Step = "dispatched"
	// StepStreaming is in the middle of the answer.
	StepStreaming Step = "streaming"
	// StepDone is after the caller received its answer or error.
	StepDone Step = "done"
)

// Steps lists all steps in the order in which a request reaches them.
var Steps = []Step{StepQueued, StepClaimed, StepDispatched, StepStreaming, StepDone}

// Kind is a kind of call.
type Kind string

// Values of Kind.
const (
	// KindStream is an idempotent call to an engine with a streamed answer.
	KindStream Kind = "stream"
	// KindPlain is an idempotent call to an engine whose answer is not streamed to the
	// caller.
	KindPlain Kind = "plain"
	// KindService is an idempotent call to a plain service.
	KindService Kind = "service"
	// KindClaimed is a non-idempotent call to a plain service with an idempotency key.
	KindClaimed Kind = "claimed"
	// KindClaimedStream is a non-idempotent streamed call to an engine with an
	// idempotency key.
	KindClaimedStream Kind = "claimed-stream"
	// KindOnce is a non-idempotent call to a plain service without an idempotency key.
	KindOnce Kind = "once"
)

// Kinds lists all kinds of calls.
var Kinds = []Kind{KindStream, KindPlain, KindService, KindClaimed, KindClaimedStream, KindOnce}

// claimed reports whether calls of the kind require a claim.
func (k Kind) claimed() bool { return k == KindClaimed || k == KindClaimedStream }

// engine reports whether calls of the kind go to a model engine.
func (k Kind) engine() bool { return k != KindService && k != KindClaimed && k != KindOnce }
