// Package digester encodes and decodes the digests that the routers of package attacher
// send each other in single datagrams: the version and revision of the sender's data
// from the store, addresses of other routers, the upstreams that are leaving and the
// calls suspected of crashing upstreams. An encoded digest has at most MaxBytes, whatever
// the size of the fleet. The routers of package router use the digests of package
// gossiper instead.
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
	// MaxBytes limits an encoded digest.
	MaxBytes = 1400
	// MaxMembers limits the addresses of other routers in a digest.
	MaxMembers = 6
	// formatVersion is the first byte of an encoded digest.
	formatVersion = 4
	// fixedBytes is the length of the mandatory fields: format version, version,
	// revision, data centre, flags, member count, delegate count and length of the
	// section of leaving upstreams.
	fixedBytes = 1 + 8 + 8 + 4 + 1 + 1 + 1 + 1
	// memberBytes is the length of an encoded member, delegateBytes that of a
	// delegate with its age.
	memberBytes   = 4
	delegateBytes = memberBytes + 1
	// ageUnit is the unit in which ages are encoded.
	ageUnit = 20 * time.Millisecond
	// flagCanFollow is the flag bit for a sender that can follow the store, flagCarriesNone that
	// for one that carries no connections for peers. The bits after these flagBits are 0, or 1
	// more than the age at which the sender's data were current.
	flagCanFollow   = 1
	flagCarriesNone = 2
	flagBits        = 2
	// currentUnit is the unit of that age, maxCurrentAge the largest one.
	currentUnit   = 40 * time.Millisecond
	maxCurrentAge = (1<<(8-flagBits) - 2) * currentUnit
)

// Fields are the contents of a Digest.
type Fields struct {
	// Version is the version of the sender's current declaration, Revision the
	// revision of the store up to which its registrations of upstreams are complete; 0
	// means none.
	Version, Revision int64
	// DataCentre identifies the sender's data centre, as returned by HashDataCentre.
	DataCentre uint32
	// CanFollow is set if the sender can follow the store.
	CanFollow bool
	// Current is set if the sender knows that the store had no revision after Revision at the
	// time CurrentAge ago, which is at most 2.5 s.
	Current    bool
	CurrentAge time.Duration
	// CarriesNone is set if the sender carries no connections to upstreams for peers now.
	CarriesNone bool
	// Members are addresses of other routers that the sender has seen most recently,
	// directly or in a digest of another router.
	Members []netip.Addr
	// Delegates are routers in the sender's data centre that can follow the store.
	Delegates []delegator.Candidate
	// Leaving are the upstreams that have announced to the sender that they are
	// leaving, in the encoding of package withdrawer.
	Leaving []byte
	// Suspects are the calls suspected of crashing upstreams, in the encoding of
	// package quarantiner.
	Suspects []byte
}

// Digest describes the state of its sender. It is immutable.
type Digest struct {
	f Fields
}

// New returns a digest with the given fields, whose slices must not be changed
// afterwards.
func New(f Fields) Digest { return Digest{f: f} }

// Version returns the version of the sender's current declaration.
func (d Digest) Version() int64 { return d.f.Version }

// Revision returns the revision of the store up to which the sender's registrations of
// upstreams are complete.
func (d Digest) Revision() int64 { return d.f.Revision }

// DataCentre returns the hash of the sender's data centre, as returned by
// HashDataCentre.
func (d Digest) DataCentre() uint32 { return d.f.DataCentre }

// CanFollow reports whether the sender can follow the store.
func (d Digest) CanFollow() bool { return d.f.CanFollow }

// CurrentAge returns how long ago, at most, the store had no revision after that of the sender, as
// the sender knows; ok is false if it doesn't.
func (d Digest) CurrentAge() (age time.Duration, ok bool) { return d.f.CurrentAge, d.f.Current }

// CarriesNone reports whether the sender carries no connections to upstreams for peers now.
func (d Digest) CarriesNone() bool { return d.f.CarriesNone }

// Delegates returns routers in the sender's data centre that can follow the store;
// the caller must not modify the slice.
func (d Digest) Delegates() []delegator.Candidate { return d.f.Delegates }

// HashDataCentre returns the hash that identifies a data centre in digests.
func HashDataCentre(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Members returns routers that the sender has seen recently; the caller must not
// modify the slice.
func (d Digest) Members() []netip.Addr { return d.f.Members }

// Leaving returns the encoded upstreams that have announced to the sender that they
// are leaving.
func (d Digest) Leaving() []byte { return d.f.Leaving }

// Suspects returns the encoded calls that the sender suspects of crashing upstreams.
func (d Digest) Suspects() []byte { return d.f.Suspects }

// Encode returns the encoded digest. Members and delegates that exceed their limit
// or have no IPv4 address are omitted, and so are suspects that would exceed MaxBytes.
func (d Digest) Encode() []byte {
	b := make([]byte, 0, MaxBytes)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(d.f.Version))
	b = binary.BigEndian.AppendUint64(b, uint64(d.f.Revision))
	b = binary.BigEndian.AppendUint32(b, d.f.DataCentre)
	flags := byte(0)
	if d.f.CanFollow {
		flags |= flagCanFollow
	}
	if d.f.Current && d.f.CurrentAge <= maxCurrentAge {
		flags |= (encodeCurrentAge(d.f.CurrentAge) + 1) << flagBits
	}
	if d.f.CarriesNone {
		flags |= flagCarriesNone
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

// appendMembers appends the member count and the addresses.
func appendMembers(b []byte, members []netip.Addr) []byte {
	countIndex := len(b)
	b = append(b, 0)
	for _, m := range members {
		if m.Is4() && b[countIndex] < MaxMembers {
			a4 := m.As4()
			b = append(b, a4[:]...)
			b[countIndex]++
		}
	}
	return b
}

// appendDelegates appends the delegate count, the addresses and the ages, which are
// rounded up to whole ageUnits and limited to 255 of them.
func appendDelegates(b []byte, delegates []delegator.Candidate) []byte {
	countIndex := len(b)
	b = append(b, 0)
	for _, c := range delegates {
		if c.Address.Is4() && b[countIndex] < delegator.MaxCandidates {
			a4 := c.Address.As4()
			b = append(b, a4[:]...)
			b = append(b, encodeAge(c.Age))
			b[countIndex]++
		}
	}
	return b
}

// encodeAge returns an age in whole units, rounded up and limited to 255 of them.
func encodeAge(age time.Duration) byte { return byte(min((age+ageUnit-1)/ageUnit, 255)) }

// encodeCurrentAge returns an age of at most maxCurrentAge in whole units, rounded up.
func encodeCurrentAge(age time.Duration) byte {
	return byte((age + currentUnit - 1) / currentUnit)
}

// Decode decodes an encoded digest. The error wraps ErrInvalid.
func Decode(b []byte) (Digest, error) {
	if len(b) < fixedBytes || b[0] != formatVersion {
		return Digest{}, fmt.Errorf("digester: message too short or format version not supported: %w", kingcuphook.ErrInvalid)
	}
	f := Fields{
		Version:  int64(binary.BigEndian.Uint64(b[1:])),
		Revision: int64(binary.BigEndian.Uint64(b[9:])),
	}
	f.DataCentre = binary.BigEndian.Uint32(b[17:])
	f.CanFollow = b[21]&flagCanFollow != 0
	if age := b[21] >> flagBits; age > 0 {
		f.Current, f.CurrentAge = true, time.Duration(age-1)*currentUnit
	}
	f.CarriesNone = b[21]&flagCarriesNone != 0
	b = b[22:]
	n := int(b[0])
	b = b[1:]
	if n > MaxMembers || len(b) < n*memberBytes+1 {
		return Digest{}, fmt.Errorf("digester: member count %d exceeds the limit or the message: %w", n, kingcuphook.ErrInvalid)
	}
	for range n {
		f.Members = append(f.Members, netip.AddrFrom4([4]byte(b)))
		b = b[memberBytes:]
	}
	n = int(b[0])
	b = b[1:]
	if n > delegator.MaxCandidates || len(b) < n*delegateBytes+1 {
		return Digest{}, fmt.Errorf("digester: delegate count %d exceeds the limit or the message: %w", n, kingcuphook.ErrInvalid)
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
		return Digest{}, fmt.Errorf("digester: section of leaving upstreams with %d bytes exceeds the limit or the message: %w", n, kingcuphook.ErrInvalid)
	}
	f.Leaving, b = b[:n], b[n:]
	f.Suspects = b
	return Digest{f: f}, nil
}
