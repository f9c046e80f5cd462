// Package puller hands what routers know of the store from one to another, for
// those that don't follow it themselves.
package puller

import (
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

// Path is the path of the call.
const Path = "/store"

const (
	// paramRevision is the revision that the caller has, paramWait how many
	// milliseconds the answer may wait for news.
	paramRevision = "after-revision"
	paramWait     = "wait-ms"
	// pullTimeout bounds a pull beyond its wait, wholeTimeout one of everything, which
	// many may ask of the same peer at the start of a fleet.
	pullTimeout  = 700 * time.Millisecond
	wholeTimeout = 6 * time.Second
	// compressFrom is the size from which on an export is compressed.
	compressFrom = 64 << 10
	// maxWait bounds the wait of a pull.
	maxWait = 10 * time.Second
	// maxExportBytes bounds what a peer hands over.
	maxExportBytes = 16 << 20
)

// Handler answers the pulls of peers.
type Handler struct {
	// Export returns what this router knows that is newer than the revision, and
	// waits for it if need be. Its error wraps ErrNotFound if there is nothing, and
	// ErrUnavailable if the router can't know.
	Export func(ctx context.Context, revision int64, wait time.Duration) ([]byte, error)
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
		write(w, payload)
	}
}

// write writes an export. A peer that is gone needs none.
func write(w http.ResponseWriter, payload []byte) {
	if len(payload) < compressFrom {
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

// Puller asks peers. It is safe for concurrent use.
type Puller struct {
	// Client sends the calls; its zero value is ready for use.
	Client http.Client
}

// Pull returns what the peer at the address knows that is newer than the revision;
// the peer waits for it for the given time. The error wraps ErrNotFound if there is
// nothing, and ErrUnavailable if the peer can't be asked or can't know.
func (p *Puller) Pull(ctx context.Context, address string, revision int64, wait time.Duration) ([]byte, error) {
	timeout := pullTimeout
	if revision == 0 {
		timeout = wholeTimeout
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
		return nil, fmt.Errorf("puller: %s has nothing newer: %w", address, kingcuphook.ErrNotFound)
	default:
		return nil, fmt.Errorf("puller: %s answered %d: %w", address, resp.StatusCode, kingcuphook.ErrUnavailable)
	}
}
