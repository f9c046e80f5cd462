package permitter

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Kinds of messages about the places of brittle upstreams.
const (
	// KindState tells the issuer which places a router holds and needs. Without entries it
	// asks whether the issuer is there.
	KindState Kind = 0x33
	// KindGrant answers a KindState, or issues places that it asked for.
	KindGrant Kind = 0x34
	// KindBrittle tells a router which upstreams are brittle.
	KindBrittle Kind = 0x35
)

const (
	// stateEntryBytes is the length of an entry of a KindState: key, slots, tolerated refusals,
	// age of the first and the last announcement and of the latest request without one, places
	// held, refusals, tier, number of places wanted.
	stateEntryBytes = 8 + 2 + 2 + 2 + 2 + 2 + 2 + 1 + 1 + 1
	// grantEntryBytes is the length of an entry of a KindGrant: key, places issued, flags, time
	// to wait.
	grantEntryBytes = 8 + 2 + 1 + 2
	// noticeEntryBytes is the length of an entry of a KindBrittle: key, tolerated refusals, age
	// of the last announcement, flags.
	noticeEntryBytes = 8 + 2 + 2 + 1

	// flagPatient is the flag of a KindState whose sender needs no reply before
	// patientReplyDelay while it waits for places.
	flagPatient = 2
	// flagContended is the flag of an entry for whose places other routers wait.
	flagContended = 4
)

// stateEntry tells the issuer of an upstream's places what a router holds and needs.
type stateEntry struct {
	key              uint64
	slots, tolerated int
	// begunAt is when the router learned that the upstream is brittle, announcedAt when a reply
	// last said so, and absentSentAt when the latest request was sent whose reply did not; the
	// last two may be zero.
	begunAt, announcedAt, absentSentAt time.Time
	held, wanted                       int
	refusals                           uint8
	tier                               kingcuphook.Tier
}

// grantEntry answers a stateEntry.
type grantEntry struct {
	key              uint64
	places           int
	ended, contended bool
	wait             time.Duration
}

// noticeEntry tells a router that an upstream is brittle, or no longer.
type noticeEntry struct {
	key         uint64
	tolerated   int
	announcedAt time.Time
	ended       bool
}

func isPlaceMessage(b []byte) bool {
	return len(b) > 0 && Kind(b[0]) >= KindState && Kind(b[0]) <= KindBrittle
}

func appendCount(b []byte, n int) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), maxPlaces)))
}

// isAnswered reports whether the issuer answers the entry: not if the router neither holds nor
// wants places, and only reports.
func (e stateEntry) isAnswered() bool { return e.held > 0 || e.wanted > 0 }

func (e stateEntry) append(b []byte, now time.Time) []byte {
	b = binary.BigEndian.AppendUint64(b, e.key)
	b = appendCount(appendCount(b, e.slots), e.tolerated)
	b = appendAge(appendAge(appendAge(b, now, e.begunAt), now, e.announcedAt), now, e.absentSentAt)
	return append(appendCount(b, e.held), e.refusals, byte(e.tier), byte(e.wanted))
}

// decodeStateEntry decodes the entry at the start of b. The error wraps ErrInvalid.
func decodeStateEntry(b []byte, now time.Time) (stateEntry, error) {
	e := stateEntry{
		key:          binary.BigEndian.Uint64(b),
		slots:        int(binary.BigEndian.Uint16(b[8:])),
		tolerated:    int(binary.BigEndian.Uint16(b[10:])),
		begunAt:      decodeAge(b[12:], now),
		announcedAt:  decodeAge(b[14:], now),
		absentSentAt: decodeAge(b[16:], now),
		held:         int(binary.BigEndian.Uint16(b[18:])),
		refusals:     b[20],
		tier:         kingcuphook.Tier(b[21]),
		wanted:       int(b[22]),
	}
	if !e.tier.Declarable() || e.held > maxPlaces || e.slots > maxPlaces {
		return stateEntry{}, fmt.Errorf("permitter: %d places of %d slots, tier %d: %w", e.held, e.slots, e.tier, kingcuphook.ErrInvalid)
	}
	return e, nil
}

func (e grantEntry) append(b []byte) []byte {
	b = appendCount(binary.BigEndian.AppendUint64(b, e.key), e.places)
	flags := byte(0)
	if e.ended {
		flags |= flagEnded
	}
	if e.contended {
		flags |= flagContended
	}
	return binary.BigEndian.AppendUint16(append(b, flags), uint16(min(e.wait, maxAge).Milliseconds()))
}

func decodeGrantEntry(b []byte) grantEntry {
	return grantEntry{
		key:       binary.BigEndian.Uint64(b),
		places:    int(binary.BigEndian.Uint16(b[8:])),
		ended:     b[10]&flagEnded != 0,
		contended: b[10]&flagContended != 0,
		wait:      time.Duration(binary.BigEndian.Uint16(b[11:])) * time.Millisecond,
	}
}

func (e noticeEntry) append(b []byte, now time.Time) []byte {
	b = appendAge(appendCount(binary.BigEndian.AppendUint64(b, e.key), e.tolerated), now, e.announcedAt)
	if e.ended {
		return append(b, flagEnded)
	}
	return append(b, 0)
}

func decodeNoticeEntry(b []byte, now time.Time) noticeEntry {
	return noticeEntry{
		key:         binary.BigEndian.Uint64(b),
		tolerated:   int(binary.BigEndian.Uint16(b[8:])),
		announcedAt: decodeAge(b[10:], now),
		ended:       b[12]&flagEnded != 0,
	}
}
