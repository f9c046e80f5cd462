package kingcuphook

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateLimit is the number of requests per second that an upstream accepts from all
// routers together. The zero value means that there is no limit.
type RateLimit struct {
	perSecond float64
	set       bool
}

// NewRateLimit returns a limit in requests per second; 0 accepts no requests.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{perSecond: perSecond, set: true}
}

// IsSet reports whether there is a limit.
func (l RateLimit) IsSet() bool { return l.set }

// PerSecond returns the limit in requests per second.
func (l RateLimit) PerSecond() float64 { return l.perSecond }

// Notice is the status that an upstream announces in the headers of a reply.
type Notice struct {
	leaving bool
	pause   time.Duration
	limit   RateLimit
}

// NewNotice returns a notice. Leaving is true if the upstream will accept no new
// work; pause is how long it requests none, 0 for no pause.
func NewNotice(leaving bool, pause time.Duration) Notice {
	return Notice{leaving: leaving, pause: pause}
}

// WithRateLimit returns a copy of the notice that announces a rate limit.
func (n Notice) WithRateLimit(l RateLimit) Notice {
	n.limit = l
	return n
}

// Leaving reports whether the upstream will accept no new work.
func (n Notice) Leaving() bool { return n.leaving }

// Pause returns for how long the upstream requests no new work from this router; 0
// means no pause.
func (n Notice) Pause() time.Duration { return n.pause }

// RateLimit returns the limit that the upstream announces.
func (n Notice) RateLimit() RateLimit { return n.limit }

// Program identifies one run of an upstream's program at an address; a restart or
// another instance there is another Program. It is comparable.
type Program struct {
	address, instance string
	startTime         int64
}

// Program returns the identity of the upstream's running program.
func (u *Upstream) Program() Program {
	return Program{address: u.Address(), instance: u.Instance(), startTime: u.StartTime()}
}

// NewProgram returns the identity of a program as its accessors return it.
func NewProgram(address, instance string, startTime int64) Program {
	return Program{address: address, instance: instance, startTime: startTime}
}

// Address returns the IP number and port of the program.
func (p Program) Address() string { return p.address }

// Instance returns the instance ID; may be empty.
func (p Program) Instance() string { return p.instance }

// StartTime returns when the program was started, in Unix milliseconds; 0 means
// unknown.
func (p Program) StartTime() int64 { return p.startTime }

// Key returns a hash that identifies the program in messages between routers.
func (p Program) Key() uint64 {
	return xxhash.Sum64String(p.address + " " + p.instance + " " + strconv.FormatInt(p.startTime, 10))
}
