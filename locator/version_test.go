package locator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// versionPool returns a pool of engines in one region; the version of each gives its
// software version.
func versionPool(n int, version func(i int) string) *kingcuphook.Pool {
	var f kingcuphook.PoolFields
	for i := range n {
		f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: fmt.Sprint(i), Instance: fmt.Sprint("i-", i), SoftwareVersion: version(i),
			Region: "cairo", DataCentre: "cairo", Kind: kingcuphook.UpstreamKindEngine, Slots: 64,
		}))
	}
	return kingcuphook.NewPool(f)
}

// A long prompt waited in vain when all preferred upstreams had another version.
func TestRestrictedRequestHasPreferredUpstreams(t *testing.T) {
	is := is.New(t)
	for old := range 40 {
		p := versionPool(40, func(i int) string { return fmt.Sprint(i == old) })
		l := newLocator("cairo", p)
		for document := range uint64(10) {
			r := longRequest("r", document).Restrict("true")
			c, err := l.SelectUsable(start.Add(time.Minute), r, nil, func(a string) bool { return r.Allows(l.byAddress[a].row) })
			is.NoErr(err)
			is.True(c.Upstream != nil)
			is.Equal(c.Upstream.Address(), fmt.Sprint(old))
		}
	}
}

// The cached part of a prompt was copied from an upstream of another software version.
func TestNothingIsCopiedFromAnotherVersion(t *testing.T) {
	is := is.New(t)
	copies := 0
	now := start.Add(time.Minute)
	for document := range uint64(100) {
		l := newLocator("cairo", versionPool(12, func(i int) string { return fmt.Sprint(i % 2) }))
		var used []string
		for n := range 4 {
			r := longRequest(fmt.Sprint(n), document)
			c, err := l.Select(now.Add(time.Duration(n)*time.Second), r, used)
			is.NoErr(err)
			l.Started(now, c.Upstream.Address(), r)
			used = append(used, c.Upstream.Address())
			if c.CopyFrom == "" {
				continue
			}
			copies++
			is.Equal(l.byAddress[c.CopyFrom].row.SoftwareVersion(), c.Upstream.SoftwareVersion())
		}
	}
	t.Logf("%d copies", copies)
	is.True(copies > 100)
}
