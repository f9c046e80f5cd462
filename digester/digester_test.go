package digester

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/delegator"
	"github.com/kingcuphook/kingcuphook/withdrawer"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fields{
			Version:  rapid.Int64().Draw(t, "version"),
			Revision: rapid.Int64().Draw(t, "revision"),
			Leaving:  rapid.SliceOfN(rapid.Byte(), 0, withdrawer.MaxBytes).Draw(t, "leaving"),
			Suspects: rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "suspects"),
		}
		f.DataCentre = rapid.Uint32().Draw(t, "data-centre")
		f.CanFollow = rapid.Bool().Draw(t, "follows")
		f.Current = rapid.Bool().Draw(t, "current")
		if f.Current {
			f.CurrentAge = time.Duration(rapid.IntRange(0, int(maxCurrentAge/currentUnit)).Draw(t, "current age")) * currentUnit
		}
		f.CarriesNone = rapid.Bool().Draw(t, "carries-none")
		for range rapid.IntRange(0, delegator.MaxCandidates).Draw(t, "delegates") {
			f.Delegates = append(f.Delegates, delegator.Candidate{
				Address: netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "delegate"))),
				Age:     time.Duration(rapid.IntRange(0, 255).Draw(t, "age")) * ageUnit,
			})
		}
		for range rapid.IntRange(0, MaxMembers).Draw(t, "members") {
			f.Members = append(f.Members, netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "member"))))
		}
		b := New(f).Encode()
		if len(b) > MaxBytes {
			t.Fatalf("encoded digest has %d bytes", len(b))
		}
		d, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if d.Version() != f.Version || d.Revision() != f.Revision || len(d.Members()) != len(f.Members) ||
			d.DataCentre() != f.DataCentre || d.CanFollow() != f.CanFollow || d.CarriesNone() != f.CarriesNone || d.f.Current != f.Current || d.f.CurrentAge != f.CurrentAge || !slices.Equal(d.Delegates(), f.Delegates) ||
			string(d.Leaving()) != string(f.Leaving) || string(d.Suspects()) != string(f.Suspects) {
			t.Fatalf("got %+v, want %+v", d, f)
		}
	})
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "message")
		if _, err := Decode(b); err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
			t.Fatal(err)
		}
	})
	is := is.New(t)
	_, err := Decode(nil)
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
}

func TestSuspectsExceedingTheLimitAreOmitted(t *testing.T) {
	is := is.New(t)
	b := New(Fields{Leaving: make([]byte, 8), Suspects: make([]byte, MaxBytes)}).Encode()
	d, err := Decode(b)
	is.NoErr(err)
	is.Equal(len(d.Suspects()), 0)
	is.Equal(len(d.Leaving()), 8)
}
