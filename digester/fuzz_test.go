package digester

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/delegator"
)

// Whatever a peer sends, it is rejected or is a digest that encodes to the same message, but for
// unknown flags.
func FuzzDecode(f *testing.F) {
	a := netip.MustParseAddr("10.0.0.1")
	f.Add(New(Fields{
		Version: 1<<63 - 1, Revision: -1, CanFollow: true, Members: []netip.Addr{a},
		Delegates: []delegator.Candidate{{Address: a, Age: time.Hour}}, Leaving: make([]byte, 8), Suspects: []byte("x"),
	}).Encode())
	f.Add([]byte{formatVersion})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			if !errors.Is(err, kingcuphook.ErrInvalid) {
				t.Fatal(err)
			}
			return
		}
		again := d.Encode()
		b[21] &= flagCanFollow
		if len(b) <= MaxBytes && !bytes.Equal(again, b) {
			t.Fatalf("%x became %x", b, again)
		}
	})
}
