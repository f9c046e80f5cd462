// Package pathfinder decides on the path to each upstream: directly, or through a peer while
// only the direct path is cut off. It keeps the evidence of attempts, decides when an upstream
// is to be checked, and keeps the verdicts of the checks. It opens no connections itself.
//
// A connection that opens is no evidence that an upstream is reached, since some cuts let
// connections open and then reset them or leave them silent. Only bytes of a response are, on a
// new connection: open ones may live on while new ones are refused.
package pathfinder

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// State is the state of the path to an upstream.
type State string

// Values of State.
const (
	// StateDirect means that the upstream is reached directly, as far as is known.
	StateDirect State = "direct"
	// StateCut means that the upstream is reached through a peer only.
	StateCut State = "cut"
	// StateDown means that it was reached neither directly nor through the peers that were
	// asked.
	StateDown State = "down"
)

// Evidence is a reason to doubt the path to an upstream.
type Evidence string

// Values of Evidence.
const (
	// EvidenceDial means that no connection could be opened.
	EvidenceDial Evidence = "dial-failed"
	// EvidenceSlowDial means that opening connections takes much longer than usual.
	EvidenceSlowDial Evidence = "dial-slow"
	// EvidenceBroken means that a connection broke while a request used it.
	EvidenceBroken Evidence = "connection-broken"
	// EvidenceSilent means that nothing was received on the connections of requests in flight.
	EvidenceSilent Evidence = "silent"
	// EvidenceOthers means that the paths to other upstreams are cut.
	EvidenceOthers Evidence = "others-cut"
)

const (
	// minCutOff is the number of upstreams that are found cut from which on the others are
	// taken for cut as well, until they are probed.
	minCutOff = 2
	// doubtWindow is how long evidence against an upstream counts for the doubt about the
	// router's own links.
	doubtWindow = time.Second
	// heardGrace is how long after the evidence bytes may come that were sent before.
	heardGrace = 20 * time.Millisecond
	// minSilence and maxSilence bound the time without any byte of an upstream, while requests
	// are in flight, that counts as evidence. silenceFactor is the multiple of the
	// longest such time of late that it is in between.
	minSilence    = 300 * time.Millisecond
	maxSilence    = 1500 * time.Millisecond
	silenceFactor = 1.5
	// longDial is from when on opening a connection takes long, unless it took more than
	// 1/dialFactor of that before.
	longDial   = 100 * time.Millisecond
	dialFactor = 1.5
	// unsentDial replaces longDial for the load that is reported, once it is known how long opening
	// a connection to the upstream takes.
	unsentDial = 30 * time.Millisecond
	// gapHalfLife is how fast the longest time without any byte is forgotten.
	gapHalfLife = 20 * time.Second
	// maxSilentChecks is how many of the silent upstreams are checked.
	maxSilentChecks = 3
	// minSilentPause and maxSilentPause bound the time between two checks because of silence
	// which found that the upstreams are reached directly.
	minSilentPause = 2 * time.Second
	maxSilentPause = 16 * time.Second
	// minCheckPause and maxCheckPause bound the time between two checks of an upstream that
	// is reached directly, downPause and maxDownPause those of one that is down. doubtPause
	// replaces them while the router's own links are in doubt.
	minCheckPause = 250 * time.Millisecond
	maxCheckPause = 4 * time.Second
	downPause     = time.Second
	maxDownPause  = 4 * time.Second
	doubtPause    = 300 * time.Millisecond
	// calmAfter is how long after its last check the pauses of an upstream begin anew.
	calmAfter = 10 * time.Second
	// probeInterval is the mean time between two probes of a direct path that is cut; each is
	// drawn from a quarter below to a quarter above it.
	probeInterval = 400 * time.Millisecond
	// maxProbes limits the concurrent probes of direct paths, maxHealProbes those within
	// healWindow of a probe that succeeded.
	maxProbes     = 16
	maxHealProbes = 64
	healWindow    = time.Second
	// peerPause is how long a peer that failed isn't used.
	peerPause = time.Second
	// maxFailedPeers limits the failures of peers that are kept.
	maxFailedPeers = 4096
)

// Verdict is the result of a check.
type Verdict struct {
	// Direct means that the upstream responded on a new direct connection.
	Direct bool
	// Peer is a peer through which the upstream responded, if it didn't directly; the zero
	// address means none.
	Peer netip.Addr
	// Confirmed means that a peer was reached which doesn't reach the upstream either.
	Confirmed bool
}

// Change is a change of the path to an upstream.
type Change struct {
	Upstream *kingcuphook.Upstream
	Before   State
	Now      State
	// Evidence is the last evidence against the direct path, EvidenceAge its age.
	Evidence    Evidence
	EvidenceAge time.Duration
	// Peer is the peer that is used; if the path is direct again, the one that was.
	Peer netip.Addr
	// Lasted is how long the state before lasted.
	Lasted time.Duration
	// Cut is the number of upstreams whose path is cut now.
	Cut int
}

// Pathfinder holds the state of the paths to all upstreams. Its exported fields are set before
// use; then it is safe for concurrent use.
type Pathfinder struct {
	// OnChange, if set, is called for each change of a path.
	OnChange func(c Change)
	// Rand is the source of jitter; nil means that of the runtime.
	Rand *rand.Rand

	mu    sync.Mutex
	paths map[kingcuphook.Program]*path
	// cutSince is since when there are cut paths; zero if there are none.
	cutSince time.Time
	// healedAt is when a path was last found direct again.
	healedAt time.Time
	// inFlight is the number of requests on direct connections, begun when it last rose
	// from 0, and heard when a byte was last received on a direct connection.
	inFlight     int
	begun, heard time.Time
	// gap is the longest time without any byte while requests were in flight, forgotten with
	// gapHalfLife since gapAt.
	gap   time.Duration
	gapAt time.Time
	// nextSilent is the earliest time of the next check because of silence, silentPause the
	// pause after it.
	nextSilent  time.Time
	silentPause time.Duration
	// failed has until when peers that failed aren't used.
	failed map[peerKey]time.Time
	// pending are the changes that OnChange is to be called for.
	pending []Change
}

// path is the state of the path to one upstream.
type path struct {
	upstream *kingcuphook.Upstream
	state    State
	// since is when the state was entered.
	since time.Time
	// peer is the peer that is used while the path is cut; the zero address if it failed and no other is
	// known.
	peer netip.Addr
	// verified means that the state is the verdict of a check or a probe.
	verified bool
	// confirmed means that the upstream is down for a peer as well.
	confirmed bool
	// evidence is the last evidence against the direct path, evidenceAt its time.
	evidence   Evidence
	evidenceAt time.Time
	// checkedAt is the time of the last verdict, nextCheck the earliest time of the next
	// check, pause the pause after it.
	checkedAt, nextCheck time.Time
	pause                time.Duration
	// nextProbe is the time of the next probe of the direct path; probing is true during one.
	nextProbe time.Time
	probing   bool
	// inFlight is the number of requests on direct connections; begun and heard are as in
	// Pathfinder.
	inFlight     int
	begun, heard time.Time
	// goneAt is when the program was last found to have ended.
	goneAt time.Time
	// dial is the longest time that opening a connection took.
	dial time.Duration
	// flights are the requests that are counted by inFlight.
	flights map[*Flight]bool
}

// unlock unlocks the pathfinder and reports its changes.
func (f *Pathfinder) unlock() {
	changes := f.pending
	f.pending = nil
	f.mu.Unlock()
	if f.OnChange == nil {
		return
	}
	for _, c := range changes {
		f.OnChange(c)
	}
}

// get returns the path to an upstream. The caller must hold mu.
func (f *Pathfinder) get(now time.Time, u *kingcuphook.Upstream) *path {
	p := f.paths[u.Program()]
	if p == nil {
		p = &path{upstream: u, state: StateDirect, since: now}
		if f.paths == nil {
			f.paths = make(map[kingcuphook.Program]*path)
		}
		f.paths[u.Program()] = p
	}
	return p
}

// Retain forgets all paths but those to the programs for which isWanted returns true and those with requests in flight.
func (f *Pathfinder) Retain(isWanted func(p kingcuphook.Program) bool) {
	f.mu.Lock()
	defer f.unlock()
	for program, p := range f.paths {
		if !isWanted(program) && p.inFlight == 0 {
			delete(f.paths, program)
		}
	}
	f.updateCut(time.Now())
}

// Via returns the peer through which new connections to an upstream are opened; the zero
// address means directly, or that the path is lost.
func (f *Pathfinder) Via(now time.Time, u *kingcuphook.Upstream) netip.Addr {
	peer, _ := f.Path(now, u)
	return peer
}

// Path is like Via, and reports whether there is a path. If the direct one is cut, the peer failed and no other
// is known, there is none until the upstream is checked.
func (f *Pathfinder) Path(now time.Time, u *kingcuphook.Upstream) (peer netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.unlock()
	p := f.get(now, u)
	if p.state == StateDirect && !p.checkedAt.After(f.cutSince) && f.isCutOff(now) {
		if peer := f.goodPeer(now, p); peer.IsValid() {
			p.evidence, p.evidenceAt = EvidenceOthers, now
			p.nextProbe = now
			f.enter(now, p, StateCut, peer)
			p.verified = false
		}
	}
	if p.isLost() {
		f.replacePeer(now, p)
	}
	if p.state != StateCut {
		return netip.Addr{}, true
	}
	return p.peer, p.peer.IsValid()
}

// isLost reports whether the direct path is cut and no peer is known.
func (p *path) isLost() bool { return p.state == StateCut && !p.peer.IsValid() }

// State returns the state of the path to a program.
func (f *Pathfinder) State(p kingcuphook.Program) State {
	f.mu.Lock()
	defer f.unlock()
	if path := f.paths[p]; path != nil {
		return path.state
	}
	return StateDirect
}

// IsDown reports whether a program was found down by this router and a peer, so that its own links
// are not at fault.
func (f *Pathfinder) IsDown(program kingcuphook.Program) bool {
	f.mu.Lock()
	defer f.unlock()
	p := f.paths[program]
	return p != nil && p.state == StateDown && p.confirmed
}

// Reaches reports whether this router reaches a program directly, as far as it knows now.
func (f *Pathfinder) Reaches(now time.Time, program kingcuphook.Program) bool {
	f.mu.Lock()
	defer f.unlock()
	p := f.paths[program]
	switch {
	case p != nil && p.state == StateDirect && p.isDoubted(now):
		return false // its check decides
	case p == nil || p.state == StateDirect:
		return !f.isCutOff(now) || p != nil && p.checkedAt.After(f.cutSince)
	case p.state == StateDown:
		return now.Sub(p.checkedAt) > downPause
	default:
		return false
	}
}

// CountCut returns the number of upstreams whose path is cut.
func (f *Pathfinder) CountCut() int {
	f.mu.Lock()
	defer f.unlock()
	return f.countCut()
}

// IsCutOff reports whether this router reaches hardly any upstream directly.
func (f *Pathfinder) IsCutOff() bool {
	f.mu.Lock()
	defer f.unlock()
	cut := f.countCut()
	return cut > 0 && 2*cut > len(f.paths)
}

// countCut returns the number of cut paths. The caller must hold mu.
func (f *Pathfinder) countCut() int {
	n := 0
	for _, p := range f.paths {
		if p.state == StateCut {
			n++
		}
	}
	return n
}

// isCutOff reports whether upstreams that were not checked since the cut began are to be taken
// for cut as well. The caller must hold mu.
func (f *Pathfinder) isCutOff(now time.Time) bool {
	if f.cutSince.IsZero() || f.healedAt.After(f.cutSince) || now.Sub(f.heard) < minSilence {
		return false
	}
	n := 0
	for _, p := range f.paths {
		if p.state == StateDirect && p.checkedAt.After(f.cutSince) {
			return false
		}
		if p.state == StateCut && p.verified {
			n++
		}
	}
	return n >= minCutOff
}

// InDoubt reports whether there is recent evidence against several upstreams, so that the fault
// is likely to be in the links of this router.
func (f *Pathfinder) InDoubt(now time.Time) bool {
	f.mu.Lock()
	defer f.unlock()
	return f.inDoubt(now)
}

// inDoubt is InDoubt. The caller must hold mu.
func (f *Pathfinder) inDoubt(now time.Time) bool {
	n := 0
	first := now
	for _, p := range f.paths {
		if p.isDoubted(now) {
			n++
			first = earlier(first, p.evidenceAt)
		}
	}
	// Bytes that came after the evidence show that the links work.
	return n >= minCutOff && !f.heard.After(first.Add(heardGrace))
}

// isDoubted reports whether there is recent evidence against the direct path that no check has
// refuted.
func (p *path) isDoubted(now time.Time) bool {
	refuted := p.state == StateDirect && p.checkedAt.After(p.evidenceAt)
	return !refuted && !p.evidenceAt.IsZero() && now.Sub(p.evidenceAt) < doubtWindow
}

// Failed records evidence against the direct path to an upstream, and reports whether the
// upstream is to be checked now. Silence is none if bytes of it were received lately.
func (f *Pathfinder) Failed(now time.Time, u *kingcuphook.Upstream, e Evidence) bool {
	f.mu.Lock()
	defer f.unlock()
	p := f.get(now, u)
	if e == EvidenceSilent && now.Sub(p.heard) < minSilence {
		return false
	}
	p.evidence, p.evidenceAt = e, now
	next := p.nextCheck
	if f.inDoubt(now) && !p.checkedAt.IsZero() {
		next = earlier(next, p.checkedAt.Add(doubtPause))
	}
	return (p.state != StateCut || p.isLost()) && !now.Before(next)
}

// Gone records that the program of an upstream was found to have ended: its address refused a
// connection, or another program has it.
func (f *Pathfinder) Gone(now time.Time, u *kingcuphook.Upstream) {
	f.mu.Lock()
	defer f.unlock()
	f.get(now, u).goneAt = now
}

// FindSilent returns what was found about an upstream since it is silent, and whether evidence is
// to be recorded against its path, since nothing was found and no check is under way.
func (f *Pathfinder) FindSilent(now, since time.Time, u *kingcuphook.Upstream) (e kingcuphook.SilenceEvidence, isDue bool) {
	f.mu.Lock()
	defer f.unlock()
	p := f.get(now, u)
	switch {
	case p.goneAt.After(since):
		return kingcuphook.SilenceEvidenceGone, false
	case p.state == StateCut && p.since.After(since):
		return kingcuphook.SilenceEvidenceCut, false
	default:
		return kingcuphook.SilenceEvidenceNone, !p.checkedAt.After(since) && now.Sub(p.evidenceAt) >= doubtPause
	}
}

// Resolve applies the verdict of a check.
func (f *Pathfinder) Resolve(now time.Time, u *kingcuphook.Upstream, v Verdict) {
	f.mu.Lock()
	defer f.unlock()
	p := f.get(now, u)
	if now.Sub(p.checkedAt) > calmAfter {
		p.pause = 0
	}
	p.checkedAt = now
	p.verified = true
	p.confirmed = v.Confirmed
	switch {
	case v.Direct:
		p.pause = min(max(2*p.pause, minCheckPause), maxCheckPause)
		f.enter(now, p, StateDirect, netip.Addr{})
	case v.Peer.IsValid():
		p.pause = 0
		f.silentPause = 0
		p.nextProbe = now.Add(f.jitter(probeInterval))
		f.enter(now, p, StateCut, v.Peer)
	default:
		p.pause = min(max(2*p.pause, downPause), maxDownPause)
		f.enter(now, p, StateDown, netip.Addr{})
	}
	p.nextCheck = now.Add(f.jitter(p.pause))
}

// enter changes the state of a path. The caller must hold mu.
func (f *Pathfinder) enter(now time.Time, p *path, to State, peer netip.Addr) {
	before, lasted := p.state, now.Sub(p.since)
	reported := peer
	if !peer.IsValid() {
		reported = p.peer
	}
	p.peer = peer
	if before == to {
		return
	}
	p.state, p.since = to, now
	f.updateCut(now)
	f.pending = append(f.pending, Change{
		Upstream: p.upstream, Before: before, Now: to, Evidence: p.evidence, EvidenceAge: now.Sub(p.evidenceAt),
		Peer: reported, Lasted: lasted, Cut: f.countCut(),
	})
}

// updateCut keeps cutSince up to date. The caller must hold mu.
func (f *Pathfinder) updateCut(now time.Time) {
	switch n := f.countCut(); {
	case n == 0:
		f.cutSince = time.Time{}
	case f.cutSince.IsZero():
		f.cutSince = now
	}
}

// jitter returns a random duration from a quarter below d to a quarter above it. The caller must
// hold mu.
func (f *Pathfinder) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d*3/4 + time.Duration(f.intN(int(d/2)+1))
}

// intN returns a random number below n. The caller must hold mu.
func (f *Pathfinder) intN(n int) int {
	if f.Rand == nil {
		return rand.IntN(n)
	}
	return f.Rand.IntN(n)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
