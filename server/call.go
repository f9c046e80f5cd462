package server

import (
	"net/http"
	"time"

	"github.com/kingcuphook/kingcuphook/rationer"
)

// answerCall runs the call of a plain service and passes on the status, content
// type and body of its answer. The account holds the answer while its caller reads it.
func (s *Server) answerCall(w http.ResponseWriter, a *acceptedRequest, account *rationer.Account) {
	o, err := s.dispatch(a, nil, noWriteTime{})
	if err != nil {
		writeError(w, a.call.Request.ID(), err)
		return
	}
	account.Take(int64(len(o.Answer.Body())))
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
