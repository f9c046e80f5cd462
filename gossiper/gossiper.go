// Package gossiper implements the gossip protocol between routers without I/O: it
// selects the peers to exchange digests with, builds the digests and merges those
// received. It maintains the membership of the fleet and spreads new revisions of the
// tables. Package exchanger encodes and transports its digests; those of package
// digester are of another kind.
//
// A Gossiper opens no connections and starts no goroutines. Its caller polls it,
// transports the digests and reports failed exchanges.
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

	// joinInterval replaces the interval while this router loads the member list.
	joinInterval = 500 * time.Millisecond
	// sourcePushInterval is the minimum time between pushes of revisions read from
	// the store; revisions that arrive in between are pushed together.
	sourcePushInterval = 1200 * time.Millisecond
	// relayPushInterval is the minimum time between pushes of revisions received
	// from a peer.
	relayPushInterval = 200 * time.Millisecond
	// isolationTimeout is the time without a successful exchange after which a
	// router regards itself as isolated and no longer suspects other members.
	isolationTimeout = 6 * time.Second
	// suspensionThreshold is the time between two polls from which this router is
	// considered to have been suspended.
	suspensionThreshold = 5 * time.Second
	// suspectFailures is the number of consecutive failed exchanges after which a
	// member is suspected or a region is regarded as unreachable.
	suspectFailures = 3
	// maxMembersKept limits the members kept, including dead ones and those that
	// left.
	maxMembersKept = 8192
	// watchersPerDataCentre is the number of routers per data centre that watch the
	// store.
	watchersPerDataCentre = 2
)

// Gossiper holds the membership as known to one router. Its exported fields are
// set before first use. It is not safe for concurrent use. The time passed to its
// methods must not decrease.
type Gossiper struct {
	// Address is the IP address and port of this router's peer link.
	Address string
	// Location is the location of this router.
	Location Location
	// Incarnation should be higher than that of an earlier process at the same
	// address; the start time as Unix seconds is suitable. A lower one is raised
	// once a peer reports the earlier process.
	Incarnation uint64
	// Rand is the source of randomness; never nil.
	Rand *rand.Rand
	// Changes, if set, returns the encoded table changes from revision after to
	// the revision last set, or nil if they exceed limit bytes.
	Changes func(after int64, limit int) []byte
	// Interval is the time between exchanges; 0 means 1 s.
	Interval time.Duration
	// SuspectTimeout is the time that a suspected member has to refute the
	// suspicion before it is declared dead; 0 means 10 s.
	SuspectTimeout time.Duration
	// TombstoneTTL is how long the entry of a member that died or left is kept;
	// 0 means 10 minutes.
	TombstoneTTL time.Duration

	started bool
	self    *member
	// members holds all other members by address, at most maxMembersKept.
	members map[string]*member
	// queue holds the members whose latest change is still to be sent to peers.
	queue []*member
	// checksum is the sum of the hashes of all members that are neither dead nor
	// have left, and of self unless it has left.
	checksum uint64
	// locations maps location identifiers to names.
	locations map[uint32]Location
	// hints maps the addresses on the platform's list to their locations.
	hints map[string]Location
	// roster indexes self and members.
	roster roster
	// cursor is the address after which the next slice of members starts.
	cursor     string
	joining    bool
	joinCursor string

	lastPoll    time.Time
	lastExpire  time.Time
	nextRound   time.Time
	lastSuccess time.Time
	rounds      int
	// pushed is set if a push was sent or received since the last round; skipped
	// counts the consecutive rounds that were skipped because of pushes.
	pushed  bool
	skipped int
	// retryAddress is the member of this region whose latest exchange failed and is
	// repeated in the next round; empty if none.
	retryAddress string
	// probes are the addresses to contact in the next poll regardless of rounds:
	// suspected members before they are declared dead, and the neighbours when
	// this router leaves.
	probes []string
	// failedRegions holds the other regions to which the latest exchange failed.
	failedRegions map[string]regionFailures

	revision int64
	// peerRevision is the highest revision seen in a digest, and peerRevisionFrom
	// the address of its sender.
	peerRevision     int64
	peerRevisionFrom string
	push             pushState
	load             loadState
}

// regionFailures counts the consecutive failed exchanges with a region.
type regionFailures struct {
	count int
	// since is the time of the first of these failures.
	since time.Time
}

// start initialises g on first use.
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
	g.failedRegions = make(map[string]regionFailures)
	if g.hints == nil {
		g.hints = make(map[string]Location)
	}
	g.lastPoll = now
	g.lastSuccess = now
	g.nextRound = now.Add(g.jitter(g.Interval))
	g.reset(now)
}

// reset discards all members and starts joining again, with the members on the
// platform's list.
func (g *Gossiper) reset(now time.Time) {
	e := Entry{Address: g.Address, Location: g.Location.ID(), Incarnation: g.Incarnation, State: StateAlive}
	g.self = newMember(e, now)
	g.members = make(map[string]*member)
	g.queue = nil
	g.checksum = e.hash()
	g.roster = roster{centres: make(map[uint32][]*member)}
	g.roster.insert(g.self)
	g.roster.addToCentre(g.self)
	g.joining = true
	g.joinCursor = ""
	g.enqueue(g.self)
	g.addHinted(now)
}

func newMember(e Entry, now time.Time) *member {
	return &member{entry: e, rankHash: hashAddress(e.Address), since: now}
}

// SetHints sets the routers found on the platform's list of VMs; vms must not
// contain other VMs. The list may be outdated: an unknown address on it is assumed
// to be a member until it stays unreachable, information from peers takes
// precedence over the list, and a member of an unreachable region is removed once
// it is no longer listed.
func (g *Gossiper) SetHints(now time.Time, vms []kingcuphook.VM) {
	g.start(now)
	g.hints = make(map[string]Location, len(vms))
	for _, vm := range vms {
		if vm.Address() == g.Address || vm.State() != kingcuphook.VMStateLive {
			continue
		}
		l := Location{Region: vm.Region(), DataCentre: vm.DataCentre()}
		g.hints[vm.Address()] = l
		g.addLocation(l)
	}
	g.addHinted(now)
}

// SetRevision sets the current revision of the tables and the address of the peer
// it came from. An empty address stands for the store, unless the digest of a peer
// already contained this revision or a higher one: then that peer counts as the
// origin. Revisions that are not higher than the current one are ignored.
func (g *Gossiper) SetRevision(now time.Time, revision int64, from string) {
	g.start(now)
	if revision <= g.revision {
		return
	}
	base := g.revision
	g.revision = revision
	if from == "" && revision <= g.peerRevision {
		from = g.peerRevisionFrom
	}
	g.startPush(base, from)
}

// Leave announces the planned shutdown of this router: digests built from now on
// state that it has left, and the next Poll returns its neighbours in the push
// tree, so that they are informed at once.
func (g *Gossiper) Leave(now time.Time) {
	g.start(now)
	g.updateSelf(g.self.entry.Incarnation, StateLeft, now)
	local, rank := g.local()
	for _, i := range neighbours(rank, len(local), g.revision) {
		g.probes = append(g.probes, local[i].entry.Address)
	}
}

// updateSelf changes the entry of this router.
func (g *Gossiper) updateSelf(incarnation uint64, s State, now time.Time) {
	e := g.self.entry
	e.Incarnation = incarnation
	e.State = s
	g.replace(g.self, e, now)
}

// replace sets the entry of m and queues the change.
func (g *Gossiper) replace(m *member, e Entry, now time.Time) {
	if !m.entry.State.deadOrLeft() {
		g.checksum -= m.entry.hash()
	}
	if !e.State.deadOrLeft() {
		g.checksum += e.hash()
	}
	moved := m.entry.State.deadOrLeft() != e.State.deadOrLeft() || m.entry.Location != e.Location
	if moved && m != g.self && !m.entry.State.deadOrLeft() {
		g.roster.removeFromCentre(m)
	}
	m.entry = e
	if moved && m != g.self && !e.State.deadOrLeft() {
		g.roster.addToCentre(m)
	}
	m.since = now
	g.enqueue(m)
}

// add inserts a new member.
func (g *Gossiper) add(e Entry, now time.Time) *member {
	m := newMember(e, now)
	g.members[e.Address] = m
	g.checksum += e.hash()
	g.roster.insert(m)
	g.roster.addToCentre(m)
	return m
}

// addHinted adds the unknown routers on the platform's list as members. Their
// incarnation of 0 lets any higher one replace the entry.
func (g *Gossiper) addHinted(now time.Time) {
	for a, l := range g.hints {
		if g.members[a] == nil && len(g.members) < maxMembersKept {
			g.add(Entry{Address: a, Location: l.ID(), State: StateAlive}, now)
		}
	}
}

// remove deletes a member without a tombstone.
func (g *Gossiper) remove(m *member) {
	if !m.entry.State.deadOrLeft() {
		g.checksum -= m.entry.hash()
		g.roster.removeFromCentre(m)
	}
	g.roster.remove(m)
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

func (g *Gossiper) addLocation(l Location) {
	if l.Region == "" || l.DataCentre == "" || len(g.locations) >= maxLocations {
		return
	}
	if _, ok := g.locations[l.ID()]; !ok {
		g.locations[l.ID()] = l
	}
}

// jitter returns a random duration within 10% of d.
func (g *Gossiper) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(g.Rand.Int64N(int64(d)/5+1))
}
