package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener

	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// TestLoadReports checks that load is reported in the headers of an answer and in
// response to a query.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	up := &responder.Upstream{StepTime: time.Millisecond}
	up.SetLeaving(true)
	d, u := startUpstream(t, up, kingcuphook.UpstreamKindEngine)
	reports := make(chan kingcuphook.LoadReport, 1)
	d.OnReport = func(l kingcuphook.LoadReport) { reports <- l }
	s, err := d.Start(context.Background(), u, attempt(`{"messages":[]}`))
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	l := <-reports
	is.Equal(l.Upstream(), u.Address())
	is.True(l.Leaving())
	l, err = d.Load(context.Background(), u)
	is.NoErr(err)
	is.True(l.Leaving())
	_, err = d.Events(context.Background(), u, 0)
	is.NoErr(err)
}

// TestOrders checks that an accepted order can be read back, and that one with a
// smaller fencing number is rejected and changes nothing.
func TestOrders(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, u := startUpstream(t, &responder.Upstream{}, kingcuphook.UpstreamKindEngine)
	order := func(fence int64) error {
		return d.Order(ctx, kingcuphook.NewOrder(kingcuphook.OrderFields{Upstream: u.Address(), Model: "m", Generation: 1, Fence: fence}))
	}
	is.NoErr(order(5))
	is.True(order(4) != nil) // stale fencing number
	got, err := d.Loaded(ctx, u)
	is.NoErr(err)
	is.Equal(got.Model(), "m")
	is.Equal(got.Fence(), int64(5))
}

// BenchmarkQuery reports the bytes that each kind of query transfers over a reused
// connection, in both directions.
func BenchmarkQuery(b *testing.B) {
	srv := httptest.NewUnstartedServer(&responder.Upstream{})
	l := &countingListener{Listener: srv.Listener}
	srv.Listener = l
	srv.Start()
	defer srv.Close()
	d := &Dialer{}
	d.Init()
	defer d.Close()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: l.Addr().String(), Kind: kingcuphook.UpstreamKindEngine})
	ctx := context.Background()
	for name, query := range map[string]func() error{
		"load":   func() error { _, err := d.Load(ctx, u); return err },
		"events": func() error { _, err := d.Events(ctx, u, 0); return err },
		"order":  func() error { _, err := d.Loaded(ctx, u); return err },
	} {
		b.Run(name, func(b *testing.B) {
			before := l.bytes.Load()
			for b.Loop() {
				if err := query(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.bytes.Load()-before)/float64(b.N), "B/question")
		})
	}
}

// TestNoticesInHeaders checks that notices are reported without a load report in the
// same response, and that Retry-After counts only with status 503.
func TestNoticesInHeaders(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Leaving", "true") // no load report headers
		w.Header().Set("Retry-After", "1.5")
		w.Header().Set("X-Rate-Limit", "2.5")
		w.WriteHeader(status)
	}))
	defer server.Close()
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: server.Listener.Addr().String(), Kind: kingcuphook.UpstreamKindService})
	var notices []kingcuphook.Notice
	d := &Dialer{OnNotice: func(_ *kingcuphook.Upstream, n kingcuphook.Notice, _ time.Time) { notices = append(notices, n) }}
	d.Init()
	defer d.Close()
	_, err := d.Call(context.Background(), u, attempt(""))
	is.NoErr(err)
	status = http.StatusServiceUnavailable
	_, err = d.Call(context.Background(), u, attempt(""))
	is.NoErr(err)
	is.Equal(notices, []kingcuphook.Notice{
		kingcuphook.NewNotice(true, 0).WithRateLimit(kingcuphook.NewRateLimit(2.5)),
		kingcuphook.NewNotice(true, 1500*time.Millisecond).WithRateLimit(kingcuphook.NewRateLimit(2.5)),
	})
}

// A report from the future kept out all later ones, and a negative load made an upstream look free.
func TestOddLoadReportIsIgnored(t *testing.T) {
	is := is.New(t)
	for _, odd := range []string{`"running":-1`, `"queued":1e300`, `"age-ms":-9223372036854775808`, `"age-ms":9223372036854775807`, `"queued-tokens":1e18`} {
		d, u := startUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "{%s}", odd)
		}), kingcuphook.UpstreamKindEngine)
		_, err := d.Load(t.Context(), u)
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
	}
	d := &Dialer{OnReport: func(r kingcuphook.LoadReport) { t.Errorf("%+v", r) }}
	for _, odd := range [][3]string{{"-1", "0", "0"}, {"0", "9223372036854775807", "0"}, {"0", "0", "-5000"}, {"0", "0", "9223372036854775807"}} {
		d.reportLoad(&kingcuphook.Upstream{}, http.Header{headerRunning: {odd[0]}, headerQueued: {odd[1]}, headerReportAge: {odd[2]}})
	}
}
