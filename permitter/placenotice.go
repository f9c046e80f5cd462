package permitter

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// welcome has the routers told first that were not known before.
func (i *issuer) welcome(known, routers []string) {
	if len(i.rooms) == 0 {
		return
	}
	for _, address := range routers {
		if !slices.Contains(known, address) && len(i.joined) < maxWaiting {
			i.joined = append(i.joined, address)
		}
	}
}

// sendNotices tells routers which upstreams are brittle: at once those that have joined or have
// not been told yet, and one after the other. The caller holds mu.
func (p *Permitter) sendNotices(now time.Time) (changes []PlacesChange) {
	if len(p.issuer.rooms) == 0 || len(p.routers) == 0 || now.Sub(p.issuer.noticedAt) < firstNoticeInterval {
		return nil
	}
	changed := false
	for _, r := range p.issuer.rooms {
		changed = changed || !r.noticed || r.noticedBrittle != r.endedAt.IsZero()
	}
	if !changed && p.issuer.untold == 0 && len(p.issuer.joined) == 0 && now.Sub(p.issuer.noticedAt) < noticeInterval {
		return nil
	}
	p.issuer.noticedAt = now
	b := newHeader(KindBrittle, 0, 0)
	entries := 0
	for key, r := range p.issuer.rooms {
		if entries == maxEntries || now.Sub(r.activeAt) > bucketTTL {
			continue
		}
		if known := r.endedAt.IsZero(); !r.noticed || r.noticedBrittle != known {
			r.noticed, r.noticedBrittle = true, known
			p.issuer.untold = len(p.routers)
		}
		entries++
		e := noticeEntry{key: key, tolerated: r.tolerated, announcedAt: r.announcedAt, ended: !r.endedAt.IsZero()}
		b = e.append(b, now)
		if c, changed := p.applyNotice(now, e); changed {
			changes = append(changes, c)
		}
	}
	for _, to := range p.issuer.joined {
		if to != p.Self {
			p.outbox = append(p.outbox, Message{To: to, Payload: b})
		}
	}
	p.issuer.joined = nil
	n := 1
	if p.issuer.untold > 0 {
		n = min(firstNotices, p.issuer.untold)
		p.issuer.untold -= n
	}
	for range min(n, len(p.routers)) {
		p.issuer.nextNotice = (p.issuer.nextNotice + 1) % len(p.routers)
		if to := p.routers[p.issuer.nextNotice]; to != p.Self {
			p.outbox = append(p.outbox, Message{To: to, Payload: b})
		}
	}
	return changes
}

func (p *Permitter) receiveNotice(now time.Time, message []byte) (more bool, changes []PlacesChange, err error) {
	_, _, entries, err := decodeHeader(message, noticeEntryBytes)
	if err != nil {
		return false, nil, err
	}
	for ; len(entries) > 0; entries = entries[noticeEntryBytes:] {
		c, changed := p.applyNotice(now, decodeNoticeEntry(entries, now))
		if changed {
			changes = append(changes, c)
			more = more || c.Kind == ChangeKindEnded
		}
	}
	return more, changes, nil
}

// applyNotice applies what an issuer knows of an upstream. The caller holds mu.
func (p *Permitter) applyNotice(now time.Time, e noticeEntry) (PlacesChange, bool) {
	l := p.placesByKey[e.key]
	switch {
	case l != nil && e.ended && !l.announcedAt.After(e.announcedAt):
		p.removePlaces(l)
		return p.placesChange(now, l, ChangeKindEnded, SourcePeer), true
	case e.ended:
		return PlacesChange{}, false
	case l != nil:
		l.toldAt = now
		return PlacesChange{}, false
	}
	u := p.upstreamByKey(e.key)
	if u == nil || len(p.places) >= maxLimits {
		return PlacesChange{}, false
	}
	l = p.addPlaces(now, u.Program(), u.Slots(), e.tolerated)
	l.toldAt = now
	return p.placesChange(now, l, ChangeKindBegan, SourcePeer), true
}

// upstreamByKey returns the upstream of the tables whose program has the key, or nil. The caller
// holds mu.
func (p *Permitter) upstreamByKey(key uint64) *kingcuphook.Upstream {
	if p.tables == nil {
		return nil
	}
	if p.upstreams == nil {
		p.upstreams = make(map[uint64]*kingcuphook.Upstream)
		for _, pool := range p.tables.Pools() {
			for _, u := range pool.Upstreams() {
				p.upstreams[u.ProgramKey()] = u
			}
		}
	}
	return p.upstreams[key]
}
