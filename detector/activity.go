package detector

import (
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// activeWindow is how long data of an answer shows that its program is not silent.
	activeWindow = 200 * time.Millisecond
	// resumeTime is how long a program that was silent has to send data again until an answer without
	// any counts as left behind: its answers don't go on at the same moment.
	resumeTime = 200 * time.Millisecond
)

// Activity holds when each program that runs attempts last sent data of an answer. It is safe for
// concurrent use.
type Activity struct {
	mu       sync.Mutex
	programs map[kingcuphook.Program]*programActivity
}

// programActivity is the activity of one program.
type programActivity struct {
	attempts int
	// last is when it last sent data, since when it first did after it had sent none for activeWindow.
	last, since time.Time
}

// Begin records an attempt at a program. End must be called for it.
func (a *Activity) Begin(p kingcuphook.Program) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.programs == nil {
		a.programs = make(map[kingcuphook.Program]*programActivity)
	}
	if a.programs[p] == nil {
		a.programs[p] = &programActivity{}
	}
	a.programs[p].attempts++
}

// End records the end of an attempt.
func (a *Activity) End(p kingcuphook.Program) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.programs[p]
	one.attempts--
	if one.attempts == 0 {
		delete(a.programs, p)
	}
}

// Record records that a program sent data of an answer.
func (a *Activity) Record(now time.Time, p kingcuphook.Program) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.programs[p]
	if one == nil {
		return
	}
	if now.Sub(one.last) >= activeWindow {
		one.since = now
	}
	one.last = now
}

// IsActive reports whether a program sends data of answers, and has done so for some time.
func (a *Activity) IsActive(now time.Time, p kingcuphook.Program) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.programs[p]
	return one != nil && now.Sub(one.last) < activeWindow && now.Sub(one.since) >= resumeTime
}

// Last returns when a program last sent data of an answer; zero if that isn't known, or no attempt
// runs there.
func (a *Activity) Last(p kingcuphook.Program) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if one := a.programs[p]; one != nil {
		return one.last
	}
	return time.Time{}
}
