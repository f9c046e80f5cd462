package configurer

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/kingcuphook/kingcuphook/hedger"
)

// minTokenBytes is the smallest length of the operators' token.
const minTokenBytes = 16

// problem is an invalid setting.
type problem struct {
	// key is the dotted key of the setting.
	key, reason string
}

// firstProblem returns the first problem found, or nil.
func (s *Settings) firstProblem() *problem {
	checks := []func() *problem{
		s.nodeProblem, s.listenProblem, s.tlsProblem, s.operatorsProblem, s.limitsProblem, s.hedgingProblem, s.logProblem,
	}
	for _, check := range checks {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (s *Settings) nodeProblem() *problem {
	if s.Node.Region == "" {
		return &problem{"node.region", "must not be empty"}
	}
	if s.Node.DataCentre == "" {
		return &problem{"node.data-centre", "must not be empty"}
	}
	return nil
}

func (s *Settings) listenProblem() *problem {
	addresses := []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.admin", s.Listen.Admin},
		{"listen.peers", s.Listen.Peers},
		{"platform.address", s.Platform.Address},
	}
	keyByAddress := make(map[string]string)
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(a.address)
		if err != nil {
			return &problem{a.key, fmt.Sprintf("%q is not an IP number with a port", a.address)}
		}
		if other, ok := keyByAddress[a.address]; ok && parsed.Port() != 0 {
			return &problem{a.key, fmt.Sprintf("%s is already the address of %s", a.address, other)}
		}
		keyByAddress[a.address] = a.key
	}
	if s.Platform.Timeout <= 0 {
		return &problem{"platform.timeout", "must be above zero"}
	}
	return nil
}

func (s *Settings) tlsProblem() *problem {
	files := []struct{ key, path string }{
		{"tls.callers-certificate", s.TLS.CallersCertificate},
		{"tls.callers-key", s.TLS.CallersKey},
		{"tls.peers-certificate", s.TLS.PeersCertificate},
		{"tls.peers-key", s.TLS.PeersKey},
		{"tls.peers-authority", s.TLS.PeersAuthority},
		{"tls.platform-authority", s.TLS.PlatformAuthority},
	}
	for _, f := range files {
		if s.TLS.PlainText && f.path != "" {
			return &problem{f.key, "must be empty while tls.plain-text is true"}
		}
		if !s.TLS.PlainText && f.path == "" {
			return &problem{f.key, "must be set, unless tls.plain-text is true"}
		}
	}
	return nil
}

func (s *Settings) operatorsProblem() *problem {
	if len(s.Operators.Token) < minTokenBytes {
		return &problem{"operators.token-file", fmt.Sprintf("the token must have at least %d characters", minTokenBytes)}
	}
	return nil
}

func (s *Settings) limitsProblem() *problem {
	limits := []struct {
		key   string
		value int64
	}{
		{"limits.max-body-bytes", s.Limits.MaxBodyBytes},
		{"limits.max-header-bytes", int64(s.Limits.MaxHeaderBytes)},
		{"limits.header-timeout", int64(s.Limits.HeaderTimeout)},
		{"limits.read-timeout", int64(s.Limits.ReadTimeout)},
		{"limits.write-timeout", int64(s.Limits.WriteTimeout)},
		{"limits.idle-timeout", int64(s.Limits.IdleTimeout)},
		{"limits.deadline", int64(s.Limits.Deadline)},
		{"limits.max-requests", int64(s.Limits.MaxRequests)},
		{"limits.max-held-bytes", s.Limits.MaxHeldBytes},
	}
	for _, l := range limits {
		if l.value <= 0 {
			return &problem{l.key, "must be above zero"}
		}
	}
	if s.Stop.DrainDelay < 0 {
		return &problem{"stop.drain-delay", "must not be negative"}
	}
	if s.Stop.Grace <= s.Stop.DrainDelay {
		return &problem{"stop.grace", "must be longer than stop.drain-delay"}
	}
	return nil
}

func (s *Settings) hedgingProblem() *problem {
	if !hedger.ValidShare(s.Hedging.Requests) {
		return &problem{"hedging.requests", fmt.Sprintf("%v is not 0 to %v", s.Hedging.Requests, hedger.MaxShare)}
	}
	if !hedger.ValidShare(s.Hedging.Tokens) {
		return &problem{"hedging.tokens", fmt.Sprintf("%v is not 0 to %v", s.Hedging.Tokens, hedger.MaxShare)}
	}
	return nil
}

func (s *Settings) logProblem() *problem {
	switch s.Log.Format {
	case "logfmt", "json":
	default:
		return &problem{"log.format", fmt.Sprintf("%q is neither \"logfmt\" nor \"json\"", s.Log.Format)}
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return &problem{"log.level", fmt.Sprintf("%q is not one of debug, info, warn, error", s.Log.Level)}
	}
	return nil
}

// lineOf returns the line of a dotted key in text, counted from 1; 0 if the key is
// not there.
func lineOf(text []byte, key string) int {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name := strings.Join(keyParts(e), ".")
		switch e.Kind {
		case unstable.Table:
			table = name
		case unstable.KeyValue:
			if table+"."+name == key {
				return p.Shape(p.Range(keyNode(e).Data)).Start.Line
			}
		}
	}
	return 0
}

// keyParts returns the parts of the key of a TOML expression.
func keyParts(e *unstable.Node) []string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}

// keyNode returns the first part of the key of a TOML expression.
func keyNode(e *unstable.Node) *unstable.Node {
	it := e.Key()
	it.Next()
	return it.Node()
}
