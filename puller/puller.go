// Package puller transfers the contents of the store between processes of package
// attacher over HTTP, for those that don't watch the store themselves.
package puller

import (
	"cmp"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Path is the path of the HTTP endpoint.
const Path = "/store"

const (
	// paramRevision is the revision that the client already has; paramWait is how many
	// milliseconds the server may wait for a newer one.
	paramRevision = "after-revision"
	paramWait     = "wait-ms"
	// pullTimeout bounds the time of a pull beyond its wait. fullTimeout replaces it
	// for full exports (from revision 0), which many processes may request from the same
	// peer when a fleet starts.
	pullTimeout = 700 * time.Millisecond
	fullTimeout = 6 * time.Second
	// compressMinBytes is the size from which on an export is compressed.
	compressMinBytes = 64 << 10
	// maxWait bounds the wait of a pull.
	maxWait = 10 * time.Second
	// maxExportBytes bounds the size of an export; the rest of a longer one is not read.
	maxExportBytes = 16 << 20
)

// Handler serves the pulls of peers.
type Handler struct {
	// Export returns the encoded changes after the given revision. If there are none, it
	// waits for them up to the given time. Its error wraps ErrNotFound if there are still
	// none, and ErrUnavailable if this process has no connection to the store.
	Export func(ctx context.Context, revision int64, wait time.Duration) ([]byte, error)
	// WriteTimeout bounds how long an export is written; 0 means 6 s, after which its peer has given up.
	WriteTimeout time.Duration
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.URL.Query().Get(paramRevision), 10, 64)
	if err != nil {
		http.Error(w, "the revision is not a number", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.URL.Query().Get(paramWait), 10, 64)
	if err != nil || wait < 0 {
		http.Error(w, "the wait is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	payload, err := h.Export(r.Context(), revision, min(time.Duration(wait)*time.Millisecond, maxWait))
	switch {
	case errors.Is(err, kingcuphook.ErrNotFound):
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, kingcuphook.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		// A peer that is paused reads nothing, and its connection stays open.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(cmp.Or(h.WriteTimeout, fullTimeout)))
		write(w, payload)
	}
}

// write writes an export, compressed if it is large. Write errors are ignored: the peer
// has disconnected.
func write(w http.ResponseWriter, payload []byte) {
	if len(payload) < compressMinBytes {
		_, _ = w.Write(payload)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = z.Write(payload)
	_ = z.Close()
}

// Puller pulls changes from peers. It is safe for concurrent use.
type Puller struct {
	// Client sends the requests; its zero value is ready for use.
	Client http.Client
}

// Pull returns the encoded changes after the given revision from the peer at address. If
// there are none, the peer waits for them up to the given time. The error wraps
// ErrNotFound if there are still none, and ErrUnavailable if the peer can't be reached or
// has no connection to the store.
func (p *Puller) Pull(ctx context.Context, address string, revision int64, wait time.Duration) ([]byte, error) {
	timeout := pullTimeout
	if revision == 0 {
		timeout = fullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	target := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, Path, paramRevision, revision, paramWait, wait.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("puller: %w: %w", kingcuphook.ErrInvalid, err)
	}
	resp, err := p.Client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("puller: %w: %w", kingcuphook.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		payload, err := io.ReadAll(io.LimitReader(resp.Body, maxExportBytes))
		if err != nil {
			return nil, fmt.Errorf("puller: %w: %w", kingcuphook.ErrUnavailable, err)
		}
		return payload, nil
	case http.StatusNoContent:
		return nil, fmt.Errorf("puller: peer %s has no newer revision: %w", address, kingcuphook.ErrNotFound)
	default:
		return nil, fmt.Errorf("puller: peer %s replied with status %d: %w", address, resp.StatusCode, kingcuphook.ErrUnavailable)
	}
}
