package gossiper

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Merge takes a digest of a peer, in a request or a reply. An invalid digest is
// refused with an error that wraps ErrInvalid and changes nothing. It reports
// whether the peer has newer tables; the caller then applies the changes that
// the digest carries or pulls the tables from the peer.
func (g *Gossiper) Merge(now time.Time, d *Digest) (bool, error) {
	if err := d.Validate(); err != nil {
		return false, err
	}
	g.start(now)
	if d.Sender.Address == g.Address {
		return false, nil
	}
	for _, l := range d.Locations {
		g.learn(l)
	}
	trusted := g.trusts(d.Sender)
	m := g.merge(d.Sender, now)
	for _, e := range d.Members {
		if trusted || e.Address == g.Address {
			g.merge(e, now)
		}
	}
	if m == nil {
		return false, nil
	}
	g.succeeded(m, now)
	m.differs = d.Checksum != g.checksum
	m.revision = max(m.revision, d.Revision)
	m.heard = now
	if d.Revision > g.shown {
		g.shown, g.shownBy = d.Revision, d.Sender.Address
	}
	g.pushed = g.pushed || d.Revision > g.revision
	g.takeJoin(d)
	g.load.take(g, now, d)
	return d.Revision > g.revision, nil
}

// trusts reports whether what the sender says of others is believed. A sender
// that was removed may have been paused: what it says may be of the time
// before.
func (g *Gossiper) trusts(sender Entry) bool {
	m := g.members[sender.Address]
	return m == nil || !m.entry.State.gone() || sender.newer(m.entry)
}

// merge takes what a peer says of one member. It returns the member, or nil if
// it is not kept.
func (g *Gossiper) merge(e Entry, now time.Time) *member {
	if e.Address == g.Address {
		g.refute(e, now)
		return nil
	}
	m := g.members[e.Address]
	if m == nil {
		if e.State.gone() || len(g.members) >= maxKnown {
			return nil
		}
		m = g.add(e, now)
		g.enqueue(m)
		return m
	}
	if e.newer(m.entry) {
		g.replace(m, e, now)
	}
	return m
}

// refute answers what a peer wrongly says of this router by a higher
// incarnation.
func (g *Gossiper) refute(e Entry, now time.Time) {
	own := g.self.entry
	if own.State == StateLeft || !e.newer(own) || e.Incarnation == math.MaxUint64>>2 {
		return
	}
	g.setSelf(e.Incarnation+1, StateAlive, now)
}

// takeJoin moves on in the list of members that a joining router reads.
func (g *Gossiper) takeJoin(d *Digest) {
	if !g.joining || d.Joining || d.After != g.joinCursor {
		return
	}
	if len(d.Members) < MaxJoinMembers {
		g.joining = false
		return
	}
	g.joinCursor = d.Members[len(d.Members)-1].Address
}

// Validate returns an error that wraps ErrInvalid if d breaks a bound.
func (d *Digest) Validate() error {
	switch {
	case d.Sender.Address == "":
		return invalid("no sender")
	case d.Revision < 0 || d.ChangesAfter < 0:
		return invalid("negative revision")
	case len(d.Members) > MaxJoinMembers:
		return invalid("%d members", len(d.Members))
	case len(d.Locations) > MaxLocations:
		return invalid("%d locations", len(d.Locations))
	case len(d.Pressures) > MaxPressures:
		return invalid("%d pressures", len(d.Pressures))
	case len(d.Suspects) > MaxSuspectsBytes:
		return invalid("%d bytes of suspects", len(d.Suspects))
	case len(d.Rates) > MaxRates:
		return invalid("%d rates", len(d.Rates))
	case len(d.Changes) > MaxChangesBytes:
		return invalid("%d bytes of changes", len(d.Changes))
	}
	for _, r := range d.Rates {
		if math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) || r.Rate < 0 {
			return invalid("rate %v", r.Rate)
		}
	}
	for _, e := range append([]Entry{d.Sender}, d.Members...) {
		if e.Address == "" || e.State.Rank() < 0 || e.Incarnation > math.MaxUint64>>2 {
			return invalid("member %q in state %q", e.Address, e.State)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("gossiper: digest: %s: %w", fmt.Sprintf(format, args...), kingcuphook.ErrInvalid)
}
