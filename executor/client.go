package executor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// rateShare is the share of the platform's rate that one holder uses, so that two that follow each other
	// don't exceed it.
	rateShare = 0.5
	// defaultRate is the rate of calls per second if the platform's is unknown.
	defaultRate = 10
	// burst is the number of calls that may be sent without a delay.
	burst = 4
	// confirmReads is how often the key of the lease is read at most after a rejected order.
	confirmReads = 2
)

// ErrWithheld means that a call was not sent, since an earlier one failed a short time ago.
var ErrWithheld = errors.New("executor: call withheld after one that failed")

// Lease is the lease on the duties. *leaser.Runner implements it.
type Lease interface {
	// Run acquires and renews the lease until ctx ends, and then releases it.
	Run(ctx context.Context)
	// Holding returns the fencing number and the time until which calls may be open, or an error that
	// wraps kingcuphook.ErrLeaseLost.
	Holding() (fence int64, until time.Time, err error)
	// Owns reads the key of the lease and reports whether it is still that of this router.
	Owns(ctx context.Context) (bool, error)
	// Release gives the lease up.
	Release()
	// SetPosition sets the position among the candidates, or leaser.NotCandidate.
	SetPosition(position int)
}

// Transport sends calls to the platform. *platform.Duties implements it.
type Transport interface {
	// ReportUsage sends a report. Errors wrap kingcuphook.ErrStaleFence, ErrRateLimited, ErrUnavailable
	// or ErrOutcomeUnknown.
	ReportUsage(ctx context.Context, fence int64, r kingcuphook.UsageReport) error
	// SetCapacity sends an order. Its errors are those of ReportUsage; ErrStaleFence also stands for a
	// lack of upstreams.
	SetCapacity(ctx context.Context, fence int64, o kingcuphook.CapacityOrder) error
}

// Client makes the calls of the duties while this router holds their lease. It implements
// kingcuphook.DutyClient. Its exported fields are set before the first use. It sends one call at a time and
// is safe for concurrent use.
type Client struct {
	// Lease is the lease on the duties; never nil.
	Lease Lease
	// Transport sends the calls; never nil.
	Transport Transport
	// TTL is the time-to-live of the lease.
	TTL time.Duration
	// Rate is the number of calls per second that the platform accepts from all routers; 0 means unknown.
	Rate float64
	// IsGuarded reports whether an earlier holder need not be waited for, since the platform
	// rejects its calls and the store has never been restored from an older copy.
	IsGuarded func() bool
	// OnFailure, if set, is called with each call that was sent and failed.
	OnFailure func(d kingcuphook.Duty, fence int64, err error)

	once    sync.Once
	limiter *rate.Limiter
	counts  counts

	// sending is held during a call.
	sending sync.Mutex
	// mu guards the fields below.
	mu   sync.Mutex
	term term
	// retries delay the calls of each duty after failed ones of it, limited those of all duties after one that
	// exceeded the platform's rate.
	retries map[kingcuphook.Duty]*backoff
	limited backoff
	// stopped is true once a planned stop has begun.
	stopped bool
}

var _ kingcuphook.DutyClient = (*Client)(nil)

// start sets the defaults. The wait of a router that was started begins with it.
func (c *Client) start() {
	c.once.Do(func() {
		r := rateShare * c.Rate
		if c.Rate <= 0 {
			r = defaultRate
		}
		c.limiter = rate.NewLimiter(rate.Limit(r), burst)
		c.term = term{ttl: c.TTL, acted: time.Now()}
	})
}

// ReportUsage implements kingcuphook.DutyClient.
func (c *Client) ReportUsage(ctx context.Context, r kingcuphook.UsageReport) error {
	return c.call(ctx, kingcuphook.DutyUsage, func(ctx context.Context, fence int64) error {
		return c.Transport.ReportUsage(ctx, fence, r)
	})
}

// SetCapacity implements kingcuphook.DutyClient.
func (c *Client) SetCapacity(ctx context.Context, o kingcuphook.CapacityOrder) error {
	return c.call(ctx, kingcuphook.DutyCapacity, func(ctx context.Context, fence int64) error {
		return c.Transport.SetCapacity(ctx, fence, o)
	})
}

// call sends a call when the rate allows it, if this router may act then. The call ends before the lease
// can be lost.
func (c *Client) call(ctx context.Context, d kingcuphook.Duty, send func(ctx context.Context, fence int64) error) error {
	c.start()
	c.sending.Lock()
	defer c.sending.Unlock()
	if err := c.withheld(d); err != nil {
		return err
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("executor: wait for the rate of calls: %w: %w", kingcuphook.ErrUnavailable, err)
	}
	fence, until, err := c.begin()
	if err != nil {
		return err
	}
	timed, cancel := context.WithDeadline(ctx, earlier(until, time.Now().Add(c.TTL/2)))
	defer cancel()
	err = send(timed, fence)
	c.recordResult(d, err)
	if errors.Is(err, kingcuphook.ErrStaleFence) {
		err = c.judgeRejection(ctx, d, fence, until, err)
	}
	c.counts.add(err)
	if err == nil {
		return nil
	}
	if c.OnFailure != nil {
		c.OnFailure(d, fence, err)
	}
	return fmt.Errorf("executor: call of duty %s with fencing number %d: %w", d, fence, err)
}

// withheld returns an error if no call may be sent yet after one that failed.
func (c *Client) withheld(d kingcuphook.Duty) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if err := cmp.Or(c.limited.pending(now), c.retry(d).pending(now)); err != nil {
		return fmt.Errorf("%w: %w", ErrWithheld, err)
	}
	return nil
}

// retry returns the backoff of a duty. The caller must hold mu.
func (c *Client) retry(d kingcuphook.Duty) *backoff {
	if c.retries == nil {
		c.retries = make(map[kingcuphook.Duty]*backoff)
	}
	if c.retries[d] == nil {
		c.retries[d] = &backoff{}
	}
	return c.retries[d]
}

// stop makes the client send no more calls. Those that are open go on.
func (c *Client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// begin returns the fencing number of a call that begins now and the time until which it may be open, or
// an error if no call may be sent.
func (c *Client) begin() (fence int64, until time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	fence, until, err = c.Lease.Holding()
	if err != nil {
		return 0, time.Time{}, fmt.Errorf("executor: %w", err)
	}
	if c.stopped || !c.term.mayAct(now, fence) {
		return 0, time.Time{}, fmt.Errorf("executor: fencing number %d may not be used: %w", fence, kingcuphook.ErrLeaseLost)
	}
	c.term.act(now, 0)
	return fence, until, nil
}

// recordResult records the result of a call that has ended. One without an answer may still take effect.
func (c *Client) recordResult(d kingcuphook.Duty, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	longer := time.Duration(0)
	switch {
	case err == nil, errors.Is(err, kingcuphook.ErrStaleFence), errors.Is(err, kingcuphook.ErrInvalid), errors.Is(err, kingcuphook.ErrTooLarge):
		c.retry(d).answered()
		c.limited.answered()
	case errors.Is(err, kingcuphook.ErrRateLimited):
		c.limited.failed(now, kingcuphook.ErrRateLimited)
	case errors.Is(err, kingcuphook.ErrUnavailable):
		c.retry(d).failed(now, kingcuphook.ErrUnavailable)
	default:
		// Calls that are withheld after this one have no effect.
		c.retry(d).failed(now, kingcuphook.ErrUnavailable)
		longer = c.TTL
	}
	c.term.act(now, longer)
}

// judgeRejection returns ErrNoCapacity if the platform has rejected an order although the key of
// the lease is still that of this router. Otherwise the holding ends.
func (c *Client) judgeRejection(ctx context.Context, d kingcuphook.Duty, fence int64, until time.Time, err error) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for range confirmReads {
		if d != kingcuphook.DutyCapacity {
			break
		}
		owns, failure := c.Lease.Owns(ctx)
		if failure == nil && owns {
			return fmt.Errorf("%w: %w", kingcuphook.ErrNoCapacity, err)
		}
		if failure == nil {
			break
		}
	}
	c.mu.Lock()
	c.term.reject(fence)
	c.mu.Unlock()
	c.Lease.Release()
	return fmt.Errorf("%w: %w", kingcuphook.ErrLeaseLost, err)
}

// hold records that the lease is held with a fencing number, and reports whether the number is new.
func (c *Client) hold(now time.Time, fence int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term.begin(now, fence, c.IsGuarded())
}

// mayAct reports whether the holder with a fencing number may act now.
func (c *Client) mayAct(now time.Time, fence int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term.mayAct(now, fence)
}

// eligibleAt returns when this router may act with another fencing number.
func (c *Client) eligibleAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term.eligibleAt()
}
