// Package dialer runs attempts on upstreams over HTTP: streams of model engines
// and calls of plain services. It also reads what upstreams report.
package dialer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// Headers sent to upstreams.
const (
	headerAttempt    = "X-Attempt-Id"
	headerRequest    = "X-Request-Id"
	headerResumeFrom = "X-Resume-From"
	headerPriority   = "X-Priority"
	headerKey        = "Idempotency-Key"
	headerNotStarted = "X-Not-Started"
)

// Defaults and bounds of Dialer.
const (
	defaultDialTimeout = time.Second
	defaultMaxAnswer   = 8 << 20
	keepAliveInterval  = 5 * time.Second
	// idleTimeout is shorter than engines keep a connection without a request,
	// so that they rarely close one just when it is used.
	idleTimeout          = 3 * time.Second
	maxRefusalBodyBytes  = 4 << 10
	refusalBodyForErrors = 200
)

// Dialer implements kingcuphook.Engine. Connect must be called before the first
// attempt. It is safe for concurrent use.
type Dialer struct {
	// DialTimeout bounds opening a connection; 0 means 1 s.
	DialTimeout time.Duration
	// MaxAnswerBytes bounds the answer of a plain service; 0 means 8 MiB.
	MaxAnswerBytes int64
	// OnReport, if set, takes the load reports that come with answers. It must
	// be safe for concurrent use and return at once.
	OnReport func(kingcuphook.LoadReport)
	// OnNotice, if set, takes what upstreams say of themselves with answers. It must
	// be safe for concurrent use and return at once.
	OnNotice func(*kingcuphook.Upstream, kingcuphook.Notice)

	// shared keeps connections open for idempotent work and for queries.
	shared *http.Client
	// fresh opens a connection for each request. The HTTP transport repeats a
	// request on its own only when a kept connection breaks, so requests that
	// must run at most once go through this one.
	fresh *http.Client
}

var _ kingcuphook.Engine = (*Dialer)(nil)

// Connect prepares the transports.
func (d *Dialer) Connect() {
	d.shared = &http.Client{Transport: d.transport(false), CheckRedirect: refuseRedirect}
	d.fresh = &http.Client{Transport: d.transport(true), CheckRedirect: refuseRedirect}
}

// Close closes the connections that no attempt uses.
func (d *Dialer) Close() {
	d.shared.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (d *Dialer) transport(fresh bool) *http.Transport {
	return transporter.Transporter{
		DialTimeout: cmp.Or(d.DialTimeout, defaultDialTimeout),
		IdleTimeout: idleTimeout,
		KeepAlive:   keepAliveInterval,
		Fresh:       fresh,
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
	return newStream(resp.Body, cancel), nil
}

// Call implements kingcuphook.Engine.
func (d *Dialer) Call(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (kingcuphook.Answer, error) {
	resp, err := d.send(ctx, u, a)
	if err != nil {
		return kingcuphook.Answer{}, err
	}
	defer resp.Body.Close()
	limit := d.MaxAnswerBytes
	if limit == 0 {
		limit = defaultMaxAnswer
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return kingcuphook.Answer{}, fmt.Errorf("dialer: read answer of %s: %w", u.Address(), kingcuphook.ErrOutcomeUnknown)
	}
	if int64(len(body)) > limit {
		return kingcuphook.Answer{}, fmt.Errorf("dialer: answer of %s over %d bytes: %w", u.Address(), limit, errors.Join(kingcuphook.ErrTooLarge, kingcuphook.ErrOutcomeUnknown))
	}
	return kingcuphook.NewAnswer(resp.StatusCode, resp.Header.Get("Content-Type"), body), nil
}

// send sends the attempt and returns a response that was not refused.
func (d *Dialer) send(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Response, error) {
	req, err := newRequest(ctx, u, a)
	if err != nil {
		return nil, fmt.Errorf("dialer: %w: %w", kingcuphook.ErrUnavailable, err)
	}
	client := d.shared
	if a.Request().NonIdempotent() {
		client = d.fresh
	}
	resp, connected, err := transporter.Send(req, client.Do)
	if err != nil {
		if connected {
			return nil, fmt.Errorf("dialer: %s: %w: %w", u.Address(), kingcuphook.ErrOutcomeUnknown, err)
		}
		return nil, fmt.Errorf("dialer: %s: %w: %w", u.Address(), kingcuphook.ErrUnavailable, err)
	}
	d.report(u, resp.Header)
	d.notice(u, resp)
	if err := refusal(u, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// newBody returns a reader of body, or nil if it is empty.
func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

// newRequest builds the HTTP request. The transport repeats a request on its own
// if nothing of it was written to a kept connection. With an idempotency key it
// would also do so after an answer that never came, which must be seen by the
// dispatcher: then its body can't be read again.
func newRequest(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method(), "http://"+u.Address()+a.Path(), newBody(a.Body()))
	if err != nil {
		return nil, err
	}
	r := a.Request()
	if r.NonIdempotent() || r.Key() != "" {
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", a.ContentType())
	req.Header.Set(headerAttempt, a.ID())
	req.Header.Set(headerRequest, r.ID())
	req.Header.Set(headerPriority, strconv.Itoa(int(r.Tier())))
	if a.ResumeFrom() > 0 {
		req.Header.Set(headerResumeFrom, strconv.Itoa(a.ResumeFrom()))
	}
	if r.Key() != "" {
		req.Header.Set(headerKey, r.Key())
	}
	return req, nil
}

// refusal returns an error if the upstream says that it did not start, or if an
// engine answers with anything but a stream. It closes a refused response.
func refusal(u *kingcuphook.Upstream, resp *http.Response) error {
	if resp.Header.Get(headerNotStarted) != "" {
		defer resp.Body.Close()
		return fmt.Errorf("dialer: %s did not start: %w: %s", u.Address(), kingcuphook.ErrUnavailable, readRefusal(resp.Body))
	}
	if u.Kind() == kingcuphook.UpstreamKindService || resp.StatusCode == http.StatusOK {
		return nil
	}
	defer resp.Body.Close()
	cause := errors.Join(kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown)
	if isRejection(resp.StatusCode) {
		cause = errors.Join(kingcuphook.ErrRejected, cause)
	}
	return fmt.Errorf("dialer: %s answered %d: %w: %s", u.Address(), resp.StatusCode, cause, readRefusal(resp.Body))
}

// isRejection reports whether a status blames the request and not the moment.
func isRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func readRefusal(body io.Reader) string {
	text, err := io.ReadAll(io.LimitReader(body, maxRefusalBodyBytes))
	if err != nil {
		return "(unreadable answer)"
	}
	return string(text[:min(len(text), refusalBodyForErrors)])
}
