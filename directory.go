package kingcuphook

import (
	"net/http"
	"time"
)

// Declaration is what operators declare: routes, pools without upstreams and
// organisations. It is immutable.
type Declaration struct {
	f DeclarationFields
}

// DeclarationFields are the fields a Declaration is made from.
type DeclarationFields struct {
	// Version rises with every change, in uneven steps.
	Version int64
	// Routes are the routes; each names a pool that is declared.
	Routes []*Route
	// Pools are the pools by name, without upstreams.
	Pools map[string]DeclaredPool
	// Organisations has the organisation of each key; nil if callers need none.
	Organisations map[string]Organisation
	// MaxBodyBytes bounds the body of a call; 0 means no bound.
	MaxBodyBytes int64
}

// DeclaredPool is what operators declare of a pool.
type DeclaredPool struct {
	// Kind says what its upstreams are.
	Kind UpstreamKind
}

// NewDeclaration returns a declaration with the given fields, which must not be
// changed afterwards.
func NewDeclaration(f DeclarationFields) *Declaration { return &Declaration{f: f} }

// Version returns the version, which rises with every change.
func (d *Declaration) Version() int64 { return d.f.Version }

// Routes returns the routes; the caller must not change the slice.
func (d *Declaration) Routes() []*Route { return d.f.Routes }

// Pools returns the pools by name; the caller must not change the map.
func (d *Declaration) Pools() map[string]DeclaredPool { return d.f.Pools }

// Organisations returns the organisation of each key, or nil.
func (d *Declaration) Organisations() map[string]Organisation { return d.f.Organisations }

// MaxBodyBytes returns the bound of the body of a call; 0 means none.
func (d *Declaration) MaxBodyBytes() int64 { return d.f.MaxBodyBytes }

// Registration is what an upstream says of itself in the store. It is immutable.
type Registration struct {
	// Pool names the pool that it serves.
	Pool string
	// Upstream is the upstream; its Leaving says that it wants no new work.
	Upstream UpstreamFields
	// Warmup is how much longer it is slow after its start.
	Warmup time.Duration
}

// DirectoryCodec reads what the platform keeps in its store. Errors wrap
// ErrInvalid.
type DirectoryCodec interface {
	// Declaration reads the value that the operators wrote.
	Declaration(value []byte) (*Declaration, error)
	// Registration reads the entry of an upstream.
	Registration(key string, value []byte) (Registration, error)
}

// CallLabels are what the headers of a caller say of its call.
type CallLabels struct {
	// ID identifies the call; empty if the caller gave none.
	ID string
	// Key is the key of the organisation; empty if the caller gave none.
	Key string
	// Deadline is how long the caller waits; 0 if it doesn't say.
	Deadline time.Duration
	// Model is the model asked for.
	Model string
	// PromptTokens and MaxTokens are the lengths of the prompt and the most of
	// the answer, in tokens; 0 if unknown.
	PromptTokens, MaxTokens int
	// Prefix and PrefixTokens are those of a Request.
	Prefix       []uint64
	PrefixTokens []int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// CallCodec reads the headers of opaque calls. It is safe for concurrent use.
type CallCodec interface {
	// Labels reads what the headers say of the call.
	Labels(h http.Header) CallLabels
	// Forwarded returns the headers that are passed on to upstreams.
	Forwarded(h http.Header) http.Header
}
