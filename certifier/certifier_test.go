package certifier

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/emulator/signer"
)

func newSigner(t *testing.T) *signer.Signer {
	t.Helper()
	s, err := signer.New()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// issue writes certificate files into dir and returns a certifier that has not loaded them
// yet.
func issue(t *testing.T, s *signer.Signer, dir string, serial int64) *Certifier {
	t.Helper()
	f, err := s.Issue(dir, serial)
	if err != nil {
		t.Fatal(err)
	}
	return &Certifier{CertificateFile: f.Certificate, KeyFile: f.Key, AuthorityFile: f.Authority}
}

func write(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the serial number of the server
// certificate that the client received, and the errors of both sides.
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

func TestBothSidesNeedCertificateOfAuthority(t *testing.T) {
	is := is.New(t)
	good, other := newSigner(t), newSigner(t)
	server, client := issue(t, good, t.TempDir(), 2), issue(t, good, t.TempDir(), 3)
	foreign := issue(t, other, t.TempDir(), 4)
	for _, c := range []*Certifier{server, client, foreign} {
		is.NoErr(c.Load())
	}
	serial, serverErr, clientErr := handshake(t, server.ServerConfig(), client.ClientConfig())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	is.Equal(serial, int64(2))

	_, _, clientErr = handshake(t, foreign.ServerConfig(), client.ClientConfig())
	is.True(clientErr != nil) // the client rejects a server of another authority
	_, serverErr, _ = handshake(t, server.ServerConfig(), foreign.ClientConfig())
	is.True(serverErr != nil) // the server rejects a client of another authority
	_, serverErr, _ = handshake(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	is.True(serverErr != nil) // the server rejects a client without a certificate
}

func TestChangedFilesAreReloadedUnlessInvalid(t *testing.T) {
	is := is.New(t)
	a := newSigner(t)
	dir := t.TempDir()
	c := issue(t, a, dir, 2)
	is.NoErr(c.Load())
	client := issue(t, a, t.TempDir(), 9)
	is.NoErr(client.Load())

	issue(t, a, dir, 3)
	touch(t, c, time.Minute)
	serial, _, _ := handshake(t, c.ServerConfig(), client.ClientConfig())
	is.Equal(serial, int64(3)) // the new certificate is presented

	write(t, c.CertificateFile, []byte("not a certificate"))
	touch(t, c, 2*time.Minute)
	serial, serverErr, _ := handshake(t, c.ServerConfig(), client.ClientConfig())
	is.NoErr(serverErr)
	is.Equal(serial, int64(3)) // the last valid certificate stays in use
}

// touch sets the modification time of the certificate to d from now and makes the next check
// for changed files due.
func touch(t *testing.T, c *Certifier, d time.Duration) {
	t.Helper()
	at := time.Now().Add(d)
	if err := os.Chtimes(c.CertificateFile, at, at); err != nil {
		t.Fatal(err)
	}
	c.checkedAt = time.Time{}
}

func TestLoadFailsForInvalidFiles(t *testing.T) {
	is := is.New(t)
	c := issue(t, newSigner(t), t.TempDir(), 2)
	write(t, c.AuthorityFile, []byte("nothing"))
	is.True(c.Load() != nil)
	c.AuthorityFile = ""
	c.KeyFile = "no-such-file"
	is.True(c.Load() != nil)
}
