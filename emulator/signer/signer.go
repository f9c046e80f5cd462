// Package signer is a stand-in for an authority that signs certificates. It is
// used by tests, never by a router.
package signer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// validity is how long before and after now certificates are valid.
	validity = time.Hour
	// filePermissions are those of the files written.
	filePermissions = 0o600
)

// Signer signs certificates for 127.0.0.1.
type Signer struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// Files are the paths of what Issue wrote.
type Files struct {
	// Certificate and Key are the key pair, Authority is the signer's own
	// certificate; all in PEM.
	Certificate, Key, Authority string
}

// New returns a signer with a key of its own.
func New() (*Signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("signer: %w", err)
	}
	template := newTemplate(1, "authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("signer: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("signer: %w", err)
	}
	return &Signer{cert: cert, key: key, pem: encode("CERTIFICATE", der)}, nil
}

// Issue writes a new key pair with the serial number into dir, for servers and
// clients, together with the signer's certificate.
func (s *Signer) Issue(dir string, serial int64) (Files, error) {
	f := Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, fmt.Errorf("signer: %w", err)
	}
	template := newTemplate(serial, "router")
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, s.cert, &key.PublicKey, s.key)
	if err != nil {
		return f, fmt.Errorf("signer: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, fmt.Errorf("signer: %w", err)
	}
	for path, text := range map[string][]byte{
		f.Certificate: encode("CERTIFICATE", der),
		f.Key:         encode("EC PRIVATE KEY", keyDER),
		f.Authority:   s.pem,
	} {
		if err := os.WriteFile(path, text, filePermissions); err != nil {
			return f, fmt.Errorf("signer: %w", err)
		}
	}
	return f, nil
}

func newTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
