package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// A planned stop waited for open requests without end, and took such as could not end before the process was killed.
func TestPlannedStopEndsWithinItsGraceTime(t *testing.T) {
	is := is.New(t)
	store := &storer.Store{}
	platform := servePlatform(t, store)
	reached := make(chan struct{}, 2)
	upstream := &responder.Upstream{}
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != responder.PathChat {
			upstream.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		reached <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { silent.CloseClientConnections(); silent.Close() })
	applyTables(t, store, benchmarkRoutes, enginePool+fmt.Sprintf(engine, silent.Listener.Addr().String()))
	r := listen(t, platform, 1)
	r.Settings.Stop = configurer.Stop{DrainDelay: configurer.Duration(500 * time.Millisecond), Grace: configurer.Duration(time.Second)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	for !r.Ready() {
		time.Sleep(time.Millisecond)
	}
	open := make(chan int, 1)
	go func() { open <- chat(r, "before") }()
	<-reached
	began := time.Now()
	stop()
	for r.Ready() {
		time.Sleep(time.Millisecond)
	}
	is.Equal(chat(r, "during"), http.StatusServiceUnavailable) // nothing is known of how long it takes
	is.Equal(<-open, http.StatusBadGateway)
	is.NoErr(<-ended)
	is.True(time.Since(began) < 3*time.Second)
	is.Equal(len(reached), 0)
}
