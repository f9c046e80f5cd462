package server

import "net/http"

// response is an http.ResponseWriter that records whether a response was begun.
type response struct {
	http.ResponseWriter

	// began is set before the head is written.
	began bool
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(b []byte) (int, error) {
	w.began = true
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }
