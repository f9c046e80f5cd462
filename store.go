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

// Expectations of Put and Delete besides a positive revision.
const (
	// RevisionAbsent expects that the key does not exist.
	RevisionAbsent int64 = 0
	// RevisionAny expects nothing.
	RevisionAny int64 = -1
)

// LeaseID identifies a lease of the key-value service; 0 means no lease.
type LeaseID int64

// Entry is one key of the key-value service as it was read.
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

// Revision returns the store's revision of the last change of the key. It is
// positive for every existing key and doubles as the key's fencing number.
func (e Entry) Revision() int64 { return e.revision }

// Deleted reports whether a watch saw the key go.
func (e Entry) Deleted() bool { return e.deleted }

// Store is the platform's key-value service. Each method is one call of its
// budget. Errors wrap ErrNotFound, ErrConflict, ErrUnavailable (the call has
// changed nothing), ErrOutcomeUnknown (the reply was lost), ErrRateLimited,
// ErrTooLarge or ErrCompacted.
type Store interface {
	// Get returns the entry of key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes value if the revision of key is expect, and returns the new
	// revision. A lease other than 0 deletes the key when it ends.
	Put(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes key if its revision is expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch waits for changes of keys that start with prefix after the store's
	// revision after, and returns them in order. It returns no entries and the
	// last revision seen when nothing changed for a while.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error)
	// Grant returns a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its ttl.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// RevisionLister is a Store that tells with a list from which revision on to
// watch.
type RevisionLister interface {
	Store
	// ListAt returns the entries whose key starts with prefix and a revision:
	// every change that is not in the entries comes after it.
	ListAt(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// WaitWatcher is a Store that can be told how long to hold a watch.
type WaitWatcher interface {
	// WatchFor is Watch that returns after the wait if nothing changes.
	WatchFor(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Entry, int64, error)
}

// VMState says what the platform's list knows of a VM.
type VMState string

// Values of VMState.
const (
	VMStateLive    VMState = "live"
	VMStateLeaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags behind reality.
type VM struct {
	address    string
	region     string
	dataCentre string
	state      VMState
}

// NewVM returns a VM. The address is an IP number with the port of the peer
// link for a router, or the address of an upstream.
func NewVM(address, region, dataCentre string, state VMState) VM {
	return VM{address: address, region: region, dataCentre: dataCentre, state: state}
}

// Address returns the IP number and port.
func (v VM) Address() string { return v.address }

// Region returns the region of the VM.
func (v VM) Region() string { return v.region }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// State returns what the list knows of the VM.
func (v VM) State() VMState { return v.state }

// VMLister lists the live and leaving VMs of the platform.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
