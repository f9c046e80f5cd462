// Package signer is a certificate authority for tests. A router never uses it.
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
	// validity is how long certificates are valid before and after the time of issue.
	validity = time.Hour
	// filePermissions are the permissions of the files that Issue writes.
	filePermissions = 0o600
)

// Signer is a certificate authority that issues certificates for 127.0.0.1.
type Signer struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// pem is cert in PEM.
	pem []byte
}

// Files holds the paths of the files that Issue wrote.
type Files struct {
	// Certificate and Key are the certificate issued and its private key, Authority is
	// the certificate of the authority; all in PEM.
	Certificate, Key, Authority string
}

// New returns a signer with a new key and a self-signed certificate.
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

// Issue writes a new private key, a certificate for it with the serial number, valid for
// servers and clients, and the certificate of the authority into dir.
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

// newTemplate returns the fields that all certificates have.
func newTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
	}
}

// encode returns der in PEM, as a block of the type kind.
func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
