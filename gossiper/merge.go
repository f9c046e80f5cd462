package gossiper

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Merge merges a peer's digest, from a request or a reply. An invalid digest is
// rejected with an error that wraps ErrInvalid and has no effect. Merge reports
// whether the peer has newer tables; the caller then applies the changes in the
// digest or pulls the tables from the peer.
func (g *Gossiper) Merge(now time.Time, d *Digest) (bool, error) {
	if err := d.Validate(); err != nil {
		return false, err
	}
	g.start(now)
	if d.Sender.Address == g.Address {
		return false, nil
	}
	for _, l := range d.Locations {
		g.addLocation(l)
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
	g.recordSuccess(m, now)
	m.checksumDiffers = d.Checksum != g.checksum
	m.revision = max(m.revision, d.Revision)
	m.lastHeard = now
	if d.Revision > g.peerRevision {
		g.peerRevision, g.peerRevisionFrom = d.Revision, d.Sender.Address
	}
	g.pushed = g.pushed || d.Revision > g.revision
	g.advanceJoin(d)
	g.load.merge(g, now, d)
	return d.Revision > g.revision, nil
}

// trusts reports whether the sender's statements about other members are used. A
// sender that was declared dead or left and has not refuted it since may have been
// suspended, so that its statements may be stale.
func (g *Gossiper) trusts(sender Entry) bool {
	m := g.members[sender.Address]
	return m == nil || !m.entry.State.deadOrLeft() || sender.newer(m.entry)
}

// merge merges a peer's entry for one member. It returns the member, or nil if the
// entry is for this router or is not kept.
func (g *Gossiper) merge(e Entry, now time.Time) *member {
	if e.Address == g.Address {
		g.refute(e, now)
		return nil
	}
	m := g.members[e.Address]
	if m == nil {
		if e.State.deadOrLeft() || len(g.members) >= maxMembersKept {
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

// refute overrides a peer's wrong entry for this router with a higher incarnation,
// unless this router has left.
func (g *Gossiper) refute(e Entry, now time.Time) {
	own := g.self.entry
	if own.State == StateLeft || !e.newer(own) || e.Incarnation == math.MaxUint64>>2 {
		return
	}
	g.updateSelf(e.Incarnation+1, StateAlive, now)
}

// advanceJoin moves the cursor in the member list while this router joins. A reply
// with fewer than MaxJoinMembers ends the list.
func (g *Gossiper) advanceJoin(d *Digest) {
	if !g.joining || d.Joining || d.After != g.joinCursor {
		return
	}
	if len(d.Members) < MaxJoinMembers {
		g.joining = false
		return
	}
	g.joinCursor = d.Members[len(d.Members)-1].Address
}

// Validate returns an error that wraps ErrInvalid if d exceeds a limit or holds an
// invalid value.
func (d *Digest) Validate() error {
	switch {
	case d.Sender.Address == "":
		return invalid("sender address is missing")
	case d.Revision < 0 || d.ChangesAfter < 0:
		return invalid("negative revision")
	case len(d.Members) > MaxJoinMembers:
		return invalid("too many members: %d", len(d.Members))
	case len(d.Locations) > MaxLocations:
		return invalid("too many locations: %d", len(d.Locations))
	case len(d.Pressures) > MaxPressures:
		return invalid("too many pressure reports: %d", len(d.Pressures))
	case len(d.Suspects) > MaxSuspectsBytes:
		return invalid("%d bytes of suspects", len(d.Suspects))
	case len(d.Parts) > MaxPartsBytes:
		return invalid("%d bytes about prompt parts", len(d.Parts))
	case len(d.Rates) > MaxRates:
		return invalid("too many rates: %d", len(d.Rates))
	case len(d.Changes) > MaxChangesBytes:
		return invalid("table changes of %d bytes are too large", len(d.Changes))
	}
	for _, r := range d.Rates {
		if math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) || r.Rate < 0 {
			return invalid("rate %v is negative or not finite", r.Rate)
		}
	}
	for _, e := range append([]Entry{d.Sender}, d.Members...) {
		if e.Address == "" || e.State.Rank() < 0 || e.Incarnation > math.MaxUint64>>2 {
			return invalid("member %q has no address, an unknown state %q or too high an incarnation", e.Address, e.State)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("gossiper: digest: %s: %w", fmt.Sprintf(format, args...), kingcuphook.ErrInvalid)
}
