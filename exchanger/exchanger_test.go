package exchanger_test

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/emulator/signer"
	"github.com/kingcuphook/kingcuphook/exchanger"
	"github.com/kingcuphook/kingcuphook/gossiper"
)

// authority is a certificate authority for one fleet.
type authority struct {
	signer *signer.Signer
}

func newAuthority(t testing.TB) *authority {
	s, err := signer.New()
	is.New(t).NoErr(err)
	return &authority{signer: s}
}

// credentials issues a certificate for one router and returns its mutual TLS
// credentials.
func (a *authority) credentials(t testing.TB) credentials.TransportCredentials {
	is := is.New(t)
	f, err := a.signer.Issue(t.TempDir(), 2)
	is.NoErr(err)
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	is.NoErr(err)
	text, err := os.ReadFile(f.Authority)
	is.NoErr(err)
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(text))
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
}

// handler answers an exchange with the digest it received, and a pull with tables at
// revision 7.
type handler struct {
	tables []byte
}

func (h *handler) Exchange(_ context.Context, digest []byte) ([]byte, error) {
	if _, err := exchanger.Decode(digest); err != nil {
		return nil, err
	}
	return digest, nil
}

func (h *handler) Permits(_ context.Context, sender string, message []byte) ([]byte, error) {
	if sender == "" {
		return nil, kingcuphook.ErrInvalid
	}
	return append([]byte(sender+" "), message...), nil
}

func (h *handler) Pull(_ context.Context, revision int64) ([]byte, error) {
	if revision >= 7 {
		return nil, kingcuphook.ErrNotFound
	}
	return h.tables, nil
}

// countingListener counts the bytes and the read and write calls of all its
// connections.
type countingListener struct {
	net.Listener
	bytes, packets atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, l: l}, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	c.l.packets.Add(1)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	c.l.packets.Add(1)
	return n, err
}

// serve runs a server until the test ends.
func serve(t testing.TB, h exchanger.Handler, creds credentials.TransportCredentials) *countingListener {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &countingListener{Listener: inner}
	server := (&exchanger.Server{Handler: h, Credentials: creds}).NewGRPC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		server.Stop()
		<-done
	})
	return l
}

func digest(t testing.TB) []byte {
	d := &gossiper.Digest{
		Sender:    gossiper.Entry{Address: "10.0.0.1:7000", Location: 7, Incarnation: 1_790_000_000, State: gossiper.StateAlive},
		Revision:  123_456,
		Checksum:  42,
		Locations: []gossiper.Location{{Region: "cairo", DataCentre: "cairo-1"}},
	}
	b, err := exchanger.Encode(d)
	is.New(t).NoErr(err)
	return b
}

func TestExchangeAndPullOverMutualTLS(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	tables := make([]byte, 300<<10)
	_, _ = rand.Read(tables)
	l := serve(t, &handler{tables: tables}, a.credentials(t))
	c := &exchanger.Client{Credentials: a.credentials(t)}
	defer func() { _ = c.Close() }()

	sent := digest(t)
	got, err := c.Exchange(t.Context(), l.Addr().String(), sent)
	is.NoErr(err)
	is.Equal(got, sent)

	got, err = c.Pull(t.Context(), l.Addr().String(), 6)
	is.NoErr(err)
	is.Equal(got, tables)

	_, err = c.Pull(t.Context(), l.Addr().String(), 7)
	is.True(errors.Is(err, kingcuphook.ErrNotFound))

	_, err = c.Exchange(t.Context(), l.Addr().String(), []byte{1, 2, 3})
	is.True(errors.Is(err, kingcuphook.ErrInvalid))

	got, err = c.Permits(t.Context(), l.Addr().String(), "10.0.0.1:7000", []byte("request"))
	is.NoErr(err)
	is.Equal(string(got), "10.0.0.1:7000 request")
	_, err = c.Permits(t.Context(), l.Addr().String(), "", []byte("request"))
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
}

func TestCertificateOfAnotherAuthorityIsRejected(t *testing.T) {
	is := is.New(t)
	l := serve(t, &handler{}, newAuthority(t).credentials(t))
	c := &exchanger.Client{Credentials: newAuthority(t).credentials(t), Timeout: 5 * time.Second}
	defer func() { _ = c.Close() }()
	_, err := c.Exchange(t.Context(), l.Addr().String(), digest(t))
	is.True(errors.Is(err, kingcuphook.ErrUnavailable))
}

// TestUnresponsiveConnectionIsReplaced guards against a connection that stays open
// but delivers no more data: every further exchange on it would time out.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	f := &forwarder.Forwarder{Target: serve(t, &handler{}, a.credentials(t)).Addr().String()}
	address, err := f.Listen()
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	c := &exchanger.Client{Credentials: a.credentials(t), Timeout: 2 * time.Second}
	defer func() { _ = c.Close() }()
	_, err = c.Exchange(t.Context(), address, digest(t))
	is.NoErr(err)

	f.Blackhole()
	_, err = c.Exchange(t.Context(), address, digest(t))
	is.True(err != nil)
	_, err = c.Exchange(t.Context(), address, digest(t)) // on a new connection
	is.NoErr(err)
}

// slowHandler answers no exchange, and a pull after a while.
type slowHandler struct{ handler }

func (slowHandler) Exchange(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (h *slowHandler) Pull(ctx context.Context, revision int64) ([]byte, error) {
	time.Sleep(500 * time.Millisecond)
	return h.handler.Pull(ctx, revision)
}

// An exchange that timed out ended a pull of tables from the same peer.
func TestTimeoutOfExchangeEndsNoPull(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	address := serve(t, &slowHandler{handler{tables: []byte("tables")}}, a.credentials(t)).Addr().String()
	c := &exchanger.Client{Credentials: a.credentials(t), Timeout: 200 * time.Millisecond}
	defer func() { _ = c.Close() }()
	pulled := make(chan error, 1)
	go func() {
		_, err := c.Pull(t.Context(), address, 1)
		pulled <- err
	}()
	_, err := c.Exchange(t.Context(), address, digest(t))
	is.True(err != nil)
	is.NoErr(<-pulled)
}

// BenchmarkExchange reports the bytes of an exchange on the wire, including TLS
// records but without the two digests, the read and write calls on the server's
// connection, and the bytes of the first exchange with its handshake.
func BenchmarkExchange(b *testing.B) {
	a := newAuthority(b)
	l := serve(b, &handler{}, a.credentials(b))
	c := &exchanger.Client{Credentials: a.credentials(b)}
	defer func() { _ = c.Close() }()
	d := digest(b)
	call := func() {
		if _, err := c.Exchange(b.Context(), l.Addr().String(), d); err != nil {
			b.Fatal(err)
		}
	}
	call()
	handshake := l.bytes.Load()
	l.packets.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	n := float64(b.N)
	b.ReportMetric(float64(l.bytes.Load()-handshake)/n-2*float64(len(d)), "header-B/op")
	b.ReportMetric(float64(l.packets.Load())/n, "packets/op")
	b.ReportMetric(float64(handshake), "first-B")
}
