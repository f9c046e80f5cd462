package puller

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// serve starts a server with the given export function and returns its address.
func serve(t *testing.T, export func(revision int64) ([]byte, error)) string {
	t.Helper()
	h := &Handler{Export: func(_ context.Context, revision int64, _ time.Duration) ([]byte, error) { return export(revision) }}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// When a fleet starts, many processes request a full export from the same peer, which
// then takes longer than an export of changes may.
func TestFullExportsMayTakeLonger(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(int64) ([]byte, error) {
		time.Sleep(2 * pullTimeout) // as with many requests at once
		return []byte("all"), nil
	})
	p := &Puller{}
	got, err := p.Pull(t.Context(), address, 0, 0)
	is.NoErr(err)
	is.Equal(string(got), "all")
	_, err = p.Pull(t.Context(), address, 7, 0) // an export of changes has the short timeout
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
}

func TestLargeExportsAreCompressed(t *testing.T) {
	is := is.New(t)
	whole := bytes.Repeat([]byte(`{"key":"servers/i-1","value":"e30="},`), 40_000)
	address := serve(t, func(int64) ([]byte, error) { return whole, nil })
	got, err := (&Puller{}).Pull(t.Context(), address, 0, 0)
	is.NoErr(err)
	is.True(bytes.Equal(got, whole))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+Path+"?after-revision=0&wait-ms=0", nil)
	is.NoErr(err)
	r.Header.Set("Accept-Encoding", "gzip") // disables the transparent decompression of the client
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	var wire bytes.Buffer
	_, err = wire.ReadFrom(resp.Body)
	is.NoErr(err)
	is.True(wire.Len() < len(whole)/4)
}

func TestErrorsOfExportReachTheClient(t *testing.T) {
	is := is.New(t)
	for want, err := range map[error]error{
		kingcuphook.ErrNotFound:    kingcuphook.ErrNotFound,
		kingcuphook.ErrUnavailable: kingcuphook.ErrUnavailable,
	} {
		address := serve(t, func(int64) ([]byte, error) { return nil, err })
		_, got := (&Puller{}).Pull(t.Context(), address, 7, 0)
		is.True(errors.Is(got, want))
	}
}

// Exports that paused peers did not read were kept in memory for as long as their connections were open.
func TestExportThatNobodyReadsEnds(t *testing.T) {
	is := is.New(t)
	whole := make([]byte, maxExportBytes)
	_, err := rand.Read(whole) // can't be compressed
	is.NoErr(err)
	h := &Handler{WriteTimeout: 100 * time.Millisecond, Export: func(context.Context, int64, time.Duration) ([]byte, error) { return whole, nil }}
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "GET %s?%s=0&%s=0 HTTP/1.1\r\nHost: a\r\n\r\n", Path, paramRevision, paramWait)
	is.NoErr(err)
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Error("the export is still being written")
		is.NoErr(c.Close())
	}
}
