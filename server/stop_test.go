package server

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forecaster"
)

// A planned stop took requests that the kill of the process then cut, and waited for open ones without end.
func TestStopRefusesLateRequestsAndEndsOpenOnes(t *testing.T) {
	is := is.New(t)
	var end atomic.Pointer[time.Time]
	end.Store(&time.Time{})
	dispatched := make(chan struct{}, 1)
	s, url := serve(t, fakeDispatcher(func(ctx context.Context, _ *kingcuphook.Call, _ kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		dispatched <- struct{}{}
		<-ctx.Done()
		return kingcuphook.Outcome{}, &kingcuphook.RequestError{Code: kingcuphook.CodeStopping, Ran: kingcuphook.RunStateUnknown, Err: context.Cause(ctx)}
	}), Limits{}, func(s *Server) { s.StopTimes = func() (late, stop time.Time) { return *end.Load(), *end.Load() } })
	late := time.Now().Add(30 * time.Second)
	end.Store(&late)
	status, body, header := send(t, url+PathChat, "{}", HeaderClass, "till") // unknown, and its deadline is a minute
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(strings.Contains(body, `"code":"stopping"`) && strings.Contains(body, `"ran":"not-run"`))
	for range 20 {
		s.stopCalls().Observe(time.Now(), forecaster.Call{Route: "till"}, time.Second)
	}
	go func() { <-dispatched; s.EndCalls() }()
	status, body, _ = send(t, url+PathChat, "{}", HeaderClass, "till") // known to be short
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"code":"stopping"`))
}
