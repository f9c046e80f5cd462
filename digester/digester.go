// Package digester encodes the short messages by which routers know of one
// another: which of the store they have, whom they have heard of, what they run,
// and which calls they suspect. A message has at most MaxBytes, whatever the
// fleet.
package digester

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// MaxBytes bounds a message.
	MaxBytes = 1400
	// MaxMembers bounds the addresses of other routers in a message.
	MaxMembers = 6
	// formatVersion is the first byte of a message.
	formatVersion = 2
	// fixedBytes is the length of what every message has: format, version,
	// revision, number of members, length of the loads.
	fixedBytes = 1 + 8 + 8 + 1 + 2
	// memberBytes is the length of a member.
	memberBytes = 4
)

// Fields are the fields a Digest is made from.
type Fields struct {
	// Version is that of the declaration in force at the sender, Revision that of
	// the store up to which it knows the upstreams; 0 means none.
	Version, Revision int64
	// Members are addresses of routers that the sender has heard of lately.
	Members []netip.Addr
	// Loads is what the sender runs, as package tallier encodes it.
	Loads []byte
	// Suspects are calls that crash upstreams, as package quarantiner encodes them.
	Suspects []byte
}

// Digest is one message. It is immutable.
type Digest struct {
	f Fields
}

// New returns a digest with the given fields.
func New(f Fields) Digest { return Digest{f: f} }

// Version returns the version of the declaration in force at the sender.
func (d Digest) Version() int64 { return d.f.Version }

// Revision returns the revision of the store that the sender knows.
func (d Digest) Revision() int64 { return d.f.Revision }

// Members returns routers that the sender has heard of; the caller must not
// change the slice.
func (d Digest) Members() []netip.Addr { return d.f.Members }

// Loads returns what the sender runs.
func (d Digest) Loads() []byte { return d.f.Loads }

// Suspects returns the calls that the sender suspects.
func (d Digest) Suspects() []byte { return d.f.Suspects }

// Encode returns the message. Members beyond MaxMembers, members that have no
// IPv4 address and suspects that don't fit are left out.
func (d Digest) Encode() []byte {
	b := make([]byte, 0, MaxBytes)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(d.f.Version))
	b = binary.BigEndian.AppendUint64(b, uint64(d.f.Revision))
	at := len(b)
	b = append(b, 0)
	for _, m := range d.f.Members {
		if m.Is4() && b[at] < MaxMembers {
			a4 := m.As4()
			b = append(b, a4[:]...)
			b[at]++
		}
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(d.f.Loads)))
	b = append(b, d.f.Loads...)
	if len(b)+len(d.f.Suspects) <= MaxBytes {
		b = append(b, d.f.Suspects...)
	}
	return b
}

// Decode reads a message. The error wraps ErrInvalid.
func Decode(b []byte) (Digest, error) {
	if len(b) < fixedBytes || b[0] != formatVersion {
		return Digest{}, fmt.Errorf("digester: no digest: %w", kingcuphook.ErrInvalid)
	}
	f := Fields{
		Version:  int64(binary.BigEndian.Uint64(b[1:])),
		Revision: int64(binary.BigEndian.Uint64(b[9:])),
	}
	n := int(b[17])
	b = b[18:]
	if n > MaxMembers || len(b) < n*memberBytes+2 {
		return Digest{}, fmt.Errorf("digester: %d members: %w", n, kingcuphook.ErrInvalid)
	}
	for range n {
		f.Members = append(f.Members, netip.AddrFrom4([4]byte(b)))
		b = b[memberBytes:]
	}
	length := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	if length > len(b) {
		return Digest{}, fmt.Errorf("digester: loads of %d bytes: %w", length, kingcuphook.ErrInvalid)
	}
	f.Loads, f.Suspects = b[:length], b[length:]
	return Digest{f: f}, nil
}
