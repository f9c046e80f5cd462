package relayer

import (
	"io"
	"testing"
	"time"
)

// An answer that a reset cut got the mark of a whole one: a failed write had taken the error of the connection.
func TestResetBeforeEndOfBodyIsNoEnd(t *testing.T) {
	const runs, text = 100, "HTTP/1.0 200 OK\r\n\r\nxxx"
	d := newTestDoor(t)
	ends := 0
	for range runs {
		c, upstream := d.open()
		go func() {
			body := make([]byte, blockBytes)
			for err := error(nil); err == nil; {
				_, err = c.Write(body)
			}
		}()
		_, _ = upstream.Read(make([]byte, 1))
		_, _ = io.WriteString(upstream, text)
		time.Sleep(time.Millisecond)
		_ = upstream.SetLinger(0)
		_ = upstream.Close()
		if _, err := io.Copy(io.Discard, onlyReader{c}); err == nil {
			ends++
		}
		_ = c.Close()
		<-d.ended
	}
	if ends > 0 {
		t.Errorf("%d of %d connections that were reset have an end mark", ends, runs)
	}
}

// onlyReader hides all but the reads of a connection.
type onlyReader struct{ io.Reader }
