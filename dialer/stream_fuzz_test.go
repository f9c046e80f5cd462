package dialer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

// FuzzStream reads any bytes as the events of an engine. Whatever comes, reading
// ends with an end marker or a typed error, and no frame follows the end marker.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"position\":0,\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n" +
		"data: {\"id\":\"a\",\"position\":1,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\nevent: x\ndata:{}\n"))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("data: {\"id\":1,\"position\":\"x\",\"choices\":[null]}\r\n"))
	f.Add(bytes.Repeat([]byte("data"), maxEventBytes))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, cancel := context.WithCancel(context.Background())
		s := newStream(io.NopCloser(bytes.NewReader(b)), cancel)
		defer func() { _ = s.Close() }()
		for n := 0; ; n++ {
			frame, err := s.Next(context.Background())
			if err != nil {
				if !errors.Is(err, kingcuphook.ErrBrokenStream) {
					t.Fatalf("untyped error %v", err)
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
