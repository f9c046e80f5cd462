package permitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// ChangeKind is what happened to the limit of an upstream.
type ChangeKind string

// Values of ChangeKind.
const (
	ChangeKindBegan   ChangeKind = "began"
	ChangeKindChanged ChangeKind = "changed"
	ChangeKindEnded   ChangeKind = "ended"
	// ChangeKindMalformed means that what an upstream announced can't be read.
	ChangeKindMalformed ChangeKind = "malformed"
)

// Source is where a router got the information about a limit.
type Source string

// Values of Source.
const (
	// SourceReply is a reply of the upstream to this router.
	SourceReply Source = "answer"
	// SourcePeer is the issuer of the upstream's permits.
	SourcePeer Source = "peer"
)

// Change is a change of the limit of an upstream.
type Change struct {
	Program kingcuphook.Program
	Kind    ChangeKind
	Source  Source
	// PerSecond is the new limit in requests per second; the last one if it ended.
	PerSecond float64
	// Age is the time since a reply to this router last announced the limit.
	Age time.Duration
	// Issuer is the router that issues the permits; empty if none is known.
	Issuer string
	// OwnShare is this router's equal share of the issued permits per second. Permits are
	// issued on request, so its actual share follows its requests.
	OwnShare float64
}

// LogFields returns the fields of the log event for the change.
func (c Change) LogFields() []any {
	return []any{
		"upstream", c.Program.Address(), "instance", c.Program.Instance(), "change", c.Kind, "source", c.Source,
		"per-second", c.PerSecond, "age-ms", c.Age.Milliseconds(), "issuer", c.Issuer, "own-share", c.OwnShare,
	}
}

// changeOf returns the change of a limit. The caller holds mu.
func (p *Permitter) changeOf(now time.Time, l *limit, kind ChangeKind, source Source) Change {
	return Change{
		Program:   l.program,
		Kind:      kind,
		Source:    source,
		PerSecond: l.perSecond,
		Age:       now.Sub(l.announcedAt),
		Issuer:    p.issuerOf(now, l.key, &l.ranking),
		OwnShare:  issuedPerSecond(l.perSecond) / float64(max(len(p.routers), 1)),
	}
}

// PlacesChange is a change of what is known about the brittleness of an upstream.
type PlacesChange struct {
	Program kingcuphook.Program
	Kind    ChangeKind
	Source  Source
	// Tolerated is the number of refusals in a second that the upstream announced, Slots the
	// number of its slots.
	Tolerated, Slots int
	// Age is the time since a reply to this router last announced it; 0 if none did.
	Age time.Duration
	// Issuer is the router that issues the places; empty if none is known.
	Issuer string
	// Running and Held are the open requests and the places of this router.
	Running, Held int
}

// LogFields returns the fields of the log event for the change.
func (c PlacesChange) LogFields() []any {
	return []any{
		"upstream", c.Program.Address(), "instance", c.Program.Instance(), "change", c.Kind, "source", c.Source,
		"tolerated", c.Tolerated, "slots", c.Slots, "age-ms", c.Age.Milliseconds(), "issuer", c.Issuer,
		"running", c.Running, "held", c.Held,
	}
}

// placesChange returns a change of a brittle upstream. The caller holds mu.
func (p *Permitter) placesChange(now time.Time, l *places, kind ChangeKind, source Source) PlacesChange {
	c := PlacesChange{
		Program: l.program, Kind: kind, Source: source, Tolerated: l.tolerated, Slots: l.slots,
		Issuer: p.issuerOf(now, l.key, &l.ranking), Running: l.running, Held: l.held,
	}
	if !l.announcedAt.IsZero() {
		c.Age = now.Sub(l.announcedAt)
	}
	return c
}

// notifyPlaces calls OnPlacesChange for each change. The caller doesn't hold mu.
func (p *Permitter) notifyPlaces(changes []PlacesChange) {
	if p.OnPlacesChange == nil {
		return
	}
	for _, c := range changes {
		p.OnPlacesChange(c)
	}
}
