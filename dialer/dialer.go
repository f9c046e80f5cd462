// Package dialer runs attempts on upstreams over HTTP: streams of model engines
// and calls of plain services. It also reads the load reports and cache events of
// upstreams, and sends and reads their orders: which model an upstream is to serve.
package dialer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// Headers exchanged with upstreams.
const (
	headerAttempt    = "X-Attempt-Id"
	headerRequest    = "X-Request-Id"
	headerResumeFrom = "X-Resume-From"
	headerPriority   = "X-Priority"
	headerKey        = "Idempotency-Key"
	// headerNotStarted in a response means that the upstream didn't start the request. On a
	// connection that had other requests, it counts only beside headerAttempt: the response
	// may be a late one to another request.
	headerNotStarted = "X-Not-Started"
)

// Defaults and limits of Dialer.
const (
	defaultDialTimeout = time.Second
	defaultMaxAnswer   = 8 << 20
	keepAliveInterval  = 5 * time.Second
	// idleTimeout is shorter than the idle timeout of engines, so that an engine
	// rarely closes a connection just when it is reused.
	idleTimeout = 3 * time.Second
	// maxErrorBodyBytes limits how much is read of the body of an error response,
	// maxErrorTextBytes how much of it goes into the error.
	maxErrorBodyBytes = 4 << 10
	maxErrorTextBytes = 200
)

// Dialer implements kingcuphook.Engine. Init must be called before the first
// attempt. It is safe for concurrent use.
type Dialer struct {
	// DialTimeout limits how long opening a connection takes; 0 means 1 s.
	DialTimeout time.Duration
	// MaxAnswerBytes limits the body of a plain service's answer; 0 means 8 MiB.
	MaxAnswerBytes int64
	// OnReport, if set, is called with the load reports in response headers. It must
	// be safe for concurrent use and must not block.
	OnReport func(kingcuphook.LoadReport)
	// OnNotice, if set, is called for each response with the state that the upstream
	// reports in its headers, and with when the request was sent. It must be safe for
	// concurrent use and must not block.
	OnNotice func(u *kingcuphook.Upstream, n kingcuphook.Notice, sentAt time.Time)

	// Memory is the budget for heads, answers that are being read, and events; nil means no limit.
	Memory *rationer.Rationer

	// shared reuses connections; idempotent requests, queries and orders use it.
	shared *http.Client
	// fresh opens a new connection for each request. Non-idempotent requests use it,
	// because the HTTP transport retries a request by itself only when a reused
	// connection breaks.
	fresh *http.Client
	// headsRejected counts the heads of responses that were too long.
	headsRejected atomic.Int64
}

var _ kingcuphook.Engine = (*Dialer)(nil)

// Init creates the HTTP clients. It opens no connection.
func (d *Dialer) Init() {
	d.shared = &http.Client{Transport: d.transport(false), CheckRedirect: returnRedirect}
	d.fresh = &http.Client{Transport: d.transport(true), CheckRedirect: returnRedirect}
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.shared.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// HeadsRejected returns how many heads of responses were too long.
func (d *Dialer) HeadsRejected() int64 { return d.headsRejected.Load() }

// returnRedirect makes an HTTP client return redirects instead of following them.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (d *Dialer) transport(fresh bool) *http.Transport {
	return transporter.Transporter{
		DialTimeout:       cmp.Or(d.DialTimeout, defaultDialTimeout),
		IdleTimeout:       idleTimeout,
		KeepAlive:         keepAliveInterval,
		DisableKeepAlives: fresh,
		Memory:            d.Memory,
		HeadsRejected:     &d.headsRejected,
	}.New()
}

// Start implements kingcuphook.Engine.
func (d *Dialer) Start(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := d.send(ctx, u, a) //nolint:bodyclose // the stream closes it
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel, d.Memory.OpenAnswer()), nil
}

// Call implements kingcuphook.Engine.
func (d *Dialer) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	resp, err := d.send(ctx, u, a)
	if err != nil {
		return kingcuphook.Answer{}, err
	}
	defer resp.Body.Close()
	memory := d.Memory.OpenAnswer()
	defer memory.Close()
	body, err := transporter.ReadBody(memory, resp, cmp.Or(d.MaxAnswerBytes, defaultMaxAnswer))
	if err != nil {
		return kingcuphook.Answer{}, fmt.Errorf("dialer: read answer of %s: %w", u.Address(), readError(err))
	}
	if len(body) == 0 && resp.StatusCode < http.StatusMultipleChoices && transporter.IsCloseDelimited(resp) {
		return kingcuphook.Answer{}, fmt.Errorf("dialer: connection to %s ended with the head of the answer: %w", u.Address(), kingcuphook.ErrOutcomeUnknown)
	}
	return kingcuphook.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

// readError returns the error of an answer that could not be read, with its cause if that is a limit
// of this router.
func readError(err error) error {
	if errors.Is(err, kingcuphook.ErrTooLarge) || errors.Is(err, kingcuphook.ErrOutOfMemory) {
		return errors.Join(kingcuphook.ErrOutcomeUnknown, err)
	}
	return kingcuphook.ErrOutcomeUnknown
}

// send sends the attempt and returns the response if checkResponse accepts it.
func (d *Dialer) send(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Response, error) {
	req, err := newRequest(ctx, u, a)
	if err != nil {
		return nil, fmt.Errorf("dialer: %w: %w", kingcuphook.ErrUnavailable, err)
	}
	client := d.shared
	if a.Request().NonIdempotent() {
		client = d.fresh
	}
	sentAt := time.Now()
	var reused atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { reused.Store(c.Reused) },
	}))
	resp, connected, err := transporter.Send(req, client.Do)
	if err != nil {
		if connected {
			return nil, fmt.Errorf("dialer: %s: %w: %w", u.Address(), kingcuphook.ErrOutcomeUnknown, err)
		}
		return nil, fmt.Errorf("dialer: %s: %w: %w: %w", u.Address(), kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent, err)
	}
	if isForeign(a, resp, reused.Load()) {
		_ = resp.Body.Close()
		// More unexpected responses may arrive on the connection.
		client.CloseIdleConnections()
		return nil, fmt.Errorf("dialer: %s responded to another request, status %d: %w: %w", u.Address(), resp.StatusCode, kingcuphook.ErrOutcomeUnknown, kingcuphook.ErrForeignFrame)
	}
	if !transporter.IsFinal(resp) {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("dialer: %s sent status %d, which is no answer: %w", u.Address(), resp.StatusCode, kingcuphook.ErrOutcomeUnknown)
	}
	d.reportLoad(u, resp.Header)
	d.reportNotice(u, resp, sentAt)
	if err := checkResponse(u, a, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// isForeign reports whether a response may not be that to the attempt: it has the ID of another
// one, two responses run into each other in its head, or it is a refusal without an ID on a
// connection that had other requests before.
func isForeign(a *kingcuphook.Attempt, resp *http.Response, reused bool) bool {
	ids := resp.Header.Values(headerAttempt)
	switch {
	case transporter.IsMerged(resp) || len(ids) > 1:
		return true
	case len(ids) == 1:
		return ids[0] != a.ID()
	default:
		return reused && resp.Header.Get(headerNotStarted) != ""
	}
}

// newBody returns a reader of body, or nil if it is empty.
func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

// newRequest builds the HTTP request of an attempt. The transport retries a request
// by itself if nothing of it was written to a reused connection. It would also retry
// a written request that has an idempotency key when no response arrives. Only the
// dispatcher may decide on such a retry, so requests with a key and non-idempotent
// ones get no GetBody.
func newRequest(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method(), "http://"+u.Address()+a.Path(), newBody(a.Body()))
	if err != nil {
		return nil, err
	}
	r := a.Request()
	if r.NonIdempotent() || r.IdempotencyKey() != "" {
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", a.ContentType())
	req.Header.Set(headerAttempt, a.ID())
	req.Header.Set(headerRequest, r.ID())
	req.Header.Set(headerPriority, strconv.Itoa(int(r.Tier())))
	if a.ResumeFrom() > 0 {
		req.Header.Set(headerResumeFrom, strconv.Itoa(a.ResumeFrom()))
	}
	if r.IdempotencyKey() != "" {
		req.Header.Set(headerKey, r.IdempotencyKey())
	}
	return req, nil
}

// checkResponse returns an error if the upstream did not start the request, or if an
// engine responds with a status other than 200. It closes the body in these cases. A
// status doesn't reject a request that another engine has begun to answer.
func checkResponse(u *kingcuphook.Upstream, a *kingcuphook.Attempt, resp *http.Response) error {
	if resp.Header.Get(headerNotStarted) != "" {
		defer resp.Body.Close()
		return fmt.Errorf("dialer: %s did not start: %w: %s", u.Address(), kingcuphook.ErrUnavailable, readErrorText(resp.Body))
	}
	if u.Kind() == kingcuphook.UpstreamKindService || resp.StatusCode == http.StatusOK {
		return nil
	}
	defer resp.Body.Close()
	cause := errors.Join(kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown)
	if isRejection(resp.StatusCode) && a.ResumeFrom() == 0 {
		cause = errors.Join(kingcuphook.ErrRejected, cause)
	}
	return fmt.Errorf("dialer: %s answered %d: %w: %s", u.Address(), resp.StatusCode, cause, readErrorText(resp.Body))
}

// isRejection reports whether a status means that the request itself is invalid, so
// that a retry would fail too. 408 and 429 are temporary.
func isRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// readErrorText returns the beginning of the body of an error response.
func readErrorText(body io.Reader) string {
	text, err := io.ReadAll(io.LimitReader(body, maxErrorBodyBytes))
	if err != nil {
		return "(unreadable answer)"
	}
	return string(text[:min(len(text), maxErrorTextBytes)])
}
