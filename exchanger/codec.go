package exchanger

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/peerpb"
	"github.com/kingcuphook/kingcuphook/gossiper"
)

// stateBits is the number of low bits of a stamp that hold the state; the others
// hold the incarnation.
const stateBits = 2

// Encode encodes a digest. The error wraps ErrInvalid for a digest that exceeds a
// limit or holds an invalid value, and ErrTooLarge if the encoding exceeds
// gossiper.MaxDigestBytes.
func Encode(d *gossiper.Digest) ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("exchanger: %w", err)
	}
	sender, err := encodeEntry(d.Sender)
	if err != nil {
		return nil, err
	}
	m := &peerpb.Digest{
		Sender:       sender,
		Revision:     d.Revision,
		Checksum:     d.Checksum,
		OwnPressure:  d.OwnPressure[:],
		Changes:      d.Changes,
		ChangesAfter: d.ChangesAfter,
		Joining:      d.Joining,
	}
	if d.After != "" {
		if m.After, err = encodeAddress(d.After); err != nil {
			return nil, err
		}
	}
	for _, e := range d.Members {
		pe, err := encodeEntry(e)
		if err != nil {
			return nil, err
		}
		m.Members = append(m.Members, pe)
	}
	encodeSections(m, d)
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("exchanger: encode digest: %w", err)
	}
	if len(b) > gossiper.MaxDigestBytes {
		return nil, fmt.Errorf("exchanger: digest of %d bytes: %w", len(b), kingcuphook.ErrTooLarge)
	}
	return b, nil
}

func encodeSections(m *peerpb.Digest, d *gossiper.Digest) {
	for _, l := range d.Locations {
		m.Locations = append(m.Locations, &peerpb.Location{Region: l.Region, DataCentre: l.DataCentre})
	}
	for _, p := range d.Pressures {
		m.Pressures = append(m.Pressures, &peerpb.Pressure{Region: p.Region, Tiers: p.Tiers[:], AgeSeconds: seconds(p.Age)})
	}
	m.Suspects = d.Suspects
	m.Parts = d.Parts
	for _, r := range d.Rates {
		m.Rates = append(m.Rates, &peerpb.Rate{Key: r.Key, Rate: float32(r.Rate)})
	}
}

func encodeEntry(e gossiper.Entry) (*peerpb.Member, error) {
	a, err := encodeAddress(e.Address)
	if err != nil {
		return nil, err
	}
	return &peerpb.Member{
		Address:  a,
		Location: e.Location,
		Stamp:    e.Incarnation<<stateBits | uint64(e.State.Rank()),
	}, nil
}

func encodeAddress(address string) ([]byte, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, invalid("address %q", address)
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil, invalid("address %q", address)
	}
	return b, nil
}

// Decode decodes the digest in b. The error wraps ErrTooLarge if b exceeds
// gossiper.MaxDigestBytes, and otherwise ErrInvalid.
func Decode(b []byte) (*gossiper.Digest, error) {
	if len(b) > gossiper.MaxDigestBytes {
		return nil, fmt.Errorf("exchanger: digest of %d bytes: %w", len(b), kingcuphook.ErrTooLarge)
	}
	m := &peerpb.Digest{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, invalid("%v", err)
	}
	sender, err := decodeEntry(m.GetSender())
	if err != nil {
		return nil, err
	}
	d := &gossiper.Digest{
		Sender:       sender,
		Revision:     m.GetRevision(),
		Checksum:     m.GetChecksum(),
		Changes:      m.GetChanges(),
		ChangesAfter: m.GetChangesAfter(),
		Joining:      m.GetJoining(),
	}
	if len(m.GetAfter()) > 0 {
		if d.After, err = decodeAddress(m.GetAfter()); err != nil {
			return nil, err
		}
	}
	for _, pe := range m.GetMembers() {
		e, err := decodeEntry(pe)
		if err != nil {
			return nil, err
		}
		d.Members = append(d.Members, e)
	}
	if err := decodeSections(d, m); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("exchanger: %w", err)
	}
	return d, nil
}

func decodeSections(d *gossiper.Digest, m *peerpb.Digest) error {
	if err := decodeTiers(&d.OwnPressure, m.GetOwnPressure()); err != nil {
		return err
	}
	for _, l := range m.GetLocations() {
		d.Locations = append(d.Locations, gossiper.Location{Region: l.GetRegion(), DataCentre: l.GetDataCentre()})
	}
	for _, p := range m.GetPressures() {
		dp := gossiper.Pressure{Region: p.GetRegion(), Age: time.Duration(p.GetAgeSeconds()) * time.Second}
		if err := decodeTiers(&dp.Tiers, p.GetTiers()); err != nil {
			return err
		}
		d.Pressures = append(d.Pressures, dp)
	}
	d.Suspects = m.GetSuspects()
	d.Parts = m.GetParts()
	for _, r := range m.GetRates() {
		d.Rates = append(d.Rates, gossiper.Rate{Key: r.GetKey(), Rate: float64(r.GetRate())})
	}
	return nil
}

func decodeTiers(tiers *[kingcuphook.DeclaredTierCount]uint8, b []byte) error {
	if len(b) != 0 && len(b) != kingcuphook.DeclaredTierCount {
		return invalid("unexpected number of tiers: %d", len(b))
	}
	copy(tiers[:], b)
	return nil
}

func decodeEntry(m *peerpb.Member) (gossiper.Entry, error) {
	a, err := decodeAddress(m.GetAddress())
	if err != nil {
		return gossiper.Entry{}, err
	}
	states := gossiper.States()
	return gossiper.Entry{
		Address:     a,
		Location:    m.GetLocation(),
		Incarnation: m.GetStamp() >> stateBits,
		State:       states[m.GetStamp()%uint64(len(states))],
	}, nil
}

func decodeAddress(b []byte) (string, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		return "", invalid("cannot decode address of %d bytes", len(b))
	}
	return a.String(), nil
}

// seconds returns d in seconds, rounded up.
func seconds(d time.Duration) uint32 {
	return uint32((d + time.Second - 1) / time.Second)
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("exchanger: digest: %s: %w", fmt.Sprintf(format, args...), kingcuphook.ErrInvalid)
}
