// Package certifier provides TLS configurations from certificate files and reloads changed
// files without a restart.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = 2 * time.Second

// Certifier holds a key pair and optionally the certificate authority that must have signed
// the certificate of the other side. Its fields are set before Load. It is safe for
// concurrent use after Load.
type Certifier struct {
	// CertificateFile and KeyFile are the PEM files of the key pair; empty means that
	// no certificate is presented.
	CertificateFile, KeyFile string
	// AuthorityFile is the PEM file of the certificate authority; empty means none.
	AuthorityFile string
	// Log receives events; nil means none are logged.
	Log *logger.Logger

	mu sync.Mutex
	// pair and authority are the current key pair and certificate authority; an invalid
	// file never replaces them.
	pair      *tls.Certificate
	authority *x509.CertPool
	// checkedAt is when the files were last checked. modTime is the newest modification
	// time of the files at the last attempt to read them.
	checkedAt, modTime time.Time
}

// Load reads the files for the first time.
func (c *Certifier) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	modTime, err := c.newest()
	if err != nil {
		return fmt.Errorf("certifier: %w", err)
	}
	c.checkedAt, c.modTime = time.Now(), modTime
	return c.read()
}

// ServerConfig returns the TLS configuration of a server. If there is a certificate authority,
// clients must present a certificate signed by it.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, authority := c.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if authority != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = authority
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client that presents the key pair and verifies
// the server's certificate against the certificate authority, or the system's if there is
// none.
func (c *Certifier) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		// VerifyConnection replaces the built-in verification, since the authority can
		// change while the configuration is in use.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *Certifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certifier: the server presented no certificate")
	}
	_, authority := c.current()
	opts := x509.VerifyOptions{
		Roots:         authority,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("certifier: %w", err)
	}
	return nil
}

// current returns the current key pair and authority, after a check for changed files if
// one is due.
func (c *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checkedAt) >= checkInterval {
		c.checkedAt = now
		c.refresh()
	}
	return c.pair, c.authority
}

func (c *Certifier) refresh() {
	modTime, err := c.newest()
	if err == nil && !modTime.After(c.modTime) {
		return
	}
	if err == nil {
		c.modTime = modTime
		err = c.read()
	}
	if err != nil {
		c.Log.Log(logger.CertificateRejected, "file", c.CertificateFile, "error", err)
		return
	}
	c.Log.Log(logger.CertificateReloaded, "file", c.CertificateFile)
}

// newest returns the newest modification time of the files.
func (c *Certifier) newest() (time.Time, error) {
	var newest time.Time
	for _, file := range []string{c.CertificateFile, c.KeyFile, c.AuthorityFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// read reads the files and replaces the key pair and the authority if all are valid.
func (c *Certifier) read() error {
	pair, err := c.readPair()
	if err != nil {
		return err
	}
	authority, err := c.readAuthority()
	if err != nil {
		return err
	}
	c.pair, c.authority = pair, authority
	return nil
}

func (c *Certifier) readPair() (*tls.Certificate, error) {
	if c.CertificateFile == "" {
		return &tls.Certificate{}, nil
	}
	pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	return &pair, nil
}

func (c *Certifier) readAuthority() (*x509.CertPool, error) {
	if c.AuthorityFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("certifier: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &kingcuphook.InputError{File: c.AuthorityFile, Reason: "holds no certificate in PEM", Err: kingcuphook.ErrInvalid}
	}
	return pool, nil
}
