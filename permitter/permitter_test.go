package permitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func program(instance string) kingcuphook.Program {
	return kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "10.0.0.1:80", Instance: instance}).Program()
}

// Another instance at the address of a limited upstream has no limit.
func TestLimitHoldsForOneProgram(t *testing.T) {
	is := is.New(t)
	p := &Permitter{Self: "10.1.0.1"}
	now := time.Now()
	p.Observe(now, program("i-1"), kingcuphook.NewRateLimit(4), now)
	is.True(!p.Acquire(now, program("i-1"), 1))
	is.True(p.Acquire(now, program("i-2"), 1))
	is.Equal(p.Sum(), 4.0)
}
