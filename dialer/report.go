package dialer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/transporter"
)

// Paths of the load report, the cache events and the model order of an upstream.
const (
	pathLoad   = "/load"
	pathEvents = "/cache-events"
	pathOrder  = "/order"
)

// Response headers in which an upstream may report its load and its state.
const (
	headerRunning    = "X-Load-Running"
	headerQueued     = "X-Load-Queued"
	headerReportAge  = "X-Load-Age-Ms"
	headerLeaving    = "X-Leaving"
	headerRetryAfter = "Retry-After"
	headerRateLimit  = "X-Rate-Limit"
)

const (
	// maxReportBytes limits the body of a response to a query or an order; the rest
	// is cut off.
	maxReportBytes = 1 << 20
	// unknownLength is the length of a body of which only the beginning may be read.
	unknownLength = -1
	// maxReported bounds each number of a report, so that sums and ages don't overflow.
	maxReported = 1 << 40
	// hexBase is the base in which cache events write prefix hashes.
	hexBase = 16
	// prefixHashBits is the size of a prefix hash.
	prefixHashBits = 64
)

// Load queries the load of an upstream.
func (d *Dialer) Load(ctx context.Context, u *kingcuphook.Upstream) (kingcuphook.LoadReport, error) {
	body, err := d.query(ctx, u, pathLoad)
	if err != nil {
		return kingcuphook.LoadReport{}, err
	}
	if !gjson.ValidBytes(body) {
		return kingcuphook.LoadReport{}, fmt.Errorf("dialer: load report of %s: %w", u.Address(), kingcuphook.ErrInvalid)
	}
	v := gjson.ParseBytes(body)
	return newReport(kingcuphook.LoadReportFields{
		Upstream:     u.Address(),
		Running:      int(v.Get("running").Int()),
		Queued:       int(v.Get("queued").Int()),
		QueuedTokens: int(v.Get("queued-tokens").Int()),
		CachedTokens: int(v.Get("cached-tokens").Int()),
		Leaving:      v.Get("leaving").Bool(),
	}, int(v.Get("age-ms").Int()))
}

// newReport returns the report with the fields that an upstream made the given time ago, in
// milliseconds. The error wraps ErrInvalid if a number is negative or beyond its bound.
func newReport(f kingcuphook.LoadReportFields, ageMS int) (kingcuphook.LoadReport, error) {
	for _, n := range []int{f.Running, f.Queued, f.QueuedTokens, f.CachedTokens, ageMS} {
		if n < 0 || n > maxReported {
			return kingcuphook.LoadReport{}, fmt.Errorf("dialer: load report of %s has the number %d: %w", f.Upstream, n, kingcuphook.ErrInvalid)
		}
	}
	f.Made = time.Now().Add(-time.Duration(ageMS) * time.Millisecond)
	return kingcuphook.NewLoadReport(f), nil
}

// Events queries the cache events of an engine after a sequence number.
func (d *Dialer) Events(ctx context.Context, u *kingcuphook.Upstream, after int64) ([]kingcuphook.CacheEvent, error) {
	body, err := d.query(ctx, u, pathEvents+"?after="+strconv.FormatInt(after, 10))
	if err != nil {
		return nil, err
	}
	if !gjson.ValidBytes(body) {
		return nil, fmt.Errorf("dialer: cache events of %s: %w", u.Address(), kingcuphook.ErrInvalid)
	}
	var events []kingcuphook.CacheEvent
	for _, v := range gjson.ParseBytes(body).Array() {
		prefix, err := strconv.ParseUint(v.Get("prefix").String(), hexBase, prefixHashBits)
		if err != nil {
			return nil, fmt.Errorf("dialer: cache events of %s: %w", u.Address(), kingcuphook.ErrInvalid)
		}
		events = append(events, kingcuphook.NewCacheEvent(u.Address(), v.Get("sequence").Int(), prefix, v.Get("stored").Bool()))
	}
	return events, nil
}

// orderBody is the JSON form of an order, in requests and responses.
type orderBody struct {
	Model      string `json:"model"`
	Generation int64  `json:"generation"`
	Fence      int64  `json:"fence"`
}

// Order implements kingcuphook.Orderer.
func (d *Dialer) Order(ctx context.Context, o kingcuphook.Order) error {
	body, err := json.Marshal(orderBody{Model: o.Model(), Generation: o.Generation(), Fence: o.Fence()})
	if err != nil {
		return fmt.Errorf("dialer: order: %w", err)
	}
	a, err := d.do(ctx, http.MethodPut, o.Upstream(), pathOrder, body)
	if err != nil {
		return err
	}
	switch {
	case a.status == http.StatusConflict:
		return fmt.Errorf("dialer: order to %s: %w", o.Upstream(), kingcuphook.ErrStaleFence)
	case a.status != http.StatusOK:
		return fmt.Errorf("dialer: order to %s: unexpected status %d: %w", o.Upstream(), a.status, kingcuphook.ErrOutcomeUnknown)
	}
	return nil
}

// Loaded implements kingcuphook.Orderer.
func (d *Dialer) Loaded(ctx context.Context, u *kingcuphook.Upstream) (kingcuphook.Order, error) {
	body, err := d.query(ctx, u, pathOrder)
	if err != nil {
		return kingcuphook.Order{}, err
	}
	var o orderBody
	if err := json.Unmarshal(body, &o); err != nil {
		return kingcuphook.Order{}, fmt.Errorf("dialer: order of %s: %w", u.Address(), kingcuphook.ErrInvalid)
	}
	return kingcuphook.NewOrder(kingcuphook.OrderFields{
		Upstream:   u.Address(),
		Model:      o.Model,
		Generation: o.Generation,
		Fence:      o.Fence,
	}), nil
}

// query sends a GET request to an upstream and returns the body of a 200 response. It
// reports the rate limit that the response announces.
func (d *Dialer) query(ctx context.Context, u *kingcuphook.Upstream, path string) ([]byte, error) {
	sentAt := time.Now()
	a, err := d.do(ctx, http.MethodGet, u.Address(), path, nil)
	if err != nil {
		return nil, err
	}
	if d.OnNotice != nil {
		d.OnNotice(u, kingcuphook.Notice{}.WithRateLimit(a.limit), sentAt)
	}
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("dialer: %s%s: unexpected status %d: %w", u.Address(), path, a.status, kingcuphook.ErrUnavailable)
	}
	return a.body, nil
}

// answer is the response to a query or an order.
type answer struct {
	status int
	limit  kingcuphook.RateLimit
	body   []byte
}

// do sends a request and returns the response. Every failure to do so wraps
// ErrUnavailable, except for an invalid URL.
func (d *Dialer) do(ctx context.Context, method, address, path string, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, newBody(body))
	if err != nil {
		return answer{}, fmt.Errorf("dialer: %w", err)
	}
	resp, _, err := transporter.Send(req, d.shared.Do)
	if err != nil {
		return answer{}, fmt.Errorf("dialer: %s: %w: %w", address, kingcuphook.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	memory := d.Memory.OpenAnswer()
	defer memory.Close()
	text, err := memory.ReadAll(resp.Body, unknownLength, maxReportBytes)
	if err != nil {
		return answer{}, fmt.Errorf("dialer: %s: %w: %w", address, kingcuphook.ErrUnavailable, err)
	}
	return answer{status: resp.StatusCode, limit: transporter.RateLimit(resp.Header.Values(headerRateLimit)), body: text}, nil
}

// reportNotice calls OnNotice with the state that the upstream reports in a response.
// Retry-After counts only with status 503.
func (d *Dialer) reportNotice(u *kingcuphook.Upstream, resp *http.Response, sentAt time.Time) {
	if d.OnNotice == nil {
		return
	}
	pause := time.Duration(0)
	if resp.StatusCode == http.StatusServiceUnavailable {
		pause = transporter.RetryAfter(resp.Header.Values(headerRetryAfter))
	}
	n := kingcuphook.NewNotice(resp.Header.Get(headerLeaving) == "true", pause).
		WithRateLimit(transporter.RateLimit(resp.Header.Values(headerRateLimit)))
	d.OnNotice(u, n, sentAt)
}

// reportLoad calls OnReport with the load report in response headers. It ignores a
// report that is incomplete, not numeric or out of range.
func (d *Dialer) reportLoad(u *kingcuphook.Upstream, h http.Header) {
	if d.OnReport == nil || h.Get(headerRunning) == "" {
		return
	}
	running, err := strconv.Atoi(h.Get(headerRunning))
	if err != nil {
		return
	}
	queued, err := strconv.Atoi(h.Get(headerQueued))
	if err != nil {
		return
	}
	age, err := strconv.Atoi(h.Get(headerReportAge))
	if err != nil {
		return
	}
	report, err := newReport(kingcuphook.LoadReportFields{
		Upstream: u.Address(),
		Running:  running,
		Queued:   queued,
		Leaving:  h.Get(headerLeaving) == "true",
	}, age)
	if err == nil {
		d.OnReport(report)
	}
}
