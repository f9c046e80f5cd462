package receiver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// Values of Retry-After.
const (
	retryNotReady = 500 * time.Millisecond
	retryStopping = 100 * time.Millisecond
	retryDefault  = 300 * time.Millisecond
	retryNoMemory = 500 * time.Millisecond
)

var (
	errNotReady = &kingcuphook.RequestError{Code: kingcuphook.CodeNotReady, Ran: kingcuphook.RunStateNotRun, RetryAfter: retryNotReady, Err: kingcuphook.ErrUnavailable}
	errStopping = &kingcuphook.RequestError{Code: kingcuphook.CodeStopping, Ran: kingcuphook.RunStateNotRun, RetryAfter: retryStopping, Err: kingcuphook.ErrStopping}
	errNoRoute  = &kingcuphook.RequestError{Code: kingcuphook.CodeNoRoute, Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrNotFound}
	errNoKey    = &kingcuphook.RequestError{Code: "no-key", Ran: kingcuphook.RunStateNotRun, Err: errUnknownKey}
	errTooLarge = &kingcuphook.RequestError{Code: kingcuphook.CodeTooLarge, Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrTooLarge}
	errBadPath  = &kingcuphook.RequestError{Code: "bad-path", Ran: kingcuphook.RunStateNotRun, Err: fmt.Errorf("path has bytes that must be escaped: %w", kingcuphook.ErrInvalid)}

	errNoMemory = &kingcuphook.RequestError{Code: "out-of-memory", Ran: kingcuphook.RunStateNotRun, RetryAfter: retryNoMemory, Err: kingcuphook.ErrOutOfMemory}
	errBodyLate = &kingcuphook.RequestError{Code: "body-late", Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrDeadline}

	errPanicked   = errors.New("request handler panicked")
	errUnknownKey = errors.New("no organisation holds the key")
)

// run dispatches a call and writes its answer or error. The context ctx of the call also
// ends with its caller's connection, for which that of r stands alone.
func (s *Receiver) run(ctx context.Context, out *writer, r *http.Request, c *acceptedCall) {
	request := c.call.Request
	out.id, out.deadline = request.ID(), request.Deadline()
	if s.Observer != nil {
		s.Observer.RequestStarted(request, c.route)
	}
	dispatched := time.Now()
	o, err := s.Dispatcher.Dispatch(ctx, c.call, out)
	s.observe(request, err, dispatched, time.Now())
	first := time.Duration(0)
	if !out.first.IsZero() {
		first = out.first.Sub(request.Arrived())
	}
	total := time.Since(request.Arrived())
	if s.Observer != nil {
		s.Observer.RequestEnded(request, o, err, first, total)
	}
	status := s.finish(out, c, o, err)
	aborted := err != nil && out.streaming
	s.log(c, o, err, aborted, status, first, total)
	if !aborted {
		out.flush()
	}
	s.checkWritten(r, out, aborted)
	if aborted {
		// Aborts the connection, so that a partial answer can't be taken for a complete
		// one.
		resetUnframed(r)
		panic(http.ErrAbortHandler)
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn returns the context of the requests on a connection; it is the hook ConnContext of the
// server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetUnframed makes the close of the connection a reset if the end of the connection alone marks the
// end of its answer, as in HTTP/1.0.
func resetUnframed(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
	if ok && !r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0)
	}
}

// checkWritten counts a call that ended without a complete response while its caller was
// still connected, and logs a response that could not be written.
func (s *Receiver) checkWritten(r *http.Request, out *writer, aborted bool) {
	if r.Context().Err() != nil {
		return
	}
	if aborted || out.err != nil {
		s.unanswered.Add(1)
	}
	if out.err != nil {
		s.Log.Log(logger.ResponseFailed, "request", out.id, "error", out.err, "until-deadline-ms", time.Until(out.deadline).Milliseconds())
	}
}

// recoverPanic logs a panic of the handler. Its caller gets an error, unless a response was
// begun; then the connection is aborted.
func (s *Receiver) recoverPanic(out *writer) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // a panic value, not an error
		panic(v)
	}
	s.Log.Log(logger.RequestPanicked, "request", out.id, "response-begun", out.began, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	if out.began {
		s.unanswered.Add(1)
		panic(http.ErrAbortHandler)
	}
	out.w.Header().Set("Connection", "close")
	out.writeError(errPanicked)
}

// finish writes the answer or the error of a call, unless a stream was already
// started. It returns the status of the response.
func (s *Receiver) finish(out *writer, c *acceptedCall, o kingcuphook.Outcome, err error) int {
	var answered *kingcuphook.AnswerError
	switch {
	case out.streaming:
		return out.status
	case err == nil && c.call.Request.Stream():
		return http.StatusOK
	case err == nil:
		return out.writeHeld(o.Answer, c.memory)
	case errors.As(err, &answered):
		return out.writeHeld(answered.Answer, c.memory)
	default:
		return out.writeError(err)
	}
}

func (s *Receiver) log(c *acceptedCall, o kingcuphook.Outcome, err error, aborted bool, status int, first, total time.Duration) {
	r := c.call.Request
	log := s.Log.With("request", r.ID(), "route", c.route.Name(), "pool", r.Pool(), "organisation", r.Organisation(),
		"urgency", r.Urgency(), "status", status, "aborted", aborted,
		"first-ms", first.Milliseconds(), "total-ms", total.Milliseconds())
	if err == nil {
		log.Log(logger.RequestAnswered, "pieces", o.Tokens, "attempts", o.Attempts)
		return
	}
	e := requestError(err)
	log.Log(logger.RequestFailed, "attempts", e.Attempts, "code", e.Code, "ran", e.Ran, "retry-after", e.RetryAfter, "error", e.Err)
}

// reject writes the error for a call that was not accepted, and logs it.
func (s *Receiver) reject(out *writer, err error) {
	status := out.writeError(err)
	e := requestError(err)
	s.Log.Log(logger.RequestFailed, "request", out.id, "status", status,
		"code", e.Code, "ran", e.Ran, "retry-after", e.RetryAfter, "error", e.Err)
}

// requestError returns err as a RequestError. An error of another type is internal,
// and whether the call ran is unknown.
func requestError(err error) *kingcuphook.RequestError {
	var e *kingcuphook.RequestError
	if errors.As(err, &e) {
		return e
	}
	return &kingcuphook.RequestError{Code: kingcuphook.CodeInternal, Ran: kingcuphook.RunStateUnknown, Err: err}
}

// statusCode returns the HTTP status for an error.
func statusCode(e *kingcuphook.RequestError) int {
	switch {
	case e.Code == errNoRoute.Code:
		return http.StatusNotFound
	case e.Code == errNoKey.Code:
		return http.StatusUnauthorized
	case e.Code == errTooLarge.Code:
		return http.StatusRequestEntityTooLarge
	case e.Code == errBodyLate.Code:
		return http.StatusRequestTimeout
	case errors.Is(e.Err, kingcuphook.ErrInvalid):
		return http.StatusBadRequest
	case e.Ran == kingcuphook.RunStateNotRun:
		return http.StatusServiceUnavailable
	case e.Code == kingcuphook.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeError writes an error response of the router and returns its status.
func (w *writer) writeError(err error) int {
	w.began = true
	e := requestError(err)
	status := statusCode(e)
	if wait := RetryAfter(e); wait > 0 {
		w.w.Header().Set("Retry-After", formatSeconds(wait))
	}
	w.w.Header().Set("Content-Type", "text/plain")
	body := e.Code + "\n"
	w.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.closeIfStopping()
	w.w.WriteHeader(status)
	_, _ = w.w.Write([]byte(body))
	return status
}

// RetryAfter returns the delay that the caller is told with an error; 0 if the caller is told none.
func RetryAfter(e *kingcuphook.RequestError) time.Duration {
	switch {
	case statusCode(e) != http.StatusServiceUnavailable:
		return 0
	case e.RetryAfter <= 0:
		return retryDefault
	}
	return e.RetryAfter
}

// formatSeconds returns the form of a delay in the header Retry-After.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// impliesNotRun reports whether callers take a status to mean that the call has not
// run. An upstream may respond with such a status although the call has run there.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// minWriteTime is how long a response may at least be written, also one that was ready just
// before its request's deadline.
const minWriteTime = 200 * time.Millisecond

// writer writes the answer to a call. It implements kingcuphook.HeadWriter.
type writer struct {
	// id is the ID of the request; empty until it is known.
	id      string
	w       http.ResponseWriter
	control *http.ResponseController
	// deadline is the deadline of the request, and of writes unless less than minWriteTime
	// is left.
	deadline time.Time
	// closing reports whether a graceful shutdown closes the connections; nil means never.
	closing func() bool
	// began is set before a response is begun.
	began bool
	// streaming is set once the head of a stream was written. It stays unset for an
	// answer that was written at once.
	streaming bool
	status    int
	// first is when the first part of the body was written.
	first time.Time
	// err is the error with which a response in one piece was not written.
	err error
}

var _ kingcuphook.HeadWriter = (*writer)(nil)

// closeIfStopping tells the caller that a graceful shutdown closes the connection after the answer.
func (w *writer) closeIfStopping() {
	if w.closing != nil && w.closing() {
		w.w.Header().Set("Connection", "close")
	}
}

// WriteHead implements kingcuphook.HeadWriter.
func (w *writer) WriteHead(head kingcuphook.Answer) error {
	w.began = true
	deadline := w.deadline
	if least := time.Now().Add(minWriteTime); deadline.Before(least) {
		deadline = least
	}
	if err := w.control.SetWriteDeadline(deadline); err != nil {
		return err
	}
	h := w.w.Header()
	for name, values := range head.Header() {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the server from detecting a content type.
		h["Content-Type"] = nil
	}
	w.streaming = true
	w.status = head.Status()
	w.closeIfStopping()
	w.w.WriteHeader(head.Status())
	return nil
}

// WriteData implements kingcuphook.FrameWriter.
func (w *writer) WriteData(text string) error {
	if w.first.IsZero() {
		w.first = time.Now()
	}
	if _, err := w.w.Write([]byte(text)); err != nil {
		return err
	}
	return w.control.Flush()
}

// writeAnswer writes a complete answer and returns its status. It replaces an answer
// whose status would imply that the call has not run by an error.
func (w *writer) writeAnswer(a kingcuphook.Answer) int {
	if impliesNotRun(a.Status()) {
		return w.writeError(&kingcuphook.RequestError{
			Code: kingcuphook.CodeUpstreamFailed, Ran: kingcuphook.RunStateUnknown, Err: kingcuphook.ErrUpstreamAnswered,
		})
	}
	w.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body())))
	if w.err = w.WriteHead(a); w.err != nil {
		return a.Status()
	}
	w.first = time.Now()
	_, err := w.w.Write(a.Body())
	if errors.Is(err, http.ErrBodyNotAllowed) {
		err = nil
	}
	w.err = err
	w.streaming = false
	return a.Status()
}

// writeHeld is writeAnswer, with the memory of the answer held until the end of the call.
func (w *writer) writeHeld(a kingcuphook.Answer, memory *rationer.Account) int {
	memory.Take(int64(len(a.Body())))
	return w.writeAnswer(a)
}

// flush sends what the server has buffered of the response.
func (w *writer) flush() {
	if err := w.control.Flush(); w.err == nil {
		w.err = err
	}
}
