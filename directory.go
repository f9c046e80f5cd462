package kingcuphook

import (
	"net/http"
	"time"
)

// Declaration is the configuration written by operators: routes, pools without
// their upstreams, and organisations. It is immutable.
type Declaration struct {
	f DeclarationFields
}

// DeclarationFields are the fields a Declaration is made from.
type DeclarationFields struct {
	// Version increases with every change, not always by one.
	Version int64
	// Routes are the routes; each refers to a declared pool.
	Routes []*Route
	// Pools are the pools by name, without upstreams.
	Pools map[string]DeclaredPool
	// Organisations maps API keys to organisations; nil if callers need no key.
	Organisations map[string]Organisation
	// MaxBodyBytes bounds the body of a call; 0 means no bound.
	MaxBodyBytes int64
	// HeadLimits bound the heads of calls.
	HeadLimits HeadLimits
}

const (
	// MaxHeadBytes is the highest bound of the length of a head.
	MaxHeadBytes = 1 << 20
	// MaxHeadTimeout is the highest bound of the time of a head.
	MaxHeadTimeout = time.Minute
)

// HeadLimits bound the head of a call: its request line and headers.
type HeadLimits struct {
	// Bytes is the largest length, at most MaxHeadBytes; 0 means unknown.
	Bytes int64
	// Timeout is the longest time from its first byte to its last, at most MaxHeadTimeout; 0 means unknown.
	Timeout time.Duration
}

// DeclaredPool is the part of a pool that operators declare.
type DeclaredPool struct {
	// Kind is the kind of its upstreams.
	Kind UpstreamKind
	// Autoscaling bounds the number of its upstreams that routers may order.
	Autoscaling Autoscaling
	// CopiesPrefixes means that its engines copy the KV memory of shared prefixes from one
	// another.
	CopiesPrefixes bool
	// StreamMoves describes how its engines move running streams; the zero value means that they don't.
	StreamMoves StreamMoves
	// KVMemory describes the KV memory of its engines; the zero value means that it is unknown.
	KVMemory KVMemory
}

// NewDeclaration returns a declaration with the given fields, which must not be
// changed afterwards.
func NewDeclaration(f DeclarationFields) *Declaration { return &Declaration{f: f} }

// Version returns the version, which increases with every change.
func (d *Declaration) Version() int64 { return d.f.Version }

// Routes returns the routes; the caller must not change the slice.
func (d *Declaration) Routes() []*Route { return d.f.Routes }

// Pools returns the pools by name; the caller must not change the map.
func (d *Declaration) Pools() map[string]DeclaredPool { return d.f.Pools }

// Organisations returns the organisation of each API key; nil if callers need no
// key. The caller must not change the map.
func (d *Declaration) Organisations() map[string]Organisation { return d.f.Organisations }

// MaxBodyBytes returns the largest allowed body of a call; 0 means no bound.
func (d *Declaration) MaxBodyBytes() int64 { return d.f.MaxBodyBytes }

// HeadLimits returns the bounds of the heads of calls.
func (d *Declaration) HeadLimits() HeadLimits { return d.f.HeadLimits }

// Registration is the entry that an upstream writes about itself to the store. It
// must not be changed.
type Registration struct {
	// Pool is the name of the pool that the upstream serves.
	Pool string
	// Upstream describes the upstream; Leaving is set if it accepts no new work.
	Upstream UpstreamFields
	// Sequence rises with each write of the registration by the same program; 0 means unknown.
	Sequence int64
	// Warmup is the time left until the upstream has warmed up after its start.
	Warmup time.Duration
	// Leaves is the time until a leaving upstream stops, from when the registration was written;
	// nil if it announces no time.
	Leaves *time.Duration
}

// DirectoryCodec decodes the values of the platform's store. Errors wrap
// ErrInvalid.
type DirectoryCodec interface {
	// Declaration decodes the declaration of the operators.
	Declaration(value []byte) (*Declaration, error)
	// Registration decodes the registration of an upstream.
	Registration(key string, value []byte) (Registration, error)
}

// CallLabels hold the properties of a call that its headers give.
type CallLabels struct {
	// ID identifies the call; empty if the caller gave none.
	ID string
	// APIKey identifies the organisation; empty if the caller gave none.
	APIKey string
	// Deadline is how long the caller waits for the answer; 0 if unknown.
	Deadline time.Duration
	// Model is the requested model.
	Model string
	// PromptTokens is the length of the prompt and MaxTokens the largest length of
	// the answer, in tokens; 0 if unknown.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the length of the answer in tokens; 0 if there is none.
	LengthHint int
	// Prefix and PrefixTokens are the fields of RequestFields of the same names.
	Prefix       []uint64
	PrefixTokens []int
	// Parts is the field of RequestFields of the same name.
	Parts []uint64
	// ResumeAfter is the ID of the last event that the caller received.
	ResumeAfter string
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream that this call resumes; empty if the caller names none.
	Resumes string
}

// CallCodec interprets the headers of opaque calls. It is safe for concurrent use.
type CallCodec interface {
	// Labels returns the properties of the call that the headers give.
	Labels(h http.Header) CallLabels
	// Forwarded returns the headers to forward to upstreams.
	Forwarded(h http.Header) http.Header
}
