package kingcuphook

import "time"

// Notice is what an upstream says of itself beside an answer.
type Notice struct {
	leaving bool
	rest    time.Duration
}

// NewNotice returns a notice. Leaving says that the upstream wants no new work any
// more, rest for how long it wants none; 0 means that it asks for no rest.
func NewNotice(leaving bool, rest time.Duration) Notice {
	return Notice{leaving: leaving, rest: rest}
}

// Leaving reports whether the upstream wants no new work any more.
func (n Notice) Leaving() bool { return n.leaving }

// Rest returns for how long the upstream wants no new work of this router.
func (n Notice) Rest() time.Duration { return n.rest }

// Program is one start of the program at an address. It is comparable.
type Program struct {
	address, instance string
	born              int64
}

// Program returns the running program of the upstream.
func (u *Upstream) Program() Program {
	return Program{address: u.Address(), instance: u.Instance(), born: u.Born()}
}

// Address returns where the program runs.
func (p Program) Address() string { return p.address }

// Instance returns the identity of the program; may be empty.
func (p Program) Instance() string { return p.instance }

// Born returns the start of the program in Unix milliseconds; 0 means unknown.
func (p Program) Born() int64 { return p.born }
