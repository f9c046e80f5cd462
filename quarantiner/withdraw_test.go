package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router whose own connections were cut took two resets for crashes, and all routers refused
// the sound request.
func TestCrashesOfAnsweringUpstreamsAreWithdrawn(t *testing.T) {
	is := is.New(t)
	var cut, peer, other Quarantiner
	cut.RecordCrash(start, harmless, "u1")
	cut.RecordCrash(start, harmless, "u2")
	held := cut.Export(start, 400)
	now := after(300 * time.Millisecond)
	is.NoErr(peer.Import(now, held))
	is.NoErr(other.Import(now, held))
	peer.RecordAnswer(now, "u1", now.Add(-1)) // sent before the peer knew of the crash
	is.Equal(peer.Check(now, harmless), VerdictHeld)
	now = now.Add(RestartTime)
	peer.RecordAnswer(now, "u1", now) // the next program may have sent it
	is.Equal(peer.Check(now, harmless), VerdictHeld)
	peer.RecordAnswer(now, "u1", after(RestartTime-1))
	peer.RecordAnswer(now, "u2", after(RestartTime-1))
	is.Equal(peer.Check(now, harmless), VerdictClear)
	now = now.Add(time.Second)
	is.Equal(cut.Check(now, harmless), VerdictQuarantined)
	for _, q := range []*Quarantiner{&cut, &other} {
		is.NoErr(q.Import(now, peer.Export(now, 400)))
		is.Equal(q.Check(now, harmless), VerdictClear)
	}
	is.NoErr(peer.Import(now, held)) // a late message
	is.Equal(peer.Check(now, harmless), VerdictClear)
}

// A withdrawn crash must not hide a later one of the same upstream, or of another one.
func TestCrashAfterWithdrawalCounts(t *testing.T) {
	is := is.New(t)
	var q, peer Quarantiner
	q.RecordCrash(start, crashing, "u1")
	q.RecordCrash(after(time.Second), crashing, "u2")
	q.Withdraw(after(time.Second), "u1", after(time.Second/2))
	is.Equal(q.Check(after(3*time.Second), crashing), VerdictSuspect)
	q.RecordCrash(after(3*time.Second), crashing, "u1")
	is.Equal(q.Check(after(3*time.Second), crashing), VerdictHeld)
	is.Equal(q.Check(after(5*time.Second), crashing), VerdictQuarantined)
	is.NoErr(peer.Import(after(5*time.Second), q.Export(after(5*time.Second), 400)))
	is.Equal(peer.Check(after(5*time.Second), crashing), VerdictQuarantined)
}
