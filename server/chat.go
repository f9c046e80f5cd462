package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// answerChat runs a chat completion and writes the answer as one JSON object once
// it is complete.
func (s *Server) answerChat(w http.ResponseWriter, a *acceptedRequest) {
	account := s.Memory.OpenAnswer()
	defer account.Close()
	text := &answerBuffer{text: rationer.Buffer{Account: account, Copies: answerCopies}, limit: s.Limits.MaxBodyBytes}
	o, err := s.dispatch(a, text, text)
	if text.err != nil {
		err = answerError(text.err)
	}
	if err != nil {
		writeError(w, a.call.Request.ID(), err)
		return
	}
	s.setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newChatBody(a.call.Request, string(text.text.Bytes()), o))
}

// answerStream runs a chat completion and streams the answer as server-sent
// events.
func (s *Server) answerStream(w http.ResponseWriter, a *acceptedRequest) {
	events := &eventWriter{
		w:       w,
		control: http.NewResponseController(w),
		timeout: s.Limits.WriteTimeout,
		prefix:  chunkPrefix(a.call.Request),
	}
	o, err := s.dispatch(a, events, events)
	switch {
	case err == nil:
		events.finish(o)
	case events.started:
		events.fail(a.call.Request.ID(), err)
	default:
		writeError(w, a.call.Request.ID(), err)
	}
}

// writeTimer records when the first piece of an answer was written; zero if none
// was.
type writeTimer interface {
	firstWriteTime() time.Time
}

// dispatch runs the call, reports its start and end to the observer and logs a
// failure.
func (s *Server) dispatch(a *acceptedRequest, w kingcuphook.FrameWriter, t writeTimer) (kingcuphook.Outcome, error) {
	r := a.call.Request
	if s.Observer != nil {
		s.Observer.RequestStarted(r, a.route)
	}
	dispatched := time.Now()
	o, err := s.Dispatcher.Dispatch(a.ctx, a.call, w)
	s.observe(r, err, dispatched)
	var first time.Duration
	if at := t.firstWriteTime(); !at.IsZero() {
		first = at.Sub(r.Arrived())
	}
	if s.Observer != nil {
		s.Observer.RequestEnded(r, o, err, first, time.Since(r.Arrived()))
	}
	if err != nil {
		e := asRequestError(err)
		s.Log.Log(logger.RequestFailed, "request", r.ID(), "class", r.Class(), "organisation", r.Organisation(),
			"code", e.Code, "ran", e.Ran, "error", e.Err)
	}
	return o, err
}

func (s *Server) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Limits.WriteTimeout))
}

// answerCopies is how often an answer that is sent as one JSON object is in memory: as it is received,
// as text and in the object.
const answerCopies = 3

// answerBuffer collects an answer that is sent only once it is complete.
type answerBuffer struct {
	text  rationer.Buffer
	limit int64
	first time.Time
	// err is the error with which the first piece was left out; nil if the answer is whole.
	err error
}

// WriteData implements kingcuphook.FrameWriter.
func (t *answerBuffer) WriteData(text string) error {
	if t.first.IsZero() {
		t.first = time.Now()
	}
	switch {
	case t.err != nil:
	case int64(t.text.Len()+len(text)) > t.limit:
		t.err = kingcuphook.ErrTooLarge
	default:
		t.err = t.text.Append([]byte(text))
	}
	return t.err
}

func (t *answerBuffer) firstWriteTime() time.Time { return t.first }

// chatBody is the JSON form of a complete chat completion.
type chatBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newChatBody(r *kingcuphook.Request, text string, o kingcuphook.Outcome) chatBody {
	return chatBody{
		ID:      r.ID(),
		Object:  "chat.completion",
		Created: r.Arrived().Unix(),
		Model:   r.Model(),
		Choices: []chatChoice{{
			Message:      chatMessage{Role: "assistant", Content: text},
			FinishReason: o.Finish,
		}},
		Usage: chatUsage{
			PromptTokens:     r.PromptTokens(),
			CompletionTokens: o.Tokens,
			TotalTokens:      r.PromptTokens() + o.Tokens,
		},
	}
}

// brokenMessage is the message of the error event of a stream that broke off.
const brokenMessage = "the answer broke off"

// eventWriter writes an answer as server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// prefix is the part of each chunk before its delta.
	prefix []byte
	// line is the buffer that holds the event being written.
	line []byte
	// first is when the first piece was written.
	first   time.Time
	started bool
}

// WriteData implements kingcuphook.FrameWriter.
func (e *eventWriter) WriteData(text string) error {
	if !e.started {
		e.start()
	}
	e.line = append(e.line[:0], e.prefix...)
	e.line = append(e.line, `{"content":`...)
	e.line = gjson.AppendJSONString(e.line, text)
	e.line = append(e.line, `},"finish_reason":null}]}`...)
	e.line = append(e.line, '\n', '\n')
	return e.flush()
}

func (e *eventWriter) firstWriteTime() time.Time { return e.first }

func (e *eventWriter) start() {
	e.started = true
	e.first = time.Now()
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
}

// flush sends line to the caller within the timeout.
func (e *eventWriter) flush() error {
	if err := e.control.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(e.line); err != nil {
		return err
	}
	return e.control.Flush()
}

// finish writes the chunk with the finish reason, then the end marker.
func (e *eventWriter) finish(o kingcuphook.Outcome) {
	if !e.started {
		e.start()
	}
	e.line = append(e.line[:0], e.prefix...)
	e.line = append(e.line, `{},"finish_reason":`...)
	e.line = gjson.AppendJSONString(e.line, o.Finish)
	e.line = append(e.line, "}]}\n\ndata: [DONE]\n\n"...)
	_ = e.flush()
}

// fail writes an error event without the end marker and aborts the connection, so that a
// reader never mistakes the partial answer for a complete one. The event has no text of an
// upstream.
func (e *eventWriter) fail(id string, err error) {
	event := newErrorBody(id, asRequestError(err))
	event.Error.Message = brokenMessage
	if body, err := json.Marshal(event); err == nil {
		e.line = append(e.line[:0], "event: error\ndata: "...)
		e.line = append(e.line, body...)
		e.line = append(e.line, '\n', '\n')
		_ = e.flush()
	}
	panic(http.ErrAbortHandler)
}

// chunkPrefix returns the start of an event, which is the same for all chunks of an
// answer.
func chunkPrefix(r *kingcuphook.Request) []byte {
	p := append([]byte(`data: {"id":`), gjson.AppendJSONString(nil, r.ID())...)
	p = append(p, `,"object":"chat.completion.chunk","created":`...)
	p = strconv.AppendInt(p, r.Arrived().Unix(), 10)
	p = append(p, `,"model":`...)
	p = gjson.AppendJSONString(p, r.Model())
	return append(p, `,"choices":[{"index":0,"delta":`...)
}
