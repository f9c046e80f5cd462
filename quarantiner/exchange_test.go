package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestImportedSuspectDoesNotEndQuarantine records a crash of a request on a router that
// hasn't received yet that a peer has quarantined the request. After an exchange both
// must have it quarantined.
func TestImportedSuspectDoesNotEndQuarantine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const fingerprint = 7
	var a, b Quarantiner
	a.RecordCrash(now, fingerprint, "u1")
	a.RecordCrash(now.Add(time.Second), fingerprint, "u2")
	now = now.Add(time.Minute / 2)
	is.Equal(a.Check(now, fingerprint), VerdictQuarantined)
	now = now.Add(time.Second)
	b.RecordCrash(now, fingerprint, "u3")

	is.NoErr(a.Import(now, b.Export(now, 512)))
	is.Equal(a.Check(now, fingerprint), VerdictQuarantined)
	is.NoErr(b.Import(now, a.Export(now, 512)))
	is.Equal(b.Check(now, fingerprint), VerdictQuarantined)
}

// TestLiftOverridesOlderImportedQuarantine imports an export from before a lift, as it
// can arrive late from a peer. It must not restore the quarantine.
func TestLiftOverridesOlderImportedQuarantine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const fingerprint = 7
	var a Quarantiner
	a.RecordCrash(now, fingerprint, "u1")
	a.RecordCrash(now.Add(time.Second), fingerprint, "u2")
	now = now.Add(time.Minute / 2)
	is.Equal(a.Check(now, fingerprint), VerdictQuarantined)
	old := a.Export(now, 512)
	now = now.Add(time.Second)
	is.True(a.Lift(now, fingerprint))
	is.NoErr(a.Import(now, old))
	is.Equal(a.Check(now, fingerprint), VerdictClear)
}
