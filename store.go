package kingcuphook

import (
	"context"
	"time"
)

// Bounds of the platform's key-value service.
const (
	// MaxValueBytes is the largest value of one key.
	MaxValueBytes = 1 << 20
)

// Expected revisions for Put and Delete with a special meaning. A positive one
// must be the current revision of the key.
const (
	// RevisionAbsent requires that the key does not exist.
	RevisionAbsent int64 = 0
	// RevisionAny makes the call unconditional.
	RevisionAny int64 = -1
)

// LeaseID identifies a lease of the key-value service; 0 means no lease.
type LeaseID int64

// Entry is a key of the key-value service with its value at the time of reading.
type Entry struct {
	key      string
	value    []byte
	revision int64
	deleted  bool
}

// NewEntry returns an entry. The value must not be changed afterwards.
func NewEntry(key string, value []byte, revision int64, deleted bool) Entry {
	return Entry{key: key, value: value, revision: revision, deleted: deleted}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value; the caller must not change it.
func (e Entry) Value() []byte { return e.value }

// Revision returns the revision of the store at the last change of the key. It is
// positive for every existing key and also serves as the key's fencing number.
func (e Entry) Revision() int64 { return e.revision }

// Deleted reports whether the entry was returned by a watch for a deleted key.
func (e Entry) Deleted() bool { return e.deleted }

// Store is the platform's key-value service. Each call of a method counts once
// against the rate limit of the service. Errors wrap ErrNotFound, ErrConflict,
// ErrUnavailable (the call had no effect), ErrOutcomeUnknown (the reply was lost),
// ErrRateLimited, ErrTooLarge or ErrCompacted.
type Store interface {
	// Get returns the entry of key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the revision of key is expect, and returns the new
	// revision. If lease is not 0, the key is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes key if its revision is expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch waits for changes to keys that start with prefix, made after the given
	// revision of the store, and returns them in order with the revision to watch
	// from next. If nothing changes for a while, it returns no entries.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error)
	// Grant returns a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its ttl.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease at once and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// RevisionLister is a Store whose lists come with the revision to watch from.
type RevisionLister interface {
	Store
	// ListAt returns the entries whose key starts with prefix, and a revision.
	// Every change that the entries don't include has a later revision.
	ListAt(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// WaitWatcher is implemented by a Store whose watches have a configurable wait.
type WaitWatcher interface {
	// WatchFor is like Watch, but returns after the given wait if nothing changes.
	WatchFor(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Entry, int64, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// Values of VMState.
const (
	VMStateLive    VMState = "live"
	VMStateLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs, which may be out of date.
type VM struct {
	address    string
	region     string
	dataCentre string
	state      VMState
}

// NewVM returns a VM. The address is the IP number and port of a router's peer
// link, or the address of an upstream.
func NewVM(address, region, dataCentre string, state VMState) VM {
	return VM{address: address, region: region, dataCentre: dataCentre, state: state}
}

// Address returns the IP number and port.
func (v VM) Address() string { return v.address }

// Region returns the region of the VM.
func (v VM) Region() string { return v.region }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// State returns the state of the VM in the list.
func (v VM) State() VMState { return v.state }

// VMLister lists the live and leaving VMs of the platform.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
