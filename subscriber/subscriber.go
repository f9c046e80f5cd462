// Package subscriber keeps what operators declare and what upstreams register in
// the store, and joins both into tables. It is a pure decision: entries and the
// time are passed in.
package subscriber

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// lapseHold is how long an upstream is used on whose registration went while
	// the store could not be followed, counted from when it can be again.
	lapseHold = 2200 * time.Millisecond
)

// Subscriber keeps the declaration and the registrations. It is used by one
// goroutine.
type Subscriber struct {
	// Codec reads the entries; never nil.
	Codec kingcuphook.DirectoryCodec
	// DeclarationKey is the key of the declaration, RegistrationPrefix starts the
	// keys of the upstreams.
	DeclarationKey, RegistrationPrefix string

	// declared is the entry of the newest declaration that was understood.
	declared kingcuphook.Entry
	// declaration is nil before the first.
	declaration *kingcuphook.Declaration
	// upstreams has the registrations by key.
	upstreams map[string]*upstream
	// revision is that of the store up to which the registrations are complete,
	// newest that of the newest change of anything that is kept here.
	revision, newest int64
	// lost says that the store can't be followed; regained is when it could be
	// again, zero if it never was lost.
	lost     bool
	regained time.Time
	// tables are the join of both; nil after a change until they are asked for.
	tables *kingcuphook.Tables
	// removed tells peers which keys went.
	removed removals
}

// upstream is one registration.
type upstream struct {
	entry        kingcuphook.Entry
	registration kingcuphook.Registration
	// gone says that the entry is no longer in the store; the upstream is used
	// until the time until.
	gone  bool
	until time.Time
}

// Lost notes that the store can't be followed. It reports whether it could be
// before.
func (s *Subscriber) Lost() bool {
	was := s.lost
	s.lost = true
	return !was
}

// Found notes that the store was read. It reports whether it could not be before.
func (s *Subscriber) Found(now time.Time) bool {
	was := s.lost
	if was {
		s.regained = now
	}
	s.lost = false
	return was
}

// IsLost reports whether the store can't be followed now.
func (s *Subscriber) IsLost() bool { return s.lost }

// Revision returns the revision of the store up to which the registrations are
// complete; 0 if they were never read.
func (s *Subscriber) Revision() int64 { return s.revision }

// Declare takes the entry of the declaration. It reports whether it is newer than
// the one in force; an older one is not followed. The error wraps ErrInvalid, and
// leaves what is in force.
func (s *Subscriber) Declare(e kingcuphook.Entry) (bool, error) {
	if e.Key() != s.DeclarationKey || e.Deleted() {
		return false, nil
	}
	d, err := s.Codec.Declaration(e.Value())
	if err != nil {
		return false, err
	}
	if s.declaration != nil && d.Version() <= s.declaration.Version() {
		return false, nil
	}
	s.declaration = d
	s.declared = e
	s.newest = max(s.newest, e.Revision())
	s.tables = nil
	return true, nil
}

// Declared reports whether there is a declaration in force.
func (s *Subscriber) Declared() bool { return s.declaration != nil }

// Version returns the version of the declaration in force; 0 before the first.
func (s *Subscriber) Version() int64 {
	if s.declaration == nil {
		return 0
	}
	return s.declaration.Version()
}

// Register takes changed entries of upstreams, which are complete up to the
// revision. The error joins those of the entries that were not understood, each
// of which wraps ErrInvalid; such an entry names no upstream.
func (s *Subscriber) Register(now time.Time, entries []kingcuphook.Entry, revision int64) error {
	errs := make([]error, 0, len(entries))
	for _, e := range entries {
		errs = append(errs, s.register(now, e))
	}
	s.revision = max(s.revision, revision)
	return errors.Join(errs...)
}

// Replace takes all entries of upstreams as they are at the revision. What is older
// than what a peer has told takes nothing out.
func (s *Subscriber) Replace(now time.Time, entries []kingcuphook.Entry, revision int64) error {
	if revision < s.revision {
		return s.Register(now, entries, revision)
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key()] = true
	}
	for key, u := range s.upstreams {
		if !present[key] {
			s.remove(now, key, u, revision)
		}
	}
	// What came and went since the last revision was not seen.
	s.removed.from = max(s.removed.from, revision)
	return s.Register(now, entries, revision)
}

func (s *Subscriber) register(now time.Time, e kingcuphook.Entry) error {
	if !strings.HasPrefix(e.Key(), s.RegistrationPrefix) {
		return nil
	}
	known := s.upstreams[e.Key()]
	if e.Deleted() {
		if known != nil && e.Revision() > known.entry.Revision() {
			s.remove(now, e.Key(), known, e.Revision())
		}
		return nil
	}
	if e.Revision() <= s.removed.revision(e.Key()) {
		return nil
	}
	if known != nil && !known.gone && e.Revision() <= known.entry.Revision() {
		return nil
	}
	r, err := s.Codec.Registration(e.Key(), e.Value())
	if err != nil {
		if known != nil {
			s.noteRemoval(e.Key(), e.Revision())
			s.drop(e.Key())
		}
		return err
	}
	if known != nil && r.Upstream.StartTime < known.registration.Upstream.StartTime {
		return nil
	}
	if s.upstreams == nil {
		s.upstreams = make(map[string]*upstream)
	}
	s.upstreams[e.Key()] = &upstream{entry: e, registration: r}
	s.newest = max(s.newest, e.Revision())
	s.tables = nil
	return nil
}

// remove takes an upstream out whose entry is gone since the revision or before it.
// An entry may have lapsed because the store was away, while its upstream lives and
// will register again.
func (s *Subscriber) remove(now time.Time, key string, u *upstream, revision int64) {
	s.noteRemoval(key, revision)
	until := s.regained.Add(lapseHold)
	if s.regained.IsZero() || !now.Before(until) || u.registration.Upstream.Leaving {
		s.drop(key)
		return
	}
	u.gone = true
	u.until = until
}

func (s *Subscriber) noteRemoval(key string, revision int64) {
	s.removed.add(key, revision)
	s.newest = max(s.newest, revision)
}

func (s *Subscriber) drop(key string) {
	delete(s.upstreams, key)
	s.tables = nil
}

// Expire takes out the upstreams whose entries have been gone for too long, and
// returns how many.
func (s *Subscriber) Expire(now time.Time) int {
	n := 0
	for key, u := range s.upstreams {
		if u.gone && !now.Before(u.until) {
			s.drop(key)
			n++
		}
	}
	return n
}

// Tables returns the tables in force, or nil before the first declaration.
func (s *Subscriber) Tables() *kingcuphook.Tables {
	if s.declaration == nil {
		return nil
	}
	if s.tables == nil {
		s.tables = s.join()
	}
	return s.tables
}

// MaxBodyBytes returns the bound of the body of a call; 0 means none.
func (s *Subscriber) MaxBodyBytes() int64 {
	if s.declaration == nil {
		return 0
	}
	return s.declaration.MaxBodyBytes()
}

// join gives each declared pool the upstreams that registered for it.
func (s *Subscriber) join() *kingcuphook.Tables {
	upstreams := make(map[string][]*kingcuphook.Upstream)
	for _, key := range slices.Sorted(maps.Keys(s.upstreams)) {
		r := s.upstreams[key].registration
		declared, ok := s.declaration.Pools()[r.Pool]
		if !ok {
			continue
		}
		f := r.Upstream
		f.Kind = declared.Kind
		f.Resumes = declared.Kind == kingcuphook.UpstreamKindEngine
		f.Models = nil
		upstreams[r.Pool] = append(upstreams[r.Pool], kingcuphook.NewUpstream(f))
	}
	pools := make([]*kingcuphook.Pool, 0, len(s.declaration.Pools()))
	for _, name := range slices.Sorted(maps.Keys(s.declaration.Pools())) {
		pools = append(pools, kingcuphook.NewPool(kingcuphook.PoolFields{
			Name: name, Upstreams: upstreams[name], SpillRegions: true,
		}))
	}
	t := kingcuphook.NewTables(s.declaration.Version(), s.declaration.Routes(), pools)
	return t.WithOrganisations(s.declaration.Organisations())
}
