package delegator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000, 0)

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}) }

// fleet is a data centre whose routers tell some of the others what they know
// every interval, in messages that may be lost.
type fleet struct {
	rng     *rand.Rand
	routers []*Delegator
	// down are routers that tell and hear nothing, refused those that the store
	// refuses.
	down, refused map[int]bool
	now           time.Time
}

const (
	interval = 300 * time.Millisecond
	fanOut   = 4
	lossRate = 0.05
)

func newFleet(n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, uint64(n))), down: make(map[int]bool), refused: make(map[int]bool), now: start}
	for i := range n {
		f.routers = append(f.routers, &Delegator{Self: address(i)})
	}
	return f
}

// settleTime is how long a fleet takes to agree.
const settleTime = 4 * time.Second

// settle lets the routers tell one another until they agree.
func (f *fleet) settle() {
	for end := f.now.Add(settleTime); f.now.Before(end); f.now = f.now.Add(interval) {
		for i, r := range f.routers {
			if f.down[i] {
				continue
			}
			r.SetAway(f.refused[i])
			told := r.Told(f.now)
			for range fanOut {
				f.deliver(i, f.rng.IntN(len(f.routers)), told)
			}
		}
	}
}

func (f *fleet) deliver(from, to int, told []Candidate) {
	if from == to || f.down[to] || f.rng.Float64() < lossRate {
		return
	}
	r := f.routers[to]
	if f.refused[from] {
		r.Withdrawn(f.now, address(from))
	} else {
		r.Heard(f.now, Candidate{Address: address(from)})
	}
	for _, c := range told {
		r.Heard(f.now, c)
	}
}

// following returns the routers that follow the store, by number.
func (f *fleet) following() []int {
	var list []int
	for i, r := range f.routers {
		if !f.down[i] && r.Follows(f.now) {
			list = append(list, i)
		}
	}
	return list
}

func TestFewFollowWhateverTheSize(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 50, 200} {
		is := is.New(t)
		f := newFleet(n)
		is.Equal(len(f.following()), n) // nobody is known at the start
		f.settle()
		is.Equal(len(f.following()), min(n, Count))
		for _, r := range f.routers {
			is.Equal(r.Delegates(f.now), f.routers[0].Delegates(f.now)) // all agree
		}
	}
}

func TestNextTakesThePlaceOfOneThatIsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(50)
	f.settle()
	first := f.following()
	for _, i := range first {
		f.down[i] = true
	}
	f.settle()
	next := f.following()
	is.Equal(len(next), Count)
	for _, i := range next {
		is.True(!slices.Contains(first, i))
	}
	f.down = map[int]bool{}
	f.settle()
	is.Equal(f.following(), first) // ranks don't change
}

func TestRefusedRoutersGiveWay(t *testing.T) {
	is := is.New(t)
	f := newFleet(50)
	f.settle()
	for _, i := range f.following() {
		f.refused[i] = true
	}
	f.settle()
	next := f.following()
	is.Equal(len(next), Count)
	for _, i := range next {
		is.True(!f.refused[i])
	}
}

func TestAllTryWhileTheStoreRefusesAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	f.settle()
	for i := range f.routers {
		f.refused[i] = true
	}
	f.settle()
	is.Equal(len(f.following()), 20)
	f.refused = map[int]bool{}
	f.settle()
	is.Equal(len(f.following()), Count)
}
