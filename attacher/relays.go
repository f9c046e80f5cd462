package attacher

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/digester"
	"github.com/kingcuphook/kingcuphook/forwarder"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pathfinder"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/relayer"
)

// maxHelpers bounds the peers that are proposed for one upstream.
const maxHelpers = 64

// relays connects the paths to upstreams with the other parts of the router: it proposes peers
// that may carry connections, and carries connections of peers.
type relays struct {
	a     *Attacher
	paths *pathfinder.Pathfinder
	door  *relayer.Door
	// helpers are the peers that may carry connections.
	helpers atomic.Pointer[[]helper]
	// tables are the current tables; nil before the first.
	tables atomic.Pointer[kingcuphook.Tables]
	// sent is the number of attempts that were sent through peers.
	sent atomic.Int64
}

// helper is a peer that may carry connections to upstreams, with the hash of its data centre, or
// 0 if that isn't known.
type helper struct {
	address netip.Addr
	centre  uint32
}

func newRelays(a *Attacher, local net.Addr) *relays {
	r := &relays{a: a, paths: &pathfinder.Pathfinder{}}
	r.paths.OnChange = r.logChange
	r.door = &relayer.Door{
		IsRouter:     r.isRouter,
		IsUpstream:   func(p kingcuphook.Program) bool { t := r.tables.Load(); return t != nil && t.Runs(p) },
		Reaches:      func(p kingcuphook.Program) bool { return r.paths.Reaches(time.Now(), p) },
		IsDown:       func(p kingcuphook.Program) bool { return r.paths.State(p) == pathfinder.StateDown },
		LinksSound:   func() bool { return r.paths.CountCut() == 0 && !r.paths.InDoubt(time.Now()) },
		CarriesNone:  r.carriesNone,
		LocalAddress: local,
		OnRefused: func(from netip.Addr, id, upstream, reason string) {
			a.Log.Log(logger.RelayRefused, "connection", id, "peer", from, "upstream", upstream, "reason", reason)
		},
		OnEnd: func(c relayer.Relayed) {
			a.Log.Log(logger.RelayEnded, "connection", c.ID, "peer", c.From, "upstream", c.Upstream, "sent-bytes", c.Sent,
				"received-bytes", c.Received, "took-ms", c.Took.Milliseconds(), "end", c.End, "error", c.Err)
		},
	}
	return r
}

// equip sets the fields of a forwarder by which it uses peers.
func (r *relays) equip(f *forwarder.Forwarder) {
	f.Paths = r.paths
	f.Peers = r.propose
	f.PeerAddress = r.a.Settings.PeerAddressOf
	f.Relayer = &relayer.Relayer{LocalAddress: f.LocalAddress}
	f.Owner = r.a.Settings.Name()
	f.OnRelayed = func(u *kingcuphook.Upstream, attempt *kingcuphook.Attempt, peer netip.Addr, connection string) {
		r.sent.Add(1)
		r.a.Log.Log(logger.RequestRelayed, "request", attempt.Request().ID(), "upstream", u.Address(), "instance", u.Instance(),
			"peer", peer, "connection", connection)
	}
}

func (r *relays) addGauges() {
	m := r.a.meter
	m.Gauge("kingcuphook_upstreams_cut", func() float64 { return float64(r.paths.CountCut()) })
	m.Gauge("kingcuphook_requests_relayed_total", func() float64 { return float64(r.sent.Load()) })
	m.Gauge("kingcuphook_relayed_connections_for_peers", func() float64 { return float64(r.door.Open()) })
	m.Gauge("kingcuphook_relayed_connections_refused_total", func() float64 { return float64(r.door.Refused()) })
}

// handler returns the handler of the listener for peers.
func (r *relays) handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayer.Path, r.door)
	mux.Handle("/", next)
	return mux
}

// isRouter reports whether an address is that of a known router. Those that carry no connections
// are known as well.
func (r *relays) isRouter(a netip.Addr) bool {
	known := r.a.control.known.Load()
	return known != nil && (*known)[a]
}

// update records the current tables.
func (r *relays) update(t *kingcuphook.Tables) {
	r.tables.Store(t)
}

// propose returns the peers that may reach an upstream in a random order, those of the own data
// centre and of that of the upstream first.
func (r *relays) propose(u *kingcuphook.Upstream) []netip.Addr {
	helpers := r.helpers.Load()
	if helpers == nil {
		return nil
	}
	own, its := digester.HashDataCentre(r.a.Settings.DataCentre()), digester.HashDataCentre(u.DataCentre())
	var first, rest []netip.Addr
	for _, i := range rand.Perm(len(*helpers)) {
		switch h := (*helpers)[i]; h.centre {
		case own, its:
			first = append(first, h.address)
		default:
			rest = append(rest, h.address)
		}
	}
	// Where those nearby are cut off as well, others are asked at the same time.
	list := interleave(first, rest)
	return list[:min(len(list), maxHelpers)]
}

// interleave returns the elements of both lists, three of the first for each of the second.
func interleave(first, rest []netip.Addr) []netip.Addr {
	list := make([]netip.Addr, 0, len(first)+len(rest))
	for len(first) > 0 || len(rest) > 0 {
		n := min(len(first), 3)
		list, first = append(list, first[:n]...), first[n:]
		n = min(len(rest), 1)
		list, rest = append(list, rest[:n]...), rest[n:]
	}
	return list
}

// carriesNone reports whether this router carries no connections for peers.
func (r *relays) carriesNone() bool { return r.a.stopping.Started() || r.paths.IsCutOff() }

// withdraw ends the use of a peer that carries no connections any more.
func (r *relays) withdraw(now time.Time, peer netip.Addr) {
	r.paths.Withdraw(now, peer)
	r.a.forwarder.LeavePeer(peer)
}

// announceStop tells the peers that use this router that it carries no new connections. A router that may be a
// candidate for the lease on the duties tells all peers, so that others are.
func (r *relays) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopAnnounceTimeout)
	defer cancel()
	r.a.control.do(ctx, func(now time.Time) {
		peers := r.door.Sources()
		if r.a.duties != nil && r.a.candidates.isRanked(now) {
			peers = slices.Collect(maps.Keys(r.a.control.peers.lastSeen))
		}
		r.a.control.send(r.a.control.shortDigest(now), peers)
	})
}

// stopAnnounceTimeout bounds the wait for the control loop.
const stopAnnounceTimeout = time.Second

// logChange logs a change of the path to an upstream.
func (r *relays) logChange(c pathfinder.Change) {
	event := logger.PathDirect
	switch c.Now {
	case pathfinder.StateCut:
		event = logger.PathCut
	case pathfinder.StateDown:
		event = logger.PathDown
	case pathfinder.StateDirect:
	}
	r.a.Log.Log(event, "upstream", c.Upstream.Address(), "instance", c.Upstream.Instance(), "before", c.Before,
		"evidence", c.Evidence, "evidence-ms-ago", c.EvidenceAge.Milliseconds(), "peer", c.Peer, "lasted-ms", c.Lasted.Milliseconds(), "cut", c.Cut)
	r.withdrawCrashes(c)
}

// withdrawCrashes withdraws the suspicion that an upstream has crashed if a peer still reaches it.
func (r *relays) withdrawCrashes(c pathfinder.Change) {
	if c.Now != pathfinder.StateCut || c.Before != pathfinder.StateDirect || c.EvidenceAge >= quarantiner.RestartTime {
		return
	}
	now := time.Now()
	requests := r.a.quarantine.Withdraw(now, isolator.FormatProgram(c.Upstream.Program()), now)
	r.a.logWithdrawn(c.Upstream, "peer", requests, r.a.isolator.Withdraw(now, c.Upstream, now))
}

// updateHelpers passes the peers to the relays.
func (c *control) updateHelpers() {
	known := make(map[netip.Addr]bool, len(c.peers.lastSeen))
	helpers := make([]helper, 0, len(c.peers.lastSeen))
	centres := make(map[netip.Addr]uint32)
	for a := range c.peers.near {
		centres[a] = c.peers.centre
	}
	for centre, list := range c.peers.far {
		for _, a := range list {
			centres[a] = centre
		}
	}
	for a := range c.peers.lastSeen {
		known[a] = true
		if !c.peers.carriesNone[a] {
			helpers = append(helpers, helper{address: a, centre: centres[a]})
		}
	}
	draining := maps.Clone(c.peers.carriesNone)
	c.known.Store(&known)
	c.draining.Store(&draining)
	c.a.relays.helpers.Store(&helpers)
}

// updateCarries records whether a peer carries connections.
func (c *control) updateCarries(now time.Time, from netip.Addr, carriesNone bool) {
	if c.peers.carriesNone[from] == carriesNone {
		return
	}
	if !carriesNone {
		delete(c.peers.carriesNone, from)
		c.updateHelpers()
		return
	}
	c.peers.carriesNone[from] = true
	c.updateHelpers()
	c.a.relays.withdraw(now, from)
}
