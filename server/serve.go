package server

import (
	"context"
	"errors"
	"net/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/discarder"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// serve handles a request according to the kind of upstream behind its route:
// engines serve only chat completions, plain services any call.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	account := s.Memory.Open()
	defer account.Close()
	ctx, cancel := s.stopCalls().Context(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	discarder.Track(r)
	c, err := s.read(w, r, account)
	if err != nil {
		s.rejectUnread(w, r, c.id, err)
		return
	}
	a, err := s.accept(r, c)
	if err != nil {
		s.reject(w, c.id, err)
		return
	}
	switch {
	case a.call.Kind == kingcuphook.UpstreamKindService:
		s.answerCall(w, a, account)
	case !isChat(r):
		writeError(w, c.id, errNoRoute)
	case a.call.Request.Stream():
		s.answerStream(w, a)
	default:
		s.answerChat(w, a)
	}
}

// reject logs and answers a request that was not accepted.
func (s *Server) reject(w http.ResponseWriter, id string, err error) {
	s.logRejected(id, err)
	writeError(w, id, err)
}

// rejectUnread logs and answers a request whose body was not read to its end.
func (s *Server) rejectUnread(w http.ResponseWriter, r *http.Request, id string, err error) {
	s.logRejected(id, err)
	s.writeUnread(w, r, id, err)
}

// logRejected logs a request that was not accepted. A lack of memory is logged where it is found.
func (s *Server) logRejected(id string, err error) {
	if !errors.Is(err, kingcuphook.ErrOutOfMemory) {
		s.Log.Log(logger.RequestFailed, "request", id, "error", err)
	}
}

// writeUnread writes an error response to a request whose body may not have been read to its end, and drops
// the rest.
func (s *Server) writeUnread(w http.ResponseWriter, r *http.Request, id string, err error) {
	// The context of the request has ended if reading its body timed out.
	ctx, cancel := s.stopCalls().Context(context.WithoutCancel(r.Context()))
	defer cancel()
	s.discards.Refuse(ctx, w, r, err, func() { writeError(w, id, err) })
}

// logNoMemory logs a request that found no room in the memory budget.
func (s *Server) logNoMemory(r *http.Request, id string, account *rationer.Account) {
	s.Log.Log(logger.MemoryRefused, append([]any{"request", id}, account.LogFields(r)...)...)
}

// isChat reports whether a request is a chat completion.
func isChat(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == PathChat
}
