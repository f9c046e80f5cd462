package permitter

import "time"

// handleState handles the state of a router and returns the reply. The caller holds mu.
func (p *Permitter) handleState(now time.Time, router string, sequence uint16, e stateEntry) (grantEntry, bool) {
	r := p.issuer.room(now, e)
	if r == nil {
		return grantEntry{}, false
	}
	r.beginAnew(now, e)
	r.act(now)
	if !r.record(now, router, sequence, e) {
		return grantEntry{}, false
	}
	g := grantEntry{key: e.key}
	if !r.endedAt.IsZero() {
		g.ended = true
		return g, true
	}
	g.places = p.sendGrants(now, r, router)
	g.contended = r.contended(now)
	g.wait = r.waitOf(now)
	return g, true
}

// sendGrants issues the free places of a room. It returns the number of those for a router
// whose state is being answered; the others are sent. The caller holds mu.
func (p *Permitter) sendGrants(now time.Time, r *room, answered string) int {
	if r.acting && !p.acts(now, r) {
		r.rest()
	}
	if !r.endedAt.IsZero() || !r.acting {
		return 0
	}
	n := 0
	for _, g := range r.allot(now) {
		switch g.router {
		case answered:
			n = g.places
		case p.Self:
			if l := p.placesByKey[r.key]; l != nil && l.request.sequence == g.sequence {
				p.applyGrant(now, l, grantEntry{key: r.key, places: g.places, contended: r.contended(now)})
				p.granted = true
			}
		default:
			b := grantEntry{key: r.key, places: g.places, contended: r.contended(now)}.append(newHeader(KindGrant, g.sequence, 0))
			p.outbox = append(p.outbox, Message{To: g.router, Payload: b})
		}
	}
	return n
}

// sendQueuedReplies answers the routers that have been waiting for some time. The caller holds mu.
func (p *Permitter) sendQueuedReplies(now time.Time, r *room) {
	for _, h := range r.holders {
		if h.answerAt.IsZero() || now.Before(h.answerAt) {
			continue
		}
		h.answerAt = time.Time{}
		e := grantEntry{key: r.key, contended: true, wait: r.waitOf(now)}
		p.outbox = append(p.outbox, Message{To: h.router, Payload: e.append(newHeader(KindGrant, h.sequence, 0))})
	}
}

func (p *Permitter) receiveState(now time.Time, from string, message []byte) ([]byte, error) {
	sequence, flags, entries, err := decodeHeader(message, stateEntryBytes)
	if err != nil {
		return nil, err
	}
	b := newHeader(KindGrant, sequence, 0)
	for ; len(entries) > 0; entries = entries[stateEntryBytes:] {
		e, err := decodeStateEntry(entries, now)
		if err != nil {
			return nil, err
		}
		r := p.issuer.room(now, e)
		if r == nil || !p.acts(now, r) {
			r.decline(now, e)
			b = newHeader(KindGrant, sequence, flagDeclined)
			break
		}
		g, answered := p.handleState(now, from, sequence, e)
		switch {
		case !answered || !e.isAnswered():
		case e.held == 0 && g.places == 0 && !g.ended:
			p.issuer.rooms[e.key].holders[from].answerAt = now.Add(replyDelay(flags))
		default:
			b = g.append(b)
		}
	}
	if len(message) == headerBytes && !p.issues(now) {
		return newHeader(KindGrant, sequence, flagDeclined), nil
	}
	if len(b) == headerBytes && len(message) > headerBytes {
		return nil, nil
	}
	return b, nil
}

// replyDelay returns how long a router waits for the reply that there is no free place.
func replyDelay(flags byte) time.Duration {
	if flags&flagPatient != 0 {
		return patientReplyDelay
	}
	return queuedReplyDelay
}

// acts reports whether this router issues the places of an upstream: it is the first by
// rendezvous hashing, or the second and the first did not answer it. The caller holds mu.
func (p *Permitter) acts(now time.Time, r *room) bool {
	if !p.issues(now) {
		return false
	}
	p.issuerOf(now, r.key, &r.ranking)
	if ranked := r.ranking.ranked; len(ranked) > 0 && ranked[0] == p.Self {
		return true
	}
	first := p.firstOf(r)
	return first != "" && p.peer(first).away
}

// firstOf returns the first router by rendezvous hashing if this one is the second; otherwise
// empty. The caller holds mu and has renewed the ranking.
func (p *Permitter) firstOf(r *room) string {
	if ranked := r.ranking.ranked; len(ranked) > 1 && ranked[1] == p.Self {
		return ranked[0]
	}
	return ""
}

// pings returns messages to the routers in whose place this one may have to issue places. The
// caller holds mu.
func (p *Permitter) pings(now time.Time) []Message {
	var messages []Message
	for _, r := range p.issuer.rooms {
		p.issuerOf(now, r.key, &r.ranking)
		first := p.firstOf(r)
		if first == "" || now.Sub(r.activeAt) >= holderTTL {
			continue
		}
		s := p.peer(first)
		if now.Sub(s.pingedAt) < replyTimeout {
			continue
		}
		if !s.pingedAt.IsZero() && now.Sub(s.pingedAt) < 2*replyTimeout {
			s.recordTimeout(now)
		}
		s.pingedAt = now
		p.placeSequence++
		messages = append(messages, Message{To: first, Payload: newHeader(KindState, p.placeSequence, 0)})
	}
	return messages
}

// decline records the state of a router that gets no places, so that the others can be told that
// the upstream is brittle. r may be nil.
func (r *room) decline(now time.Time, e stateEntry) {
	if r != nil {
		r.rest()
		r.activeAt = now
		r.recordEvidence(now, e)
	}
}
