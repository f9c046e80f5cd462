package permitter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Kind is the type of a message, its first byte.
type Kind byte

// Values of Kind. They differ from the first bytes of the messages of packages digester and
// gatherer, which arrive on the same socket.
const (
	// KindRequest asks for permits.
	KindRequest Kind = 0x31
	// KindReply answers a KindRequest.
	KindReply Kind = 0x32
)

const (
	// headerBytes is the length of the header: kind, sequence number and flags.
	headerBytes = 1 + 2 + 1
	// requestEntryBytes is the length of an entry of a request: key, limit, age of the
	// last announcement, age of the latest request without one, tier and flag, number of
	// permits wanted and returned.
	requestEntryBytes = 8 + 4 + 2 + 2 + 1 + 1 + 1
	// replyEntryBytes is the length of an entry of a reply: key, number of permits, flags,
	// time to wait and time until the next request.
	replyEntryBytes = 8 + 1 + 1 + 2 + 2
	// maxEntries bounds the entries of a message.
	maxEntries = 40
	// datagramBytes is the length of the headers of a datagram, for the budget.
	datagramBytes = 28

	// noAge is the encoded age of something that did not happen. Longer ages than maxAge
	// count as maxAge.
	noAge  = math.MaxUint16
	maxAge = (noAge - 1) * time.Millisecond

	// flagDeclined is the flag of a reply of a router that issues no permits.
	flagDeclined = 1
	// flagSpare is the flag beside the tier of an entry that asks for a spare permit.
	flagSpare = 0x80
	// flagEnded is the flag of an entry whose limit has ended, flagSurplus that of one
	// whose permits were issued from a full bucket.
	flagEnded   = 1
	flagSurplus = 2
)

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool {
	return len(b) > 0 && (Kind(b[0]) == KindRequest || Kind(b[0]) == KindReply) || isPlaceMessage(b)
}

// Message is a message to another router.
type Message struct {
	To      string
	Payload []byte
}

// requestEntry asks for permits for one upstream.
type requestEntry struct {
	key      uint64
	evidence evidence
	tier     kingcuphook.Tier
	wanted   int
	unused   int
	// spare means that the permit is to be issued only if no request needs it.
	spare bool
}

// replyEntry answers a requestEntry.
type replyEntry struct {
	key    uint64
	issued int
	// surplus means that the permits were issued from a full bucket.
	surplus bool
	ended   bool
	// wait is after which time a permit can be expected, retry after which time the issuer
	// may be asked again, if none were issued.
	wait, retry time.Duration
}

func newHeader(k Kind, sequence uint16, flags byte) []byte {
	b := []byte{byte(k)}
	b = binary.BigEndian.AppendUint16(b, sequence)
	return append(b, flags)
}

func (e requestEntry) append(b []byte, now time.Time) []byte {
	b = binary.BigEndian.AppendUint64(b, e.key)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(e.evidence.perSecond)))
	b = appendAge(b, now, e.evidence.announcedAt)
	b = appendAge(b, now, e.evidence.unlimitedSentAt)
	tier := byte(e.tier)
	if e.spare {
		tier |= flagSpare
	}
	return append(b, tier, byte(e.wanted), byte(e.unused))
}

// appendAge appends the time since at in milliseconds, or noAge if at is zero.
func appendAge(b []byte, now, at time.Time) []byte {
	age := uint16(noAge)
	if !at.IsZero() {
		age = uint16(min(max(now.Sub(at), 0), maxAge).Milliseconds())
	}
	return binary.BigEndian.AppendUint16(b, age)
}

func (e replyEntry) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, e.key)
	flags := byte(0)
	if e.ended {
		flags |= flagEnded
	}
	if e.surplus {
		flags |= flagSurplus
	}
	b = append(b, byte(e.issued), flags)
	b = binary.BigEndian.AppendUint16(b, uint16(min(e.wait, maxAge).Milliseconds()))
	return binary.BigEndian.AppendUint16(b, uint16(min(e.retry, maxAge).Milliseconds()))
}

// decodeHeader returns the sequence number and the flags of a message, and its entries of
// the given length. The error wraps ErrInvalid.
func decodeHeader(b []byte, entryBytes int) (sequence uint16, flags byte, entries []byte, err error) {
	if len(b) < headerBytes || (len(b)-headerBytes)%entryBytes != 0 || (len(b)-headerBytes)/entryBytes > maxEntries {
		return 0, 0, nil, fmt.Errorf("permitter: message of %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	return binary.BigEndian.Uint16(b[1:]), b[3], b[headerBytes:], nil
}

// decodeRequestEntry decodes the entry at the start of b. The error wraps ErrInvalid.
func decodeRequestEntry(b []byte, now time.Time) (requestEntry, error) {
	e := requestEntry{
		key: binary.BigEndian.Uint64(b),
		evidence: evidence{
			perSecond:       float64(math.Float32frombits(binary.BigEndian.Uint32(b[8:]))),
			announcedAt:     decodeAge(b[12:], now),
			unlimitedSentAt: decodeAge(b[14:], now),
		},
		tier:   kingcuphook.Tier(b[16] &^ flagSpare),
		spare:  b[16]&flagSpare != 0,
		wanted: int(b[17]),
		unused: int(b[18]),
	}
	limit := e.evidence.perSecond
	if math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 || !e.tier.Declarable() {
		return requestEntry{}, fmt.Errorf("permitter: limit %v of tier %d: %w", limit, e.tier, kingcuphook.ErrInvalid)
	}
	return e, nil
}

func decodeAge(b []byte, now time.Time) time.Time {
	age := binary.BigEndian.Uint16(b)
	if age == noAge {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func decodeReplyEntry(b []byte) replyEntry {
	return replyEntry{
		key:     binary.BigEndian.Uint64(b),
		issued:  int(b[8]),
		surplus: b[9]&flagSurplus != 0,
		ended:   b[9]&flagEnded != 0,
		wait:    time.Duration(binary.BigEndian.Uint16(b[10:])) * time.Millisecond,
		retry:   time.Duration(binary.BigEndian.Uint16(b[12:])) * time.Millisecond,
	}
}
