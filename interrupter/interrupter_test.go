package interrupter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readBody lets a server read the body of a request that is not sent to its end, and returns the result.
func readBody(t *testing.T, read func(control *http.ResponseController, body io.Reader) error) error {
	t.Helper()
	result := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result <- read(http.NewResponseController(w), r.Body)
	}))
	defer server.Close()
	body, sender := io.Pipe()
	go func() {
		resp, err := http.Post(server.URL, "text/plain", body)
		if err == nil {
			resp.Body.Close()
		}
	}()
	defer func() { _ = sender.Close() }()
	select {
	case err := <-result:
		return err
	case <-time.After(5 * time.Second):
		t.Fatal("the read was not ended")
		return nil
	}
}

// A body that isn't sent to its end would be awaited although the context of the call has ended.
func TestReadEndsWithContext(t *testing.T) {
	is := is.New(t)
	err := readBody(t, func(control *http.ResponseController, body io.Reader) error {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		stop := InterruptAfter(ctx, control)
		_, err := io.ReadAll(body)
		is.True(!stop())
		return err
	})
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// The next read deadline would be replaced if the context ends while the reads are stopped.
func TestDeadlineAfterStopStands(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
		control := http.NewResponseController(w)
		ctx, cancel := context.WithCancel(t.Context())
		stop := InterruptAfter(ctx, control)
		go cancel()
		stop()
		_ = control.SetReadDeadline(time.Time{})
		<-ctx.Done()
		is.True(w.deadline.IsZero())
	}
}

// deadlineWriter records the read deadline. It is not safe for concurrent use.
type deadlineWriter struct {
	http.ResponseWriter

	deadline time.Time
}

// SetReadDeadline implements the method that http.ResponseController calls.
func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}
