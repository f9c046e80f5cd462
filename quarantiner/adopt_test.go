package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspicionOfAPeerEndsNoQuarantine crashes one request on a router that has
// not heard of its quarantine yet.
func TestSuspicionOfAPeerEndsNoQuarantine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const body = 7
	var a, b Quarantiner
	a.Crashed(now, body, "u1")
	a.Crashed(now.Add(time.Second), body, "u2")
	now = now.Add(time.Minute / 2)
	is.Equal(a.Judge(now, body), VerdictQuarantined)
	now = now.Add(time.Second)
	b.Crashed(now, body, "u3")

	is.NoErr(a.Import(now, b.Export(now, 512)))
	is.Equal(a.Judge(now, body), VerdictQuarantined)
	is.NoErr(b.Import(now, a.Export(now, 512)))
	is.Equal(b.Judge(now, body), VerdictQuarantined)
}

// TestLiftHoldsAgainstAnOlderQuarantine lets a quarantine arrive late at a
// router on which it was lifted.
func TestLiftHoldsAgainstAnOlderQuarantine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const body = 7
	var a Quarantiner
	a.Crashed(now, body, "u1")
	a.Crashed(now.Add(time.Second), body, "u2")
	now = now.Add(time.Minute / 2)
	is.Equal(a.Judge(now, body), VerdictQuarantined)
	old := a.Export(now, 512)
	now = now.Add(time.Second)
	is.True(a.Lift(now, body))
	is.NoErr(a.Import(now, old))
	is.Equal(a.Judge(now, body), VerdictClear)
}
