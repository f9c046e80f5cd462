package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// A planned stop ended at its last request, just when the caller of a stream of before sends its next one.
func TestPlannedStopAnswersNextRequestAfterLongStream(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s, url := serve(t, fakeDispatcher(func(_ context.Context, _ *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		if err := w.WriteData("first"); err != nil {
			return kingcuphook.Outcome{}, err
		}
		<-release
		return kingcuphook.Outcome{}, nil
	}), Limits{})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	post := func() (*http.Response, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+PathChat, strings.NewReader(`{"stream":true}`))
		is.NoErr(err)
		req.Header.Set(HeaderClass, "till")
		return client.Do(req)
	}
	stream, err := post()
	is.NoErr(err)
	defer func() { _ = stream.Body.Close() }()
	s.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	_, err = io.Copy(io.Discard, stream.Body)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	next, err := post()
	is.NoErr(err)
	is.Equal(next.StatusCode, http.StatusOK)
	is.True(next.Close)
	is.NoErr(next.Body.Close())
	is.NoErr(<-stopped)
}
