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

// Brittleness is what an upstream announces about the requests that it can turn away for want of
// room before it falls over. The zero value announces nothing.
type Brittleness struct {
	tolerated int
	known     bool
	present   bool
}

// NewBrittleness returns the state of an upstream that falls over if it turns away more than
// the tolerated number of requests in a second.
func NewBrittleness(tolerated int) Brittleness {
	return Brittleness{tolerated: tolerated, known: true, present: true}
}

// MalformedBrittleness returns what an upstream announces with a value that can't be read.
func MalformedBrittleness() Brittleness { return Brittleness{present: true} }

// IsPresent reports whether something was announced, readable or not.
func (b Brittleness) IsPresent() bool { return b.present }

// Tolerated returns the number of requests that may be turned away in a second, and false if
// it is not known.
func (b Brittleness) Tolerated() (int, bool) { return b.tolerated, b.known }

// Notice is the status that an upstream announces in the headers of a reply.
type Notice struct {
	leaving bool
	pause   time.Duration
	limit   RateLimit
	brittle Brittleness
	refused bool
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

// WithBrittleness returns a copy of the notice that announces b. Refused means that the reply
// turned a request away.
func (n Notice) WithBrittleness(b Brittleness, refused bool) Notice {
	n.brittle, n.refused = b, refused
	return n
}

// Leaving reports whether the upstream will accept no new work.
func (n Notice) Leaving() bool { return n.leaving }

// Pause returns for how long the upstream requests no new work from this router; 0
// means no pause.
func (n Notice) Pause() time.Duration { return n.pause }

// RateLimit returns the limit that the upstream announces.
func (n Notice) RateLimit() RateLimit { return n.limit }

// Brittleness returns what the upstream announces about requests that it turns away.
func (n Notice) Brittleness() Brittleness { return n.brittle }

// Refused reports whether the reply turned a request away that was not run.
func (n Notice) Refused() bool { return n.refused }

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

// ProgramKey returns the key of the upstream's running program. It is computed once, since
// decisions over a whole pool look it up for each upstream.
func (u *Upstream) ProgramKey() uint64 { return u.programKey }

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
func (p Program) Key() uint64 { return programKey(p.address, p.instance, p.startTime) }

// programKeyBytes is the length up to which the text of a key needs no allocation.
const programKeyBytes = 128

func programKey(address, instance string, startTime int64) uint64 {
	var scratch [programKeyBytes]byte
	b := append(scratch[:0], address...)
	b = append(b, ' ')
	b = append(b, instance...)
	b = append(b, ' ')
	return xxhash.Sum64(strconv.AppendInt(b, startTime, 10))
}
