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
	hashBytes   = 16
	nonceBytes  = 12
	recordBytes = hashBytes + nonceBytes + 8 + 8
	sealedBytes = 8 + 8
	headerBytes = 4 + 4
)

// magic starts every encoded ledger and names its version.
const magic = "kcl1"

// Hash identifies an idempotency key of one organisation.
type Hash [hashBytes]byte

// HashOf returns the hash of a key. The same key of two organisations gives two
// hashes.
func HashOf(organisation, key string) Hash {
	b := binary.AppendUvarint(nil, uint64(len(organisation)))
	b = append(b, organisation...)
	sum := sha256.Sum256(append(b, key...))
	return Hash(sum[:hashBytes])
}

// Nonce identifies one claim: 8 bytes of the process that made it, 4 bytes of
// its counter.
type Nonce [nonceBytes]byte

// newNonce returns the nonce of a claim number of a process.
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
	made        time.Time
	fingerprint uint64
}

// Nonce returns the nonce of the claim.
func (r Record) Nonce() Nonce { return r.nonce }

// Made returns when the claim was made, to the millisecond.
func (r Record) Made() time.Time { return r.made }

// Fingerprint returns the hash of the body of the claimed request.
func (r Record) Fingerprint() uint64 { return r.fingerprint }

// sealed names a full segment.
type sealed struct {
	// number is the revision that the head had when it was sealed.
	number int64
	// last is when the last claim of the segment was made.
	last time.Time
}

// Ledger is the value of one key of claims: the head of a shard, or a sealed
// segment of it, which names no segments. It is changed by its one user only.
type Ledger struct {
	// segments are in the order in which they were sealed.
	segments []sealed
	// records are in the order in which they were made; a later record of the
	// same hash replaces an earlier one.
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

// Last returns when the last claim was made; zero without claims.
func (l *Ledger) Last() time.Time {
	if len(l.records) == 0 {
		return time.Time{}
	}
	return l.records[len(l.records)-1].made
}

// add appends a claim; its time is never before that of an earlier one.
func (l *Ledger) add(h Hash, n Nonce, now time.Time, fingerprint uint64) Record {
	made := now.Truncate(time.Millisecond)
	if last := l.Last(); last.After(made) {
		made = last
	}
	r := Record{hash: h, nonce: n, made: made, fingerprint: fingerprint}
	l.records = append(l.records, r)
	return r
}

// sealAs moves every claim to a segment of the given number and drops the
// segments whose last claim is older than oldest.
func (l *Ledger) sealAs(number int64, oldest time.Time) {
	last := l.Last()
	l.segments = slices.DeleteFunc(l.segments, func(s sealed) bool { return s.last.Before(oldest) })
	l.segments = append(l.segments, sealed{number: number, last: last})
	l.records = nil
}

// clone returns a copy that shares nothing.
func (l *Ledger) clone() *Ledger {
	return &Ledger{segments: slices.Clone(l.segments), records: slices.Clone(l.records)}
}

// size returns the length of the encoded form.
func (l *Ledger) size() int {
	return headerBytes + len(l.segments)*sealedBytes + len(l.records)*recordBytes
}

// Encode returns the form that is kept in the store.
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
		b = appendTime(b, r.made)
		b = binary.BigEndian.AppendUint64(b, r.fingerprint)
	}
	return b
}

// Decode returns the ledger of an encoded form, or an error that wraps
// kingcuphook.ErrInvalid.
func Decode(b []byte) (*Ledger, error) {
	if len(b) > kingcuphook.MaxValueBytes || len(b) < headerBytes || !bytes.HasPrefix(b, []byte(magic)) {
		return nil, fmt.Errorf("claimer: not a ledger: %w", kingcuphook.ErrInvalid)
	}
	n := int(binary.BigEndian.Uint32(b[len(magic):]))
	b = b[headerBytes:]
	if n > len(b)/sealedBytes {
		return nil, fmt.Errorf("claimer: %d segments in %d bytes: %w", n, len(b), kingcuphook.ErrInvalid)
	}
	l := &Ledger{}
	if n > 0 {
		l.segments = make([]sealed, 0, n)
	}
	for range n {
		l.segments = append(l.segments, sealed{number: int64(binary.BigEndian.Uint64(b)), last: timeOf(b[8:])})
		b = b[sealedBytes:]
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
		made:        timeOf(times),
		fingerprint: binary.BigEndian.Uint64(times[8:]),
	}
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.BigEndian.AppendUint64(b, uint64(t.UnixMilli()))
}

func timeOf(b []byte) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
}
