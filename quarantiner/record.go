package quarantiner

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxErrorBytes bounds the part of a record that an error repeats.
const maxErrorBytes = 100

// Record is the state of a request that is kept in the store, for routers that start. An operator
// ends a quarantine by changing the state to "lifted".
type Record struct {
	// Body is the hash of the body, as in logs.
	Body string `json:"body"`
	// State is quarantined or lifted.
	State string `json:"state"`
	// Since is when the request got its state.
	Since time.Time `json:"since"`
	// Crashes are those that are attributed to the request; at most MaxCrashes, and at least one
	// if it is quarantined.
	Crashes []CrashRecord `json:"crashes,omitempty"`
}

// CrashRecord is a crash in a record.
type CrashRecord struct {
	// Upstream is the upstream, as it was passed to RecordCrash.
	Upstream string `json:"upstream"`
	// At is when the crash was detected.
	At time.Time `json:"at"`
}

// Encode returns the encoded record.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("quarantiner: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes a record. The error wraps kingcuphook.ErrInvalid.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("quarantiner: record: %w: %.*s", kingcuphook.ErrInvalid, maxErrorBytes, err.Error())
	}
	if err := r.check(); err != nil {
		return Record{}, fmt.Errorf("quarantiner: record of body %.*q: %w: %w", maxErrorBytes, r.Body, kingcuphook.ErrInvalid, err)
	}
	return r, nil
}

// check returns an error if a field has a value that no router gives it.
func (r Record) check() error {
	fingerprint, err := r.fingerprint()
	switch {
	case err != nil || fingerprint == 0 || hasher.Format(fingerprint) != r.Body:
		return errors.New("the body is not a hash")
	case r.State != string(stateQuarantined) && r.State != string(stateLifted):
		return fmt.Errorf("unknown state %.*q", maxErrorBytes, r.State)
	case len(r.Crashes) > MaxCrashes || r.Quarantined() && len(r.Crashes) == 0:
		return fmt.Errorf("%d crashes", len(r.Crashes))
	}
	for _, c := range r.Crashes {
		if c.Upstream == "" || len(c.Upstream) > maxAddressBytes {
			return fmt.Errorf("upstream %.*q", maxErrorBytes, c.Upstream)
		}
	}
	return nil
}

func (r Record) fingerprint() (uint64, error) { return hasher.Parse(r.Body) }

// Quarantined reports whether requests with the body are rejected.
func (r Record) Quarantined() bool { return r.State == string(stateQuarantined) }

// Lift returns the record of the request after its quarantine has ended.
func (r Record) Lift(now time.Time) Record {
	return Record{Body: r.Body, State: string(stateLifted), Since: now.UTC()}
}

// Replaces reports whether r is to replace the stored record of the same body.
func (r Record) Replaces(stored Record) bool {
	e, own := r.entry(), stored.entry()
	return e.overrides(&own)
}

func (r Record) entry() Entry {
	fingerprint, _ := r.fingerprint()
	e := Entry{fingerprint: fingerprint, state: state(r.State), changedAt: r.Since}
	for _, c := range r.Crashes {
		e.crashes = append(e.crashes, Crash{upstream: c.Upstream, at: c.At})
	}
	return e
}

func (e *Entry) record() Record {
	r := Record{Body: hasher.Format(e.fingerprint), State: string(e.state), Since: e.changedAt.UTC()}
	for _, c := range e.crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Upstream: c.upstream, At: c.at.UTC()})
	}
	return r
}

// Records returns the records of the requests that are quarantined or lifted.
func (q *Quarantiner) Records(now time.Time) []Record {
	var list []Record
	for _, e := range q.List(now) {
		if e.state == stateQuarantined || e.state == stateLifted {
			list = append(list, e.record())
		}
	}
	return list
}

// Apply applies a record of the store, unless it is older than what this router knows, or its
// crashes are withdrawn.
func (q *Quarantiner) Apply(now time.Time, r Record) {
	if q.IsExpired(now, r) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	e := r.entry()
	if e.state == stateLifted {
		e.crashes = nil
	}
	q.importEntry(now, e)
	q.expire(now)
}

// IsExpired reports whether the quarantine of a record has ended with time.
func (q *Quarantiner) IsExpired(now time.Time, r Record) bool {
	return now.Sub(r.Since) > cmp.Or(q.QuarantineTTL, defaultQuarantineTTL)
}

// IsWithdrawn reports whether a record is of a quarantine for a crash that is withdrawn.
func (q *Quarantiner) IsWithdrawn(r Record) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := r.entry()
	return r.Quarantined() && q.removeWithdrawn(&e)
}
