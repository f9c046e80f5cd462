package pinner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// RecordPrefix is the prefix of the keys of records in the store.
	RecordPrefix = "versions/"
	// maxKeyName bounds the length of a pool's name in a key; longer names are hashed.
	maxKeyName = 160
	// maxRecordBytes bounds the encoding of a record.
	maxRecordBytes = 1 << 16
	// absentFor is how long a version must be absent from the tables until its record says
	// that it has left.
	absentFor = 5 * time.Second
	hexBase   = 16
)

// Record has the versions of a pool. It is kept in the store, so that routers that start know
// which versions were in service before.
type Record struct {
	// Pool is the name of the pool.
	Pool string `json:"pool"`
	// Versions are the versions that are or were in service.
	Versions []RecordedVersion `json:"versions"`
	// Base is the version at which the streams began that no ledger has; empty if that is not
	// known. It holds in the era BaseEra of the store.
	Base    string `json:"base,omitempty"`
	BaseEra int64  `json:"base-era,omitempty"`
	// AnyShare is true if all routers keep to the rules for the base while any upstream has it, not just while half
	// of them have. Older builds drop it when they write the record.
	AnyShare bool `json:"base-any-share,omitempty"`
}

// RecordedVersion is a version in a Record.
type RecordedVersion struct {
	Version string `json:"version"`
	// LeftMS is when it left, in Unix milliseconds; 0 while it is in service.
	LeftMS int64 `json:"left-unix-ms,omitempty"`
}

func (v RecordedVersion) isRecent(now time.Time) bool {
	return v.LeftMS == 0 || now.Sub(time.UnixMilli(v.LeftMS)) <= horizon+clockMargin
}

// recent returns the versions of the record that were in service within the horizon.
func (r *Record) recent(now time.Time) map[string]bool {
	versions := make(map[string]bool)
	if r == nil {
		return versions
	}
	for _, v := range r.Versions {
		if v.isRecent(now) {
			versions[v.Version] = true
		}
	}
	return versions
}

// leftAt returns when a version of the record left; ok is false if it is in service or not in the record.
func (r *Record) leftAt(version string) (at time.Time, ok bool) {
	if r == nil {
		return time.Time{}, false
	}
	for _, v := range r.Versions {
		if v.Version == version && v.LeftMS != 0 {
			return time.UnixMilli(v.LeftMS), true
		}
	}
	return time.Time{}, false
}

// Key returns the key of the record.
func (r Record) Key() string {
	name := url.PathEscape(r.Pool)
	if len(name) > maxKeyName {
		name = "~" + strconv.FormatUint(xxhash.Sum64String(r.Pool), hexBase)
	}
	return RecordPrefix + name
}

// Encode returns the encoded record.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("pinner: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes the record with the key. The error wraps kingcuphook.ErrInvalid.
func DecodeRecord(key string, b []byte) (Record, error) {
	var r Record
	if len(b) > maxRecordBytes {
		return Record{}, fmt.Errorf("pinner: record %q has %d bytes: %w", key, len(b), kingcuphook.ErrInvalid)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("pinner: record %q: %w: %w", key, kingcuphook.ErrInvalid, err)
	}
	if r.Key() != key || len(r.Versions) == 0 || len(r.Versions) > maxVersions {
		return Record{}, fmt.Errorf("pinner: record %q of pool %q with %d versions: %w", key, r.Pool, len(r.Versions), kingcuphook.ErrInvalid)
	}
	return r, nil
}

// Apply applies the record that the store has at the revision, as read by a call that was sent at
// the given time.
func (p *Pinner) Apply(now, sentAt time.Time, r Record, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[r.Pool]
	if known == nil && len(p.pools) >= maxPools || known != nil && known.revision > revision {
		return
	}
	pool := p.pool(r.Pool)
	pool.record, pool.revision, pool.isImported = &r, revision, false
	if sentAt.After(pool.readAt) {
		pool.readAt = sentAt
	}
	p.refresh(now)
}

// Missing records that the store has no record with the key. The versions in the record that
// was known are kept like those seen in the tables.
func (p *Pinner) Missing(now time.Time, key string) {
	p.forgetRecords(now, func(k string) bool { return k == key })
}

// MissingExcept is like Missing for all records but those with the given keys.
func (p *Pinner) MissingExcept(now time.Time, keys map[string]bool) {
	p.forgetRecords(now, func(k string) bool { return !keys[k] })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knowsRecords = true
}

// forgetRecords forgets the records whose keys are missing in the store.
func (p *Pinner) forgetRecords(now time.Time, isMissing func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pool := range p.pools {
		if pool.record == nil || !isMissing((Record{Pool: name}).Key()) {
			continue
		}
		pool.keepRecorded(now)
		pool.record, pool.revision, pool.hadRecord = nil, 0, true
	}
	p.refresh(now)
}

// keepRecorded adds the versions of the record to those that left the tables, unless they
// are known.
func (p *pool) keepRecorded(now time.Time) {
	for _, v := range p.record.Versions {
		if _, ok := p.left[v.Version]; ok || !v.isRecent(now) {
			continue
		}
		p.left[v.Version] = now
		if v.LeftMS != 0 {
			p.left[v.Version] = time.UnixMilli(v.LeftMS)
		}
	}
}

// Write is a record that is to be written if that in the store has the revision; 0 means that
// there is none.
type Write struct {
	Record   Record
	Revision int64
	// Gap is why the record names no base that holds.
	Gap Gap
}

// Replacing returns the write of the record in place of one with the revision that can't be read, and may have named
// another base.
func (w Write) Replacing(revision int64) Write {
	w.Record.Base, w.Record.BaseEra, w.Record.AnyShare = "", 0, false
	w.Revision, w.Gap = revision, GapNoRecord
	return w
}

// Writes returns the records that the store lacks, which differ from the versions in the tables.
func (p *Pinner) Writes(now time.Time) []Write {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Write
	for name, pool := range p.pools {
		r := Record{Pool: name, Versions: pool.next(now)}
		gap := p.setBase(now, pool, &r)
		if pool.lacks(&r) {
			list = append(list, Write{Record: r, Revision: pool.revision, Gap: gap})
		}
	}
	return list
}

// lacks reports whether the record differs from that in the store. If it has no versions, those there
// are current.
func (p *pool) lacks(r *Record) bool {
	if r.Versions != nil {
		return true
	}
	if p.record == nil || p.record.Base == r.Base && p.record.BaseEra == r.BaseEra && p.record.AnyShare == r.AnyShare {
		return false
	}
	r.Versions = p.record.Versions
	return true
}

// next returns the versions for the next record; nil if nothing has changed.
func (p *pool) next(now time.Time) []RecordedVersion {
	leftMS := make(map[string]int64)
	if p.record != nil {
		for _, v := range p.record.Versions {
			leftMS[v.Version] = v.LeftMS
		}
	}
	changed := false
	for version, left := range p.left {
		recorded, ok := leftMS[version]
		switch {
		case left.IsZero() && !ok && p.isWaiting(version, now):
		case left.IsZero() && (!ok || recorded != 0):
			leftMS[version], changed = 0, true
		case !left.IsZero() && !ok:
			leftMS[version], changed = left.UnixMilli(), true
		}
	}
	for version, recorded := range leftMS {
		if recorded == 0 && p.absentSince(version, now) >= absentFor {
			leftMS[version], changed = now.UnixMilli(), true
		}
	}
	if list := newest(now, leftMS); changed && (p.record == nil || !slices.Equal(list, p.record.Versions)) {
		return list
	}
	return nil
}

// absentSince returns for how long the version has been absent from the tables.
func (p *pool) absentSince(version string, now time.Time) time.Duration {
	if left, ok := p.left[version]; ok {
		if left.IsZero() {
			return 0
		}
		return now.Sub(left)
	}
	if p.since.IsZero() {
		return 0
	}
	return now.Sub(p.since)
}

// newest returns the versions of a record: those in service and those that left last.
func newest(now time.Time, leftMS map[string]int64) []RecordedVersion {
	var list []RecordedVersion
	for version, left := range leftMS {
		if v := (RecordedVersion{version, left}); v.isRecent(now) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, RecordedVersion.compare)
	return list[:min(len(list), maxVersions)]
}

// compare orders versions in service first, then those that left last.
func (v RecordedVersion) compare(o RecordedVersion) int {
	if v.LeftMS != o.LeftMS && (v.LeftMS == 0 || o.LeftMS == 0) {
		return cmp.Compare(v.LeftMS, o.LeftMS)
	}
	return cmp.Or(cmp.Compare(o.LeftMS, v.LeftMS), cmp.Compare(v.Version, o.Version))
}

// String returns the versions, with a "-" after those that have left.
func (r Record) String() string {
	list := make([]string, 0, len(r.Versions))
	for _, v := range r.Versions {
		if v.LeftMS != 0 {
			v.Version += "-"
		}
		list = append(list, v.Version)
	}
	return strings.Join(list, ",")
}
