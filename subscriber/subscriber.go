// Package subscriber builds the tables of a router from the operators' declaration and
// the upstreams' registrations, which are entries of the store. It does no I/O: the
// entries, which package watcher reads from the store, and the time are passed in.
// Routers can also export entries to each other.
package subscriber

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// expiredHold is how long an upstream is kept whose registration was removed,
	// counted from when the store became available again. Registrations may have
	// expired during the outage although their upstreams are alive and register again.
	expiredHold = 2200 * time.Millisecond
)

// Subscriber keeps the declaration and the registrations. It is used by one
// goroutine.
type Subscriber struct {
	// Codec decodes the entries; never nil.
	Codec kingcuphook.DirectoryCodec
	// DeclarationKey is the key of the declaration, RegistrationPrefix the prefix of
	// the keys of registrations.
	DeclarationKey, RegistrationPrefix string
	// Versions keeps the records of versions, which exports have too; nil if there are none.
	Versions kingcuphook.VersionRecords

	// declarationEntry is the entry of the current declaration.
	declarationEntry kingcuphook.Entry
	// declaration is the current declaration; nil before the first.
	declaration *kingcuphook.Declaration
	// upstreams has the registrations by key.
	upstreams map[string]*upstream
	// order has the registrations in the order of their keys.
	order []*upstream
	// revision is the store revision up to which the registrations are complete,
	// latestChange the revision of the latest change to an entry.
	revision, latestChange int64
	// unavailable is true while the store is unavailable. recovered is when it last
	// became available again, for this router or for a peer that exported to it; zero
	// if there was no outage.
	unavailable bool
	recovered   time.Time
	// tables are built from the declaration and the registrations on the first call
	// of Tables after a change; nil until then.
	tables *kingcuphook.Tables
	// built has the tables that were built last, builtFrom the declaration that they were built from. New tables
	// share with them what is unchanged.
	built     *kingcuphook.Tables
	builtFrom *kingcuphook.Declaration
	// departed has the upstreams that were removed lately, by key.
	departed map[string]departure
	// recentRemovals has the latest removals of registrations, for exports to peers.
	recentRemovals removals
	// rejected has the invalid entries that were reported.
	rejected rejections
}

// upstream is one registration.
type upstream struct {
	entry        kingcuphook.Entry
	registration kingcuphook.Registration
	// removed is true if the entry is no longer in the store. The upstream is then kept
	// until keptUntil.
	removed   bool
	keptUntil time.Time
	// built is the upstream that the latest tables have for the registration; nil before.
	built *kingcuphook.Upstream
}

// build returns the upstream of a pool with upstreams of a kind. It is the same as before if nothing has
// changed, so that new tables cost little for the upstreams that they share with the last ones.
func (u *upstream) build(kind kingcuphook.UpstreamKind) *kingcuphook.Upstream {
	if u.built != nil && u.built.Kind() == kind {
		return u.built
	}
	f := u.registration.Upstream
	f.Kind = kind
	f.Resumes = kind == kingcuphook.UpstreamKindEngine
	f.Models = nil
	u.built = kingcuphook.NewUpstream(f)
	return u.built
}

const (
	// departedTTL is how long the registration of an upstream that was removed is
	// remembered; maxDeparted bounds how many are.
	departedTTL = 10 * time.Minute
	maxDeparted = 1024
)

// departure is the last registration of an upstream that was removed.
type departure struct {
	startTime, sequence int64
	at                  time.Time
}

// SetUnavailable records that the store is unavailable. It reports whether it was available
// before.
func (s *Subscriber) SetUnavailable() bool {
	was := s.unavailable
	s.unavailable = true
	return !was
}

// SetAvailable records that the store is available. It reports whether it was unavailable
// before.
func (s *Subscriber) SetAvailable(now time.Time) bool {
	was := s.unavailable
	if was {
		s.recovered = now
	}
	s.unavailable = false
	return was
}

// MarkRestored records that the store has come back from an older copy. Registrations that the
// copy lacks are kept for a while, since their upstreams write them again.
func (s *Subscriber) MarkRestored(now time.Time) { s.recovered = now }

// IsUnavailable reports whether the store is unavailable.
func (s *Subscriber) IsUnavailable() bool { return s.unavailable }

// Revision returns the store revision up to which the registrations are complete; 0
// if they were never read.
func (s *Subscriber) Revision() int64 { return s.revision }

// ApplyDeclaration applies the declaration in an entry if its version is higher than the
// current one, and reports whether it did. It ignores entries of other keys and
// deletions. The error of an invalid entry, which is returned once, wraps ErrInvalid; the current
// declaration then stays.
func (s *Subscriber) ApplyDeclaration(e kingcuphook.Entry) (bool, error) {
	if e.Key() != s.DeclarationKey || e.Deleted() || s.rejected.has(e) {
		return false, nil
	}
	d, err := s.Codec.Declaration(e.Value())
	if err != nil {
		return false, s.rejected.add(e, err)
	}
	delete(s.rejected, e.Key())
	if s.declaration != nil && d.Version() <= s.declaration.Version() {
		return false, nil
	}
	s.declaration = d
	s.declarationEntry = e
	s.latestChange = max(s.latestChange, e.Revision())
	s.tables = nil
	return true, nil
}

// HasDeclaration reports whether there is a declaration.
func (s *Subscriber) HasDeclaration() bool { return s.declaration != nil }

// Version returns the version of the current declaration; 0 before the first.
func (s *Subscriber) Version() int64 {
	if s.declaration == nil {
		return 0
	}
	return s.declaration.Version()
}

// ApplyChanges applies changed entries of registrations, which are complete up to the
// revision. An entry that can't be decoded removes the upstream that its key had
// before. The error joins the errors of these entries, each of which wraps ErrInvalid and is
// returned once.
func (s *Subscriber) ApplyChanges(now time.Time, entries []kingcuphook.Entry, revision int64) error {
	var errs []error
	for _, e := range entries {
		if err := s.applyEntry(now, e); err != nil {
			errs = append(errs, err)
		}
	}
	s.revision = max(s.revision, revision)
	return joinErrors(errs)
}

// RejectedCount returns the number of entries that are ignored as invalid, up to 1024.
func (s *Subscriber) RejectedCount() int { return len(s.rejected) }

// ApplySnapshot applies all entries of registrations as of the revision and removes the
// others. A snapshot older than the current revision removes none.
func (s *Subscriber) ApplySnapshot(now time.Time, entries []kingcuphook.Entry, revision int64) error {
	if revision >= s.revision {
		present := keys(entries)
		maps.DeleteFunc(s.rejected, func(key string, _ int64) bool { return !present[key] && key != s.DeclarationKey })
	}
	return s.applyAll(now, entries, revision)
}

// applyAll is ApplySnapshot for entries of a peer too, which lack the invalid ones.
func (s *Subscriber) applyAll(now time.Time, entries []kingcuphook.Entry, revision int64) error {
	if revision < s.revision {
		return s.ApplyChanges(now, entries, revision)
	}
	present := keys(entries)
	for key, u := range s.upstreams {
		if !present[key] {
			s.remove(now, key, u, revision)
		}
	}
	// The snapshot does not show entries that were added and removed since the last
	// revision.
	s.recentRemovals.completeFrom = max(s.recentRemovals.completeFrom, revision)
	return s.ApplyChanges(now, entries, revision)
}

// keys returns the set of the keys of entries.
func keys(entries []kingcuphook.Entry) map[string]bool {
	set := make(map[string]bool, len(entries))
	for _, e := range entries {
		set[e.Key()] = true
	}
	return set
}

func (s *Subscriber) applyEntry(now time.Time, e kingcuphook.Entry) error {
	if !strings.HasPrefix(e.Key(), s.RegistrationPrefix) {
		return nil
	}
	if s.rejected.has(e) {
		return nil
	}
	known := s.upstreams[e.Key()]
	if e.Deleted() {
		delete(s.rejected, e.Key())
		if known != nil && e.Revision() > known.entry.Revision() {
			s.remove(now, e.Key(), known, e.Revision())
		}
		return nil
	}
	if e.Revision() <= s.recentRemovals.revision(e.Key()) {
		return nil
	}
	if known != nil && !known.removed && e.Revision() <= known.entry.Revision() {
		return nil
	}
	return s.applyRegistration(now, e, known)
}

// applyRegistration takes over the registration in an entry that replaces the known one, which is nil if there is none.
func (s *Subscriber) applyRegistration(now time.Time, e kingcuphook.Entry, known *upstream) error {
	r, err := s.Codec.Registration(e.Key(), e.Value())
	if err != nil {
		if known != nil {
			s.recordRemoval(e.Key(), e.Revision())
			s.deleteUpstream(e.Key())
		}
		return s.rejected.add(e, err)
	}
	delete(s.rejected, e.Key())
	if known != nil && r.Upstream.StartTime < known.registration.Upstream.StartTime || s.isPast(e.Key(), known, r) {
		return nil
	}
	if s.upstreams == nil {
		s.upstreams = make(map[string]*upstream)
	}
	r.Upstream.LeavesAt = leavesAt(now, known, r)
	changed := &upstream{entry: e, registration: r}
	if known.isLike(r) {
		changed.built = known.built
	} else {
		s.tables = nil
	}
	s.setUpstream(e.Key(), changed)
	delete(s.departed, e.Key())
	s.latestChange = max(s.latestChange, e.Revision())
	return nil
}

// leavesAt returns when the upstream of a registration that is read now stops. A program keeps the
// earliest time that it announced, since each may have been read late.
func leavesAt(now time.Time, known *upstream, r kingcuphook.Registration) time.Time {
	if !r.Upstream.Leaving {
		return time.Time{}
	}
	var at time.Time
	if known != nil && known.registration.Upstream.StartTime == r.Upstream.StartTime {
		at = known.registration.Upstream.LeavesAt
	}
	if r.Leaves == nil {
		return at
	}
	if announced := now.Add(*r.Leaves); at.IsZero() || announced.Before(at) {
		return announced
	}
	return at
}

// isLike reports whether the tables already have the upstream as the registration describes it.
// Upstreams write their registrations again while they warm up and with each order.
func (u *upstream) isLike(r kingcuphook.Registration) bool {
	return u != nil && !u.removed && u.registration.Pool == r.Pool && reflect.DeepEqual(u.registration.Upstream, r.Upstream)
}

// isPast reports whether a registration is from before one that marked its upstream as leaving, or
// from before the removal of the upstream. The store has such a registration after it came back
// from an older copy.
func (s *Subscriber) isPast(key string, known *upstream, r kingcuphook.Registration) bool {
	if r.Sequence == 0 {
		return false
	}
	if known != nil && !known.removed {
		last := known.registration
		return last.Upstream.Leaving && !r.Upstream.Leaving &&
			r.Upstream.StartTime == last.Upstream.StartTime && r.Sequence <= last.Sequence
	}
	d, ok := s.departed[key]
	return ok && (r.Upstream.StartTime < d.startTime || r.Upstream.StartTime == d.startTime && r.Sequence <= d.sequence)
}

// recordDeparture remembers the last registration of an upstream that is removed.
func (s *Subscriber) recordDeparture(now time.Time, key string, r kingcuphook.Registration) {
	if s.departed == nil {
		s.departed = make(map[string]departure)
	}
	for other, d := range s.departed {
		if now.Sub(d.at) > departedTTL || len(s.departed) >= maxDeparted {
			delete(s.departed, other)
		}
	}
	s.departed[key] = departure{startTime: r.Upstream.StartTime, sequence: r.Sequence, at: now}
}

// remove removes an upstream whose entry was removed at the revision or earlier. If
// the store became available shortly before, the upstream is kept for a while: its
// registration may have expired only because of the outage and will come again.
func (s *Subscriber) remove(now time.Time, key string, u *upstream, revision int64) {
	s.recordRemoval(key, revision)
	until := s.recovered.Add(expiredHold)
	if s.recovered.IsZero() || !now.Before(until) || u.registration.Upstream.Leaving {
		s.recordDeparture(now, key, u.registration)
		s.deleteUpstream(key)
		return
	}
	u.removed = true
	u.keptUntil = until
}

func (s *Subscriber) recordRemoval(key string, revision int64) {
	s.recentRemovals.add(key, revision)
	s.latestChange = max(s.latestChange, revision)
}

// find returns the index of a key in order, and whether it is there.
func (s *Subscriber) find(key string) (int, bool) {
	return slices.BinarySearchFunc(s.order, key, func(u *upstream, key string) int { return cmp.Compare(u.entry.Key(), key) })
}

// setUpstream adds the registration of a key, or replaces it.
func (s *Subscriber) setUpstream(key string, u *upstream) {
	s.upstreams[key] = u
	i, found := s.find(key)
	if found {
		s.order[i] = u
		return
	}
	s.order = slices.Insert(s.order, i, u)
}

func (s *Subscriber) deleteUpstream(key string) {
	delete(s.upstreams, key)
	if i, found := s.find(key); found {
		s.order = slices.Delete(s.order, i, i+1)
	}
	s.tables = nil
}

// Expire removes the upstreams that were kept after their entries were removed and
// have not registered again in time. It returns how many there were.
func (s *Subscriber) Expire(now time.Time) int {
	var expired []*upstream
	for _, u := range s.order {
		if u.removed && !now.Before(u.keptUntil) {
			expired = append(expired, u)
		}
	}
	for _, u := range expired {
		s.recordDeparture(now, u.entry.Key(), u.registration)
		s.deleteUpstream(u.entry.Key())
	}
	return len(expired)
}

// Tables returns the current tables, or nil before the first declaration.
func (s *Subscriber) Tables() *kingcuphook.Tables {
	if s.declaration == nil {
		return nil
	}
	if s.tables == nil {
		s.tables = s.buildTables()
		s.built, s.builtFrom = s.tables, s.declaration
	}
	return s.tables
}

// MaxBodyBytes returns the largest allowed body of a call; 0 means no limit.
func (s *Subscriber) MaxBodyBytes() int64 {
	if s.declaration == nil {
		return 0
	}
	return s.declaration.MaxBodyBytes()
}

// HeadLimits returns the bounds of the heads of calls.
func (s *Subscriber) HeadLimits() kingcuphook.HeadLimits {
	if s.declaration == nil {
		return kingcuphook.HeadLimits{}
	}
	return s.declaration.HeadLimits()
}

// buildTables builds tables in which each declared pool has the upstreams that registered
// for it.
func (s *Subscriber) buildTables() *kingcuphook.Tables {
	upstreams := s.buildUpstreams()
	lowest := lowestTiers(s.declaration)
	pools := make([]*kingcuphook.Pool, 0, len(s.declaration.Pools()))
	for _, name := range slices.Sorted(maps.Keys(s.declaration.Pools())) {
		pools = append(pools, kingcuphook.NewPool(kingcuphook.PoolFields{
			Name: name, Upstreams: upstreams[name], SpillRegions: true,
			Autoscaling:    s.declaration.Pools()[name].Autoscaling,
			CopiesPrefixes: s.declaration.Pools()[name].CopiesPrefixes,
			StreamMoves:    s.declaration.Pools()[name].StreamMoves,
			KVMemory:       s.declaration.Pools()[name].KVMemory,
			LowestTier:     lowest[name],
		}))
	}
	if s.declaration == s.builtFrom {
		return s.built.WithPools(pools)
	}
	t := kingcuphook.NewTables(s.declaration.Version(), s.declaration.Routes(), pools)
	return t.WithOrganisations(s.declaration.Organisations())
}

// buildUpstreams returns the upstreams of each declared pool.
func (s *Subscriber) buildUpstreams() map[string][]*kingcuphook.Upstream {
	type list struct {
		kind      kingcuphook.UpstreamKind
		upstreams []*kingcuphook.Upstream
	}
	lists := make(map[string]*list)
	for name, d := range s.declaration.Pools() {
		lists[name] = &list{kind: d.Kind}
		if last := s.lastPool(name); last != nil {
			lists[name].upstreams = make([]*kingcuphook.Upstream, 0, len(last.Upstreams())+1)
		}
	}
	// Registrations of a pool usually follow one another, so that most need no look-up.
	var l *list
	name := ""
	for _, u := range s.order {
		if pool := u.registration.Pool; l == nil || pool != name {
			l, name = lists[pool], pool
		}
		if l != nil {
			l.upstreams = append(l.upstreams, u.build(l.kind))
		}
	}
	upstreams := make(map[string][]*kingcuphook.Upstream, len(lists))
	for name, l := range lists {
		upstreams[name] = l.upstreams
	}
	return upstreams
}

// lastPool returns a pool of the tables that were built last; nil if there is none.
func (s *Subscriber) lastPool(name string) *kingcuphook.Pool {
	if s.built == nil {
		return nil
	}
	return s.built.Pool(name)
}

// lowestTiers returns the lowest tier of the requests for each pool.
func lowestTiers(d *kingcuphook.Declaration) map[string]kingcuphook.Tier {
	// The zero value stands for callers without a key.
	lowest := kingcuphook.Organisation{}
	for _, o := range d.Organisations() {
		if o.Tier > lowest.Tier {
			lowest = o
		}
	}
	tiers := make(map[string]kingcuphook.Tier)
	for _, r := range d.Routes() {
		organisationTier, _ := kingcuphook.Rank(lowest, r)
		defaultTier, _ := kingcuphook.Rank(kingcuphook.Organisation{}, r)
		for _, pool := range r.Pools() {
			tiers[pool] = max(tiers[pool], organisationTier, defaultTier)
		}
	}
	return tiers
}
