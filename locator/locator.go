// Package locator chooses the upstream of an opaque call by what the choice
// costs its caller and the others: the way there, the prompt that must be read,
// what is running there, and how the upstream did lately. Routers agree on where
// the shared part of a prompt is kept without talking, by rendezvous hashing.
package locator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
)

const (
	// answerBytes is the expected size of an answer.
	answerBytes = 4 << 10
	// keptFor is how long an upstream is thought to keep what it read.
	keptFor = 30 * time.Second
	// warmAfter is how long an upstream takes to read what it is home to.
	warmAfter = 8 * time.Second
	// maxKept bounds the parts of prompts remembered for an upstream.
	maxKept = 4096
	// longPrompt is the number of tokens to be read from which on a prompt is long.
	longPrompt = 3000
	// tightPause is the target for pauses below which a stream wants a quiet
	// upstream.
	tightPause = 500 * time.Millisecond
	// quietShare is the part of the upstreams of a region that is kept quiet.
	quietShare = 0.25
	// finishShare is the part of its time in which a long answer of a class must be
	// expected to end for the class to be sent to an upstream.
	finishShare = 0.6
	// leastRoom is the part of a crowd that a class gets whose answers hardly end in
	// time anywhere.
	leastRoom = 1.0 / 8
	// defaultTarget is used for requests without a target.
	defaultTarget = time.Second
)

// homeRanks is how many homes a shared part has, those included that it is read at only
// while the ones before them are overloaded.
const homeRanks = 6

// homeShares is how much of a shared part each of its homes is thought to have.
var homeShares = [homeRanks]float64{1, 0.25}

// reasonLeaving is why an upstream that leaves is refused as a candidate.
const reasonLeaving = "leaving"

// Locator implements kingcuphook.Selector for one pool. It is used by one
// goroutine at a time.
type Locator struct {
	// Region and DataCentre are where the router is.
	Region, DataCentre string
	// RoundTrip returns the round trip to a data centre, or 0 if it isn't known; nil
	// knows none.
	RoundTrip func(dataCentre string) time.Duration

	// model has learned how the upstreams work, mixes what runs on them: first on the
	// usual ones, then on the quiet ones.
	model estimator.Estimator
	mixes [2]estimator.Mix

	upstreams []*upstream
	byAddress map[string]*upstream
	// chosen is the last choice, which is mostly the one that is started next. No
	// choice depends on it.
	chosen chosen
}

// chosen is a choice with what its start needs to know.
type chosen struct {
	request  *kingcuphook.Request
	upstream *upstream
	// uncached is the number of prompt tokens to be read, part the hash of the
	// shared part.
	uncached int
	part     uint64
}

// upstream is what the router knows of one upstream.
type upstream struct {
	row  *kingcuphook.Upstream
	seed uint64
	// delay is the round trip to it, price what a KiB counts for on the way.
	delay time.Duration
	price float64
	// quiet says that long prompts are kept away from it.
	quiet bool
	// running counts the requests of this router.
	running int
	// reading is the number of prompt tokens of this router that are being read.
	reading int
	// others and othersReading are the same of the other routers, as last heard.
	others, othersReading int
	// heard is when they were last heard; zero if they never were.
	heard time.Time
	// flights has the running requests by identifier.
	flights map[string]flight
	// since is when the router first knew of it.
	since time.Time
	// kept has when each shared part was last used there, by hash.
	kept map[uint64]time.Time
	// displaced says that another program has its address.
	displaced bool
	// failed is when a request last failed there, failures how many in a row.
	failed   time.Time
	failures int
}

// flight is a running request.
type flight struct {
	// tokens are those to be read.
	tokens int
	// begun says that its first token has come.
	begun bool
	// at is when it was sent, ahead the tokens to be read before its first token.
	at    time.Time
	ahead int
}

var _ kingcuphook.Selector = (*Locator)(nil)

// Update takes the pool in force. A program that started again keeps nothing.
func (l *Locator) Update(now time.Time, p *kingcuphook.Pool) {
	known := l.byAddress
	l.byAddress = make(map[string]*upstream, len(p.Upstreams()))
	l.upstreams = l.upstreams[:0]
	for _, row := range p.Upstreams() {
		u := known[row.Address()]
		if u == nil || u.row.Program() != row.Program() {
			u = newUpstream(now, row)
		}
		u.row = row
		u.delay, u.price = l.distance(row)
		l.byAddress[row.Address()] = u
		l.upstreams = append(l.upstreams, u)
	}
	l.chooseQuiet()
}

func newUpstream(now time.Time, row *kingcuphook.Upstream) *upstream {
	return &upstream{
		row:     row,
		since:   now,
		seed:    xxhash.Sum64String(row.Instance() + row.Address()),
		flights: make(map[string]flight),
		kept:    make(map[uint64]time.Time),
	}
}

// Select implements kingcuphook.Selector.
func (l *Locator) Select(now time.Time, r *kingcuphook.Request, excluded []string) (kingcuphook.Choice, error) {
	return l.SelectUsable(now, r, excluded, func(string) bool { return true })
}

// SelectUsable is Select among the upstreams that usable reports. The error wraps
// ErrNoUpstream if no upstream can take the request at all.
func (l *Locator) SelectUsable(now time.Time, r *kingcuphook.Request, excluded []string, usable func(address string) bool) (kingcuphook.Choice, error) {
	q := l.newQuery(now, r)
	q.reach = q.homes.reach(now, l.boundedLoad(), func(u *upstream) bool {
		return usable(u.row.Address()) && !slices.Contains(excluded, u.row.Address())
	})
	var best *upstream
	var least weight
	possible := false
	for _, u := range l.upstreams {
		address := u.row.Address()
		if u.row.Leaving() || u.displaced || slices.Contains(excluded, address) {
			continue
		}
		possible = true
		if !usable(address) || q.bars(u) {
			continue
		}
		if w := l.weigh(&q, u); best == nil || w.less(least) {
			best, least = u, w
		}
	}
	if !possible {
		return kingcuphook.Choice{}, fmt.Errorf("locator: %w", kingcuphook.ErrNoUpstream)
	}
	if best == nil {
		return kingcuphook.Choice{}, nil
	}
	l.chosen = chosen{request: r, upstream: best, uncached: least.uncached, part: q.part}
	return kingcuphook.Choice{
		Upstream:       best.row,
		Predicted:      least.first,
		UncachedTokens: least.uncached,
		Spilled:        best.row.Region() != l.Region,
		Running:        best.load(),
		Reading:        best.backlog(),
		Heard:          best.heard,
		Home:           q.homes.rank(best) + 1,
		CopyFrom:       l.copyFrom(&q, best),
	}, nil
}

// query is what a choice needs to know of the request.
type query struct {
	now     time.Time
	request *kingcuphook.Request
	// homes are those of its shared part.
	homes homes
	// part is the hash of the last shared part; 0 if there is none. shared and
	// common are the tokens up to it and before it.
	part           uint64
	shared, common int
	// reach is the last rank of the homes that it may go to.
	reach int
	// long says that the prompt is kept from quiet upstreams.
	long bool
	// target is the time in which the first token is due, in nanoseconds.
	target float64
	// kibs is what is moved for it, in KiB.
	kibs float64
	// tie decides between equal choices.
	tie uint64
	// tokenTime is the time to read a token, first what a first token takes besides,
	// in nanoseconds.
	tokenTime, first float64
	// crowd is the number of streams that crowd an upstream, room that beside which a
	// long answer of the class still ends in time; for usual and for quiet upstreams.
	crowd, room [2]float64
}

func (l *Locator) newQuery(now time.Time, r *kingcuphook.Request) query {
	q := query{
		now:     now,
		request: r,
		target:  float64(cmp.Or(r.Target(), defaultTarget)),
		kibs:    float64(r.Bytes()+answerBytes) / 1024,
		tie:     r.Fingerprint() ^ xxhash.Sum64String(r.ID()),
	}
	i := sharedPart(r)
	if i >= 0 {
		q.part, q.shared = r.Prefix()[i], r.PrefixTokens()[i]
	}
	if i > 0 {
		q.common = r.PrefixTokens()[i-1]
	}
	q.long = max(r.PromptTokens(), q.shared) >= longPrompt
	if i >= 0 {
		q.homes = l.homesOf(q.part, q.long)
	}
	q.tokenTime = float64(l.model.TokenTime())
	q.first = float64(l.model.FirstTime())
	allowed := time.Duration(math.MaxInt64)
	if r.Stream() && !r.Deadline().IsZero() {
		allowed = time.Duration(finishShare * float64(r.Deadline().Sub(r.Arrived())))
	}
	for i := range l.mixes {
		q.crowd[i] = l.model.Crowd(&l.mixes[i])
		// Also a class whose answers hardly end in time anywhere is served.
		q.room[i] = max(l.model.Room(r, &l.mixes[i], allowed), q.crowd[i]*leastRoom, 1)
	}
	return q
}

// bars reports whether a request must wait for another upstream or go to one. Above
// the room of its class it would not end in time. A long prompt is kept from what is
// quiet, for streams with tight pauses, and from upstreams that are no home of its
// shared part, or one of a rank that is not needed: reading that once more takes what
// upstreams lack when they are busy, so that all would get later.
func (q *query) bars(u *upstream) bool {
	if u.isEngine() && float64(u.load()) >= q.room[u.group()] {
		return true
	}
	if !q.long || q.homes[0] == nil {
		return false
	}
	if u.quiet {
		return true
	}
	rank := q.homes.rank(u)
	return (rank < 0 || rank > q.reach) && !u.keeps(q)
}

// warmth returns how much an upstream can have read of what it is home to: one that
// was started lately has little.
func (u *upstream) warmth(now time.Time) float64 {
	age := now.Sub(u.since)
	if age >= warmAfter {
		return 1
	}
	return float64(age) / float64(warmAfter)
}

// sharedPart returns the position of the last part of the prompt that other
// requests share, or -1. The last part belongs to the request itself.
func sharedPart(r *kingcuphook.Request) int { return min(len(r.Prefix()), len(r.PrefixTokens())) - 2 }

// Explain implements kingcuphook.Selector.
func (l *Locator) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	q := l.newQuery(now, r)
	for _, u := range l.upstreams {
		w := l.weigh(&q, u)
		c := kingcuphook.Candidate{
			Upstream:     u.row.Address(),
			Predicted:    w.first,
			CachedTokens: max(r.PromptTokens()-w.uncached, 0),
		}
		if u.row.Leaving() {
			c.Refused = reasonLeaving
		}
		dst = append(dst, c)
	}
	return dst
}

// Started implements kingcuphook.Selector.
func (l *Locator) Started(now time.Time, address string, r *kingcuphook.Request) {
	u := l.byAddress[address]
	if u == nil {
		return
	}
	c := l.chosen
	if c.request != r || c.upstream != u {
		q := l.newQuery(now, r)
		c = chosen{uncached: l.weigh(&q, u).uncached, part: q.part}
	}
	u.flights[r.ID()] = flight{tokens: c.uncached, at: now, ahead: u.backlog() + c.uncached}
	if u.isEngine() {
		l.mixes[u.group()].Started(c.uncached)
	}
	u.running++
	u.reading += c.uncached
	u.keep(now, c.part)
}

// keep notes that the upstream reads a shared part; 0 is none.
func (u *upstream) keep(now time.Time, part uint64) {
	if part == 0 {
		return
	}
	if len(u.kept) >= maxKept {
		u.forget(now)
	}
	u.kept[part] = now
}

// forget drops what was not used for long, and all if that is not enough.
func (u *upstream) forget(now time.Time) {
	for part, used := range u.kept {
		if now.Sub(used) >= keptFor {
			delete(u.kept, part)
		}
	}
	if len(u.kept) >= maxKept {
		clear(u.kept)
	}
}

// Progress tells that the n-th piece of a running request has come.
func (l *Locator) Progress(now time.Time, address string, r *kingcuphook.Request, _ int) {
	u := l.byAddress[address]
	if u == nil {
		return
	}
	if f, ok := u.flights[r.ID()]; ok && !f.begun && u.isEngine() {
		l.model.Began(f.ahead, now.Sub(f.at)-u.delay)
	}
	u.begin(r)
}

// begin notes that the prompt of a running request has been read.
func (u *upstream) begin(r *kingcuphook.Request) {
	f, ok := u.flights[r.ID()]
	if !ok || f.begun {
		return
	}
	u.reading -= f.tokens
	f.begun = true
	u.flights[r.ID()] = f
}

// Finished implements kingcuphook.Selector.
func (l *Locator) Finished(now time.Time, address string, r *kingcuphook.Request, s kingcuphook.Sample) {
	u := l.byAddress[address]
	if u == nil {
		return
	}
	if _, ok := u.flights[r.ID()]; !ok {
		return
	}
	u.begin(r)
	delete(u.flights, r.ID())
	u.running--
	switch {
	case s.Displaced:
		u.displaced = true
	case s.Failed && s.Answered:
		// It is well enough to answer.
	case s.Failed:
		u.failed = now
		u.failures++
	case !s.Cancelled:
		u.failures = 0
		if u.isEngine() {
			l.model.Ended(r, s)
			l.mixes[u.group()].Ended(s.Tokens)
		}
	}
}

// Report implements kingcuphook.Selector. The report tells what the other routers
// have on the upstream.
func (l *Locator) Report(_ time.Time, r kingcuphook.LoadReport) {
	if u := l.byAddress[r.Upstream()]; u != nil {
		u.delay, u.price = l.distance(u.row)
		u.others = r.Running()
		u.othersReading = r.QueuedTokens()
		u.heard = r.Made()
	}
}

// group returns which of the mixes is that of the upstream.
func (u *upstream) group() int {
	if u.quiet {
		return 1
	}
	return 0
}

func (u *upstream) isEngine() bool { return u.row.Kind() == kingcuphook.UpstreamKindEngine }

// load returns the requests of all routers on the upstream.
func (u *upstream) load() int { return u.running + u.others }

// backlog returns the prompt tokens that are being read for all routers.
func (u *upstream) backlog() int { return u.reading + u.othersReading }

// Cached implements kingcuphook.Selector.
func (*Locator) Cached(time.Time, kingcuphook.CacheEvent) {}
