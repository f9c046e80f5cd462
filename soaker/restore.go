package soaker

import (
	"time"

	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// rewriteTime is how long after the return of the store the operator and the upstreams write
// again what it has lost, and the registrations of upstreams that left are removed.
const rewriteTime = time.Second

// restoreFault returns a fault in which the store comes back from a copy that is as old as the
// fault is long.
func (env *environment) restoreFault(duration time.Duration) fault {
	var restore func()
	begin := func() {
		copied := env.store.Snapshot()
		restore = func() { env.served.Restore(copied) }
	}
	end := func() {
		restore()
		time.Sleep(rewriteTime)
		env.rewrite()
	}
	return fault{"store comes back older", duration, begin, end}
}

// rewrite writes again what the operator and the upstreams have written, and removes the
// registrations of upstreams that are gone.
func (env *environment) rewrite() {
	env.mu.Lock()
	value, err := env.declared.Encode()
	if err == nil {
		err = env.put(platform.DeclarationKey, value)
	}
	env.mu.Unlock()
	if err != nil {
		return
	}
	for n, u := range env.allUpstreams() {
		if n < env.soak.Upstreams {
			_ = env.register(u, false)
			continue
		}
		if u.pool == standin.SecondPool {
			_ = env.register(u, false)
			continue
		}
		env.remove(u)
	}
}
