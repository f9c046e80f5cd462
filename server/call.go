package server

import (
	"net/http"
	"time"
)

// answerCall writes the answer of a plain service as it came.
func (s *Server) answerCall(w http.ResponseWriter, a *accepted) {
	o, err := s.dispatch(a, nil, untimed{})
	if err != nil {
		writeError(w, a.call.Request.ID(), err)
		return
	}
	s.limitWrite(w)
	if t := o.Answer.ContentType(); t != "" {
		w.Header().Set("Content-Type", t)
	}
	w.WriteHeader(o.Answer.Status())
	_, _ = w.Write(o.Answer.Body())
}

// untimed is the timed of calls, whose answers come in one piece.
type untimed struct{}

func (untimed) firstWrite() time.Time { return time.Time{} }
