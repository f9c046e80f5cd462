package claimer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Sizes of the encoded form, in bytes.
const (
	hashBytes       = 16
	nonceBytes      = 12
	recordBytes     = hashBytes + nonceBytes + 8 + 8
	segmentRefBytes = 8 + 8
	headerBytes     = 4 + 4
)

// magic is the start of every encoded ledger and includes the format version.
const magic = "kcl1"

// Hash identifies an idempotency key of one organisation.
type Hash [hashBytes]byte

// HashOf returns the hash of a key of an organisation. The organisation is length
// prefixed, so the same key of two organisations has different hashes.
func HashOf(organisation, key string) Hash {
	b := binary.AppendUvarint(nil, uint64(len(organisation)))
	b = append(b, organisation...)
	sum := sha256.Sum256(append(b, key...))
	return Hash(sum[:hashBytes])
}

// Nonce identifies one claim: an 8-byte number of the process that made it and the
// 4-byte value of that process's counter.
type Nonce [nonceBytes]byte

// newNonce returns the nonce for a claim number of a process.
func newNonce(process uint64, number uint32) Nonce {
	var n Nonce
	binary.BigEndian.PutUint64(n[:8], process)
	binary.BigEndian.PutUint32(n[8:], number)
	return n
}

func (n Nonce) process() uint64 { return binary.BigEndian.Uint64(n[:8]) }

func (n Nonce) number() uint32 { return binary.BigEndian.Uint32(n[8:]) }

// Record is one claim.
type Record struct {
	hash        Hash
	nonce       Nonce
	createdAt   time.Time
	fingerprint uint64
}

// Nonce returns the nonce of the claim.
func (r Record) Nonce() Nonce { return r.nonce }

// CreatedAt returns when the claim was made, with millisecond precision.
func (r Record) CreatedAt() time.Time { return r.createdAt }

// Fingerprint returns the hash of the body of the claimed request.
func (r Record) Fingerprint() uint64 { return r.fingerprint }

// segmentRef refers to a sealed segment.
type segmentRef struct {
	// number is the revision of the head from which the segment was made.
	number int64
	// last is when the newest claim of the segment was made.
	last time.Time
}

// Ledger is the list of claims in one store key: the head of a shard, or one of its
// sealed segments, which refers to no segments itself. It is not safe for
// concurrent use.
type Ledger struct {
	// segments holds the sealed segments, oldest first.
	segments []segmentRef
	// records holds the claims, oldest first. A later record replaces an earlier one
	// with the same hash.
	records []Record
}

// Find returns the newest claim of a hash.
func (l *Ledger) Find(h Hash) (Record, bool) {
	for _, r := range slices.Backward(l.records) {
		if r.hash == h {
			return r, true
		}
	}
	return Record{}, false
}

// Len returns the number of claims.
func (l *Ledger) Len() int { return len(l.records) }

// Last returns when the newest claim was made; zero if there are none.
func (l *Ledger) Last() time.Time {
	if len(l.records) == 0 {
		return time.Time{}
	}
	return l.records[len(l.records)-1].createdAt
}

// add appends a claim. Its time is never before that of the previous one, even if
// the clocks of routers differ.
func (l *Ledger) add(h Hash, n Nonce, now time.Time, fingerprint uint64) Record {
	createdAt := now.Truncate(time.Millisecond)
	if last := l.Last(); last.After(createdAt) {
		createdAt = last
	}
	r := Record{hash: h, nonce: n, createdAt: createdAt, fingerprint: fingerprint}
	l.records = append(l.records, r)
	return r
}

// sealAs replaces the claims by a reference to the segment of the given number and
// drops the segments whose newest claim is before oldest.
func (l *Ledger) sealAs(number int64, oldest time.Time) {
	last := l.Last()
	l.segments = slices.DeleteFunc(l.segments, func(s segmentRef) bool { return s.last.Before(oldest) })
	l.segments = append(l.segments, segmentRef{number: number, last: last})
	l.records = nil
}

// clone returns a deep copy.
func (l *Ledger) clone() *Ledger {
	return &Ledger{segments: slices.Clone(l.segments), records: slices.Clone(l.records)}
}

// size returns the length of the encoded form.
func (l *Ledger) size() int {
	return headerBytes + len(l.segments)*segmentRefBytes + len(l.records)*recordBytes
}

// Encode returns the binary form, as kept in the store.
func (l *Ledger) Encode() []byte {
	b := make([]byte, 0, l.size())
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(l.segments)))
	for _, s := range l.segments {
		b = binary.BigEndian.AppendUint64(b, uint64(s.number))
		b = appendTime(b, s.last)
	}
	for _, r := range l.records {
		b = append(b, r.hash[:]...)
		b = append(b, r.nonce[:]...)
		b = appendTime(b, r.createdAt)
		b = binary.BigEndian.AppendUint64(b, r.fingerprint)
	}
	return b
}

// Decode parses the binary form. Its errors wrap kingcuphook.ErrInvalid.
func Decode(b []byte) (*Ledger, error) {
	if len(b) > kingcuphook.MaxValueBytes || len(b) < headerBytes || !bytes.HasPrefix(b, []byte(magic)) {
		return nil, fmt.Errorf("claimer: not a ledger: %w", kingcuphook.ErrInvalid)
	}
	n := int(binary.BigEndian.Uint32(b[len(magic):]))
	b = b[headerBytes:]
	if n > len(b)/segmentRefBytes {
		return nil, fmt.Errorf("claimer: %d segments in %d bytes: %w", n, len(b), kingcuphook.ErrInvalid)
	}
	l := &Ledger{}
	if n > 0 {
		l.segments = make([]segmentRef, 0, n)
	}
	for range n {
		l.segments = append(l.segments, segmentRef{number: int64(binary.BigEndian.Uint64(b)), last: timeOf(b[8:])})
		b = b[segmentRefBytes:]
	}
	if len(b)%recordBytes != 0 {
		return nil, fmt.Errorf("claimer: %d bytes over: %w", len(b)%recordBytes, kingcuphook.ErrInvalid)
	}
	if len(b) > 0 {
		l.records = make([]Record, 0, len(b)/recordBytes)
	}
	for ; len(b) > 0; b = b[recordBytes:] {
		l.records = append(l.records, decodeRecord(b))
	}
	return l, nil
}

func decodeRecord(b []byte) Record {
	times := b[hashBytes+nonceBytes:]
	return Record{
		hash:        Hash(b[:hashBytes]),
		nonce:       Nonce(b[hashBytes : hashBytes+nonceBytes]),
		createdAt:   timeOf(times),
		fingerprint: binary.BigEndian.Uint64(times[8:]),
	}
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.BigEndian.AppendUint64(b, uint64(t.UnixMilli()))
}

func timeOf(b []byte) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
}
