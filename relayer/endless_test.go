package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// A program at the address of a peer that replied with a head without end was read until the deadline, and all of it kept.
func TestReplyWithoutEndEndsDial(t *testing.T) {
	for name, head := range map[string]string{"status line": "HTTP/1.1 101 ", "header": "HTTP/1.1 101 Switching Protocols\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, err = io.WriteString(c, head)
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat("x", 1000))
				}
			}()
			const deadline = 500 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			begun := time.Now()
			_, err = (&Relayer{}).Dial(ctx, l.Addr().String(), kingcuphook.NewProgram("127.0.0.1:1", "i-1", 1), "c")
			if !errors.Is(err, kingcuphook.ErrNotSent) || ctx.Err() != nil {
				t.Errorf("error %v after %v, want one before the deadline", err, time.Since(begun))
			}
		})
	}
}
