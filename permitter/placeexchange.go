package permitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// noticeInterval is the time between two notices of an issuer, each to one router after the
	// other. After a change it sends firstNotices in firstNoticeInterval until all are told.
	noticeInterval      = 200 * time.Millisecond
	firstNoticeInterval = 50 * time.Millisecond
	firstNotices        = 40
	// minPeerTTL is the least time for which a router believes an issuer that an upstream is
	// brittle.
	minPeerTTL = time.Minute
	// queuedReplyDelay is how long the issuer waits for a free place before it tells a router
	// that there is none.
	queuedReplyDelay = 100 * time.Millisecond
	// patientReplyDelay replaces queuedReplyDelay for a router that is patient, and patientTimeout
	// its replyTimeout.
	patientReplyDelay = queueTTL
	patientTimeout    = queueTTL + replyTimeout
	// asksPerSecond is how often all routers together ask for places of an upstream that they
	// did not get.
	asksPerSecond = 30
)

// peerTTL returns for how long this router believes an issuer that an upstream is brittle: two
// rounds of its notices. The caller holds mu.
func (p *Permitter) peerTTL() time.Duration {
	return max(minPeerTTL, 2*time.Duration(len(p.routers))*noticeInterval)
}

// askInterval returns the least time between two messages in which this router asks for places
// of an upstream, unless it gets some.
func (p *Permitter) askInterval() time.Duration {
	return max(minRequestInterval, time.Duration(len(p.routers))*time.Second/asksPerSecond)
}

// patient reports whether this router needs no reply of an issuer while it waits for places. In a large
// fleet most requests for places wait for longer than replyTimeout, and the replies that say so would be
// half of what the issuer sends. An issuer that did not answer is to answer the next one soon.
func (p *Permitter) patient(issuer string) bool {
	s := p.peers[issuer]
	return p.askInterval() > queueTTL && (s == nil || s.timeouts == 0 && !s.away)
}

// ObserveBrittleness records what an upstream announced in a reply about requests that it turns
// away, whether it turned this one away, and when the request was sent.
func (p *Permitter) ObserveBrittleness(now time.Time, u *kingcuphook.Upstream, b kingcuphook.Brittleness, refused bool, sentAt time.Time) {
	if !b.IsPresent() && p.placesCount.Load() == 0 && !p.caution.Load() {
		return
	}
	p.mu.Lock()
	changes := p.observeBrittleness(now, u, b, refused, sentAt)
	p.mu.Unlock()
	p.notifyPlaces(changes)
	p.wake()
}

func (p *Permitter) observeBrittleness(now time.Time, u *kingcuphook.Upstream, b kingcuphook.Brittleness, refused bool, sentAt time.Time) []PlacesChange {
	program := u.Program()
	p.recordAnswer(program)
	l := p.places[program]
	if !b.IsPresent() {
		if l != nil {
			l.observeAbsent(sentAt)
			if refused {
				p.refused++
				l.refuse(sentAt)
			}
		}
		return nil
	}
	var changes []PlacesChange
	n, known := b.Tolerated()
	if !known && !p.malformed[program] && len(p.malformed) < maxLimits {
		if p.malformed == nil {
			p.malformed = make(map[kingcuphook.Program]bool)
		}
		p.malformed[program] = true
		changes = append(changes, PlacesChange{Program: program, Kind: ChangeKindMalformed, Source: SourceReply})
	}
	switch {
	case l == nil && (!known || len(p.places) >= maxLimits):
		return changes
	case l == nil:
		l = p.addPlaces(now, program, u.Slots(), n)
		l.announcedAt, l.sentAt = now, sentAt
		changes = append(changes, p.placesChange(now, l, ChangeKindBegan, SourceReply))
	case l.observe(now, b, sentAt):
		l.notifiedAt = now
		changes = append(changes, p.placesChange(now, l, ChangeKindChanged, SourceReply))
	}
	l.slots = u.Slots()
	if refused {
		p.refused++
		l.refuse(sentAt)
	}
	return changes
}

// addPlaces adds a brittle upstream. The open requests hold places there.
func (p *Permitter) addPlaces(now time.Time, program kingcuphook.Program, slots, tolerated int) *places {
	l := &places{
		program: program, key: program.Key(), slots: slots, tolerated: tolerated, begunAt: now, notifiedAt: now,
		running: p.running[program], held: p.running[program], confirmedAt: now, tenureFrom: now, idleFrom: now, changed: true,
	}
	if p.places == nil {
		p.places = make(map[kingcuphook.Program]*places)
		p.placesByKey = make(map[uint64]*places)
	}
	p.places[program] = l
	p.placesByKey[l.key] = l
	p.placesCount.Store(int64(len(p.places)))
	return l
}

func (p *Permitter) removePlaces(l *places) {
	delete(p.places, l.program)
	delete(p.placesByKey, l.key)
	p.placesCount.Store(int64(len(p.places)))
}

// acquirePlace takes a place for a request if the upstream is brittle. The caller holds mu.
func (p *Permitter) acquirePlace(now time.Time, l *places, t kingcuphook.Tier) (acquired bool, changes []PlacesChange) {
	if l.take(now) {
		return true, nil
	}
	l.need(t)
	switch p.issuerOf(now, l.key, &l.ranking) {
	case "":
		l.denial = newDenial(now, t, minRetry, minRetry)
		l.nextRequest = now.Add(minRetry)
		return false, nil
	case p.Self:
	default:
		return false, nil
	}
	if l.askDue(now) {
		changes = p.tellSelf(now, l)
	}
	return l.take(now), changes
}

// Release implements kingcuphook.PermitSource.
func (p *Permitter) Release(now time.Time, program kingcuphook.Program, s kingcuphook.Sample) {
	p.mu.Lock()
	if n := p.running[program]; n > 1 {
		p.running[program] = n - 1
	} else {
		delete(p.running, program)
	}
	l := p.places[program]
	due := false
	if l != nil {
		l.release(now, !s.Cancelled && (!s.Failed || s.Answered))
		due = l.changed || l.contended
	}
	p.mu.Unlock()
	if due {
		p.wake()
	}
}

// placeMessages returns the messages about places that are due. The caller holds mu.
func (p *Permitter) placeMessages(now time.Time) ([]Message, []PlacesChange) {
	var changes []PlacesChange
	batches := make(map[string][]*places)
	for _, l := range p.places {
		p.checkPlaceTimeout(now, l)
		if l.presence.isOver(now) || p.forgotten(now, l) {
			p.removePlaces(l)
			changes = append(changes, p.placesChange(now, l, ChangeKindEnded, SourcePeer))
			continue
		}
		l.returnIdle(now)
		if !l.stateDue(now) {
			continue
		}
		switch issuer := p.issuerOf(now, l.key, &l.ranking); {
		case issuer == "":
		case issuer == p.Self:
			changes = append(changes, p.tellSelf(now, l)...)
		case len(batches[issuer]) < maxEntries:
			batches[issuer] = append(batches[issuer], l)
		}
	}
	messages := make([]Message, 0, len(batches)+len(p.outbox))
	for issuer, batch := range batches {
		p.placeSequence++
		flags := byte(0)
		if p.patient(issuer) {
			flags |= flagPatient
		}
		b := newHeader(KindState, p.placeSequence, flags)
		for _, l := range batch {
			b = p.newState(now, l, issuer).append(b, now)
		}
		messages = append(messages, Message{To: issuer, Payload: b})
	}
	for _, r := range p.issuer.rooms {
		p.sendGrants(now, r, "")
		p.sendQueuedReplies(now, r)
	}
	changes = append(changes, p.sendNotices(now)...)
	messages = append(messages, p.pings(now)...)
	messages = append(messages, p.outbox...)
	p.outbox = nil
	return messages, changes
}

// forgotten reports whether only an issuer said that an upstream is brittle, some time ago.
func (p *Permitter) forgotten(now time.Time, l *places) bool {
	return now.Sub(l.toldAt) >= p.peerTTL() && now.Sub(l.announcedAt) >= p.peerTTL() && l.used(now) == 0 && l.needed == 0
}

// checkPlaceTimeout ends a request whose reply has not arrived in time.
func (p *Permitter) checkPlaceTimeout(now time.Time, l *places) {
	timeout := replyTimeout
	if l.request.patient {
		timeout = patientTimeout
	}
	if !l.request.pending || now.Sub(l.request.sentAt) < timeout {
		return
	}
	l.request.pending = false
	l.changed = true // the next message reports all again
	l.needed = max(l.needed, l.request.wanted)
	l.tier = max(l.tier, kingcuphook.HighestTier)
	l.request.wanted, l.nextRequest = 0, time.Time{}
	p.peer(l.request.to).recordTimeout(now)
}

// newState returns the state to send to an issuer and records that it is sent.
func (p *Permitter) newState(now time.Time, l *places, issuer string) stateEntry {
	e := stateEntry{
		key: l.key, slots: l.slots, tolerated: l.tolerated, begunAt: l.begunAt, announcedAt: l.announcedAt,
		held: max(l.held, l.used(now)), refusals: l.refusals, tier: max(l.tier, kingcuphook.HighestTier).Declared(),
	}
	if l.newAbsent {
		e.absentSentAt = l.absentSentAt
	}
	wanted := l.needed
	if !l.askDue(now) {
		wanted = 0
	}
	if l.queued(now) {
		// The message takes the place of the last one.
		wanted, e.tier = max(wanted, l.request.wanted), l.request.tier
	} else if wanted > 0 {
		l.nextRequest = now.Add(p.askInterval())
		l.request.queuedUntil = now.Add(queueTTL)
	}
	e.wanted = wanted
	// A message that returns the last places gets no reply and is sent again.
	l.repeat = l.changed && e.held == 0 && e.wanted == 0
	l.newAbsent, l.changed, l.needed = false, false, 0
	l.lastState = now
	l.request = placeRequest{to: issuer, sequence: p.placeSequence, sentAt: now, wanted: wanted, tier: e.tier, queuedUntil: l.request.queuedUntil, pending: e.isAnswered()}
	l.request.patient = e.held == 0 && p.patient(issuer)
	return e
}

// tellSelf tells this router's own issuer the state. The caller holds mu.
func (p *Permitter) tellSelf(now time.Time, l *places) []PlacesChange {
	p.placeSequence++
	e := p.newState(now, l, p.Self)
	g, answered := p.handleState(now, p.Self, p.placeSequence, e)
	if !answered {
		l.request.pending = false
		return nil
	}
	return p.applyGrant(now, l, g)
}

// applyGrant applies the reply of an issuer. The caller holds mu.
func (p *Permitter) applyGrant(now time.Time, l *places, e grantEntry) []PlacesChange {
	if l.request.pending {
		l.confirmedAt = l.request.sentAt
	}
	l.request.pending = false
	l.contended = e.contended
	switch {
	case e.ended && l.announcedAt.After(l.request.sentAt):
		// The upstream has announced it since.
	case e.ended:
		p.removePlaces(l)
		return []PlacesChange{p.placesChange(now, l, ChangeKindEnded, SourcePeer)}
	case e.places > 0:
		l.add(now, e.places)
		l.request.wanted = 0
		l.nextRequest = now
	case l.request.wanted > 0:
		l.denial = newDenial(now, l.request.tier, min(e.wait, maxPermitWait), 0)
	}
	return nil
}

// receivePlaces handles a message about places. It returns the reply to be sent and whether more
// requests may be sent to upstreams than before. The error wraps ErrInvalid.
func (p *Permitter) receivePlaces(now time.Time, from string, message []byte) (reply []byte, more bool, err error) {
	p.mu.Lock()
	var changes []PlacesChange
	p.granted = false
	switch Kind(message[0]) {
	case KindState:
		reply, err = p.receiveState(now, from, message)
	case KindGrant:
		more, changes, err = p.receiveGrant(now, from, message)
	default:
		more, changes, err = p.receiveNotice(now, message)
	}
	more = more || p.granted
	due := len(p.outbox) > 0 || len(p.issuer.rooms) > 0 && p.placesCount.Load() == 0
	p.mu.Unlock()
	p.notifyPlaces(changes)
	if due {
		p.wake()
	}
	return reply, more, err
}

func (p *Permitter) receiveGrant(now time.Time, from string, message []byte) (more bool, changes []PlacesChange, err error) {
	sequence, flags, entries, err := decodeHeader(message, grantEntryBytes)
	if err != nil {
		return false, nil, err
	}
	if flags&flagDeclined != 0 {
		p.handlePlaceDecline(now, from, sequence)
	} else if s := p.peers[from]; s != nil && len(message) == headerBytes {
		s.recordReply()
		s.avoidUntil = now
	}
	for ; len(entries) > 0; entries = entries[grantEntryBytes:] {
		e := decodeGrantEntry(entries)
		l := p.placesByKey[e.key]
		if l == nil || l.request.to != from || l.request.sequence != sequence || !l.request.pending && l.request.wanted == 0 {
			continue
		}
		p.peer(from).recordReply()
		changes = append(changes, p.applyGrant(now, l, e)...)
		more = more || e.places > 0 || e.ended
	}
	return more, changes, nil
}

// handlePlaceDecline handles the reply of a router that issues no places. The caller holds mu.
func (p *Permitter) handlePlaceDecline(now time.Time, from string, sequence uint16) {
	for _, l := range p.places {
		if l.request.pending && l.request.to == from && l.request.sequence == sequence {
			l.request.pending = false
			l.changed = true
			l.needed = max(l.needed, l.request.wanted)
			l.request.wanted, l.nextRequest = 0, time.Time{}
			p.handlePlaceDeclineOf(now, l, from)
		}
	}
}

// handlePlaceDeclineOf avoids the router that declined. If that is the second by hash, the first
// one answers it and is asked again. The caller holds mu.
func (p *Permitter) handlePlaceDeclineOf(now time.Time, l *places, from string) {
	p.peer(from).recordDecline(now)
	if ranked := l.ranking.ranked; len(ranked) > 1 && ranked[1] == from && ranked[0] != p.Self {
		p.peer(ranked[0]).avoidUntil = now
	}
}
