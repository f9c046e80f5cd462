// Package gossiper decides with which other routers this router exchanges
// digests, what it tells them and what it believes of what they tell. It keeps
// the membership of the fleet and spreads the revision of the tables.
//
// A Gossiper opens no connection and starts no goroutine. Its caller polls it,
// carries the digests and reports exchanges that failed.
package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	defaultInterval       = time.Second
	defaultSuspectTimeout = 10 * time.Second
	defaultTombstoneTTL   = 10 * time.Minute

	// joinInterval replaces the interval while members are still unknown.
	joinInterval = 500 * time.Millisecond
	// sourcePause separates two pushes of a router that learned from the store;
	// the changes in between go together.
	sourcePause = 1200 * time.Millisecond
	// relayPause separates two pushes of a router that learned from a peer.
	relayPause = 200 * time.Millisecond
	// isolationTimeout is how long without a successful exchange a router
	// blames itself and not the others.
	isolationTimeout = 6 * time.Second
	// pauseLimit is the gap between polls taken as a pause of this router.
	pauseLimit = 5 * time.Second
	// suspectFailures is how many exchanges in a row must fail.
	suspectFailures = 3
	// maxKnown bounds the members kept, gone ones included.
	maxKnown = 8192
	// watchersPerDataCentre is how many routers of a data centre watch the store.
	watchersPerDataCentre = 2
)

// Gossiper holds the membership as one router knows it. Its exported fields are
// set before first use. It is used by one goroutine at a time; time is passed
// in and never falls.
type Gossiper struct {
	// Address is the IP number and port of this router's peer link.
	Address string
	// Location is where this router runs.
	Location Location
	// Incarnation must be higher than in an earlier life of the same address;
	// the Unix time of the start in seconds will do. A lower one is raised as
	// soon as a peer tells of the earlier life.
	Incarnation uint64
	// Rand is the source of randomness; never nil.
	Rand *rand.Rand
	// Changes, if set, returns the encoded changes that lead the tables from
	// revision after to the revision last set, or nil if they take more than
	// limit bytes.
	Changes func(after int64, limit int) []byte
	// Interval is the time between exchanges; 0 means 1 s.
	Interval time.Duration
	// SuspectTimeout is how long a suspect may refute; 0 means 10 s.
	SuspectTimeout time.Duration
	// TombstoneTTL is how long a member that is gone is remembered; 0 means 10
	// minutes.
	TombstoneTTL time.Duration

	started bool
	self    *member
	// members holds all others by address; at most maxKnown.
	members map[string]*member
	// queue holds the members whose latest change is still to be told.
	queue []*member
	// checksum is the sum of the hashes of self and all members not gone.
	checksum uint64
	// locations names the locations by identifier.
	locations map[uint32]Location
	// hints are the addresses of the platform's list.
	hints map[string]Location
	// roster orders self and members.
	roster roster
	// cursor is the address after which the next slice of members begins.
	cursor     string
	joining    bool
	joinCursor string

	lastPoll    time.Time
	lastExpire  time.Time
	nextTick    time.Time
	lastSuccess time.Time
	ticks       int
	// pushed says that a push went out or came in since the last round; skipped
	// counts the rounds in a row that pushes stood in for.
	pushed  bool
	skipped int
	// retry is the address whose exchange failed last; empty if none.
	retry string
	// probes are the suspects to be asked before they are removed.
	probes []string
	// failedRegions holds the other regions whose latest exchange failed.
	failedRegions map[string]failure

	revision int64
	// shown is the highest revision in a digest, and shownBy its sender.
	shown   int64
	shownBy string
	push    pusher
	load    loads
}

// failure counts the exchanges with a region that failed in a row.
type failure struct {
	count int
	// since is when the first of them failed.
	since time.Time
}

// start prepares g at its first use.
func (g *Gossiper) start(now time.Time) {
	if g.started {
		return
	}
	g.started = true
	if g.Interval == 0 {
		g.Interval = defaultInterval
	}
	if g.SuspectTimeout == 0 {
		g.SuspectTimeout = defaultSuspectTimeout
	}
	if g.TombstoneTTL == 0 {
		g.TombstoneTTL = defaultTombstoneTTL
	}
	g.locations = map[uint32]Location{g.Location.ID(): g.Location}
	g.failedRegions = make(map[string]failure)
	if g.hints == nil {
		g.hints = make(map[string]Location)
	}
	g.lastPoll = now
	g.lastSuccess = now
	g.nextTick = now.Add(g.jitter(g.Interval))
	g.reset(now)
}

// reset forgets all members; they are learned again from the peers.
func (g *Gossiper) reset(now time.Time) {
	e := Entry{Address: g.Address, Location: g.Location.ID(), Incarnation: g.Incarnation, State: StateAlive}
	g.self = newMember(e, now)
	g.members = make(map[string]*member)
	g.queue = nil
	g.checksum = e.hash()
	g.roster = roster{centres: make(map[uint32][]*member)}
	g.roster.know(g.self)
	g.roster.enter(g.self)
	g.joining = true
	g.joinCursor = ""
	g.enqueue(g.self)
	g.adopt(now)
}

func newMember(e Entry, now time.Time) *member {
	return &member{entry: e, order: orderOf(e.Address), since: now}
}

// SetHints takes the routers of the platform's list of VMs, without other VMs.
// The list lags: an address not known before is taken for a member until it
// fails to answer, what the peers say of one goes before the list, and an
// unreachable member that the list no longer has is forgotten.
func (g *Gossiper) SetHints(now time.Time, vms []kingcuphook.VM) {
	g.start(now)
	g.hints = make(map[string]Location, len(vms))
	for _, vm := range vms {
		if vm.Address() == g.Address || vm.State() != kingcuphook.VMStateLive {
			continue
		}
		l := Location{Region: vm.Region(), DataCentre: vm.DataCentre()}
		g.hints[vm.Address()] = l
		g.learn(l)
	}
	g.adopt(now)
}

// SetRevision takes the revision of the tables now in force and the peer that
// it came from. Empty stands for the store, unless a peer has shown the revision
// before. Lower revisions are ignored.
func (g *Gossiper) SetRevision(now time.Time, revision int64, from string) {
	g.start(now)
	if revision <= g.revision {
		return
	}
	base := g.revision
	g.revision = revision
	if from == "" && revision <= g.shown {
		from = g.shownBy
	}
	g.startPush(base, from)
}

// Leave announces the planned stop of this router: digests built from now on
// say that it has left, and the next Poll asks for some at once.
func (g *Gossiper) Leave(now time.Time) {
	g.start(now)
	g.setSelf(g.self.entry.Incarnation, StateLeft, now)
	local, rank := g.local()
	for _, i := range neighbours(rank, len(local), g.revision) {
		g.probes = append(g.probes, local[i].entry.Address)
	}
}

// setSelf changes what this router says of itself.
func (g *Gossiper) setSelf(incarnation uint64, s State, now time.Time) {
	e := g.self.entry
	e.Incarnation = incarnation
	e.State = s
	g.replace(g.self, e, now)
}

// replace changes the entry of m and queues the change.
func (g *Gossiper) replace(m *member, e Entry, now time.Time) {
	if !m.entry.State.gone() {
		g.checksum -= m.entry.hash()
	}
	if !e.State.gone() {
		g.checksum += e.hash()
	}
	moved := m.entry.State.gone() != e.State.gone() || m.entry.Location != e.Location
	if moved && m != g.self && !m.entry.State.gone() {
		g.roster.leave(m)
	}
	m.entry = e
	if moved && m != g.self && !e.State.gone() {
		g.roster.enter(m)
	}
	m.since = now
	g.enqueue(m)
}

// add takes up a new member.
func (g *Gossiper) add(e Entry, now time.Time) *member {
	m := newMember(e, now)
	g.members[e.Address] = m
	g.checksum += e.hash()
	g.roster.know(m)
	g.roster.enter(m)
	return m
}

// adopt takes up the routers of the platform's list that are not known. Their
// incarnation of 0 gives way to all that they say themselves.
func (g *Gossiper) adopt(now time.Time) {
	for a, l := range g.hints {
		if g.members[a] == nil && len(g.members) < maxKnown {
			g.add(Entry{Address: a, Location: l.ID(), State: StateAlive}, now)
		}
	}
}

// remove forgets a member.
func (g *Gossiper) remove(m *member) {
	if !m.entry.State.gone() {
		g.checksum -= m.entry.hash()
		g.roster.leave(m)
	}
	g.roster.forget(m)
	delete(g.members, m.entry.Address)
}

func (g *Gossiper) enqueue(m *member) {
	m.sends = 0
	if m.queued {
		return
	}
	m.queued = true
	g.queue = append(g.queue, m)
}

func (g *Gossiper) learn(l Location) {
	if l.Region == "" || l.DataCentre == "" || len(g.locations) >= maxLocations {
		return
	}
	if _, ok := g.locations[l.ID()]; !ok {
		g.locations[l.ID()] = l
	}
}

// jitter spreads d by a tenth to either side.
func (g *Gossiper) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(g.Rand.Int64N(int64(d)/5+1))
}
