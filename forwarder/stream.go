package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/canceller"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/transporter"
)

const (
	// maxEventBytes limits the size of one event, with the comments before it.
	maxEventBytes = 64 << 10
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// eventCopies is how often an event is in memory: as it is read and as it is passed on.
	eventCopies = 2
	// finishEnded is the finish reason of a stream whose body ended between events.
	finishEnded = "ended"
	// eventStreamType is the media type of a stream.
	eventStreamType = "text/event-stream"
)

var idField = []byte("id:")

// stream reads the server-sent events of one attempt and returns each one unchanged
// as a data frame.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// canceller cancels the attempt when the context of Next ends.
	canceller canceller.Canceller
	head      kingcuphook.Answer
	// attempt and position go into the next frame.
	attempt  string
	position int
	// first is the position of the first frame.
	first int
	// event holds the bytes of the event that is being read. Its first commentBytes
	// bytes are complete comment blocks that precede the event.
	event        rationer.Buffer
	commentBytes int
	// closeDelimited is set if the body has neither a length nor chunks, so that only the
	// end of the connection marks its end.
	closeDelimited bool
	// broken, if set, returns the error of a body that broke, with its cause.
	broken func(ctx context.Context, err error) error
	// ended is set when the body has ended between events, finishSent when the finish
	// frame was returned.
	ended, finishSent bool
}

var _ kingcuphook.HeadedStream = (*stream)(nil)

func newStream(resp *http.Response, a *kingcuphook.Attempt, cancel context.CancelFunc, memory *rationer.Account) *stream {
	return &stream{
		body:           resp.Body,
		reader:         bufio.NewReaderSize(resp.Body, streamBufferBytes),
		canceller:      canceller.Canceller{Cancel: cancel},
		head:           kingcuphook.NewOpaqueAnswer(resp.StatusCode, endToEndHeaders(resp.Header), nil),
		attempt:        a.ID(),
		position:       a.ResumeFrom(),
		first:          a.ResumeFrom(),
		event:          rationer.Buffer{Account: memory, Copies: eventCopies},
		closeDelimited: transporter.IsCloseDelimited(resp),
	}
}

// checkRest returns an error for a response that can't be the rest of the stream that the attempt
// resumes: its body must be unencoded events in chunks.
func checkRest(u *kingcuphook.Upstream, a *kingcuphook.Attempt, resp *http.Response) error {
	if a.ResumeFrom() == 0 {
		return nil
	}
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	isChunked := resp.ContentLength < 0 && len(resp.TransferEncoding) > 0
	if err == nil && mediaType == eventStreamType && isChunked && resp.Header.Get("Content-Encoding") == "" {
		return nil
	}
	return fmt.Errorf("forwarder: %s answered without the rest of the stream, type %.64q, encoding %.64q, length %d, transfer encoding %q: %w: %w",
		u.Address(), resp.Header.Get("Content-Type"), resp.Header.Get("Content-Encoding"), resp.ContentLength, resp.TransferEncoding,
		kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown)
}

// Head implements kingcuphook.HeadedStream.
func (s *stream) Head() kingcuphook.Answer { return s.head }

// Next implements kingcuphook.Stream. When ctx ends, the attempt is cancelled and
// the stream can't be read any more.
func (s *stream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	s.canceller.SetContext(ctx)
	if s.ended {
		return s.endFrame(), nil
	}
	id, err := s.readEvent()
	if errors.Is(err, io.EOF) && s.event.Len() == s.commentBytes && !s.isEmpty() {
		s.ended = true
		if s.commentBytes == 0 {
			return s.endFrame(), nil
		}
		err = nil
	}
	if ctx.Err() != nil {
		if err != nil && s.broken != nil {
			_ = s.broken(ctx, err)
		}
		return kingcuphook.Frame{}, ctx.Err()
	}
	if err != nil && s.broken != nil {
		err = s.broken(ctx, err)
	}
	if err != nil {
		return kingcuphook.Frame{}, fmt.Errorf("forwarder: %w: %w", kingcuphook.ErrBrokenStream, err)
	}
	f := kingcuphook.NewEventFrame(s.attempt, s.position, id, string(s.event.Bytes()))
	s.position++
	return f, nil
}

// isEmpty reports whether the answer has ended before the first event where it may not: with its
// connection, or as the rest of a stream.
func (s *stream) isEmpty() bool {
	return s.position == s.first && (s.closeDelimited || s.first > 0)
}

// endFrame returns the finish frame on its first call and the end frame after that.
func (s *stream) endFrame() kingcuphook.Frame {
	kind := kingcuphook.FrameKindFinish
	if s.finishSent {
		kind = kingcuphook.FrameKindEnd
	}
	s.finishSent = true
	reason := finishEnded
	if s.closeDelimited {
		reason = kingcuphook.FinishClosed
	}
	return kingcuphook.NewFrame(s.attempt, s.position, kind, reason)
}

// readEvent reads one event into s.event, up to and including the empty line that
// ends it, and returns its id. Comments before the event are included: they are no
// event of their own, since they don't show progress of the stream. At io.EOF, s.event
// holds the comments after the last event.
func (s *stream) readEvent() (id string, err error) {
	s.event.Reset()
	s.commentBytes = 0
	hasField, lineStart := false, true
	for {
		line, err := s.reader.ReadSlice('\n')
		if appendErr := s.appendLine(line); appendErr != nil {
			return "", appendErr
		}
		blank := lineStart && len(bytes.TrimRight(line, "\r\n")) == 0
		hasField = hasField || lineStart && !blank && line[0] != ':'
		lineStart = !errors.Is(err, bufio.ErrBufferFull)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
		if blank && hasField {
			return id, nil
		}
		if blank {
			s.commentBytes = s.event.Len()
		}
	}
}

// appendLine adds a line, or a part of one, to the event.
func (s *stream) appendLine(line []byte) error {
	if s.event.Len()+len(line) > maxEventBytes {
		return kingcuphook.ErrTooLarge
	}
	return s.event.Append(line)
}

// Close implements kingcuphook.Stream.
func (s *stream) Close() error {
	s.canceller.Close()
	s.event.Account.Close()
	return s.body.Close()
}
