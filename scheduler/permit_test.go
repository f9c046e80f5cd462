package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// fixedPermits gives the limited upstreams a number of permits.
type fixedPermits struct {
	// states holds the states of the limited upstreams by address.
	states map[string]kingcuphook.PermitState
	// requested counts the permits that were acquired or requested, by address.
	requested map[string]int
	// offered has the addresses of the programs that requests were offered to.
	offered []string
	// released has the addresses of the programs whose requests ended.
	released []string
}

func (p *fixedPermits) State(_ time.Time, program kingcuphook.Program, _ kingcuphook.Tier) kingcuphook.PermitState {
	return p.states[program.Address()]
}

func (p *fixedPermits) Acquire(_ time.Time, program kingcuphook.Program, _ kingcuphook.Tier) bool {
	state := p.states[program.Address()]
	if !state.Limited {
		return true
	}
	p.requested[program.Address()]++
	if state.Held == 0 {
		return false
	}
	state.Held--
	p.states[program.Address()] = state
	return true
}

func (p *fixedPermits) Release(_ time.Time, program kingcuphook.Program, _ kingcuphook.Sample) {
	p.released = append(p.released, program.Address())
}

func (p *fixedPermits) Offer(_ time.Time, program kingcuphook.Program) {
	p.offered = append(p.offered, program.Address())
}

func newLimitedScheduler(states map[string]kingcuphook.PermitState, upstreams ...kingcuphook.UpstreamFields) (*Scheduler, *fixedPermits) {
	permits := &fixedPermits{states: states, requested: make(map[string]int)}
	s := newScheduler(upstreams...)
	s.Permits = permits
	return s, permits
}

func TestLimitedUpstreamGetsNoRequestWithoutPermit(t *testing.T) {
	is := is.New(t)
	s, permits := newLimitedScheduler(map[string]kingcuphook.PermitState{"a": {Limited: true, Held: 1}}, engine("a", 8), engine("b", 8))
	for _, id := range []string{"0", "1", "2"} {
		s.Offer(start, request(id, 1))
	}
	is.Equal(assign(s, start), "0>a 1>b 2>b ")
	is.Equal(permits.requested["a"], 2) // one is asked for again only in the next call

	s.Offer(start, request("3", 1))
	assignments, _ := s.Assign(start)
	is.Equal(assignments[0].Choice.Upstream.Address(), "b")
	is.Equal(assignments[0].Choice.RateLimited, "a")
}

// Requests prefer another upstream, so the permit would expire.
func TestExpiringPermitIsUsed(t *testing.T) {
	is := is.New(t)
	states := map[string]kingcuphook.PermitState{"b": {Limited: true, Held: 1, Expiring: true}}
	s, _ := newLimitedScheduler(states, engine("a", 8), engine("b", 8))
	s.Offer(start, request("0", 1))
	is.Equal(assign(s, start), "0>b ")
}

// Requests that prefer other upstreams are offered to all limited ones in turn.
func TestLimitedUpstreamIsOfferedRequests(t *testing.T) {
	is := is.New(t)
	states := map[string]kingcuphook.PermitState{"b": {Limited: true}, "c": {Limited: true}}
	s, permits := newLimitedScheduler(states, engine("a", 8), engine("b", 8), engine("c", 8))
	for _, id := range []string{"0", "1", "2"} {
		s.Offer(start, request(id, 1))
	}
	is.Equal(assign(s, start), "0>a 1>a 2>a ")
	is.Equal(permits.offered, []string{"b", "c", "a"})
}

// A request that no upstream can take in time is rejected at once, with the time until a
// permit can be expected.
func TestRequestIsRejectedIfAllUpstreamsAreLimited(t *testing.T) {
	is := is.New(t)
	denied := kingcuphook.PermitState{Limited: true, NextRequest: start.Add(time.Second), DeniedUntil: start.Add(3 * time.Second)}
	s, _ := newLimitedScheduler(map[string]kingcuphook.PermitState{"a": denied, "b": denied}, engine("a", 8), engine("b", 8))
	s.Offer(start, request("0", 1))
	s.Offer(start, request("1", 3))
	_, sheds := s.Assign(start)
	is.Equal(len(sheds), 2)
	for _, shed := range sheds {
		is.True(errors.Is(shed.Err(), kingcuphook.ErrUpstreamsLimited))
		is.True(errors.Is(shed.Err(), kingcuphook.ErrOverloaded))
		is.True(shed.RetryAfter() >= 3*time.Second)
		is.True(shed.RetryAfter() <= 3*time.Second+rampUpTime)
	}
}

// While the reply of the issuer is awaited, a request waits.
func TestRequestWaitsForRequestedPermit(t *testing.T) {
	is := is.New(t)
	s, permits := newLimitedScheduler(map[string]kingcuphook.PermitState{"a": {Limited: true, Requested: true}}, engine("a", 8))
	s.Offer(start, request("0", 1))
	is.Equal(assign(s, start), "")
	is.Equal(s.Len(), 1)
	permits.states["a"] = kingcuphook.PermitState{Limited: true, Held: 1}
	is.Equal(assign(s, start.Add(10*time.Millisecond)), "0>a ")
}

// Preemption adds a request to the upstream and the copy of a prefix another one.
func TestPreemptionAndCopiesAvoidLimitedUpstream(t *testing.T) {
	is := is.New(t)
	s, permits := newLimitedScheduler(map[string]kingcuphook.PermitState{}, engine("a", 1))
	low, high := fields("low", 5), fields("high", 1)
	s.Offer(start, kingcuphook.NewRequest(low))
	is.Equal(assign(s, start), "low>a ")
	permits.states["a"] = kingcuphook.PermitState{Limited: true, Held: 1}
	s.Offer(start, kingcuphook.NewRequest(high))
	is.Equal(assign(s, start.Add(900*time.Millisecond)), "")

	s, _ = newLimitedScheduler(map[string]kingcuphook.PermitState{"b": {Limited: true}}, engine("a", 8), engine("b", 8))
	s.Selector.(*firstSelector).copyFrom = "b"
	s.Offer(start, request("0", 1))
	assignments, _ := s.Assign(start)
	is.Equal(assignments[0].Choice.CopyFrom, "")
}

// An upstream may ask for a pause and be at its rate limit at once: the longer one counts.
func TestPauseAndLimitAtOnce(t *testing.T) {
	is := is.New(t)
	denied := kingcuphook.PermitState{Limited: true, NextRequest: start.Add(3 * time.Second), DeniedUntil: start.Add(3 * time.Second)}
	s, permits := newLimitedScheduler(map[string]kingcuphook.PermitState{"a": denied}, engine("a", 8))
	s.Pause(start, programOf(engine("a", 8)), start.Add(6*time.Second))
	s.Offer(start, request("0", 1))
	_, sheds := s.Assign(start)
	is.Equal(len(sheds), 1)
	is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrPaused))
	is.True(sheds[0].RetryAfter() >= 6*time.Second)

	denied.DeniedUntil = start.Add(20 * time.Second)
	permits.states["a"] = denied
	s.Offer(start, request("1", 1))
	_, sheds = s.Assign(start)
	is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrUpstreamsLimited))
	is.True(sheds[0].RetryAfter() >= 20*time.Second)
}

// A place bounds the requests at a brittle upstream whatever sums of load say, and is released
// when its request ends.
func TestBrittleUpstreamGetsRequestsByPlaces(t *testing.T) {
	is := is.New(t)
	s, permits := newLimitedScheduler(map[string]kingcuphook.PermitState{"a": {Limited: true, Bounded: true, Held: 2}}, engine("a", 1))
	for _, id := range []string{"0", "1", "2", "3"} {
		s.Offer(start, request(id, 1))
	}
	is.Equal(assign(s, start), "0>a 1>a ")
	is.Equal(permits.requested["a"], 3) // the third request asks for a place
	permits.states["a"] = kingcuphook.PermitState{Limited: true, Bounded: true, Requested: true}
	is.Equal(assign(s, start), "")
	is.Equal(permits.requested["a"], 3)
	s.Finished(start, "a", request("0", 1), kingcuphook.Sample{})
	is.Equal(len(permits.released), 1)
}
