package dialer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/canceller"
	"github.com/kingcuphook/kingcuphook/rationer"
)

const (
	// maxEventBytes limits the length of one line of a stream.
	maxEventBytes = 256 << 10
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
	// eventCopies is how often a long event is in memory: as it is read and as it is decoded.
	eventCopies = 2
)

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// stream reads the server-sent events of one attempt.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// canceller cancels the attempt when the context of Next ends.
	canceller canceller.Canceller
	// long holds a line that exceeds the read buffer.
	long rationer.Buffer
	// attempt and position are those of the latest frame. The end frame repeats them,
	// since the end marker has none.
	attempt  string
	position int
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, memory *rationer.Account) *stream {
	return &stream{
		body:      body,
		reader:    bufio.NewReaderSize(body, streamBufferBytes),
		canceller: canceller.Canceller{Cancel: cancel},
		long:      rationer.Buffer{Account: memory, Copies: eventCopies},
	}
}

// Next implements kingcuphook.Stream. When ctx ends, the attempt is cancelled and
// the stream can't be read any more.
func (s *stream) Next(ctx context.Context) (kingcuphook.Frame, error) {
	s.canceller.SetContext(ctx)
	data, err := s.readData()
	if err != nil {
		if ctx.Err() != nil {
			return kingcuphook.Frame{}, ctx.Err()
		}
		return kingcuphook.Frame{}, fmt.Errorf("dialer: %w: %w", kingcuphook.ErrBrokenStream, err)
	}
	return s.frame(data)
}

// Close implements kingcuphook.Stream.
func (s *stream) Close() error {
	s.canceller.Close()
	s.long.Account.Close()
	return s.body.Close()
}

// readData returns the content of the next data line and skips all other lines. Each
// data line is taken as one event.
func (s *stream) readData() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line. It is valid only until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	s.long.Reset()
	for {
		if s.long.Len()+len(line) > maxEventBytes {
			return nil, kingcuphook.ErrTooLarge
		}
		if appendErr := s.long.Append(line); appendErr != nil {
			return nil, appendErr
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return s.long.Bytes(), err
		}
		line, err = s.reader.ReadSlice('\n')
	}
}

// frame decodes the data of an event, which is a completion chunk in JSON or the end
// marker.
func (s *stream) frame(data []byte) (kingcuphook.Frame, error) {
	if bytes.Equal(data, endMarker) {
		return kingcuphook.NewFrame(s.attempt, s.position, kingcuphook.FrameKindEnd, ""), nil
	}
	if !gjson.ValidBytes(data) {
		return kingcuphook.Frame{}, fmt.Errorf("dialer: event is not JSON: %w", kingcuphook.ErrBrokenStream)
	}
	// The values below are substrings of event, so that they share this one copy.
	event := string(data)
	id := gjson.Get(event, "id")
	position := gjson.Get(event, "position")
	choice := gjson.Get(event, "choices.0")
	if !id.Exists() || !position.Exists() || !choice.Exists() {
		return kingcuphook.Frame{}, fmt.Errorf("dialer: event lacks id, position or choice: %w", kingcuphook.ErrBrokenStream)
	}
	if id.Str != s.attempt {
		s.attempt = strings.Clone(id.Str)
	}
	s.position = int(position.Int())
	if finish := choice.Get("finish_reason"); finish.Type == gjson.String {
		return kingcuphook.NewFrame(s.attempt, s.position, kingcuphook.FrameKindFinish, finish.String()), nil
	}
	text := choice.Get("delta.content").String()
	return kingcuphook.NewFrame(s.attempt, s.position, kingcuphook.FrameKindData, text), nil
}
