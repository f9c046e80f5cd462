package kingcuphook

import "time"

// Tier is a service level. 1 is the highest; a larger number is lower.
type Tier int

// Bounds of a tier.
const (
	HighestTier Tier = 1
	// LowestDeclaredTier is the lowest tier that operators can give to a route or an organisation.
	LowestDeclaredTier Tier = 5
	DeclaredTierCount       = int(LowestDeclaredTier-HighestTier) + 1
	// LowestTier is the lowest tier of a request, which Rank computes from those of its
	// organisation and its route.
	LowestTier Tier = 15
	TierCount       = int(LowestTier-HighestTier) + 1
)

// Index returns the zero-based index of t, for arrays of TierCount.
func (t Tier) Index() int { return int(t - HighestTier) }

// Declarable reports whether operators can give t to a route or an organisation.
func (t Tier) Declarable() bool { return t >= HighestTier && t <= LowestDeclaredTier }

// Declared returns t, or the lowest tier that can be declared if t is lower. Messages between
// routers have declared tiers only, since earlier builds know no others.
func (t Tier) Declared() Tier { return min(t, LowestDeclaredTier) }

// Valid reports whether t is inside the bounds.
func (t Tier) Valid() bool { return t >= HighestTier && t <= LowestTier }

// MaxParts is the maximum number of parts of a prompt that are told apart; the later ones are
// ignored.
const MaxParts = 64

// RequestFields are the fields a Request is made from.
type RequestFields struct {
	// ID identifies the request; unique in the fleet.
	ID string
	// Class is the class of the route, such as "till".
	Class string
	// Organisation is the caller's organisation.
	Organisation string
	// Model is the requested model; empty for plain services.
	Model string
	// Pool is the name of the pool that serves the route.
	Pool string
	// Region is the region in which the request arrived.
	Region string
	// DataCentre is the data centre in which the request arrived.
	DataCentre string
	// Tier is the tier of the route.
	Tier Tier
	// Urgency is the priority of the request at upstreams that order their queue
	// by it; 0 is first. It is finer than Tier.
	Urgency int
	// Arrived is the time at which this router accepted the request.
	Arrived time.Time
	// Target is the target for the time to the first token; 0 means none.
	Target time.Duration
	// TokenTarget is the target for the mean time between tokens; 0 means none.
	TokenTarget time.Duration
	// Deadline is the time after which the caller no longer waits; zero means none.
	Deadline time.Time
	// NonIdempotent marks a request that must run at most once.
	NonIdempotent bool
	// IdempotencyKey is given by the caller; may be empty.
	IdempotencyKey string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens bounds the tokens of the answer; 0 means the engine's own bound.
	MaxTokens int
	// LengthHint is the caller's estimate of the tokens of the answer; 0 if there is none.
	LengthHint int
	// Bytes is the size of the body in bytes.
	Bytes int
	// Prefix is the chain of block hashes of the prompt: element i covers
	// blocks 0 to i.
	Prefix []uint64
	// PrefixTokens holds the number of tokens that each element of Prefix covers;
	// nil if all blocks have the standard length.
	PrefixTokens []int
	// Parts holds a hash of each part of the prompt that other requests may share,
	// whatever comes before it. The last part of a prompt, which is the request's own, is
	// left out. There are at most MaxParts.
	Parts []uint64
	// Fingerprint is a hash of the call, its whole body included; a repetition by
	// the caller has the same one.
	Fingerprint uint64
	// Stream is true if the caller requested a streamed answer.
	Stream bool
	// OnlyVersion is the software version of the upstreams that may run the request; nil
	// means any.
	OnlyVersion *string
}

// Request holds the properties of a caller's request that scheduling decisions
// use. It is immutable.
type Request struct {
	f RequestFields
}

// NewRequest returns a request with the given fields. The prefix is not copied
// and must not be changed afterwards.
func NewRequest(f RequestFields) *Request { return &Request{f: f} }

// ID returns the identifier of the request.
func (r *Request) ID() string { return r.f.ID }

// Class returns the class of the request.
func (r *Request) Class() string { return r.f.Class }

// Organisation returns the organisation of the caller.
func (r *Request) Organisation() string { return r.f.Organisation }

// Model returns the requested model; empty for plain services.
func (r *Request) Model() string { return r.f.Model }

// Pool returns the name of the pool that serves the request.
func (r *Request) Pool() string { return r.f.Pool }

// Region returns the region the request arrived in.
func (r *Request) Region() string { return r.f.Region }

// DataCentre returns the data centre the request arrived in.
func (r *Request) DataCentre() string { return r.f.DataCentre }

// Tier returns the tier of the request.
func (r *Request) Tier() Tier { return r.f.Tier }

// Urgency returns the priority of the request at upstreams; 0 is first.
func (r *Request) Urgency() int { return r.f.Urgency }

// Arrived returns the time at which the router accepted the request.
func (r *Request) Arrived() time.Time { return r.f.Arrived }

// Target returns the target for the time to the first token; 0 means none.
func (r *Request) Target() time.Duration { return r.f.Target }

// TokenTarget returns the target for the mean time between tokens; 0 means none.
func (r *Request) TokenTarget() time.Duration { return r.f.TokenTarget }

// TargetTime returns the time by which the first token is due; zero without a
// target.
func (r *Request) TargetTime() time.Time {
	if r.f.Target == 0 {
		return time.Time{}
	}
	return r.f.Arrived.Add(r.f.Target)
}

// Deadline returns the time after which the caller no longer waits; zero means
// none.
func (r *Request) Deadline() time.Time { return r.f.Deadline }

// NonIdempotent reports whether the request must run at most once.
func (r *Request) NonIdempotent() bool { return r.f.NonIdempotent }

// IdempotencyKey returns the idempotency key; may be empty.
func (r *Request) IdempotencyKey() string { return r.f.IdempotencyKey }

// PromptTokens returns the estimated length of the prompt in tokens.
func (r *Request) PromptTokens() int { return r.f.PromptTokens }

// MaxTokens returns the bound of the answer in tokens; 0 means the engine's own
// bound.
func (r *Request) MaxTokens() int { return r.f.MaxTokens }

// LengthHint returns the caller's estimate of the tokens of the answer; 0 if there is none.
func (r *Request) LengthHint() int { return r.f.LengthHint }

// Bytes returns the size of the body in bytes.
func (r *Request) Bytes() int { return r.f.Bytes }

// Prefix returns the chain of block hashes of the prompt; the caller must not
// change it.
func (r *Request) Prefix() []uint64 { return r.f.Prefix }

// PrefixTokens returns the number of tokens that each element of Prefix covers;
// nil if all blocks have the standard length. The caller must not change it.
func (r *Request) PrefixTokens() []int { return r.f.PrefixTokens }

// Parts returns a hash of each part of the prompt that other requests may share. The caller
// must not change it.
func (r *Request) Parts() []uint64 { return r.f.Parts }

// Fingerprint returns a hash of the call, its whole body included; a repetition by
// the caller has the same one.
func (r *Request) Fingerprint() uint64 { return r.f.Fingerprint }

// Stream reports whether the caller requested a streamed answer.
func (r *Request) Stream() bool { return r.f.Stream }

// OnlyVersion returns the software version of the upstreams that may run the request; ok
// is false if any may.
func (r *Request) OnlyVersion() (version string, ok bool) {
	if r.f.OnlyVersion == nil {
		return "", false
	}
	return *r.f.OnlyVersion, true
}

// WithFingerprint returns a copy of the request with another fingerprint of its body.
func (r *Request) WithFingerprint(fingerprint uint64) *Request {
	other := *r
	other.f.Fingerprint = fingerprint
	return &other
}

// Restrict returns a copy of the request that only upstreams of the software version may
// run.
func (r *Request) Restrict(version string) *Request {
	f := r.f
	f.OnlyVersion = &version
	return &Request{f: f}
}

// Allows reports whether the software version of the upstream lets it run the request.
func (r *Request) Allows(u *Upstream) bool {
	return r.f.OnlyVersion == nil || *r.f.OnlyVersion == u.SoftwareVersion()
}

// Group returns a name that requests share if the same upstreams may run them: it stands
// for the model and the software version.
func (r *Request) Group() string {
	if r.f.OnlyVersion == nil {
		return r.f.Model
	}
	return r.f.Model + "\x00" + *r.f.OnlyVersion
}
