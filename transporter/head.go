package transporter

import (
	"net/http"
	"regexp"
	"slices"
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

// IsCloseDelimited reports whether a response has a body whose end only the end of the connection
// marks.
func IsCloseDelimited(resp *http.Response) bool {
	isHead := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !isHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
