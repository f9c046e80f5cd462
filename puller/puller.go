// Package puller hands what routers know of the store from one to another, for
// those that the store does not serve.
package puller

import (
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
	// paramRevision is the revision that the caller has.
	paramRevision = "after-revision"
	// pullTimeout bounds a pull.
	pullTimeout = 700 * time.Millisecond
	// maxExportBytes bounds what a peer hands over.
	maxExportBytes = 16 << 20
)

// Handler answers the pulls of peers.
type Handler struct {
	// Export returns what this router knows; its error wraps ErrNotFound if that
	// is not newer than the revision.
	Export func(revision int64) ([]byte, error)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.URL.Query().Get(paramRevision), 10, 64)
	if err != nil {
		http.Error(w, "the revision is not a number", http.StatusBadRequest)
		return
	}
	payload, err := h.Export(revision)
	switch {
	case errors.Is(err, kingcuphook.ErrNotFound):
		w.WriteHeader(http.StatusNoContent)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		// A peer that is gone needs no answer.
		_, _ = w.Write(payload)
	}
}

// Puller asks peers. It is safe for concurrent use.
type Puller struct {
	// Client sends the calls; its zero value is ready for use.
	Client http.Client
}

// Pull returns what the peer at the address knows. The error wraps ErrNotFound if
// that is not newer than the revision, and ErrUnavailable if it can't be asked.
func (p *Puller) Pull(ctx context.Context, address string, revision int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	target := fmt.Sprintf("http://%s%s?%s=%d", address, Path, paramRevision, revision)
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
