package reporter

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/auditor"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/gen/queries"
	"github.com/kingcuphook/kingcuphook/historian"
)

// outcomeAccepted is the outcome of a change that was applied; for other changes it is the
// kind of the audit record.
const outcomeAccepted = "accepted"

// History implements queries.Service.
func (p *Reporter) History(ctx context.Context, q *queries.HistoryPayload) ([]*queries.Change, error) {
	accepted, err := p.Historian.History(ctx, 0, q.Limit)
	if err != nil {
		return nil, problem(err)
	}
	rejected, err := p.Historian.Rejected(ctx)
	if err != nil {
		return nil, problem(err)
	}
	changes := make([]*queries.Change, 0, len(accepted)+len(rejected))
	for _, c := range accepted {
		if ch := newChange(c, q.Table); ch != nil {
			changes = append(changes, ch)
		}
	}
	for _, r := range rejected {
		changes = append(changes, newRecord(r.Fields()))
	}
	slices.SortStableFunc(changes, func(a, b *queries.Change) int { return cmp.Compare(b.Time, a.Time) })
	return changes[:min(len(changes), q.Limit)], nil
}

// newChange converts an accepted edit. If a table is given, only its rows are included, and
// the result is nil if the edit changed only rows of the other table.
func newChange(c differ.Change, table *queries.TableName) *queries.Change {
	rows := newRows(c.Rows())
	if table != nil {
		rows = slices.DeleteFunc(rows, func(r *queries.Row) bool { return r.Table != *table })
	}
	if len(rows) == 0 && len(c.Rows()) > 0 {
		return nil
	}
	ch := &queries.Change{
		Revision: c.Revision(),
		EditID:   c.EditID(),
		Author:   c.Author(),
		Time:     c.Time().UTC().Format(time.RFC3339Nano),
		Outcome:  outcomeAccepted,
		Rows:     rows,
	}
	if reason := c.Reason(); reason != "" {
		ch.Reason = &reason
	}
	return ch
}

// newRecord converts a record of the audit trail.
func newRecord(f auditor.RecordFields) *queries.Change {
	return &queries.Change{
		EditID:  f.EditID,
		Author:  f.Author,
		Time:    f.Time.UTC().Format(time.RFC3339Nano),
		Outcome: string(f.Kind),
		Reason:  &f.Cause,
	}
}

// Outcome implements queries.Service.
func (p *Reporter) Outcome(ctx context.Context, q *queries.OutcomePayload) (*queries.OutcomeResult, error) {
	var expect int64
	if q.Expect != nil {
		expect = *q.Expect
	}
	o, err := p.Historian.Find(ctx, q.EditID, expect)
	if err != nil {
		return nil, problem(err)
	}
	result := &queries.OutcomeResult{Fate: string(o.Status)}
	switch o.Status {
	case historian.StatusAccepted:
		revision := o.Change.Revision()
		result.Revision = &revision
	case historian.StatusRejected:
		cause := o.Record.Fields().Cause
		result.Reason = &cause
	}
	return result, nil
}

// Diff implements queries.Service.
func (p *Reporter) Diff(ctx context.Context, q *queries.DiffPayload) ([]*queries.Row, error) {
	var to int64
	if q.To != nil {
		to = *q.To
	}
	rows, err := p.Historian.Diff(ctx, q.From, to)
	if err != nil {
		return nil, problem(err)
	}
	return newRows(rows), nil
}

func newRows(rows []differ.Row) []*queries.Row {
	out := make([]*queries.Row, 0, len(rows))
	for _, r := range rows {
		key := r.Key()
		row := &queries.Row{Table: queries.TableName("pools"), Name: key.String()}
		if key.Kind == differ.RowKindRoute {
			row.Table = "routes"
		}
		row.Before = rowText(r.Before())
		row.After = rowText(r.After())
		out = append(out, row)
	}
	return out
}

// rowText returns the content of a row in TOML, or nil if the row doesn't exist.
func rowText(v differ.Value) *string {
	if !v.Exists() {
		return nil
	}
	data, err := encoder.ValueTOML(v)
	if err != nil {
		data = []byte(differ.Describe(v))
	}
	text := string(data)
	return &text
}

// problem converts an error of the historian to one of the operators' API.
func problem(err error) error {
	name := nameUnavailable
	if errors.Is(err, kingcuphook.ErrCompacted) || errors.Is(err, kingcuphook.ErrNotFound) {
		name = nameNotFound
	}
	return &queries.Problem{Name: name, Message: err.Error()}
}
