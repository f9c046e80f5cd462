package permitter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func program(instance string) kingcuphook.Program {
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "10.0.0.1:80", Instance: instance}).Program()
}

// A reply without a limit to a call that was sent before the limit was announced may be
// older than the announcement, so it must not end the limit.
func TestReplyToEarlierCallDoesNotEndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Permitter{}
		u := program("i-1")
		slow := time.Now()
		time.Sleep(time.Second)
		c, changed := p.Observe(time.Now(), u, kingcuphook.NewRateLimit(4), time.Now())
		is.True(changed)
		is.Equal(c, Change{Kind: ChangeKindBegan, PerSecond: 4})
		_, changed = p.Observe(time.Now(), u, kingcuphook.RateLimit{}, slow)
		is.True(!changed)
		is.Equal(p.Count(), 1)
	})
}

// Another instance at the address of a limited upstream has no limit.
func TestLimitHoldsForOneProgram(t *testing.T) {
	is := is.New(t)
	p := &Permitter{}
	now := time.Now()
	p.Observe(now, program("i-1"), kingcuphook.NewRateLimit(4), now)
	_, changed := p.Observe(now, program("i-2"), kingcuphook.RateLimit{}, now)
	is.True(!changed)
	is.Equal(p.Sum(), 4.0)
}
