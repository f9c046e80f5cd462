package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// partFaultTime is how long a part crashes upstreams.
	partFaultTime = 10 * time.Second
	// partShare is the share of the streams that have the crashing part meanwhile: one in
	// so many.
	partShare = 8
)

// crashingPart is a part of prompts that crashes upstreams, with its crashes.
type crashingPart struct {
	id      string
	crashes []time.Time
}

// partFault returns a fault in which calls with a new part crash the upstreams that begin to
// answer them.
func (env *environment) partFault(rng *rand.Rand) fault {
	part := &crashingPart{id: fmt.Sprintf("bad%08x", rng.Uint32())}
	set := func(p *crashingPart) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.part = p
	}
	begin := func() {
		set(part)
		env.mu.Lock()
		defer env.mu.Unlock()
		env.parts = append(env.parts, part)
	}
	return fault{"part " + part.id + " crashes upstreams", partFaultTime, begin, func() { set(nil) }}
}

// promptParts returns the parts of the prompt of a call, with the one that crashes upstreams
// now and then while there is one.
func (env *environment) promptParts(rng *rand.Rand, k standin.Kind, id string) []string {
	if k != standin.KindStream && k != standin.KindResumableStream {
		return nil
	}
	parts := []string{"5e55", fmt.Sprintf("0c%02d", rng.IntN(5))}
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.part != nil && rng.IntN(partShare) == 0 {
		parts = slices.Insert(parts, rng.IntN(len(parts)+1), env.part.id)
	}
	return append(parts, id)
}

// crashOnPart crashes the upstream if it begins to answer a call that has the crashing part.
func (env *environment) crashOnPart(i int, u *upstream) func(r *http.Request, event int) bool {
	return func(r *http.Request, event int) bool {
		env.mu.Lock()
		part := env.part
		crashes := event == 0 && part != nil && standin.HasPart(r, part.id) && env.upstreams[i] == u
		if crashes {
			part.crashes = append(part.crashes, time.Now())
			u.trouble()
		}
		env.mu.Unlock()
		if crashes {
			go env.crash(i)
		}
		return crashes
	}
}

// crashed reports whether one of the parts of a prompt had crashed upstreams before a time. Calls
// with it may be refused from then on.
func (env *environment) crashed(parts []string, before time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.ContainsFunc(env.parts, func(p *crashingPart) bool {
		return len(p.crashes) > 0 && p.crashes[0].Before(before) && slices.Contains(parts, p.id)
	})
}

// crashedTooOften describes the parts with which calls reached upstreams when all routers had to
// know them.
func (env *environment) crashedTooOften(runs map[string][]standin.Run) []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []string
	for _, p := range env.parts {
		if len(p.crashes) < standin.CrashesKnown {
			continue
		}
		bound := p.crashes[standin.CrashesKnown-1].Add(standin.CrashContactTime)
		late := 0
		for _, c := range env.soak.calls.all() {
			if c.sent.After(bound) && slices.Contains(c.parts, p.id) && c.router.undisturbedSince(c.sent.Add(-standin.CrashContactTime)) {
				late += len(runs[c.id])
			}
		}
		if late > standin.MaxLateCalls {
			list = append(list, fmt.Sprintf("%d calls with part %s reached upstreams later than %v after its fifth crash, %d are allowed", late, p.id, standin.CrashContactTime, standin.MaxLateCalls))
		}
	}
	return list
}
