// Package configurer loads the settings of one VM from a TOML file and the
// environment, and validates them. Settings with any problem are rejected as a whole.
package configurer

import (
	"fmt"
	"time"
)

// Duration is a time.Duration whose TOML form is text such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Settings are the settings of one VM.
type Settings struct {
	Node      Node      `toml:"node"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	TLS       TLS       `toml:"tls"`
	Operators Operators `toml:"operators"`
	Limits    Limits    `toml:"limits"`
	Hedging   Hedging   `toml:"hedging"`
	Stop      Stop      `toml:"stop"`
	Log       Log       `toml:"log"`
}

// Node describes the location of the VM.
type Node struct {
	// Region and DataCentre are the region and the data centre of the VM; never
	// empty.
	Region     string `toml:"region"`
	DataCentre string `toml:"data-centre"`
}

// Listen holds the addresses that the router listens on, each an IP number and a
// port.
type Listen struct {
	// Callers is the address of the callers' API.
	Callers string `toml:"callers"`
	// Operators is the address of the operators' API.
	Operators string `toml:"operators"`
	// Admin is the address of metrics, profiles, readiness and liveness.
	Admin string `toml:"admin"`
	// Peers is the address for other routers. The platform's list of VMs must have
	// the same address for this VM.
	Peers string `toml:"peers"`
}

// Platform holds the address of the platform and the timeout of calls to it.
type Platform struct {
	// Address is the IP number and port of the platform.
	Address string `toml:"address"`
	// Timeout bounds each call other than a watch.
	Timeout Duration `toml:"timeout"`
}

// TLS holds the paths of the PEM files with keys and certificates.
type TLS struct {
	// PlainText turns TLS off. If it is set, every file below must be empty, else
	// every one must be set.
	PlainText bool `toml:"plain-text"`
	// CallersCertificate and CallersKey are presented to callers and operators.
	CallersCertificate string `toml:"callers-certificate"`
	CallersKey         string `toml:"callers-key"`
	// PeersCertificate and PeersKey are presented to peers, both as server and as
	// client. PeersAuthority is the authority that must have signed the
	// certificates of peers.
	PeersCertificate string `toml:"peers-certificate"`
	PeersKey         string `toml:"peers-key"`
	PeersAuthority   string `toml:"peers-authority"`
	// PlatformAuthority is the authority that must have signed the certificate of
	// the platform.
	PlatformAuthority string `toml:"platform-authority"`
}

// Operators holds the token that gives access to the operators' API.
type Operators struct {
	// TokenFile is the path of a file with the token; white space around the token
	// is ignored.
	TokenFile string `toml:"token-file"`
	// Token is the token itself, meant to be set by the environment. Exactly one
	// of Token and TokenFile must be set; loading sets Token from TokenFile.
	Token string `toml:"token"`
}

// Limits bound the resources that callers can use.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `toml:"max-body-bytes"`
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `toml:"max-header-bytes"`
	// HeaderTimeout bounds the time to read the headers of a request, and
	// ReadTimeout that to read the whole request.
	HeaderTimeout Duration `toml:"header-timeout"`
	ReadTimeout   Duration `toml:"read-timeout"`
	// WriteTimeout bounds the time to write one piece of an answer.
	WriteTimeout Duration `toml:"write-timeout"`
	// IdleTimeout bounds how long an idle connection is kept open.
	IdleTimeout Duration `toml:"idle-timeout"`
	// Deadline bounds the duration of a request if neither its caller nor its route
	// gives a deadline.
	Deadline Duration `toml:"deadline"`
	// MaxRequests bounds the number of requests open at the same time.
	MaxRequests int `toml:"max-requests"`
	// MaxHeldBytes bounds the memory for the connections, requests and answers that are held at the
	// same time.
	MaxHeldBytes int64 `toml:"max-held-bytes"`
}

// Hedging limits the extra work of hedged requests, from 0 (none) to hedger.MaxShare.
type Hedging struct {
	// Requests is the limit of hedges as a share of the requests.
	Requests float64 `toml:"requests"`
	// Tokens is the limit of the prompt tokens of hedges as a share of those of the requests.
	Tokens float64 `toml:"tokens"`
}

// Stop holds the settings of a graceful shutdown.
type Stop struct {
	// DrainDelay is how long the router still accepts requests after it reports
	// that it is not ready, because the load balancer notices that with a delay.
	DrainDelay Duration `toml:"drain-delay"`
	// Grace is how long after its start the shutdown ends the requests that are still open.
	// Requests that might take longer are rejected meanwhile.
	Grace Duration `toml:"grace"`
}

// Log holds the format and the level of the log.
type Log struct {
	// Format is "logfmt" or "json".
	Format string `toml:"format"`
	// Level is the lowest level that is logged: "debug", "info", "warn" or
	// "error".
	Level string `toml:"level"`
}

// Default returns the settings that apply unless the file or the environment
// overrides them.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Limits: Limits{
			MaxBodyBytes:   4 << 20,
			MaxHeaderBytes: 32 << 10,
			HeaderTimeout:  Duration(5 * time.Second),
			ReadTimeout:    Duration(30 * time.Second),
			WriteTimeout:   Duration(10 * time.Second),
			IdleTimeout:    Duration(75 * time.Second),
			Deadline:       Duration(2 * time.Minute),
			MaxRequests:    20_000,
			MaxHeldBytes:   256 << 20,
		},
		Stop: Stop{DrainDelay: Duration(5 * time.Second), Grace: Duration(150 * time.Second)},
		Log:  Log{Format: "logfmt", Level: "info"},
	}
}
