package quarantiner

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// quarantined returns a router on which a body is quarantined, and the record of it.
func quarantined(is *is.I) (*Quarantiner, Record) {
	var q Quarantiner
	q.RecordCrash(start, crashing, "u1")
	q.RecordCrash(start, crashing, "u2")
	list := q.Records(after(defaultSettleTime))
	is.Equal(len(list), 1)
	b, err := list[0].Encode()
	is.NoErr(err)
	record, err := DecodeRecord(b)
	is.NoErr(err)
	return &q, record
}

// The quarantine of a body ended with the routers.
func TestRecordQuarantinesBodyUntilItExpires(t *testing.T) {
	is := is.New(t)
	_, record := quarantined(is)
	var next Quarantiner
	now := after(3 * time.Second)
	next.Apply(now, record)
	is.Equal(next.Check(now, crashing), VerdictQuarantined)
	is.True(!next.Records(now)[0].Replaces(record))
	now = record.Since.Add(defaultQuarantineTTL)
	is.Equal(next.Check(now, crashing), VerdictQuarantined)
	is.Equal(next.Check(now.Add(1), crashing), VerdictClear)
	next.Apply(now.Add(1), record)
	is.Equal(next.Check(now.Add(1), crashing), VerdictClear)
}

// A record that was read again must not bring back a quarantine that was lifted or withdrawn.
func TestOlderRecordUndoesNoLift(t *testing.T) {
	is := is.New(t)
	now := after(3 * time.Second)
	q, record := quarantined(is)
	is.True(q.Lift(now, crashing))
	q.Apply(now, record)
	is.Equal(q.Check(now, crashing), VerdictClear)
	is.True(q.Records(now)[0].Replaces(record))

	q, record = quarantined(is)
	is.True(!q.IsWithdrawn(record))
	q.Withdraw(now, "u1", now)
	q.Withdraw(now, "u2", now)
	is.True(q.IsWithdrawn(record))
	q.Apply(now, record)
	is.Equal(q.Check(now, crashing), VerdictClear)

	other, record := quarantined(is)
	lift := record
	lift.State = "lifted"
	other.Apply(now, lift)
	is.Equal(other.Check(now, crashing), VerdictClear)
	is.True(!record.Replaces(lift))
}

// An odd record in the store must not become a quarantine or flood the log.
func TestOddRecordIsInvalid(t *testing.T) {
	is := is.New(t)
	valid := `{"body":"ab","state":"quarantined","since":"2026-12-05T00:00:00Z","crashes":[{"upstream":"u1","at":"2026-12-05T00:00:00Z"}]}`
	_, err := DecodeRecord([]byte(valid))
	is.NoErr(err)
	huge := strings.Repeat("x", 1<<20)
	for _, odd := range []string{
		"", "null", "{}", "[]", "\xff", valid + valid, strings.Repeat("[", 100_000),
		strings.Replace(valid, "ab", "0", 1), strings.Replace(valid, "ab", "00ab", 1), strings.Replace(valid, "ab", huge, 1),
		strings.Replace(valid, "quarantined", "cleared", 1), strings.Replace(valid, "quarantined", huge, 1),
		strings.Replace(valid, "u1", "", 1), strings.Replace(valid, "u1", huge, 1), strings.Replace(valid, "crashes", "other", 1),
		strings.Replace(valid, "[{", `[{"upstream":"u2"},{"upstream":"u3"},{`, 1),
	} {
		_, err := DecodeRecord([]byte(odd))
		if !errors.Is(err, kingcuphook.ErrInvalid) || len(err.Error()) > 8*maxErrorBytes {
			t.Errorf("%.80s: %.900v", odd, err)
		}
	}
}
