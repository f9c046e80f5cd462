package dialer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// FuzzStream reads arbitrary bytes as the events of an engine. Reading must end with
// an end frame or an error that wraps ErrBrokenStream, and must not return more frames
// than there are bytes.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"position\":0,\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n" +
		"data: {\"id\":\"a\",\"position\":1,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\nevent: x\ndata:{}\n"))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("data: {\"id\":1,\"position\":\"x\",\"choices\":[null]}\r\n"))
	f.Add(bytes.Repeat([]byte("data"), maxEventBytes))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, cancel := context.WithCancel(context.Background())
		s := newStream(io.NopCloser(bytes.NewReader(b)), cancel, (*rationer.Rationer)(nil).Open())
		defer func() { _ = s.Close() }()
		for n := 0; ; n++ {
			frame, err := s.Next(context.Background())
			if err != nil {
				if !errors.Is(err, kingcuphook.ErrBrokenStream) {
					t.Fatalf("error doesn't wrap ErrBrokenStream: %v", err)
				}
				return
			}
			if frame.Kind() == kingcuphook.FrameKindEnd {
				return
			}
			if n > len(b) {
				t.Fatal("more frames than bytes")
			}
		}
	})
}
