// Package reporter implements the queries of the operators' API: the tables, their
// history, the state of this process and the traces of requests.
package reporter

import (
	"context"
	"fmt"
	"strings"
	"time"

	"goa.design/goa/v3/security"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/commander"
	"github.com/kingcuphook/kingcuphook/encoder"
	"github.com/kingcuphook/kingcuphook/gen/queries"
	"github.com/kingcuphook/kingcuphook/historian"
	"github.com/kingcuphook/kingcuphook/recorder"
)

// Error names of the operators' API.
const (
	nameUnauthorized = "unauthorized"
	nameNotFound     = "not-found"
	nameUnavailable  = "unavailable"
)

// Source provides the current state of this process.
type Source interface {
	// Tables returns the current tables; never nil.
	Tables() *kingcuphook.Tables
	// Status returns the status of this process.
	Status() *queries.StatusReport
	// Quarantine returns the fingerprints of request bodies that are suspect or
	// quarantined.
	Quarantine() []*queries.Quarantined
	// Explain returns the upstreams that would be considered for a request now.
	Explain(r *kingcuphook.Request) []kingcuphook.Candidate
}

// Reporter implements the queries of the operators' API. Its fields are set
// before use.
type Reporter struct {
	// Source provides the state of this process; never nil.
	Source Source
	// Recorder holds the traces of recent requests; never nil.
	Recorder *recorder.Recorder
	// Historian reads the history of the tables; never nil.
	Historian *historian.Historian
	// Token is the token that operators must present; never empty.
	Token string
}

var _ queries.Service = (*Reporter)(nil)

// APIKeyAuth verifies the operator token of a query.
func (p *Reporter) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if !commander.SameToken(key, p.Token) {
		return ctx, &queries.Problem{Name: nameUnauthorized, Message: "the token is missing or wrong"}
	}
	return ctx, nil
}

// Table implements queries.Service.
func (p *Reporter) Table(_ context.Context, q *queries.TablePayload) (*queries.TableResult, error) {
	t := p.Source.Tables()
	text, err := tableText(t, string(q.Table))
	if err != nil {
		return nil, err
	}
	return &queries.TableResult{Revision: t.Revision(), Text: string(text)}, nil
}

func tableText(t *kingcuphook.Tables, table string) ([]byte, error) {
	if table == "routes" {
		return encoder.RoutesTOML(t.Routes())
	}
	return encoder.PoolsTOML(t.Pools())
}

// Status implements queries.Service.
func (p *Reporter) Status(context.Context, *queries.StatusPayload) (*queries.StatusReport, error) {
	return p.Source.Status(), nil
}

// Quarantine implements queries.Service.
func (p *Reporter) Quarantine(context.Context, *queries.QuarantinePayload) ([]*queries.Quarantined, error) {
	return p.Source.Quarantine(), nil
}

// Explain implements queries.Service.
func (p *Reporter) Explain(_ context.Context, q *queries.ExplainPayload) (*queries.Explanation, error) {
	t, ok := p.Recorder.Trace(q.RequestID)
	if !ok {
		return nil, &queries.Problem{
			Name:    nameNotFound,
			Message: "this router does not know the request; it keeps the most recent ones only, so ask the router that served it",
		}
	}
	r := t.Request()
	e := &queries.Explanation{
		RequestID:    r.ID(),
		Class:        r.Class(),
		Organisation: r.Organisation(),
		Tier:         int(r.Tier()),
		Route:        t.Route(),
		Pool:         r.Pool(),
		Outcome:      t.Outcome(),
		Steps:        []*queries.Step{},
	}
	for _, s := range t.Steps() {
		e.Steps = append(e.Steps, newStep(s))
		e.Steps = append(e.Steps, newCandidates(s.At, s.Candidates)...)
	}
	if t.Outcome() == "" {
		e.Steps = append(e.Steps, newCandidates(time.Since(r.Arrived()), p.Source.Explain(r))...)
	}
	return e, nil
}

// newStep converts a step of a trace.
func newStep(s recorder.Step) *queries.Step {
	step := &queries.Step{AtMs: milliseconds(s.At), Name: string(s.Kind)}
	if s.Upstream != "" {
		step.Upstream = &s.Upstream
	}
	if d := detail(s); d != "" {
		step.Detail = &d
	}
	return step
}

// detail describes the predictions, token counts and error of a step.
func detail(s recorder.Step) string {
	var parts []string
	if s.Predicted > 0 {
		parts = append(parts, fmt.Sprintf("predicted first token after %s", s.Predicted.Round(time.Millisecond)))
	}
	if s.Uncached > 0 {
		parts = append(parts, fmt.Sprintf("%d prompt tokens not cached", s.Uncached))
	}
	if s.Tokens > 0 {
		parts = append(parts, fmt.Sprintf("%d tokens", s.Tokens))
	}
	if s.Err != nil {
		parts = append(parts, s.Err.Error())
	}
	return strings.Join(parts, "; ")
}

// newCandidates returns a step for each upstream that was considered.
func newCandidates(at time.Duration, candidates []kingcuphook.Candidate) []*queries.Step {
	steps := make([]*queries.Step, 0, len(candidates))
	for _, c := range candidates {
		text := fmt.Sprintf("predicted first token after %s; %d prompt tokens cached", c.Predicted.Round(time.Millisecond), c.CachedTokens)
		if c.RejectReason != "" {
			text += "; refused: " + c.RejectReason
		}
		steps = append(steps, &queries.Step{AtMs: milliseconds(at), Name: "candidate", Upstream: &c.Upstream, Detail: &text})
	}
	return steps
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
