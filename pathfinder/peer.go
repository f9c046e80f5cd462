package pathfinder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// peerKey is a peer that failed for one upstream, or for all if program is the zero value.
type peerKey struct {
	peer    netip.Addr
	program kingcuphook.Program
}

// PeerFailed records that no connection to an upstream could be opened through a peer, and
// whether the peer could open none to any upstream. It reports whether another peer is used now;
// otherwise the upstream is to be checked.
func (f *Pathfinder) PeerFailed(now time.Time, u *kingcuphook.Upstream, peer netip.Addr, forAll bool) bool {
	f.mu.Lock()
	defer f.unlock()
	key := peerKey{peer: peer}
	if !forAll {
		key.program = u.Program()
	}
	f.fail(now, key)
	p := f.get(now, u)
	if p.state != StateCut || p.peer != peer {
		return p.state == StateCut && !p.isLost()
	}
	return f.replacePeer(now, p)
}

// Avoid records that a peer failed for an upstream that was probed through it, or for all.
func (f *Pathfinder) Avoid(now time.Time, u *kingcuphook.Upstream, peer netip.Addr, forAll bool) {
	f.mu.Lock()
	defer f.unlock()
	key := peerKey{peer: peer}
	if !forAll {
		key.program = u.Program()
	}
	f.fail(now, key)
}

// Withdraw records that a peer carries no new connections.
func (f *Pathfinder) Withdraw(now time.Time, peer netip.Addr) {
	f.mu.Lock()
	defer f.unlock()
	f.fail(now, peerKey{peer: peer})
	for _, p := range f.paths {
		if p.state == StateCut && p.peer == peer {
			f.replacePeer(now, p)
		}
	}
}

// replacePeer replaces the peer of a path by another one that is in use, and reports whether
// there is one. Otherwise the path is lost until it is checked: nothing is to be sent on the direct one, which
// is cut. The caller must hold mu.
func (f *Pathfinder) replacePeer(now time.Time, p *path) bool {
	p.peer = f.goodPeer(now, p)
	if p.isLost() {
		p.nextCheck = now
		return false
	}
	return true
}

// Usable reports whether a peer has not failed lately for an upstream.
func (f *Pathfinder) Usable(now time.Time, peer netip.Addr, program kingcuphook.Program) bool {
	f.mu.Lock()
	defer f.unlock()
	return f.usable(now, peer, program)
}

// usable is Usable. The caller must hold mu.
func (f *Pathfinder) usable(now time.Time, peer netip.Addr, program kingcuphook.Program) bool {
	return !now.Before(f.failed[peerKey{peer: peer}]) && !now.Before(f.failed[peerKey{peer: peer, program: program}])
}

// fail records the failure of a peer. The caller must hold mu.
func (f *Pathfinder) fail(now time.Time, key peerKey) {
	if f.failed == nil || len(f.failed) >= maxFailedPeers {
		f.failed = make(map[peerKey]time.Time)
	}
	f.failed[key] = now.Add(peerPause)
}

// goodPeer returns a random one of the usable peers that other cut paths use, or the zero
// address. The caller must hold mu.
func (f *Pathfinder) goodPeer(now time.Time, p *path) netip.Addr {
	var good []netip.Addr
	for _, o := range f.paths {
		if o != p && o.state == StateCut && o.verified && !o.isLost() && f.usable(now, o.peer, p.upstream.Program()) && !slices.Contains(good, o.peer) {
			good = append(good, o.peer)
		}
	}
	if len(good) == 0 {
		return netip.Addr{}
	}
	slices.SortFunc(good, netip.Addr.Compare)
	return good[f.intN(len(good))]
}
