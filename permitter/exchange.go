package permitter

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// minRequestInterval is the least time between two requests of a router for permits of
	// an upstream. All routers together make at most requestsPerSecond requests.
	minRequestInterval = 100 * time.Millisecond
	requestsPerSecond  = 60
	// reportInterval is the least time between two reports of a router on an upstream.
	reportInterval = 200 * time.Millisecond
	// minSurplusTTL is the least time in which a surplus permit can be used.
	minSurplusTTL = 5 * time.Second
	// replyTimeout is how long a router waits for the reply to a request.
	replyTimeout = 300 * time.Millisecond
	// maxPermitWait bounds for how long a reply can deny permits.
	maxPermitWait = 30 * time.Second
)

// Messages returns the messages to be sent now: requests for permits. Run calls it.
func (p *Permitter) Messages(now time.Time) []Message {
	p.mu.Lock()
	messages, changes := p.requests(now)
	more, placesChanges := p.placeMessages(now)
	p.mu.Unlock()
	p.notify(changes)
	p.notifyPlaces(placesChanges)
	return append(messages, more...)
}

// notify calls OnChange for each change. The caller doesn't hold mu.
func (p *Permitter) notify(changes []Change) {
	if p.OnChange == nil {
		return
	}
	for _, c := range changes {
		p.OnChange(c)
	}
}

// requests returns the requests and reports that are due, and the changes of limits for which
// this router is the issuer itself. The caller holds mu.
func (p *Permitter) requests(now time.Time) ([]Message, []Change) {
	if p.budget == nil {
		p.budget = rate.NewLimiter(requestBytesPerSecond, requestBytesBurst)
	}
	var changes []Change
	batches := make(map[string][]*limit)
	for _, l := range p.limits {
		if l.presence.isOver(now) {
			p.remove(l)
			continue
		}
		p.checkTimeout(now, l)
		l.expirePermits(now)
		if !l.requestDue(now) && !l.reportDue(now) {
			continue
		}
		issuer := p.issuerOf(now, l.key, &l.ranking)
		switch {
		case issuer == "":
		case issuer == p.Self:
			if c, ended := p.issueToSelf(now, l); ended {
				changes = append(changes, c)
			}
		case len(batches[issuer]) < maxEntries:
			batches[issuer] = append(batches[issuer], l)
		}
	}
	var messages []Message
	for issuer, limits := range batches {
		if p.budget.AllowN(now, datagramBytes+headerBytes+len(limits)*requestEntryBytes) {
			messages = append(messages, p.newRequest(now, issuer, limits))
		}
	}
	return messages, changes
}

// checkTimeout ends a request whose reply has not arrived in time.
func (p *Permitter) checkTimeout(now time.Time, l *limit) {
	if !l.request.pending || now.Sub(l.request.sentAt) < replyTimeout {
		return
	}
	l.request.pending = false
	l.restore()
	p.peer(l.request.to).recordTimeout(now)
}

// newRequest returns a message with requests for permits of several upstreams, or reports.
func (p *Permitter) newRequest(now time.Time, issuer string, limits []*limit) Message {
	p.sequence++
	b := newHeader(KindRequest, p.sequence, 0)
	for _, l := range limits {
		e := p.newEntry(now, l, issuer)
		b = e.append(b, now)
		l.request.pending = e.wanted > 0
		l.request.sequence = p.sequence
	}
	return Message{To: issuer, Payload: b}
}

// newEntry returns the entry for a limit of a request to an issuer, and records that it is
// sent.
func (p *Permitter) newEntry(now time.Time, l *limit, issuer string) requestEntry {
	e := requestEntry{key: l.key, evidence: l.evidence(), tier: max(l.tier, kingcuphook.HighestTier).Declared()}
	if l.issuedBy == issuer {
		e.unused = l.unused
	}
	l.clearReport()
	l.nextReport = now.Add(reportInterval)
	l.request = permitRequest{to: issuer, sentAt: now}
	if !l.requestDue(now) {
		return e
	}
	e.wanted = l.wanted(now)
	if l.wantsSpare() {
		e.spare, e.tier, e.wanted = true, kingcuphook.LowestDeclaredTier, 1
	}
	l.clearNeed()
	l.nextRequest = now.Add(p.requestInterval())
	l.request.wanted, l.request.tier, l.request.spare = e.wanted, e.tier, e.spare
	return e
}

// requestInterval returns the least time between two requests of this router for permits of
// an upstream. It grows with the fleet, since the issuer answers all routers.
func (p *Permitter) requestInterval() time.Duration {
	return max(minRequestInterval, time.Duration(len(p.routers))*time.Second/requestsPerSecond)
}

// surplusTTL returns how long a surplus permit can be used. Routers that ask seldom need it
// for longer.
func (p *Permitter) surplusTTL() time.Duration {
	return max(minSurplusTTL, 2*p.requestInterval())
}

// issueToSelf issues permits to this router. If the limit has ended, it returns the change.
// The caller holds mu.
func (p *Permitter) issueToSelf(now time.Time, l *limit) (Change, bool) {
	e := p.newEntry(now, l, p.Self)
	return p.applyEntry(now, l, p.Self, p.issue(now, p.Self, e))
}

// issue answers an entry of a request. The caller holds mu.
func (p *Permitter) issue(now time.Time, router string, e requestEntry) replyEntry {
	r := replyEntry{key: e.key}
	b := p.issuer.bucket(now, e.key, e.evidence)
	switch {
	case b == nil:
		r.wait, r.retry = maxRetry, maxRetry
	case b.ended(now):
		r.ended = true
	case e.spare:
		b.putBack(now, e.unused)
		r.issued, r.retry = b.drawSpare(), b.spreadRetry(router, maxSpareRetry)
	default:
		b.putBack(now, e.unused)
		r.surplus = b.hasSurplus(now, p.surplusTTL())
		r.issued = b.draw(now, router, e.tier, e.wanted, r.surplus)
		r.wait, r.retry = b.waitOf(now), b.retryOf(now, router)
	}
	return r
}

// Receive handles a message from another router. It returns the reply to be sent, which is
// nil if there is none, and whether more requests may be sent to upstreams than before. The
// error wraps ErrInvalid.
func (p *Permitter) Receive(now time.Time, from string, message []byte) (reply []byte, more bool, err error) {
	if isPlaceMessage(message) {
		return p.receivePlaces(now, from, message)
	}
	if !IsMessage(message) || Kind(message[0]) == KindReply {
		more, err = p.receiveReply(now, from, message)
		return nil, more, err
	}
	reply, err = p.receiveRequest(now, from, message)
	return reply, false, err
}

func (p *Permitter) receiveRequest(now time.Time, from string, message []byte) ([]byte, error) {
	sequence, _, entries, err := decodeHeader(message, requestEntryBytes)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.issues(now) {
		return newHeader(KindReply, sequence, flagDeclined), nil
	}
	b := newHeader(KindReply, sequence, 0)
	for ; len(entries) > 0; entries = entries[requestEntryBytes:] {
		e, err := decodeRequestEntry(entries, now)
		if err != nil {
			return nil, err
		}
		if r := p.issue(now, from, e); e.wanted > 0 {
			b = r.append(b)
		}
	}
	if len(b) == headerBytes {
		return nil, nil
	}
	return b, nil
}

func (p *Permitter) receiveReply(now time.Time, from string, message []byte) (more bool, err error) {
	sequence, flags, entries, err := decodeHeader(message, replyEntryBytes)
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	if flags&flagDeclined != 0 {
		p.handleDecline(now, from, sequence)
	}
	var changes []Change
	for ; len(entries) > 0; entries = entries[replyEntryBytes:] {
		e := decodeReplyEntry(entries)
		l := p.byKey[e.key]
		if l == nil || !l.request.awaits(from, sequence) {
			continue
		}
		p.peer(from).recordReply()
		if c, ended := p.applyEntry(now, l, from, e); ended {
			changes = append(changes, c)
		}
		more = more || e.issued > 0 || e.ended
	}
	p.mu.Unlock()
	p.notify(changes)
	return more, nil
}

// awaits reports whether the reply of a router with the sequence number is awaited.
func (r permitRequest) awaits(from string, sequence uint16) bool {
	return r.pending && r.to == from && r.sequence == sequence
}

// handleDecline handles the reply of a router that issues no permits. The caller holds mu.
func (p *Permitter) handleDecline(now time.Time, from string, sequence uint16) {
	for _, l := range p.limits {
		if l.request.awaits(from, sequence) {
			l.request.pending = false
			l.restore()
			p.peer(from).recordDecline(now)
		}
	}
}

// applyEntry applies the reply of an issuer. If the limit has ended, it returns the change.
// The caller holds mu.
func (p *Permitter) applyEntry(now time.Time, l *limit, issuer string, e replyEntry) (Change, bool) {
	l.request.pending = false
	switch {
	case e.ended && l.announcedAt.After(l.request.sentAt):
		// The upstream has announced a limit since.
	case e.ended:
		c := p.changeOf(now, l, ChangeKindEnded, SourcePeer)
		if issuer == p.Self {
			c.Source = SourceReply
		}
		p.remove(l)
		return c, true
	case e.issued > 0:
		ttl := permitTTL
		if e.surplus {
			ttl = p.surplusTTL()
		}
		l.addPermits(issuer, e.issued, permit{expires: now.Add(ttl), surplus: e.surplus, spare: l.request.spare})
	case l.request.spare:
		l.nextOffer = now.Add(min(e.retry, maxPermitWait))
	case l.request.wanted > 0:
		l.denial = newDenial(now, l.request.tier, min(e.wait, maxPermitWait), min(e.retry, maxPermitWait))
	}
	return Change{}, false
}
