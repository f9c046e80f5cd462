package gatherer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/tallier"
)

var start = time.Unix(1_700_000_000, 0)

// fleet plays routers that send one another messages.
type fleet struct {
	now     time.Time
	routers []*router
	flying  []flying
	rng     *rand.Rand
	// messages and bytes count what was sent, abroad what of it went to another data
	// centre.
	messages, bytes, abroad int
}

type router struct {
	g      Gatherer
	centre uint32
	peers  Peers
	own    tallier.Loads
	dead   bool
	phase  time.Duration
}

type flying struct {
	at   time.Time
	from netip.Addr
	m    Message
}

const (
	farDelay  = 30 * time.Millisecond
	nearDelay = time.Millisecond
	tick      = 10 * time.Millisecond
)

// newFleet returns routers in data centres, of which each knows those of its own and a
// few of each other.
func newFleet(centres, each int) *fleet {
	f := &fleet{now: start, rng: rand.New(rand.NewPCG(1, uint64(each)))}
	for i := range centres * each {
		a := netip.AddrFrom4([4]byte{10, byte(i % centres), byte(i / centres / 250), byte(1 + i/centres%250)})
		f.routers = append(f.routers, &router{
			g:      Gatherer{Self: a, Centre: uint32(1 + i%centres)},
			centre: uint32(1 + i%centres),
			own:    tallier.Loads{},
			phase:  time.Duration(f.rng.Int64N(int64(Every))),
		})
	}
	for _, r := range f.routers {
		r.peers = f.peersOf(r)
	}
	return f
}

func (f *fleet) peersOf(r *router) Peers {
	p := Peers{Far: make(map[uint32][]netip.Addr)}
	for _, i := range f.rng.Perm(len(f.routers)) {
		o := f.routers[i]
		switch {
		case o == r || o.dead:
		case o.centre == r.centre:
			p.Near = append(p.Near, o.g.Self)
		case len(p.Far[o.centre]) < 3:
			p.Far[o.centre] = append(p.Far[o.centre], o.g.Self)
		}
	}
	return p
}

func (f *fleet) router(a netip.Addr) *router {
	i := slices.IndexFunc(f.routers, func(r *router) bool { return r.g.Self == a })
	return f.routers[i]
}

func (f *fleet) send(r *router, messages []Message) {
	for _, m := range messages {
		to := f.router(m.To)
		delay := nearDelay
		f.messages++
		f.bytes += len(m.Payload)
		if to.centre != r.centre {
			delay = farDelay
			f.abroad += len(m.Payload)
		}
		f.flying = append(f.flying, flying{f.now.Add(delay), r.g.Self, m})
	}
}

// play lets time pass.
func (f *fleet) play(t *testing.T, d time.Duration) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		landed := f.flying
		f.flying = nil
		for _, x := range landed {
			to := f.router(x.m.To)
			switch {
			case x.at.After(f.now):
				f.flying = append(f.flying, x)
			case !to.dead:
				messages, err := to.g.Take(f.now, x.from, x.m.Payload, to.peers)
				if err != nil {
					t.Fatal(err)
				}
				f.send(to, messages)
			}
		}
		for _, r := range f.routers {
			if !r.dead && (f.now.Sub(start)+r.phase)%Every < tick {
				f.send(r, r.g.Tick(f.now, r.own, r.peers))
			}
		}
	}
}

func (f *fleet) truth() map[tallier.Key]int {
	sums := make(map[tallier.Key]int)
	for _, r := range f.routers {
		for k, l := range r.own {
			if !r.dead {
				sums[k] += l.Running
			}
		}
	}
	return sums
}

// wrong returns how many routers don't know what all run.
func (f *fleet) wrong() int {
	truth, n := f.truth(), 0
	for _, r := range f.routers {
		if r.dead {
			continue
		}
		s := r.g.Sum(f.now, len(f.routers))
		for k, want := range truth {
			if s.Loads[k].Running != want {
				n++
				break
			}
		}
	}
	return n
}

func (f *fleet) load(upstreams int) {
	for _, r := range f.routers {
		r.own = tallier.Loads{}
		for range 1 + upstreams/10 {
			r.own[tallier.Key(f.rng.IntN(upstreams)*7919)] = tallier.Load{Running: 1 + f.rng.IntN(3)}
		}
	}
}

func TestAllKnowTheSumWithinASecond(t *testing.T) {
	for _, c := range []struct{ centres, each, upstreams int }{{1, 1, 3}, {3, 3, 20}, {6, 14, 60}, {6, 49, 260}} {
		t.Run(fmt.Sprintf("%d-routers", c.centres*c.each), func(t *testing.T) {
			f := newFleet(c.centres, c.each)
			f.load(c.upstreams)
			f.play(t, 2*time.Second)
			if n := f.wrong(); n > 0 {
				t.Errorf("%d routers don't know the sum 2 s after the start", n)
			}
			f.load(c.upstreams)
			f.messages, f.bytes, f.abroad = 0, 0, 0
			f.play(t, time.Second)
			if n := f.wrong(); n > 0 {
				t.Errorf("%d routers don't know the sum 1 s after a change", n)
			}
			t.Logf("a second: %d messages, %d bytes, %d of them between data centres", f.messages, f.bytes, f.abroad)
			if most := c.centres * c.centres * 8 * (headBytes + 8*c.upstreams) * 2; f.abroad > most {
				t.Errorf("%d bytes between data centres, want at most %d whatever the routers", f.abroad, most)
			}
		})
	}
}

func TestOutlivesThoseThatSum(t *testing.T) {
	f := newFleet(3, 6)
	f.load(20)
	f.play(t, 2*time.Second)
	// The first two by rank of each data centre are killed, and nobody is told.
	for _, r := range f.routers {
		ranked := r.g.rank(r.peers.Near)
		f.router(ranked[0]).dead = true
		f.router(ranked[1]).dead = true
	}
	f.play(t, 3500*time.Millisecond)
	if n := f.wrong(); n > 0 {
		t.Errorf("%d routers don't know the sum after those that made it were killed", n)
	}
	for _, r := range f.routers {
		if !r.dead {
			if heard := r.g.Sum(f.now, 18).Heard; heard != 12 {
				t.Fatalf("a sum over %d routers, want 12", heard)
			}
		}
	}
}

func TestSumsAgeAndEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 3)
	f.load(10)
	f.play(t, 2*time.Second)
	r := f.routers[0]
	for _, o := range f.routers {
		o.dead = o.centre != r.centre
	}
	f.play(t, 2*time.Second)
	is.Equal(f.wrong(), 0) // the other data centre no longer counts
	is.Equal(r.g.Sum(f.now, 6).Heard, 3)
	is.Equal(len(r.g.Sum(f.now.Add(stale+Every), 6).Loads), 0)
}

func TestOwnLoadsAreTakenOut(t *testing.T) {
	is := is.New(t)
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "10.9.0.1:80", Instance: "i"})
	tables := kingcuphook.NewTables(1, nil, []*kingcuphook.Pool{kingcuphook.NewPool(kingcuphook.PoolFields{Name: "p", Upstreams: []*kingcuphook.Upstream{u}})})
	f := newFleet(2, 3)
	for i, r := range f.routers {
		r.own = tallier.Loads{tallier.KeyOf(u): {Running: i + 1, Reading: 1024}}
	}
	f.play(t, 2*time.Second)
	for i, r := range f.routers {
		report := r.g.Sum(f.now, 6).Reports(tables)[0]
		is.Equal(report.Running(), 21-(i+1))
		is.Equal(report.QueuedTokens(), 5*1024)
	}
}

func TestTakesAnyMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 2)
		r := f.routers[0]
		for range 4 {
			b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "message")
			if len(b) > 12 && rapid.Bool().Draw(t, "looks right") {
				b[0] = byte(rapid.SampledFrom([]Kind{KindRouter, KindCentre, KindRelayed, KindFleet}).Draw(t, "kind"))
				b[11], b[12] = 0, 1
				b = b[:headBytes+(len(b)-headBytes)/8*8]
			}
			if _, err := r.g.Take(start, f.routers[1].g.Self, b, r.peers); err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
				t.Fatal(err)
			}
		}
		r.g.Tick(start, tallier.Loads{}, r.peers)
		r.g.Sum(start, 4)
	})
}
