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

// fleet is a data centre in which every router sends its candidates to some of the
// others at each interval. Messages may be lost.
type fleet struct {
	rng     *rand.Rand
	routers []*Delegator
	// down has the routers that send and receive nothing, rejected those that the store
	// rejects.
	down, rejected map[int]bool
	now            time.Time
}

const (
	interval = 300 * time.Millisecond
	fanOut   = 4
	lossRate = 0.05
)

func newFleet(n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, uint64(n))), down: make(map[int]bool), rejected: make(map[int]bool), now: start}
	for i := range n {
		f.routers = append(f.routers, &Delegator{Self: address(i)})
	}
	return f
}

// settleTime is the time within which a fleet must agree.
const settleTime = 4 * time.Second

// settle simulates settleTime, in which the routers exchange candidates.
func (f *fleet) settle() {
	for end := f.now.Add(settleTime); f.now.Before(end); f.now = f.now.Add(interval) {
		for i, r := range f.routers {
			if f.down[i] {
				continue
			}
			r.SetUnable(f.rejected[i])
			candidates := r.Candidates(f.now)
			for range fanOut {
				f.deliver(i, f.rng.IntN(len(f.routers)), candidates)
			}
		}
	}
}

// deliver passes one message to a router, unless it is lost.
func (f *fleet) deliver(from, to int, candidates []Candidate) {
	if from == to || f.down[to] || f.rng.Float64() < lossRate {
		return
	}
	r := f.routers[to]
	if f.rejected[from] {
		r.RecordWithdrawal(f.now, address(from))
	} else {
		r.RecordCandidate(f.now, Candidate{Address: address(from)})
	}
	for _, c := range candidates {
		r.RecordCandidate(f.now, c)
	}
}

// following returns the numbers of the routers that follow the store.
func (f *fleet) following() []int {
	var list []int
	for i, r := range f.routers {
		if !f.down[i] && r.Follows(f.now) {
			list = append(list, i)
		}
	}
	return list
}

func TestNumberOfDelegatesIsIndependentOfFleetSize(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 50, 200} {
		is := is.New(t)
		f := newFleet(n)
		is.Equal(len(f.following()), n) // no other router is known at the start
		f.settle()
		is.Equal(len(f.following()), min(n, Count))
		for _, r := range f.routers {
			is.Equal(r.Delegates(f.now), f.routers[0].Delegates(f.now)) // all agree
		}
	}
}

func TestFailedDelegatesAreReplaced(t *testing.T) {
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
	is.Equal(f.following(), first) // the ranking is the same as before
}

func TestRejectedDelegatesAreReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(50)
	f.settle()
	for _, i := range f.following() {
		f.rejected[i] = true
	}
	f.settle()
	next := f.following()
	is.Equal(len(next), Count)
	for _, i := range next {
		is.True(!f.rejected[i])
	}
}

// TestAllFollowWhileStoreRejectsAll checks that routers without any candidate all try
// the store. If they waited for another to be able to, none would notice its return.
func TestAllFollowWhileStoreRejectsAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	f.settle()
	for i := range f.routers {
		f.rejected[i] = true
	}
	f.settle()
	is.Equal(len(f.following()), 20)
	f.rejected = map[int]bool{}
	f.settle()
	is.Equal(len(f.following()), Count)
}
