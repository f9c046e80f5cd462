// Package certifier makes TLS settings from files and takes changed files up
// without a restart.
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

// checkInterval is how often the files are looked at.
const checkInterval = 2 * time.Second

// Certifier holds one key pair and, if given, the authority that the other side
// must be signed by. Its fields are set before Load. It is safe for concurrent
// use after Load.
type Certifier struct {
	// CertificateFile and KeyFile are the key pair, in PEM.
	CertificateFile, KeyFile string
	// AuthorityFile is the authority, in PEM; empty means none.
	AuthorityFile string
	// Log takes events; nil means none.
	Log *logger.Logger

	mu sync.Mutex
	// pair and authority are what is in force; a bad file never replaces them.
	pair      *tls.Certificate
	authority *x509.CertPool
	// checked is when the files were last looked at, changed the newest time of
	// change that was taken up or refused.
	checked, changed time.Time
}

// Load reads the files for the first time.
func (c *Certifier) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed, err := c.newest()
	if err != nil {
		return fmt.Errorf("certifier: %w", err)
	}
	c.checked, c.changed = time.Now(), changed
	return c.read()
}

// Server returns the settings of a server. With an authority, clients must show
// a certificate signed by it.
func (c *Certifier) Server() *tls.Config {
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

// Client returns the settings of a client that shows the key pair and checks
// the server against the authority.
func (c *Certifier) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		// The check below replaces the built-in one, since the authority can
		// change while the settings are in use.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

func (c *Certifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certifier: the server showed no certificate")
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

// current returns what is in force, after a look at the files if one is due.
func (c *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) >= checkInterval {
		c.checked = now
		c.refresh()
	}
	return c.pair, c.authority
}

func (c *Certifier) refresh() {
	changed, err := c.newest()
	if err == nil && !changed.After(c.changed) {
		return
	}
	if err == nil {
		c.changed = changed
		err = c.read()
	}
	if err != nil {
		c.Log.Log(logger.CertificateRejected, "file", c.CertificateFile, "error", err)
		return
	}
	c.Log.Log(logger.CertificateReloaded, "file", c.CertificateFile)
}

// newest returns the newest time of change of the files.
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

// read replaces what is in force if every file is good.
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
