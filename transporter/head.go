package transporter

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// IsMerged reports whether the head of a response has the status line of another response within
// its own status line or a header. An upstream has then begun a response before the end of the
// head of another, and the headers may belong to either.
func IsMerged(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// maxStatus is the highest status that HTTP has; net/http accepts any three digits.
const maxStatus = 599

// IsFinal reports whether the status of a response is one that HTTP has for a final response.
func IsFinal(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus
}

// IsCloseDelimited reports whether a response has a body whose end only the end of the connection
// marks.
func IsCloseDelimited(resp *http.Response) bool {
	isHead := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !isHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// BodyLength returns the length of the body of a response, or -1 if only its end shows it.
func BodyLength(resp *http.Response) int64 {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return 0
	}
	return resp.ContentLength
}

// ReadBody reads the body of a response into memory reserved on the account. The error wraps
// kingcuphook.ErrTooLarge if the body exceeds limit bytes, and kingcuphook.ErrOutOfMemory if there is
// no room for it.
func ReadBody(memory *rationer.Account, resp *http.Response, limit int64) ([]byte, error) {
	length := BodyLength(resp)
	if length > limit {
		return nil, fmt.Errorf("%d bytes, over %d: %w", length, limit, kingcuphook.ErrTooLarge)
	}
	body, err := memory.ReadAll(resp.Body, length, limit)
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("over %d bytes: %w", limit, kingcuphook.ErrTooLarge)
	}
	return body, err
}
