// Package discarder drops the bodies of refused HTTP requests so that their callers receive the refusals.
package discarder

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/interrupter"
)

const (
	// timeout limits how long the rest of a refused body is read after the response.
	timeout = 5 * time.Second
	// minTime is how long it is read at least, so that the refusal arrives before the connection closes.
	minTime = 500 * time.Millisecond
	// shortTimeout limits how long the rest of a short refused body is read before the response.
	shortTimeout = 500 * time.Millisecond
	// maxPostHandlerBytes is how much of an unread body an http.Server reads after a response.
	maxPostHandlerBytes = 256 << 10
)

// body is the body of a request that records whether it was read.
type body struct {
	io.ReadCloser

	isRead bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.isRead = true
	return b.ReadCloser.Read(p)
}

// Track makes the body of a request record whether it was read. A caller that sent the header Expect counts as
// waiting to be asked for the body until then, or always if the request is not tracked.
func Track(r *http.Request) {
	if r.Header.Get("Expect") != "" {
		r.Body = &body{ReadCloser: r.Body}
	}
}

// isAwaiting reports whether the caller of a request waits to be asked for the body. The first read of the
// body asks for it.
func isAwaiting(r *http.Request) bool {
	if b, ok := r.Body.(*body); ok && b.isRead {
		return false
	}
	return r.Header.Get("Expect") != ""
}

// isLong reports whether an http.Server, after a response, would close the connection of a request whose
// body was not read to its end instead of reading on.
func isLong(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > maxPostHandlerBytes
}

// finish reads the rest of a short body of a refused request, so that its connection can be kept. It reports
// whether the response may be left to the http.Server, which would wait for the rest without end. It
// returns early if ctx ends.
func finish(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	if isLong(r) {
		return false
	}
	if r.ContentLength == 0 || isAwaiting(r) {
		return true // the server reads nothing
	}
	control := http.NewResponseController(w)
	if drop(ctx, control, r.Body, shortTimeout) != nil {
		return false
	}
	return control.SetReadDeadline(time.Time{}) == nil
}

// prepare lets the response to a request be sent before the rest of its body is read, and its connection
// be closed after that. It must be called before the head of the response is written.
func prepare(w http.ResponseWriter) {
	// The server would read on before it sends the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

// Discarder drops the bodies of the requests of a server. The zero value is ready for use. It is safe for
// concurrent use.
type Discarder struct {
	mu sync.Mutex
	// running holds a *discard for each body that is being read, the oldest first.
	running list.List
}

// discard is a body that is being read.
type discard struct {
	control *http.ResponseController
	began   time.Time
	// ended is set once EndOldest has ended it; the mutex of the Discarder guards it.
	ended bool
}

// Refuse refuses a request with err: write writes the response, and what was not read of the body is
// dropped. The response must state its length, so that it ends before the body does. Refuse returns early if
// ctx ends. It panics with http.ErrAbortHandler, which closes the connection, if EndOldest ends it.
func (d *Discarder) Refuse(ctx context.Context, w http.ResponseWriter, r *http.Request, err error, write func()) {
	if !errors.Is(err, kingcuphook.ErrOutOfMemory) && finish(ctx, w, r) {
		write()
		return
	}
	prepare(w)
	write()
	if http.NewResponseController(w).Flush() == nil {
		d.discard(ctx, w, r)
	}
}

// discard drops the rest of the body of a request whose response was flushed. Closing a connection with
// unread bytes would reset it, so that the caller might not receive the response.
func (d *Discarder) discard(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	x := &discard{control: http.NewResponseController(w), began: time.Now()}
	if isAwaiting(r) {
		interrupter.Interrupt(x.control) // the caller sends no body after its refusal
		return
	}
	place := d.add(x)
	_ = drop(ctx, x.control, r.Body, timeout)
	if d.remove(place) {
		panic(http.ErrAbortHandler)
	}
}

// drop reads r to its end, for a limited time and until ctx ends.
func drop(ctx context.Context, control *http.ResponseController, r io.Reader, limit time.Duration) error {
	if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	stop := interrupter.InterruptAfter(ctx, control)
	defer stop()
	_, err := io.Copy(io.Discard, r)
	return err
}

// Running returns the number of bodies that are being read.
func (d *Discarder) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running.Len()
}

func (d *Discarder) add(x *discard) *list.Element {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running.PushBack(x)
}

// remove reports whether EndOldest has removed the discard before.
func (d *Discarder) remove(place *list.Element) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.running.Remove(place).(*discard)
	return x.ended
}

// EndOldest ends the discard that has run for longest, so that its connection closes at once. It returns
// false if none has run for long enough.
func (d *Discarder) EndOldest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := d.running.Front()
	if oldest == nil {
		return false
	}
	x := oldest.Value.(*discard)
	if time.Since(x.began) < minTime {
		return false
	}
	d.running.Remove(oldest)
	x.ended = true
	interrupter.Interrupt(x.control)
	return true
}
