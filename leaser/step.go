package leaser

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Action is the call to the store that a Leaser requests.
type Action string

// Values of Action.
const (
	// ActionNone makes no call; Next is to be called again after the wait.
	ActionNone Action = "none"
	// ActionGet reads the key.
	ActionGet Action = "get"
	// ActionGrant creates a lease with the time-to-live.
	ActionGrant Action = "grant"
	// ActionPut writes the value with the lease if the key is absent.
	ActionPut Action = "put"
	// ActionKeepAlive renews the lease.
	ActionKeepAlive Action = "keep-alive"
	// ActionRevoke revokes the lease, which removes the key.
	ActionRevoke Action = "revoke"
	// ActionProbe renews the lease of another holder, to find out whether it exists.
	ActionProbe Action = "probe"
	// ActionDelete deletes the key if it has the given revision.
	ActionDelete Action = "delete"
)

// Step is the next call or wait of a Leaser.
type Step struct {
	action Action
	lease  kingcuphook.LeaseID
	value  []byte
	// revision is that of the key to delete.
	revision int64
	wait     time.Duration
}

// Action returns the call to make.
func (s Step) Action() Action { return s.action }

// Lease returns the lease that the call is for; 0 if there is none.
func (s Step) Lease() kingcuphook.LeaseID { return s.lease }

// Value returns the value to write; nil unless the action is ActionPut.
func (s Step) Value() []byte { return s.value }

// Revision returns the revision that the key to delete must have; 0 unless the action is
// ActionDelete.
func (s Step) Revision() int64 { return s.revision }

// Wait returns how long to wait when the action is ActionNone.
func (s Step) Wait() time.Duration { return s.wait }
