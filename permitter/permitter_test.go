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

// The rate limit of an upstream that left the tables for a moment was forgotten.
func TestReturnedUpstreamKeepsItsRateLimit(t *testing.T) {
	f := newBrittleFleet(t, 1, 0)
	f.run(settleTime)
	p, program := f.routers[0].Permitter, f.upstreams[0].Program()
	p.Observe(f.now, program, kingcuphook.NewRateLimit(1), f.now)
	p.Update(kingcuphook.NewTables(2, nil, nil))
	p.Update(f.tables)
	if !p.State(f.now, program, 1).Limited {
		t.Error("the upstream has no limit any more")
	}
	p.Update(kingcuphook.NewTables(3, nil, nil))
	p.Messages(f.now)
	p.Messages(f.now.Add(absentTTL))
	if len(p.limits) > 0 {
		t.Error("the limit of an upstream that has left is kept")
	}
}
