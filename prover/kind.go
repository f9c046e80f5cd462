package prover

// Step is a state of a request at which a fault happens.
type Step string

// Values of Step.
const (
	// StepQueued is when the request arrives, before its claim.
	StepQueued Step = "queued"
	// StepClaimed is when the claim is held, if there is one, and no slot yet.
	StepClaimed Step = "claimed"
	// StepDispatched is when the first byte is about to leave.
	StepDispatched Step = "dispatched"
	// StepStreaming is in the middle of the answer.
	StepStreaming Step = "streaming"
	// StepDone is when the caller has its answer or error.
	StepDone Step = "done"
)

// Steps are all steps in the order of a request's life.
var Steps = []Step{StepQueued, StepClaimed, StepDispatched, StepStreaming, StepDone}

// Kind is a kind of call.
type Kind string

// Values of Kind.
const (
	// KindStream is an idempotent call of an engine whose caller takes a stream.
	KindStream Kind = "stream"
	// KindPlain is the same with a caller that takes the answer whole.
	KindPlain Kind = "plain"
	// KindService is an idempotent call of a plain service.
	KindService Kind = "service"
	// KindClaimed is a non-idempotent call of a plain service with a key.
	KindClaimed Kind = "claimed"
	// KindClaimedStream is a non-idempotent streamed call of an engine with a
	// key.
	KindClaimedStream Kind = "claimed-stream"
	// KindOnce is a non-idempotent call of a plain service without a key.
	KindOnce Kind = "once"
)

// Kinds are all kinds of calls.
var Kinds = []Kind{KindStream, KindPlain, KindService, KindClaimed, KindClaimedStream, KindOnce}

// claimed reports whether calls of the kind have a claim.
func (k Kind) claimed() bool { return k == KindClaimed || k == KindClaimedStream }

// engine reports whether calls of the kind go to a model engine.
func (k Kind) engine() bool { return k != KindService && k != KindClaimed && k != KindOnce }
