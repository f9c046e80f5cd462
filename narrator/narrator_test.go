package narrator

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// fullAllocator never has a slot.
type fullAllocator struct{}

func (fullAllocator) Acquire(ctx context.Context, _ *kingcuphook.Request, _ []string) (kingcuphook.Slot, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestRequestWithoutUpstreamIsLoggedWithItsCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		a := &Allocator{Next: fullAllocator{}, Log: logger.New(&out, "logfmt", logger.LevelInfo)}
		a.Explain = func(*kingcuphook.Request) []kingcuphook.Candidate {
			return []kingcuphook.Candidate{
				{Upstream: "a:1", Running: 5, MaxRunning: 81, RejectReason: "reserved-for-short-prompts"},
				{Upstream: "b:1", Running: 25, MaxRunning: 4, RejectReason: "too-many-streams"},
			}
		}
		r := kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r", Pool: "p", Class: "summary", Tier: 2})
		ctx, cancel := context.WithTimeout(t.Context(), 450*time.Millisecond)
		defer cancel()
		_, _ = a.Acquire(ctx, r, nil)
		want := `event=KCH1215 message="request not assigned to an upstream in the time that it may wait"`
		if !strings.Contains(out.String(), want) {
			t.Fatalf("log is %q, want %q", &out, want)
		}
		want = `waited-ms=450 upstreams=2 candidates="a:1=5/81:reserved-for-short-prompts,b:1=25/4:too-many-streams"`
		if !strings.Contains(out.String(), want) {
			t.Errorf("log is %q, want %q", &out, want)
		}
	})
}

func TestRequestOfCallerThatLeavesHasNoCandidatesLogged(t *testing.T) {
	var out bytes.Buffer
	a := &Allocator{Next: fullAllocator{}, Log: logger.New(&out, "logfmt", logger.LevelInfo)}
	a.Explain = func(*kingcuphook.Request) []kingcuphook.Candidate { return nil }
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = a.Acquire(ctx, kingcuphook.NewRequest(kingcuphook.RequestFields{ID: "r"}), nil)
	if out.Len() > 0 {
		t.Errorf("log is %q, want none", &out)
	}
}
