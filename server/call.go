package server

import (
	"net/http"
	"time"
)

// answerCall runs the call of a plain service and passes on the status, content
// type and body of its answer.
func (s *Server) answerCall(w http.ResponseWriter, a *acceptedRequest) {
	o, err := s.dispatch(a, nil, noWriteTime{})
	if err != nil {
		writeError(w, a.call.Request.ID(), err)
		return
	}
	s.setWriteDeadline(w)
	if t := o.Answer.ContentType(); t != "" {
		w.Header().Set("Content-Type", t)
	}
	w.WriteHeader(o.Answer.Status())
	_, _ = w.Write(o.Answer.Body())
}

// noWriteTime is the writeTimer of calls to plain services. Their answers arrive
// in one piece, so that no first write is timed.
type noWriteTime struct{}

func (noWriteTime) firstWriteTime() time.Time { return time.Time{} }
