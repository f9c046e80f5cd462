package tallier

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

var (
	first  = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "10.0.0.1:80", Instance: "a"})
	second = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "10.0.0.2:80", Instance: "b"})
	tables = kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{
		kingcuphook.NewPool(kingcuphook.PoolFields{Name: "models", Upstreams: []*kingcuphook.Upstream{first, second}}),
	})
	now = time.Unix(1000, 0)
)

// granting hands out slots on the first upstream.
type granting struct{ tokens int }

func (g granting) Acquire(context.Context, *kingcuphook.Request, []string) (kingcuphook.Slot, error) {
	return granted{kingcuphook.Choice{Upstream: first, UncachedTokens: g.tokens}}, nil
}

type granted struct{ choice kingcuphook.Choice }

func (g granted) Choice() kingcuphook.Choice { return g.choice }
func (granted) Preempted() <-chan struct{}   { return nil }
func (granted) Progress(int)                 {}
func (granted) Release(kingcuphook.Sample)   {}

func acquire(t *testing.T, tally *Tally) kingcuphook.Slot {
	t.Helper()
	s, err := tally.Acquire(t.Context(), kingcuphook.NewRequest(kingcuphook.RequestFields{}), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestTellsWhatRuns(t *testing.T) {
	is := is.New(t)
	teller := &Tally{Next: granting{tokens: 10 * tokenUnit}}
	hearer := &Tally{}
	hear := func() kingcuphook.LoadReport {
		is.NoErr(hearer.Take(now, "teller", teller.Encode()))
		return hearer.Others(now, tables, 1)[0]
	}
	one, two := acquire(t, teller), acquire(t, teller)
	is.Equal(hear().Running(), 2)
	is.Equal(hear().QueuedTokens(), 20*tokenUnit)
	one.Progress(1)
	one.Progress(2)
	is.Equal(hear().QueuedTokens(), 10*tokenUnit) // its prompt has been read
	one.Release(kingcuphook.Sample{})
	two.Release(kingcuphook.Sample{}) // before its first token
	is.Equal(hear().Running(), 0)
	is.Equal(hear().QueuedTokens(), 0)
}

func TestTakesWhatIsHeardForASample(t *testing.T) {
	is := is.New(t)
	teller := &Tally{Next: granting{}}
	acquire(t, teller)
	hearer := &Tally{}
	is.NoErr(hearer.Take(now, "one", teller.Encode()))
	is.NoErr(hearer.Take(now, "two", teller.Encode()))
	is.Equal(hearer.Others(now, tables, 2)[0].Running(), 2)
	is.Equal(hearer.Others(now, tables, 20)[0].Running(), 20)
	is.Equal(hearer.Others(now.Add(defaultStale+1), tables, 20)[0].Running(), 0) // all of it is stale
}

func TestRefusesWhatIsNoDigest(t *testing.T) {
	is := is.New(t)
	tally := &Tally{}
	for _, payload := range [][]byte{nil, {9}, {digestVersion, 1}} {
		is.True(errors.Is(tally.Take(now, "peer", payload), kingcuphook.ErrInvalid))
	}
	is.Equal(tally.Others(now, tables, 7)[0].Running(), 0)
}

func TestTakesAnyPayload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally := &Tally{}
		err := tally.Take(now, "peer", rapid.SliceOf(rapid.Byte()).Draw(t, "payload"))
		if err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
			t.Fatal(err)
		}
		tally.Others(now, tables, 3)
	})
}

func TestDigestIsBounded(t *testing.T) {
	is := is.New(t)
	tally := &Tally{}
	for i := range 1000 {
		tally.add(key(i), 1+i%7, i)
	}
	is.Equal(len(tally.Encode()), 1+maxEntries*entryBytes)
}
