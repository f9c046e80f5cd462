package recorder

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func request(id string) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{ID: id})
}

func TestOldestTraceIsReplaced(t *testing.T) {
	is := is.New(t)
	c := &Recorder{Traces: shardCount}
	for i := range 100 {
		c.Begin(request(fmt.Sprint(i)), "route")
	}
	kept := 0
	for i := range 100 {
		if _, ok := c.Trace(fmt.Sprint(i)); ok {
			kept++
		}
	}
	is.True(kept > 0)
	is.True(kept <= shardCount)
}

func TestStepsAreBounded(t *testing.T) {
	is := is.New(t)
	c := &Recorder{}
	r := request("a")
	c.Begin(r, "route")
	for i := range MaxSteps + 5 {
		c.Add(r, Step{Kind: StepStarted, Tokens: i})
	}
	c.End(r, "whole")
	trace, ok := c.Trace("a")
	is.True(ok)
	is.Equal(len(trace.Steps()), MaxSteps)
	is.Equal(trace.Steps()[MaxSteps-1].Tokens, MaxSteps+4)
	is.Equal(trace.Outcome(), "whole")
}

func BenchmarkTrace(b *testing.B) {
	c := &Recorder{}
	r := request("a")
	b.ReportAllocs()
	for b.Loop() {
		c.Begin(r, "route")
		c.Add(r, Step{Kind: StepStarted})
		c.End(r, "whole")
	}
}
