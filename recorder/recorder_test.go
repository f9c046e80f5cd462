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

// TestOldestTraceIsReplaced checks that the recorder never keeps more traces than it is
// configured for.
func TestOldestTraceIsReplaced(t *testing.T) {
	is := is.New(t)
	rec := &Recorder{Traces: shardCount}
	for i := range 100 {
		rec.Begin(request(fmt.Sprint(i)), "route")
	}
	kept := 0
	for i := range 100 {
		if _, ok := rec.Trace(fmt.Sprint(i)); ok {
			kept++
		}
	}
	is.True(kept > 0)
	is.True(kept <= shardCount)
}

// TestStepsAreBounded checks that each new step replaces the last one once a trace is
// full.
func TestStepsAreBounded(t *testing.T) {
	is := is.New(t)
	rec := &Recorder{}
	r := request("a")
	rec.Begin(r, "route")
	for i := range MaxSteps + 5 {
		rec.Add(r, Step{Kind: StepStarted, Tokens: i})
	}
	rec.End(r, "whole")
	trace, ok := rec.Trace("a")
	is.True(ok)
	is.Equal(len(trace.Steps()), MaxSteps)
	is.Equal(trace.Steps()[MaxSteps-1].Tokens, MaxSteps+4)
	is.Equal(trace.Outcome(), "whole")
}

// BenchmarkTrace records a request with one step.
func BenchmarkTrace(b *testing.B) {
	rec := &Recorder{}
	r := request("a")
	b.ReportAllocs()
	for b.Loop() {
		rec.Begin(r, "route")
		rec.Add(r, Step{Kind: StepStarted})
		rec.End(r, "whole")
	}
}
