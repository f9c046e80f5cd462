package locator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// without returns the pool without the upstream at an address.
func without(p *kingcuphook.Pool, address string) *kingcuphook.Pool {
	f := p.Fields()
	f.Upstreams = slices.DeleteFunc(slices.Clone(f.Upstreams), func(u *kingcuphook.Upstream) bool { return u.Address() == address })
	return kingcuphook.NewPool(f)
}

// An upstream that left the tables for a moment counted as idle and without any prefix, and its requests as ended.
func TestReturnedUpstreamKeepsItsState(t *testing.T) {
	is := is.New(t)
	p := pool(4)
	l := newLocator("cairo", p)
	now := start.Add(time.Minute)
	first := choose(t, l, now, longRequest("a", 1))
	for _, id := range []string{"a", "b"} {
		l.Started(now, first, longRequest(id, 1))
	}
	l.Update(now, without(p, first))
	l.Finished(now, first, longRequest("b", 1), kingcuphook.Sample{Cancelled: true})
	l.Update(now, p)
	u := l.byAddress[first]
	is.Equal(u.running, 1)
	is.Equal(u.warmFraction(now), 1.0)
	is.Equal(len(u.prefixes), 1)
	l.Finished(now, first, longRequest("a", 1), kingcuphook.Sample{Misdirected: true})
	is.Equal(u.running, 0)

	l.Update(now, without(p, first))
	is.Equal(len(l.left), 1)
	l.Update(now, p)
	is.True(!l.byAddress[first].displaced) // its program is registered again
	l.Update(now, without(p, first))
	l.Update(now.Add(leftTime+1), without(p, first))
	is.Equal(len(l.left), 0)
}
