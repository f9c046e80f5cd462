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
)

// Costs that choices are compared by. The unit is the worth of an answer in time.
const (
	// regionPrice and centrePrice stand for a KiB on the way to another region
	// and to another data centre.
	regionPrice = 0.006
	centrePrice = 0.0015
	// rereadPrice stands for a token of a shared part that is read though another
	// upstream has it.
	rereadPrice = 0.00037
	// crowdCost is what crowdSize streams on an upstream mean for one more, longCost
	// the same beside long prompts, whose reading slows all streams down. Both grow
	// with the square of the streams.
	crowdCost = 0.4
	longCost  = 2.0
	// fullCost is added where all slots are taken; it begins at fullFrom of them
	// and grows with the square.
	fullCost = 1.5
	fullFrom = 0.75
	// serviceCost is the same on plain services.
	serviceCost = 0.04
	// failureCost is added after a failure and fades within failureFade.
	failureCost = 0.6
	failureFade = 2 * time.Second
	// disturbCost is what a long prompt on a quiet upstream costs the streams
	// there, for 1,000 tokens to be read.
	disturbCost = 0.15
	// noiseCost is what a stream with a tight pause pays on an upstream that reads
	// long prompts, and backlogCost what it pays for 1,000 tokens that wait there.
	noiseCost   = 0.15
	backlogCost = 0.02
)

const (
	// regionDelay and centreDelay are the round trips to another region and to
	// another data centre of the region.
	regionDelay = 60 * time.Millisecond
	centreDelay = 3 * time.Millisecond
	// tokenTime is the time to read a token of a prompt.
	tokenTime = 18 * time.Microsecond
	// slotTime is the delay of a first token by a request that runs already.
	slotTime = time.Millisecond
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
	// quietRest bounds the streams on a quiet upstream beside which a long prompt is
	// read.
	quietRest = 4
	// foreignStreams bounds the streams beside which a shared part is read that is
	// at home elsewhere.
	foreignStreams = 8
	// tightPause is the target for pauses below which a stream wants a quiet
	// upstream.
	tightPause = 500 * time.Millisecond
	// quietShare is the part of the upstreams of a region that is kept quiet.
	quietShare = 0.25
	// crowdSize is the number of streams that crowdCost and longCost are told for.
	crowdSize = 64
	// defaultTarget is used for requests without a target.
	defaultTarget = time.Second
)

// homeRanks is how many homes a shared part has.
const homeRanks = 4

// homeShares is how much of a shared part each of its homes is thought to have.
var homeShares = [homeRanks]float64{1, 0.5, 0.35, 0.2}

// Reasons why a candidate is refused.
const (
	reasonLeaving = "leaving"
)

// Locator implements kingcuphook.Selector for one pool. It is used by one
// goroutine at a time.
type Locator struct {
	// Region and DataCentre are where the router is.
	Region, DataCentre string

	upstreams []*upstream
	byAddress map[string]*upstream
}

// upstream is what the router knows of one upstream.
type upstream struct {
	row  *kingcuphook.Upstream
	seed uint64
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
	// kept has when each part of a prompt was last used there, by hash.
	kept map[uint64]time.Time
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
}

var _ kingcuphook.Selector = (*Locator)(nil)

// Update takes the pool in force. A program that started again keeps nothing.
func (l *Locator) Update(now time.Time, p *kingcuphook.Pool) {
	known := l.byAddress
	l.byAddress = make(map[string]*upstream, len(p.Upstreams()))
	l.upstreams = l.upstreams[:0]
	for _, row := range p.Upstreams() {
		u := known[row.Address()]
		if u == nil || u.row.Instance() != row.Instance() || u.row.Born() != row.Born() {
			u = newUpstream(now, row)
		}
		u.row = row
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
	homes := l.homesOf(r)
	var best *upstream
	var least weight
	possible := false
	for _, u := range l.upstreams {
		address := u.row.Address()
		if u.row.Leaving() || slices.Contains(excluded, address) {
			continue
		}
		possible = true
		if !usable(address) || u.barred(now, r, &homes) {
			continue
		}
		if w := l.weigh(now, r, u, homes.has(u)); best == nil || w.less(least) {
			best, least = u, w
		}
	}
	if !possible {
		return kingcuphook.Choice{}, fmt.Errorf("locator: %w", kingcuphook.ErrNoUpstream)
	}
	if best == nil {
		return kingcuphook.Choice{}, nil
	}
	return kingcuphook.Choice{
		Upstream:       best.row,
		Predicted:      least.first,
		UncachedTokens: least.uncached,
		Spilled:        best.row.Region() != l.Region,
		Running:        best.load(),
		Reading:        best.backlog(),
		Heard:          best.heard,
		Home:           homes.rank(best) + 1,
	}, nil
}

// warmth returns how much an upstream can have read of what it is home to: one that
// was started lately has little.
func (u *upstream) warmth(now time.Time) float64 {
	return min(now.Sub(u.since).Seconds()/warmAfter.Seconds(), 1)
}

// barred reports whether a long prompt must wait for another upstream: what is
// quiet is kept for streams with tight pauses as long as there are some, and
// reading the shared part once more takes what the upstreams lack when they are
// busy.
func (u *upstream) barred(now time.Time, r *kingcuphook.Request, h *homes) bool {
	if !isLong(r) {
		return false
	}
	most := max(u.row.Slots(), 1)
	switch {
	case u.quiet:
		most = quietRest
	case h.has(u) == 0 && h[0] != nil && u.cached(now, r) == 0:
		most = min(most, foreignStreams)
	}
	return u.load() >= most
}

// weight is what the choice of an upstream costs.
type weight struct {
	// cost is what choices are compared by, tie decides between equal ones.
	cost float64
	tie  uint64
	// first is the predicted time to the first token.
	first time.Duration
	// uncached is the number of prompt tokens to be read.
	uncached int
}

func (w weight) less(v weight) bool {
	return cmp.Or(cmp.Compare(w.cost, v.cost), cmp.Compare(w.tie, v.tie)) < 0
}

func (l *Locator) weigh(now time.Time, r *kingcuphook.Request, u *upstream, has float64) weight {
	w := weight{tie: mix(u.seed ^ r.Fingerprint() ^ xxhash.Sum64String(r.ID()))}
	shared := sharedTokens(r)
	known := u.cached(now, r)
	cached := max(known, int(has*float64(shared)))
	w.uncached = max(r.PromptTokens()-max(known, int(has*u.warmth(now)*float64(shared))), 0)
	w.first = l.delay(u.row) + time.Duration(w.uncached+u.backlog())*tokenTime + time.Duration(u.load())*slotTime
	late := w.first.Seconds() / cmp.Or(r.Target(), defaultTarget).Seconds()
	w.cost = late*late + l.price(r, u.row) + u.penalty(now)
	if u.row.Kind() == kingcuphook.UpstreamKindService {
		w.cost += float64(u.load()) * serviceCost
		return w
	}
	w.cost += u.crowding(r)
	w.cost += float64(max(shared-cached, 0)) * rereadPrice
	w.cost += u.disturbance(r, w.uncached)
	return w
}

// disturbance returns what long prompts and streams with tight pauses cost one
// another.
func (u *upstream) disturbance(r *kingcuphook.Request, uncached int) float64 {
	switch {
	case u.quiet && uncached >= longPrompt:
		return float64(uncached) / 1000 * disturbCost
	case !r.Stream() || r.TokenTarget() == 0 || r.TokenTarget() >= tightPause:
		return 0
	case u.quiet:
		return float64(u.backlog()) / 1000 * backlogCost
	default:
		return noiseCost + float64(u.backlog())/1000*backlogCost
	}
}

// crowding returns what the requests that run on the upstream mean for one more.
func (u *upstream) crowding(r *kingcuphook.Request) float64 {
	streams := float64(u.load()) / crowdSize
	cost := crowdCost * streams * streams
	if isLong(r) {
		cost = longCost * streams * streams
	}
	full := float64(u.load()) / float64(max(u.row.Slots(), 1))
	over := max(full-fullFrom, 0) / (1 - fullFrom)
	return cost + fullCost*over*over
}

// delay returns the round trip to the upstream.
func (l *Locator) delay(u *kingcuphook.Upstream) time.Duration {
	switch {
	case u.Region() != l.Region:
		return regionDelay
	case u.DataCentre() != l.DataCentre:
		return centreDelay
	default:
		return 0
	}
}

// price returns what the bytes of the request and its answer count for.
func (l *Locator) price(r *kingcuphook.Request, u *kingcuphook.Upstream) float64 {
	each := 0.0
	switch {
	case u.Region() != l.Region:
		each = regionPrice
	case u.DataCentre() != l.DataCentre:
		each = centrePrice
	}
	return each * float64(r.Bytes()+answerBytes) / 1024
}

// penalty returns what a failure of late counts for.
func (u *upstream) penalty(now time.Time) float64 {
	age := now.Sub(u.failed)
	if u.failures == 0 || age >= failureFade {
		return 0
	}
	left := 1 - age.Seconds()/failureFade.Seconds()
	return left * failureCost * float64(min(u.failures, 4))
}

// cached returns how many tokens of the prompt the upstream is thought to keep.
func (u *upstream) cached(now time.Time, r *kingcuphook.Request) int {
	chain, tokens := r.Prefix(), r.PrefixTokens()
	for i := min(len(chain), len(tokens)) - 1; i >= 0; i-- {
		if used, ok := u.kept[chain[i]]; ok && now.Sub(used) < keptFor {
			return tokens[i]
		}
	}
	return 0
}

// sharedPart returns the position of the last part of the prompt that other
// requests share, or -1. The last part belongs to the request itself.
func sharedPart(r *kingcuphook.Request) int { return min(len(r.Prefix()), len(r.PrefixTokens())) - 2 }

// sharedTokens returns the tokens of the parts that other requests share.
func sharedTokens(r *kingcuphook.Request) int {
	if i := sharedPart(r); i >= 0 {
		return r.PrefixTokens()[i]
	}
	return 0
}

// homes are the upstreams that keep the shared part of a prompt, by rank: the
// first is thought to have it, the next ones to have it when those before them are
// crowded, gone or slow. Nil ends the list.
type homes [homeRanks]*upstream

// rank returns the place of an upstream among the homes, or -1.
func (h *homes) rank(u *upstream) int { return slices.Index(h[:], u) }

// has returns how much of the shared part the upstream is thought to have.
func (h *homes) has(u *upstream) float64 {
	if i := h.rank(u); i >= 0 {
		return homeShares[i]
	}
	return 0
}

// homesOf returns the homes of the shared part of the prompt. Long prompts live
// apart from the quiet upstreams.
func (l *Locator) homesOf(r *kingcuphook.Request) homes {
	var h homes
	i := sharedPart(r)
	if i < 0 {
		return h
	}
	key := r.Prefix()[i]
	long := isLong(r)
	var scores [homeRanks]uint64
	for _, u := range l.upstreams {
		if u.row.Leaving() || u.quiet == long {
			continue
		}
		score := mix(key ^ u.seed)
		for i := range h {
			if h[i] == nil || score > scores[i] {
				copy(h[i+1:], h[i:])
				copy(scores[i+1:], scores[i:])
				h[i], scores[i] = u, score
				break
			}
		}
	}
	return h
}

// isLong reports whether a prompt is one that quiet upstreams are kept from.
func isLong(r *kingcuphook.Request) bool {
	return r.PromptTokens() >= longPrompt || sharedTokens(r) >= longPrompt
}

// chooseQuiet decides which upstreams are kept free of long prompts: in each
// region those of the lowest seeds, so that all routers agree.
func (l *Locator) chooseQuiet() {
	regions := make(map[string][]*upstream)
	for _, u := range l.upstreams {
		u.quiet = false
		if !u.row.Leaving() && u.row.Kind() == kingcuphook.UpstreamKindEngine {
			regions[u.row.Region()] = append(regions[u.row.Region()], u)
		}
	}
	for _, list := range regions {
		slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.seed, b.seed) })
		n := int(math.Ceil(float64(len(list)) * quietShare))
		for _, u := range list[:n] {
			u.quiet = true
		}
	}
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Explain implements kingcuphook.Selector.
func (l *Locator) Explain(now time.Time, r *kingcuphook.Request, dst []kingcuphook.Candidate) []kingcuphook.Candidate {
	homes := l.homesOf(r)
	for _, u := range l.upstreams {
		w := l.weigh(now, r, u, homes.has(u))
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
	f := flight{tokens: max(r.PromptTokens()-u.cached(now, r), 0)}
	u.flights[r.ID()] = f
	u.running++
	u.reading += f.tokens
	u.keep(now, r)
}

// keep notes that the upstream reads the prompt.
func (u *upstream) keep(now time.Time, r *kingcuphook.Request) {
	if len(u.kept) >= maxKept {
		u.forget(now)
	}
	for _, part := range r.Prefix() {
		u.kept[part] = now
	}
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
func (l *Locator) Progress(_ time.Time, address string, r *kingcuphook.Request, _ int) {
	if u := l.byAddress[address]; u != nil {
		u.begin(r)
	}
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
	case s.Failed && s.Answered:
		// It is well enough to answer.
	case s.Failed:
		u.failed = now
		u.failures++
	case !s.Cancelled:
		u.failures = 0
	}
}

// Report implements kingcuphook.Selector. The report tells what the other routers
// have on the upstream.
func (l *Locator) Report(_ time.Time, r kingcuphook.LoadReport) {
	if u := l.byAddress[r.Upstream()]; u != nil {
		u.others = r.Running()
		u.othersReading = r.QueuedTokens()
		u.heard = r.Made()
	}
}

// load returns the requests of all routers on the upstream.
func (u *upstream) load() int { return u.running + u.others }

// backlog returns the prompt tokens that are being read for all routers.
func (u *upstream) backlog() int { return u.reading + u.othersReading }

// Cached implements kingcuphook.Selector.
func (*Locator) Cached(time.Time, kingcuphook.CacheEvent) {}
