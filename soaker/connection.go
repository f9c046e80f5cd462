package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Outcome is how a call ended for its caller.
type Outcome string

// Values of Outcome.
const (
	// OutcomeComplete is a complete answer with status 200.
	OutcomeComplete Outcome = "complete"
	// OutcomeRefused is a status which states that the call did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is a complete answer with another status.
	OutcomeFailed Outcome = "failed"
	// OutcomeCut is an answer that broke off.
	OutcomeCut Outcome = "cut"
	// OutcomeUnanswered is a connection that ended without an answer to a request that was
	// written whole.
	OutcomeUnanswered Outcome = "unanswered"
	// OutcomeLeft is an answer that the caller broke off.
	OutcomeLeft Outcome = "left"
	// OutcomeExpired is a call whose caller gave up at its deadline.
	OutcomeExpired Outcome = "expired"
	// OutcomeUnsent is a request that was not written whole.
	OutcomeUnsent Outcome = "unsent"
)

// Outcomes returns all values of Outcome.
func Outcomes() []Outcome {
	return []Outcome{OutcomeComplete, OutcomeRefused, OutcomeFailed, OutcomeCut, OutcomeUnanswered, OutcomeLeft, OutcomeExpired, OutcomeUnsent}
}

const (
	// dialTimeout is how long a caller waits for a connection.
	dialTimeout = time.Second
	// peekTime is how long a caller looks for the end of an idle connection.
	peekTime = time.Millisecond
)

// errUnrequested reports bytes on a connection on which no call waits for an answer.
var errUnrequested = errors.New("soaker: bytes without a request")

// connection is a caller's connection to a router. Unlike http.Transport it sends no
// request again by itself, which would hide a request without an answer.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(ctx context.Context, address string) (*connection, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// check returns nil if the idle connection is open, errUnrequested if bytes arrived on it, and
// another error if it has ended.
func (c *connection) check() error {
	_ = c.conn.SetReadDeadline(time.Now().Add(peekTime))
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		return errUnrequested
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// line is where a caller sends its calls to a router one after the other: over the open
// connection while there is one, and otherwise over a new one.
type line struct {
	router *router
	// open is the connection that may carry another call; nil if there is none.
	open *connection
}

// exchange sends a request and reads the answer until the deadline, or until the given number
// of events if it is not 0.
func (l *line) exchange(ctx context.Context, r *http.Request, deadline time.Time, events int) answer {
	var unrequested error
	if l.open != nil {
		if err := l.open.check(); err != nil {
			l.close()
			if errors.Is(err, errUnrequested) {
				unrequested = err
			}
		}
	}
	if l.open == nil {
		opened, err := dial(ctx, l.router.callers)
		if err != nil {
			return answer{outcome: OutcomeUnsent, malformed: unrequested}
		}
		l.open = opened
	}
	a := l.open.exchange(r, deadline, events)
	if !a.reusable {
		l.close()
	}
	if unrequested != nil {
		a.malformed = unrequested
	}
	return a
}

// close closes the open connection.
func (l *line) close() {
	if l.open != nil {
		l.open.close()
		l.open = nil
	}
}

// answer is what a caller received for a request.
type answer struct {
	// outcome does not distinguish statuses: each complete answer is OutcomeComplete.
	outcome Outcome
	// status and header are those of the answer; zero if none came.
	status int
	header http.Header
	body   string
	// written is when the last byte of the request was written; zero if it was not.
	written time.Time
	// malformed describes bytes that are no answer; nil if there were none.
	malformed error
	// reusable reports that the connection may carry another call.
	reusable bool
}

// exchange sends a request and reads the answer as line.exchange does.
func (c *connection) exchange(r *http.Request, deadline time.Time, events int) answer {
	_ = c.conn.SetDeadline(deadline)
	var a answer
	ended := OutcomeUnsent
	if err := r.Write(c.conn); err == nil {
		a.written, ended = time.Now(), OutcomeUnanswered
	}
	// A router may answer before it has read the whole request.
	if _, err := c.reader.Peek(1); err != nil {
		a.outcome = outcomeOf(err, ended)
		return a
	}
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		a.outcome = outcomeOf(err, OutcomeCut)
		if !isEnd(err) {
			a.malformed = err
		}
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	if events > 0 && a.status == http.StatusOK {
		a.body, err = readEvents(resp.Body, events)
		a.outcome = outcomeOf(err, OutcomeCut)
		if err == nil {
			a.outcome = OutcomeLeft
		}
		return a
	}
	body, err := io.ReadAll(resp.Body)
	a.body = string(body)
	a.outcome = outcomeOf(err, OutcomeCut)
	a.reusable = err == nil && !resp.Close && !a.written.IsZero()
	return a
}

// readEvents reads the given number of events, or more that came with them.
func readEvents(body io.Reader, events int) (string, error) {
	var read strings.Builder
	buffer := make([]byte, 1<<10)
	for strings.Count(read.String(), "\n\n") < events {
		n, err := body.Read(buffer)
		read.Write(buffer[:n])
		if err == io.EOF && strings.Count(read.String(), "\n\n") >= events {
			break // the last read brought the end as well
		}
		if err == io.EOF {
			return read.String(), io.ErrUnexpectedEOF
		}
		if err != nil {
			return read.String(), err
		}
	}
	return read.String(), nil
}

// outcomeOf returns OutcomeComplete if there is no error, OutcomeExpired if the deadline was
// reached, and otherwise the given outcome.
func outcomeOf(err error, otherwise Outcome) Outcome {
	switch {
	case err == nil:
		return OutcomeComplete
	case errors.Is(err, os.ErrDeadlineExceeded):
		return OutcomeExpired
	}
	return otherwise
}

// isEnd reports whether an error of reading is the end of the connection or the deadline.
func isEnd(err error) bool {
	var failed net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed)
}
