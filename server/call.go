package server

import (
	"net/http"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// serveCall passes a call on to the plain service that its route names.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	a, id, err := s.accept(w, r)
	if err != nil {
		s.Log.Log(logger.RequestFailed, "request", id, "error", err)
		writeError(w, id, err)
		return
	}
	if a.call.Kind != kingcuphook.UpstreamKindService {
		writeError(w, id, errNoRoute)
		return
	}
	s.answerCall(w, a)
}

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
