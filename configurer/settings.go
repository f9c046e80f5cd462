// Package configurer reads the settings of one VM from a TOML file and the
// environment, and refuses them whole if anything is wrong.
package configurer

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "1.5s".
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
	Stop      Stop      `toml:"stop"`
	Log       Log       `toml:"log"`
}

// Node says which VM this is.
type Node struct {
	// Region and DataCentre are where the VM stands; never empty.
	Region     string `toml:"region"`
	DataCentre string `toml:"data-centre"`
}

// Listen has the addresses that the router listens on, each an IP number with
// a port.
type Listen struct {
	// Callers serves the callers' API.
	Callers string `toml:"callers"`
	// Operators serves the operators' API.
	Operators string `toml:"operators"`
	// Admin serves metrics, profiles, readiness and liveness.
	Admin string `toml:"admin"`
	// Peers serves the other routers. It is the address that the platform's
	// list of VMs has for this VM.
	Peers string `toml:"peers"`
}

// Platform says how to reach the platform.
type Platform struct {
	// Address is the IP number and port of the platform.
	Address string `toml:"address"`
	// Timeout bounds each call but a watch.
	Timeout Duration `toml:"timeout"`
}

// TLS has the files of keys and certificates, in PEM.
type TLS struct {
	// PlainText allows connections without TLS. Without it every file below
	// must be set.
	PlainText bool `toml:"plain-text"`
	// CallersCertificate and CallersKey are shown to callers and operators.
	CallersCertificate string `toml:"callers-certificate"`
	CallersKey         string `toml:"callers-key"`
	// PeersCertificate and PeersKey are shown to peers, both as server and as
	// client; PeersAuthority is what their certificates must be signed by.
	PeersCertificate string `toml:"peers-certificate"`
	PeersKey         string `toml:"peers-key"`
	PeersAuthority   string `toml:"peers-authority"`
	// PlatformAuthority is what the platform's certificate must be signed by.
	PlatformAuthority string `toml:"platform-authority"`
}

// Operators says who may call the operators' API.
type Operators struct {
	// TokenFile holds the token; white space around it is ignored.
	TokenFile string `toml:"token-file"`
	// Token is the token itself, meant for the environment. One of both is set.
	Token string `toml:"token"`
}

// Limits bound what one caller can hold.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `toml:"max-body-bytes"`
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `toml:"max-header-bytes"`
	// HeaderTimeout bounds reading the headers, ReadTimeout the whole request.
	HeaderTimeout Duration `toml:"header-timeout"`
	ReadTimeout   Duration `toml:"read-timeout"`
	// WriteTimeout bounds writing one piece of an answer.
	WriteTimeout Duration `toml:"write-timeout"`
	// IdleTimeout bounds a connection without a request.
	IdleTimeout Duration `toml:"idle-timeout"`
	// Deadline bounds a request whose caller and route give none.
	Deadline Duration `toml:"deadline"`
	// MaxRequests bounds the requests open at once.
	MaxRequests int `toml:"max-requests"`
}

// Stop says how a planned stop goes.
type Stop struct {
	// DrainDelay is how long the router goes on accepting after it has said
	// that it is not ready, since the balancer's list lags.
	DrainDelay Duration `toml:"drain-delay"`
}

// Log says what is logged.
type Log struct {
	// Format is "logfmt" or "json".
	Format string `toml:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
}

// Default returns the settings before a file or the environment is read.
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
		},
		Stop: Stop{DrainDelay: Duration(5 * time.Second)},
		Log:  Log{Format: "logfmt", Level: "info"},
	}
}
