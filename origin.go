package kingcuphook

import (
	"context"
	"time"
)

// MaxAttemptBytes is the greatest length of the ID of a caller's attempt that can name a stream.
const MaxAttemptBytes = 256

// Origin is where a stream began.
type Origin struct {
	// Pool is the name of the pool, and Version the software version of the upstream in
	// it that sent the first event.
	Pool, Version string
}

// StreamPinner keeps track of the software version of the upstream that began each
// stream. What two versions send doesn't fit together, so that only upstreams of that
// version may continue the stream. It is safe for concurrent use.
type StreamPinner interface {
	// Begun records that an upstream of the version sends the first event of the request's
	// stream. It returns once the caller may get that event: when the record outlasts this
	// router, if that is needed and can be expected soon, or when ctx ends. The error means that the
	// caller must not get it; if it wraps ErrVersionUnrecorded, the stream may begin again at any version.
	Begun(ctx context.Context, r *Request, version string) error
	// Find returns the origin of the stream that a call resumes. Attempt is the ID of the
	// caller's attempt that brought the first event; empty if the caller names none. Pool is
	// used when only one version can have begun the stream. The error wraps
	// ErrVersionUnknown if no origin is known.
	Find(ctx context.Context, organisation, attempt, pool string) (Origin, error)
}

// VersionRecords keeps the records of the software versions of pools, which routers pass on to each other with the
// tables.
type VersionRecords interface {
	// ExportRecords returns the encoded records; nil if they are not known.
	ExportRecords() []byte
	// ImportRecords applies what a peer has exported. The error wraps ErrInvalid.
	ImportRecords(now time.Time, records []byte) error
}
