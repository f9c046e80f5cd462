package leaser

import (
	"encoding/json"
	"errors"

	"github.com/kingcuphook/kingcuphook"
)

// record is the value of the key.
type record struct {
	// Owner is the holder's address, which shows operators who holds the lease.
	Owner string `json:"owner"`
	// Nonce is a random value for each granted lease, which identifies the holder's own
	// write.
	Nonce string `json:"nonce"`
	// Lease is the lease that the key depends on.
	Lease int64 `json:"lease,omitempty"`
}

// Holder returns the address of the holder and its fencing number, as this candidate last
// read them from the key; empty if the key was absent or was not read.
func (l *Leaser) Holder() (address string, fence int64) { return l.holder, l.holderFence }

// recordHolder records whose key was read.
func (l *Leaser) recordHolder(e kingcuphook.Entry, err error) {
	var r record
	switch {
	case errors.Is(err, kingcuphook.ErrNotFound):
		l.holder, l.holderFence = "", 0
	case err == nil && json.Unmarshal(e.Value(), &r) == nil && l.position != NotCandidate:
		l.holder, l.holderFence = r.Owner, e.Revision()
	}
}

// owns reports whether this router has written e with its granted lease.
func (l *Leaser) owns(e kingcuphook.Entry) bool {
	var r record
	return json.Unmarshal(e.Value(), &r) == nil && r.Nonce == l.nonce && r.Owner == l.Owner
}

func (l *Leaser) value() []byte {
	b, err := json.Marshal(record{Owner: l.Owner, Nonce: l.nonce, Lease: int64(l.lease)})
	if err != nil {
		panic(err) // Strings and a number can always be encoded.
	}
	return b
}
