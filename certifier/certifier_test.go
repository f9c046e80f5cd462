package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a key pair and the authority into dir.
func (a *authority) issue(t *testing.T, dir string, serial int64) *Certifier {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "router"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	c := &Certifier{
		CertificateFile: filepath.Join(dir, "cert.pem"),
		KeyFile:         filepath.Join(dir, "key.pem"),
		AuthorityFile:   filepath.Join(dir, "authority.pem"),
	}
	write(t, c.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, c.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	write(t, c.AuthorityFile, a.pem)
	return c
}

func write(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the server's serial
// number as the client saw it, and the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer func() { _ = c.Close() }()
		_, err = c.Read(make([]byte, 1))
		accepted <- err
	}()
	c, clientErr := tls.Dial("tcp", l.Addr().String(), client)
	if clientErr != nil {
		return 0, <-accepted, clientErr
	}
	serial = c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	_, _ = c.Write([]byte{1})
	serverErr = <-accepted
	return serial, serverErr, c.Close()
}

func TestBothSidesMustShowTheAuthoritysCertificate(t *testing.T) {
	is := is.New(t)
	good, other := newAuthority(t), newAuthority(t)
	server, client := good.issue(t, t.TempDir(), 2), good.issue(t, t.TempDir(), 3)
	stranger := other.issue(t, t.TempDir(), 4)
	for _, c := range []*Certifier{server, client, stranger} {
		is.NoErr(c.Load())
	}
	serial, serverErr, clientErr := handshake(t, server.Server(), client.Client())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	is.Equal(serial, int64(2))

	_, _, clientErr = handshake(t, stranger.Server(), client.Client())
	is.True(clientErr != nil) // the client refuses the stranger
	_, serverErr, _ = handshake(t, server.Server(), stranger.Client())
	is.True(serverErr != nil) // the server refuses the stranger
	_, serverErr, _ = handshake(t, server.Server(), &tls.Config{InsecureSkipVerify: true})
	is.True(serverErr != nil) // the server refuses a client without a certificate
}

func TestChangedFilesAreTakenUpAndBadOnesRefused(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	c := a.issue(t, dir, 2)
	is.NoErr(c.Load())
	client := a.issue(t, t.TempDir(), 9)
	is.NoErr(client.Load())

	a.issue(t, dir, 3)
	touch(t, c, time.Minute)
	serial, _, _ := handshake(t, c.Server(), client.Client())
	is.Equal(serial, int64(3)) // the new certificate is shown

	write(t, c.CertificateFile, []byte("not a certificate"))
	touch(t, c, 2*time.Minute)
	serial, serverErr, _ := handshake(t, c.Server(), client.Client())
	is.NoErr(serverErr)
	is.Equal(serial, int64(3)) // the old one stays in force
}

// touch dates the certificate into the future and makes a look at it due.
func touch(t *testing.T, c *Certifier, d time.Duration) {
	t.Helper()
	at := time.Now().Add(d)
	if err := os.Chtimes(c.CertificateFile, at, at); err != nil {
		t.Fatal(err)
	}
	c.checked = time.Time{}
}

func TestBadFilesAreNamed(t *testing.T) {
	is := is.New(t)
	c := newAuthority(t).issue(t, t.TempDir(), 2)
	write(t, c.AuthorityFile, []byte("nothing"))
	is.True(c.Load() != nil)
	c.AuthorityFile = ""
	c.KeyFile = "no-such-file"
	is.True(c.Load() != nil)
}
