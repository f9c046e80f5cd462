package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/canceller"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
	// streamBuffer is the size of the buffer that events are read through.
	streamBuffer = 4 << 10
	// finishEnded is the finish reason of a stream whose body ended whole.
	finishEnded = "ended"
)

var idField = []byte("id:")

// stream reads the events of one attempt. Events keep their bytes.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// canceller cancels the attempt with the context of the reader.
	canceller canceller.Canceller
	head      kingcuphook.Answer
	// attempt and position are those of the next frame.
	attempt  string
	position int
	// event gathers the bytes of the event that is being read, of which the first ones
	// are whole comments.
	event    []byte
	comments int
	// ended says that the body ended whole; finished that this was told.
	ended, finished bool
}

var _ kingcuphook.HeadedStream = (*stream)(nil)

func newStream(resp *http.Response, a *kingcuphook.Attempt, cancel context.CancelFunc) *stream {
	return &stream{
		body:      resp.Body,
		reader:    bufio.NewReaderSize(resp.Body, streamBuffer),
		canceller: canceller.Canceller{Cancel: cancel},
		head:      kingcuphook.NewOpaqueAnswer(resp.StatusCode, endToEnd(resp.Header), nil),
		attempt:   a.ID(),
		position:  a.ResumeFrom(),
	}
}

// Head implements kingcuphook.HeadedStream.
func (s *stream) Head() kingcuphook.Answer { return s.head }

// Next implements kingcuphook.Stream. When ctx ends, the attempt is cancelled
// and can't be read any more.
func (s *stream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	s.canceller.Follow(ctx)
	if s.ended {
		return s.endFrame(), nil
	}
	id, err := s.readEvent()
	if errors.Is(err, io.EOF) && len(s.event) == s.comments {
		s.ended = true
		if s.comments == 0 {
			return s.endFrame(), nil
		}
		err = nil
	}
	if ctx.Err() != nil {
		return kingcuphook.Frame{}, ctx.Err()
	}
	if err != nil {
		return kingcuphook.Frame{}, fmt.Errorf("forwarder: %w: %w", kingcuphook.ErrBrokenStream, err)
	}
	f := kingcuphook.NewEventFrame(s.attempt, s.position, id, string(s.event))
	s.position++
	return f, nil
}

// endFrame returns the finish frame and then the end frame.
func (s *stream) endFrame() kingcuphook.Frame {
	kind := kingcuphook.FrameKindFinish
	if s.finished {
		kind = kingcuphook.FrameKindEnd
	}
	s.finished = true
	return kingcuphook.NewFrame(s.attempt, s.position, kind, finishEnded)
}

// readEvent reads the bytes of one event, up to and with the empty line that
// ends it, and returns its id. Comments before it are taken along: by themselves they
// are no event, and don't show that the stream goes on.
func (s *stream) readEvent() (id string, err error) {
	s.event = s.event[:0]
	s.comments = 0
	hasField, begun := false, true
	for {
		line, err := s.reader.ReadSlice('\n')
		s.event = append(s.event, line...)
		blank := begun && len(bytes.TrimRight(line, "\r\n")) == 0
		hasField = hasField || begun && !blank && line[0] != ':'
		begun = !errors.Is(err, bufio.ErrBufferFull)
		if len(s.event) > maxEventBytes {
			return "", kingcuphook.ErrTooLarge
		}
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
			s.comments = len(s.event)
		}
	}
}

// Close implements kingcuphook.Stream.
func (s *stream) Close() error {
	s.canceller.Close()
	return s.body.Close()
}
