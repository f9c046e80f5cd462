package pinner

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// records are what a router knows of the records in the store, as others import it.
type records struct {
	// Era is the era of the store.
	Era     int64            `json:"era,omitempty"`
	Records []exportedRecord `json:"records,omitempty"`
}

type exportedRecord struct {
	Record   Record `json:"record"`
	Revision int64  `json:"revision"`
}

// ExportRecords returns the records that this router knows, for one that can't read the store; nil if it doesn't
// know all of them.
func (p *Pinner) ExportRecords() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.knowsRecords {
		return nil
	}
	x := records{Era: p.era}
	for _, pool := range p.pools {
		if pool.record != nil {
			x.Records = append(x.Records, exportedRecord{Record: *pool.record, Revision: pool.revision})
		}
	}
	b, err := json.Marshal(x)
	if err != nil {
		return nil
	}
	return b
}

// ImportRecords applies the records that a peer has exported. They may be old. The error wraps
// kingcuphook.ErrInvalid.
func (p *Pinner) ImportRecords(now time.Time, b []byte) error {
	var x records
	if err := json.Unmarshal(b, &x); err != nil {
		return fmt.Errorf("pinner: records of a peer: %w: %w", kingcuphook.ErrInvalid, err)
	}
	if slices.ContainsFunc(x.Records, func(r exportedRecord) bool {
		return len(r.Record.Versions) == 0 || len(r.Record.Versions) > maxVersions
	}) {
		return fmt.Errorf("pinner: records of a peer: %w", kingcuphook.ErrInvalid)
	}
	p.SetEra(x.Era)
	for _, r := range x.Records {
		p.importRecord(now, r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knowsRecords = true
	p.refresh(now)
	return nil
}

func (p *Pinner) importRecord(now time.Time, r exportedRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[r.Record.Pool]
	if known == nil && len(p.pools) >= maxPools || known != nil && known.revision >= r.Revision {
		return
	}
	pool := p.pool(r.Record.Pool)
	pool.isImported = pool.isImported || pool.record == nil
	pool.record, pool.revision = &r.Record, r.Revision
	p.refresh(now)
}
