package previewer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/kingcuphook/kingcuphook"
)

// maxAnswerBytes limits an answer that a client reads.
const maxAnswerBytes = 1 << 20

// Ask asks the router whose port for metrics has the address. The error wraps ErrUnavailable if the router
// can't be reached or has no tables yet, ErrNotFound if it has no such route or organisation, and ErrInvalid if
// it rejects the question.
func Ask(ctx context.Context, address string, q *Question) (*Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("router address %q: %w", address, kingcuphook.ErrInvalid)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("router %s not reachable: %w: %w", address, kingcuphook.ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("router %s: %w: %w", address, kingcuphook.ErrUnavailable, err)
	}
	errNoAnswer := fmt.Errorf("port %s answers no questions: it is not the metrics port of a router, or of an older one", address)
	if resp.StatusCode == http.StatusOK {
		var a Answer
		if json.Unmarshal(text, &a) != nil {
			return nil, errNoAnswer
		}
		return &a, nil
	}
	var p problem
	if json.Unmarshal(text, &p) != nil {
		if resp.StatusCode == http.StatusNotFound {
			return nil, errNoAnswer
		}
		p.Error = resp.Status
	}
	return nil, fmt.Errorf("router %s: %s: %w", address, p.Error, sentinelOf(resp.StatusCode))
}

func sentinelOf(status int) error {
	switch status {
	case http.StatusNotFound:
		return kingcuphook.ErrNotFound
	case http.StatusBadRequest, http.StatusMethodNotAllowed:
		return kingcuphook.ErrInvalid
	}
	return kingcuphook.ErrUnavailable
}
