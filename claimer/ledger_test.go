package claimer

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// TestLedger checks that the newest claim of a hash is found, that the times of claims
// never decrease, that the encoding keeps all, and that sealing drops expired segments.
func TestLedger(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	var l Ledger
	a, b := HashOf("cafe", "a"), HashOf("cafe", "b")
	is.True(HashOf("cafea", "") != a)
	l.add(a, newNonce(7, 1), now, 11)
	l.add(b, newNonce(7, 2), now.Add(-time.Minute), 12) // from a router whose clock is behind
	l.add(a, newNonce(8, 3), now.Add(time.Second), 13)
	r, ok := l.Find(a)
	is.True(ok)
	is.Equal(r.Nonce().process(), uint64(8)) // the newest
	is.Equal(r.Nonce().number(), uint32(3))
	is.Equal(r.Fingerprint(), uint64(13))
	r, _ = l.Find(b)
	is.Equal(r.CreatedAt(), now) // never before the previous claim

	decoded, err := Decode(l.Encode())
	is.NoErr(err)
	is.Equal(decoded, &l)
	is.Equal(len(l.Encode()), l.size())

	l.sealAs(5, now)
	is.Equal(l.Len(), 0)
	l.add(b, newNonce(7, 4), now.Add(time.Hour), 1)
	l.sealAs(9, now.Add(time.Minute)) // drops segment 5
	is.Equal(len(l.segments), 1)
	is.Equal(l.segments[0].number, int64(9))
}

// FuzzDecode checks that any bytes are either rejected with ErrInvalid or encoded to the
// same bytes again.
func FuzzDecode(f *testing.F) {
	var l Ledger
	l.add(HashOf("cafe", "a"), newNonce(7, 1), time.UnixMilli(1_000_000), 11)
	f.Add(l.Encode())
	l.sealAs(3, time.UnixMilli(0))
	l.add(HashOf("cafe", "b"), newNonce(7, 2), time.UnixMilli(2_000_000), 12)
	f.Add(l.Encode())
	f.Add([]byte(magic))
	f.Add([]byte(magic + "\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := Decode(b)
		if err != nil {
			if !errors.Is(err, kingcuphook.ErrInvalid) {
				t.Fatal(err)
			}
			return
		}
		if !bytes.Equal(l.Encode(), b) {
			t.Fatal("decoded ledger encodes to different bytes")
		}
	})
}
