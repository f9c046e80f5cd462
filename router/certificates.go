package router

import (
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/kingcuphook/kingcuphook/certifier"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/logger"
)

// certificates holds the TLS certificates of a router; all are nil if the settings
// select plain text.
type certificates struct {
	callers, peers, platform *certifier.Certifier
}

func (c *certificates) load(s *configurer.Settings, log *logger.Logger) error {
	if s.TLS.PlainText {
		return nil
	}
	c.callers = &certifier.Certifier{CertificateFile: s.TLS.CallersCertificate, KeyFile: s.TLS.CallersKey, Log: log}
	c.peers = &certifier.Certifier{
		CertificateFile: s.TLS.PeersCertificate,
		KeyFile:         s.TLS.PeersKey,
		AuthorityFile:   s.TLS.PeersAuthority,
		Log:             log,
	}
	c.platform = &certifier.Certifier{AuthorityFile: s.TLS.PlatformAuthority, Log: log}
	for _, cert := range []*certifier.Certifier{c.callers, c.peers, c.platform} {
		if err := cert.Load(); err != nil {
			return err
		}
	}
	return nil
}

// callersConfig returns the configuration of TLS with callers and operators; nil if the settings select
// plain text.
func (c *certificates) callersConfig() *tls.Config {
	if c.callers == nil {
		return nil
	}
	return c.callers.ServerConfig()
}

// operatorsListener wraps l in TLS unless the settings select plain text.
func (c *certificates) operatorsListener(l net.Listener) net.Listener {
	if cfg := c.callersConfig(); cfg != nil {
		return tls.NewListener(l, cfg)
	}
	return l
}

func (c *certificates) platformCredentials() credentials.TransportCredentials {
	if c.platform == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c.platform.ClientConfig())
}

func (c *certificates) peersClientCredentials() credentials.TransportCredentials {
	if c.peers == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c.peers.ClientConfig())
}

func (c *certificates) peersServerCredentials() credentials.TransportCredentials {
	if c.peers == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c.peers.ServerConfig())
}
