// Package digester encodes the short messages by which routers know of one
// another: which of the store they have, whom they have heard of, which upstreams
// leave, and which calls they suspect. A message has at most MaxBytes, whatever the
// fleet.
package digester

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/withdrawer"
)

const (
	// MaxBytes bounds a message.
	MaxBytes = 1400
	// MaxMembers bounds the addresses of other routers in a message.
	MaxMembers = 6
	// formatVersion is the first byte of a message.
	formatVersion = 4
	// fixedBytes is the length of what every message has: format, version,
	// revision, data centre, flags, number of members and of delegates, length of
	// what tells of leaving upstreams.
	fixedBytes = 1 + 8 + 8 + 4 + 1 + 1 + 1 + 1
	// memberBytes is the length of a member, delegateBytes that of a delegate with
	// its age.
	memberBytes   = 4
	delegateBytes = memberBytes + 1
	// ageUnit is the unit in which ages are told.
	ageUnit = 20 * time.Millisecond
	// flagFollows is set if the sender can follow the store.
	flagFollows = 1
)

// Fields are the fields a Digest is made from.
type Fields struct {
	// Version is that of the declaration in force at the sender, Revision that of
	// the store up to which it knows the upstreams; 0 means none.
	Version, Revision int64
	// DataCentre stands for that of the sender, as HashDataCentre returns it.
	DataCentre uint32
	// Follows says that the sender can follow the store.
	Follows bool
	// Members are addresses of routers that the sender has heard of lately.
	Members []netip.Addr
	// Delegates are routers of the data centre that can follow the store.
	Delegates []delegator.Candidate
	// Leaving are upstreams that told the sender that they leave, as package
	// withdrawer encodes them.
	Leaving []byte
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

// DataCentre stands for the data centre of the sender.
func (d Digest) DataCentre() uint32 { return d.f.DataCentre }

// Follows reports whether the sender can follow the store.
func (d Digest) Follows() bool { return d.f.Follows }

// Delegates returns routers of the sender's data centre that can follow the store;
// the caller must not change the slice.
func (d Digest) Delegates() []delegator.Candidate { return d.f.Delegates }

// HashDataCentre returns what stands for a data centre in digests.
func HashDataCentre(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Members returns routers that the sender has heard of; the caller must not
// change the slice.
func (d Digest) Members() []netip.Addr { return d.f.Members }

// Leaving returns the upstreams that told the sender that they leave.
func (d Digest) Leaving() []byte { return d.f.Leaving }

// Suspects returns the calls that the sender suspects.
func (d Digest) Suspects() []byte { return d.f.Suspects }

// Encode returns the message. Members beyond MaxMembers, members that have no
// IPv4 address and suspects that don't fit are left out.
func (d Digest) Encode() []byte {
	b := make([]byte, 0, MaxBytes)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(d.f.Version))
	b = binary.BigEndian.AppendUint64(b, uint64(d.f.Revision))
	b = binary.BigEndian.AppendUint32(b, d.f.DataCentre)
	flags := byte(0)
	if d.f.Follows {
		flags |= flagFollows
	}
	b = append(b, flags)
	b = appendMembers(b, d.f.Members)
	b = appendDelegates(b, d.f.Delegates)
	b = append(b, byte(len(d.f.Leaving)))
	b = append(b, d.f.Leaving...)
	if len(b)+len(d.f.Suspects) <= MaxBytes {
		b = append(b, d.f.Suspects...)
	}
	return b
}

// appendMembers appends the number of members and their addresses.
func appendMembers(b []byte, members []netip.Addr) []byte {
	at := len(b)
	b = append(b, 0)
	for _, m := range members {
		if m.Is4() && b[at] < MaxMembers {
			a4 := m.As4()
			b = append(b, a4[:]...)
			b[at]++
		}
	}
	return b
}

// appendDelegates appends the number of delegates, their addresses and ages.
func appendDelegates(b []byte, delegates []delegator.Candidate) []byte {
	at := len(b)
	b = append(b, 0)
	for _, c := range delegates {
		if c.Address.Is4() && b[at] < delegator.MaxCandidates {
			a4 := c.Address.As4()
			b = append(b, a4[:]...)
			b = append(b, byte(min((c.Age+ageUnit-1)/ageUnit, 255)))
			b[at]++
		}
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
	f.DataCentre = binary.BigEndian.Uint32(b[17:])
	f.Follows = b[21]&flagFollows != 0
	b = b[22:]
	n := int(b[0])
	b = b[1:]
	if n > MaxMembers || len(b) < n*memberBytes+1 {
		return Digest{}, fmt.Errorf("digester: %d members: %w", n, kingcuphook.ErrInvalid)
	}
	for range n {
		f.Members = append(f.Members, netip.AddrFrom4([4]byte(b)))
		b = b[memberBytes:]
	}
	n = int(b[0])
	b = b[1:]
	if n > delegator.MaxCandidates || len(b) < n*delegateBytes+1 {
		return Digest{}, fmt.Errorf("digester: %d delegates: %w", n, kingcuphook.ErrInvalid)
	}
	for range n {
		f.Delegates = append(f.Delegates, delegator.Candidate{
			Address: netip.AddrFrom4([4]byte(b)), Age: time.Duration(b[memberBytes]) * ageUnit,
		})
		b = b[delegateBytes:]
	}
	n = int(b[0])
	b = b[1:]
	if n > withdrawer.MaxBytes || len(b) < n {
		return Digest{}, fmt.Errorf("digester: %d bytes of leaving upstreams: %w", n, kingcuphook.ErrInvalid)
	}
	f.Leaving, b = b[:n], b[n:]
	f.Suspects = b
	return Digest{f: f}, nil
}
