package server

import "net/http"

// response is an http.ResponseWriter that records whether a response was begun.
type response struct {
	http.ResponseWriter

	// closing reports whether a graceful shutdown closes the connections.
	closing func() bool
	// began is set before the head is written.
	began bool
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

func (w *response) begin() {
	if !w.began && w.closing() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }
