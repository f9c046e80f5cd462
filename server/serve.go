package server

import (
	"net/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// serve handles a request according to the kind of upstream behind its route:
// engines serve only chat completions, plain services any call.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.stopCalls().Context(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	a, id, err := s.accept(w, r)
	if err != nil {
		s.Log.Log(logger.RequestFailed, "request", id, "error", err)
		writeError(w, id, err)
		return
	}
	switch {
	case a.call.Kind == kingcuphook.UpstreamKindService:
		s.answerCall(w, a)
	case !isChat(r):
		writeError(w, id, errNoRoute)
	case a.call.Request.Stream():
		s.answerStream(w, a)
	default:
		s.answerChat(w, a)
	}
}

// isChat reports whether a request is a chat completion.
func isChat(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == PathChat
}
