package receiver

import (
	"net/http"
	"testing"
)

// The HTTP server itself answered OPTIONS * with a success that no upstream had given.
func TestOptionsOfServerGetNoSuccess(t *testing.T) {
	r := newHarness(t, respondWith(http.StatusOK, "done"))
	resp := exchange(t, r.run(t), "OPTIONS * HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\n\r\n")
	r.Equal(resp.StatusCode, http.StatusNotFound)
}
