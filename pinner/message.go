package pinner

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Kind is the type of a message, its first byte.
type Kind byte

// Values of Kind. They differ from the first bytes of the messages of other packages that
// arrive on the same socket.
const (
	// KindQuery asks for the origins of streams.
	KindQuery Kind = 0x41
	// KindAnswer answers a KindQuery.
	KindAnswer Kind = 0x42
)

const (
	// MaxKeys bounds the streams in a message.
	MaxKeys = 64
	// keyBytes, markBytes and ageBytes are the lengths of the parts of a report.
	keyBytes    = 8
	markBytes   = 8
	ageBytes    = 2
	reportBytes = keyBytes + markBytes + ageBytes
	// ageUnit is the unit of ages, which are sent since the clocks of two VMs differ.
	ageUnit = 16 * time.Millisecond
)

// Report is what a router knows of the origin of a stream.
type Report struct {
	// Key identifies the stream, Mark the pool and the version at which it began.
	Key, Mark uint64
	// Age is the time since it began.
	Age time.Duration
}

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool {
	return len(b) > 0 && (Kind(b[0]) == KindQuery || Kind(b[0]) == KindAnswer)
}

// EncodeQuery encodes a query for at most MaxKeys streams.
func EncodeQuery(keys []uint64) []byte {
	b := []byte{byte(KindQuery)}
	for _, key := range keys {
		b = binary.BigEndian.AppendUint64(b, key)
	}
	return b
}

// EncodeAnswer encodes an answer with at most MaxKeys reports.
func EncodeAnswer(reports []Report) []byte {
	b := []byte{byte(KindAnswer)}
	for _, r := range reports {
		b = binary.BigEndian.AppendUint64(b, r.Key)
		b = binary.BigEndian.AppendUint64(b, r.Mark)
		b = binary.BigEndian.AppendUint16(b, encodeAge(r.Age))
	}
	return b
}

// Decode decodes a message: the keys of a query or the reports of an answer. The error wraps
// kingcuphook.ErrInvalid.
func Decode(b []byte) (keys []uint64, reports []Report, err error) {
	if !IsMessage(b) {
		return nil, nil, fmt.Errorf("pinner: not a message: %w", kingcuphook.ErrInvalid)
	}
	kind, b := Kind(b[0]), b[1:]
	size := keyBytes
	if kind == KindAnswer {
		size = reportBytes
	}
	if len(b) == 0 || len(b)%size != 0 || len(b)/size > MaxKeys {
		return nil, nil, fmt.Errorf("pinner: message with %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	for ; len(b) > 0; b = b[size:] {
		if kind == KindQuery {
			keys = append(keys, binary.BigEndian.Uint64(b))
			continue
		}
		reports = append(reports, Report{
			Key: binary.BigEndian.Uint64(b), Mark: binary.BigEndian.Uint64(b[keyBytes:]),
			Age: decodeAge(binary.BigEndian.Uint16(b[keyBytes+markBytes:])),
		})
	}
	return keys, reports, nil
}

func encodeAge(age time.Duration) uint16 {
	return uint16(min(max(age/ageUnit, 0), math.MaxUint16))
}

func decodeAge(n uint16) time.Duration { return time.Duration(n) * ageUnit }
