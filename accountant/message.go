package accountant

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Kinds of messages, in their first byte.
const (
	kindReport byte = 0x51
	kindAnswer byte = 0x52
)

const (
	// formatVersion is in each message; messages of other versions are ignored.
	formatVersion = 1
	// maxMessageBytes bounds a datagram.
	maxMessageBytes = 1400
	// headBytes is the length of a report up to its totals.
	headBytes = 46
	// answerBytes is the length of an answer.
	answerBytes = 44
	// maxCountBytes is the longest count in a report: its window, hash and number.
	maxCountBytes = 1 + hashBytes + binary.MaxVarintLen64
)

// IsReport reports whether a datagram is a report.
func IsReport(b []byte) bool { return len(b) > 0 && b[0] == kindReport }

// IsAnswer reports whether a datagram is an answer.
func IsAnswer(b []byte) bool { return len(b) > 0 && b[0] == kindAnswer }

// Count is the number of requests of an organisation in one window, so far.
type Count struct {
	Window int64
	// Organisation is the hash of the name.
	Organisation uint64
	Requests     int64
}

// Report has the counts of one run of a router.
type Report struct {
	// Run identifies the run of the process; Sequence rises with its messages.
	Run      uint64
	Sequence uint32
	// Sent is when the report was sent, by the sender's monotonic clock; it is in the answer as well.
	Sent time.Duration
	// Wall is the sender's wall clock.
	Wall time.Time
	// Length is the length of a window.
	Length time.Duration
	// Current is the sender's current window; 0 if it doesn't know the time of day.
	Current int64
	// Totals has the sum of the counts of each open window; windows without requests are absent.
	Totals map[int64]int64
	// Counts are the counts that have changed or are due. They are sorted by window.
	Counts []Count
}

// Encode returns the report as datagrams. Each has all totals.
func (r Report) Encode() [][]byte {
	rest := r.Counts
	var messages [][]byte
	for {
		b := r.encodeHead(uint32(len(messages)))
		for len(rest) > 0 && len(b)+maxCountBytes <= maxMessageBytes {
			b = append(b, byte(r.Current-rest[0].Window))
			b = appendHash(b, rest[0].Organisation)
			b = binary.AppendUvarint(b, uint64(rest[0].Requests))
			rest = rest[1:]
		}
		messages = append(messages, b)
		if len(rest) == 0 {
			return messages
		}
	}
}

// encodeHead returns the report without counts, with a later sequence number.
func (r Report) encodeHead(later uint32) []byte {
	b := append(make([]byte, 0, maxMessageBytes), kindReport, formatVersion)
	b = binary.BigEndian.AppendUint64(b, r.Run)
	b = binary.BigEndian.AppendUint32(b, r.Sequence+later)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Sent))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Wall.UnixNano()))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Length))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Current))
	b = append(b, byte(len(r.Totals)))
	for _, k := range slices.Sorted(maps.Keys(r.Totals)) {
		b = append(b, byte(r.Current-k))
		b = binary.AppendUvarint(b, uint64(r.Totals[k]))
	}
	return b
}

func appendHash(b []byte, hash uint64) []byte {
	return append(b, binary.BigEndian.AppendUint64(nil, hash)[8-hashBytes:]...)
}

// DecodeReport decodes a report. Errors wrap kingcuphook.ErrInvalid.
func DecodeReport(b []byte) (Report, error) {
	if len(b) <= headBytes || len(b) > maxMessageBytes || b[0] != kindReport || b[1] != formatVersion {
		return Report{}, invalid("report")
	}
	r := Report{
		Run:      binary.BigEndian.Uint64(b[2:]),
		Sequence: binary.BigEndian.Uint32(b[10:]),
		Sent:     time.Duration(binary.BigEndian.Uint64(b[14:])),
		Wall:     time.Unix(0, int64(binary.BigEndian.Uint64(b[22:]))),
		Length:   time.Duration(binary.BigEndian.Uint64(b[30:])),
		Current:  int64(binary.BigEndian.Uint64(b[38:])),
		Totals:   make(map[int64]int64),
	}
	totals := int(b[headBytes])
	b = b[headBytes+1:]
	for range totals {
		c, rest, ok := r.decodeCount(b, 0)
		if !ok {
			return Report{}, invalid("totals of a report")
		}
		r.Totals[c.Window], b = c.Requests, rest
	}
	for len(b) > 0 {
		c, rest, ok := r.decodeCount(b, hashBytes)
		if !ok {
			return Report{}, invalid("counts of a report")
		}
		r.Counts, b = append(r.Counts, c), rest
	}
	return r, nil
}

// decodeCount decodes a count with a hash of the given length from the start of b, and returns the
// rest of b.
func (r Report) decodeCount(b []byte, hashLength int) (c Count, rest []byte, ok bool) {
	if len(b) < 1+hashLength || b[0] >= MaxWindows {
		return Count{}, nil, false
	}
	c.Window = r.Current - int64(b[0])
	for _, v := range b[1 : 1+hashLength] {
		c.Organisation = c.Organisation<<8 | uint64(v)
	}
	n, length := binary.Uvarint(b[1+hashLength:])
	if length <= 0 || n > maxRequests {
		return Count{}, nil, false
	}
	c.Requests = int64(n)
	return c, b[1+hashLength+length:], true
}

// maxRequests bounds a count, so that sums don't overflow.
const maxRequests = 1 << 40

// Answer is the answer to a report.
type Answer struct {
	// Sent is that of the report.
	Sent time.Duration
	// Fixed is the last window that is known to be fixed; 0 for none.
	Fixed int64
	// Time is the estimate of the time of day, from a number of wall clocks.
	Time   time.Time
	Clocks int
	// Holder is the router that reports the windows; invalid if not known.
	Holder netip.Addr
}

// Encode returns the answer as a datagram.
func (a Answer) Encode() []byte {
	b := append(make([]byte, 0, answerBytes), kindAnswer, formatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(a.Sent))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Fixed))
	b = binary.BigEndian.AppendUint64(b, uint64(a.Time.UnixNano()))
	b = binary.BigEndian.AppendUint16(b, uint16(min(a.Clocks, maxRuns)))
	holder := netip.IPv6Unspecified()
	if a.Holder.IsValid() {
		holder = a.Holder
	}
	ip := holder.As16()
	return append(b, ip[:]...)
}

// DecodeAnswer decodes an answer. Errors wrap kingcuphook.ErrInvalid.
func DecodeAnswer(b []byte) (Answer, error) {
	if len(b) != answerBytes || b[0] != kindAnswer || b[1] != formatVersion {
		return Answer{}, invalid("answer")
	}
	a := Answer{
		Sent:   time.Duration(binary.BigEndian.Uint64(b[2:])),
		Fixed:  int64(binary.BigEndian.Uint64(b[10:])),
		Time:   time.Unix(0, int64(binary.BigEndian.Uint64(b[18:]))),
		Clocks: int(binary.BigEndian.Uint16(b[26:])),
	}
	if holder := netip.AddrFrom16([16]byte(b[28:])).Unmap(); !holder.IsUnspecified() {
		a.Holder = holder
	}
	return a, nil
}

func invalid(what string) error {
	return fmt.Errorf("accountant: decode %s: %w", what, kingcuphook.ErrInvalid)
}
