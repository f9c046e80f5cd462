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
		Issuer:    p.issuerOf(now, l),
		OwnShare:  issuedPerSecond(l.perSecond) / float64(max(len(p.routers), 1)),
	}
}
