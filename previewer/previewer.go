// Package previewer answers where a described request would go now, and why. The request is not sent, and the
// question has no influence on any other request.
package previewer

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/receiver"
)

// MaxCandidates is the largest number of candidates in an answer.
const MaxCandidates = 20

// Question describes a request.
type Question struct {
	// Route is the name of its route; if it is empty, the route is that of Host and Path.
	Route string `json:"route,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Class is the class of the request, by which routers of serve match routes.
	Class string `json:"class,omitempty"`
	// Organisation is the name of the caller's organisation; empty means none.
	Organisation string `json:"organisation,omitempty"`
	// ID is the ID of the call, by which a route with several pools chooses; empty means a fixed one.
	ID string `json:"id,omitempty"`
	// Model is the requested model, which is part of the identity of a shared prefix.
	Model string `json:"model,omitempty"`
	// PromptTokens and MaxTokens are the length of the prompt and the largest length of the answer.
	PromptTokens int `json:"prompt-tokens,omitempty"`
	MaxTokens    int `json:"max-tokens,omitempty"`
	// Prefix has the shared parts of the prompt in order, each HASH:TOKENS. The rest of the prompt is the
	// request's own.
	Prefix []string `json:"prefix,omitempty"`
	// Bytes is the length of the body.
	Bytes int `json:"bytes,omitempty"`
	// Body is the body, from which routers of serve read the model, the prompt and its prefix. It takes the place
	// of Model, PromptTokens, MaxTokens and Bytes.
	Body string `json:"body,omitempty"`
	// DeadlineMs is how long the caller waits; 0 means as long as the route allows.
	DeadlineMs int64 `json:"deadline-ms,omitempty"`
}

// defaultID identifies the call of a question without an ID.
const defaultID = "where"

// Answer is the answer to a question. Times are in milliseconds.
type Answer struct {
	Route      string  `json:"route"`
	Pool       string  `json:"pool"`
	Kind       string  `json:"kind"`
	Idempotent bool    `json:"idempotent"`
	Tier       int     `json:"tier"`
	Urgency    int     `json:"urgency"`
	TargetMs   float64 `json:"target-ms"`
	DeadlineMs float64 `json:"deadline-ms"`
	// CostUnit is the unit of costs.
	CostUnit CostUnit `json:"cost-unit"`
	// Draws is the number of selections by which the probabilities of the candidates were estimated, and
	// WaitProbability the share of those that chose none; 0 and nil if the choice is not drawn.
	Draws           int      `json:"draws,omitempty"`
	WaitProbability *float64 `json:"wait-probability,omitempty"`
	// Upstream is the upstream that the request would go to, the most probable one if it is drawn; empty if
	// none takes it now.
	Upstream       string  `json:"upstream"`
	PredictedMs    float64 `json:"predicted-ms"`
	UncachedTokens int     `json:"uncached-tokens"`
	CopyFrom       string  `json:"copy-from,omitempty"`
	Spilled        bool    `json:"spilled"`
	// RateLimited is the upstream that would be chosen but for its rate limit.
	RateLimited string `json:"rate-limited,omitempty"`
	Queue       Queue  `json:"queue"`
	// WaitMs is the expected time in the queue; nil if unknown. MaxWaitMs is how long the request may wait
	// before it is refused.
	WaitMs    *float64 `json:"wait-ms"`
	MaxWaitMs float64  `json:"max-wait-ms"`
	// Refusal is the refusal that the caller would get; nil if none.
	Refusal *Refusal `json:"refusal"`
	// HedgeAfterMs is how long after its dispatch the request may be hedged; nil if it isn't.
	HedgeAfterMs *float64 `json:"hedge-after-ms"`
	// Candidates has the upstreams of the pool, at most MaxCandidates: the chosen one, then those that may be
	// chosen, then the others, each by probability and cost. More is the number of the rest.
	Candidates []Candidate `json:"candidates"`
	More       int         `json:"more"`
	// Excluded has the number of excluded upstreams by reason, those not listed included.
	Excluded map[string]int `json:"excluded"`
}

// CostUnit is the unit of the costs of an answer.
type CostUnit string

// Values of CostUnit.
const (
	// CostUnitAnswer is the value of one answer that meets its target.
	CostUnitAnswer CostUnit = "answers"
	// CostUnitSecond is a second of delay.
	CostUnitSecond CostUnit = "seconds"
)

// Queue is the place of the request in the queue of its pool.
type Queue struct {
	// Queued is the number of requests queued at this router, HigherTiers, OwnTier and OwnRoute the numbers of
	// those that go before: of higher tiers, of its tier, and of both with its route.
	Queued      int `json:"queued"`
	HigherTiers int `json:"higher-tiers"`
	OwnTier     int `json:"own-tier"`
	OwnRoute    int `json:"own-route"`
	// Elsewhere is the number of requests of its own and of higher tiers queued at the other routers.
	Elsewhere int `json:"elsewhere"`
	// PerSecond is the number of requests dispatched here in a second lately; 0 if unknown.
	PerSecond float64 `json:"dispatched-per-second"`
}

// Refusal is a refusal of a request.
type Refusal struct {
	Code string `json:"code"`
	// RetryAfterMs is the Retry-After; 0 if the caller gets none.
	RetryAfterMs float64 `json:"retry-after-ms"`
	Reason       string  `json:"reason"`
}

// Candidate is an upstream of the pool.
type Candidate struct {
	Upstream string `json:"upstream"`
	Chosen   bool   `json:"chosen"`
	// Excluded is why the request can't go there; empty if it can.
	Excluded     string  `json:"excluded,omitempty"`
	Cost         float64 `json:"cost"`
	Parts        Cost    `json:"cost-parts"`
	PredictedMs  float64 `json:"predicted-ms"`
	CachedTokens int     `json:"cached-tokens"`
	Running      int     `json:"running"`
	// MaxRunning is the number of requests from which the upstream takes no more like this one; 0 if
	// unbounded. Free is the number of slots that this router may use for the tier.
	MaxRunning int `json:"max-running"`
	Free       int `json:"free"`
	// Probability is the estimated probability that the request goes there; nil if the choice is not drawn.
	Probability *float64 `json:"probability,omitempty"`
	// ReportAgeMs is the age of the last report on the load of the other routers there; nil if there was none.
	ReportAgeMs *float64 `json:"report-age-ms"`
}

// Cost is kingcuphook.Cost.
type Cost struct {
	FirstToken   float64 `json:"first-token"`
	Transfer     float64 `json:"transfer"`
	Failures     float64 `json:"failures"`
	Load         float64 `json:"load"`
	Recompute    float64 `json:"recompute"`
	Interference float64 `json:"interference"`
	TokenTarget  float64 `json:"token-target"`
}

// prompt returns the parts of the prompt as a list of HASH:TOKENS, the request's own part included. The error
// wraps ErrInvalid.
func (q *Question) prompt() (string, error) {
	if len(q.Prefix) == 0 {
		return "", nil
	}
	shared := 0
	for _, part := range q.Prefix {
		hash, tokens, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(tokens)
		if hash == "" || strings.Contains(part, ",") || err != nil || n <= 0 || n > q.PromptTokens {
			return "", fmt.Errorf("previewer: prefix part %q is not HASH:TOKENS, with tokens from 1 to those of the prompt: %w", part, kingcuphook.ErrInvalid)
		}
		shared += n
	}
	if shared >= q.PromptTokens {
		return "", fmt.Errorf("previewer: the prefix has %d tokens and the prompt %d, which must be more: %w", shared, q.PromptTokens, kingcuphook.ErrInvalid)
	}
	return fmt.Sprintf("%s,%s:%d", strings.Join(q.Prefix, ","), defaultID, q.PromptTokens-shared), nil
}

// describe returns the description of the call. The function prompt splits the prompt as the headers of a call do.
func (q *Question) describe(prompt func(model, list string) kingcuphook.CallLabels) (receiver.Description, error) {
	if q.PromptTokens < 0 || q.MaxTokens < 0 || q.Bytes < 0 || q.DeadlineMs < 0 {
		return receiver.Description{}, fmt.Errorf("previewer: a number is negative: %w", kingcuphook.ErrInvalid)
	}
	if (q.Route == "") == (q.Host == "" && q.Path == "") {
		return receiver.Description{}, fmt.Errorf("previewer: give either a route or a host and path: %w", kingcuphook.ErrInvalid)
	}
	if q.Body != "" && (q.Model != "" || q.PromptTokens != 0 || q.MaxTokens != 0 || q.Bytes != 0) {
		return receiver.Description{}, fmt.Errorf("previewer: the body gives the model and the lengths: %w", kingcuphook.ErrInvalid)
	}
	list, err := q.prompt()
	if err != nil {
		return receiver.Description{}, err
	}
	l := prompt(q.Model, list)
	l.ID, l.Model, l.PromptTokens, l.MaxTokens = cmp.Or(q.ID, defaultID), q.Model, q.PromptTokens, q.MaxTokens
	l.Deadline = time.Duration(min(q.DeadlineMs, maxDeadline.Milliseconds())) * time.Millisecond
	return receiver.Description{Route: q.Route, Host: q.Host, Path: q.Path, Class: q.Class, Organisation: q.Organisation, Bytes: q.Bytes, Body: []byte(q.Body), Labels: l}, nil
}

// maxDeadline bounds the deadline of a question. No caller waits that long.
const maxDeadline = 24 * time.Hour

// newAnswer returns the answer for a request on its route.
func newAnswer(now time.Time, r *kingcuphook.Request, route *kingcuphook.Route, p kingcuphook.Preview, waitShare float64) *Answer {
	a := &Answer{
		Route: route.Name(), Pool: r.Pool(), Kind: "plain", Idempotent: !r.NonIdempotent(),
		Tier: int(r.Tier()), Urgency: r.Urgency(), TargetMs: milliseconds(r.Target()), DeadlineMs: milliseconds(r.Deadline().Sub(now)),
		Queue: Queue{
			Queued: p.Place.Queued, HigherTiers: p.Place.Higher, OwnTier: p.Place.Before, OwnRoute: p.Place.InGroup,
			Elsewhere: p.Place.Elsewhere, PerSecond: p.Place.PerSecond,
		},
		MaxWaitMs: waitShare * milliseconds(r.Deadline().Sub(now)),
		Excluded:  make(map[string]int),
	}
	if r.Stream() {
		a.Kind = "stream"
	}
	if p.WaitKnown {
		wait := milliseconds(p.Wait)
		a.WaitMs = &wait
	}
	if c := p.Choice; c.Upstream != nil {
		a.Upstream, a.PredictedMs, a.UncachedTokens = c.Upstream.Address(), milliseconds(c.Predicted), c.UncachedTokens
		a.CopyFrom, a.Spilled, a.RateLimited = c.CopyFrom, c.Spilled, c.RateLimited
	}
	a.addCandidates(now, p.Candidates)
	if p.Draws > 0 {
		a.addProbabilities(p)
	}
	return a
}

// addProbabilities adds the probabilities of a choice that is drawn.
func (a *Answer) addProbabilities(p kingcuphook.Preview) {
	a.Draws = p.Draws
	byUpstream, wait := make(map[string]float64, len(p.Candidates)), 1.0
	for _, c := range p.Candidates {
		byUpstream[c.Upstream] = c.Probability
		wait -= c.Probability
	}
	wait = max(math.Round(wait*float64(p.Draws))/float64(p.Draws), 0)
	a.WaitProbability = &wait
	for i := range a.Candidates {
		probability := byUpstream[a.Candidates[i].Upstream]
		a.Candidates[i].Probability = &probability
	}
}

func (a *Answer) addCandidates(now time.Time, candidates []kingcuphook.Candidate) {
	class := func(c kingcuphook.Candidate) int {
		switch {
		case c.Upstream == a.Upstream:
			return 0
		case c.RejectReason == "":
			return 1
		}
		return 2
	}
	slices.SortFunc(candidates, func(x, y kingcuphook.Candidate) int {
		return cmp.Or(cmp.Compare(class(x), class(y)), cmp.Compare(y.Probability, x.Probability), cmp.Compare(x.Cost.Total(), y.Cost.Total()), cmp.Compare(x.Upstream, y.Upstream))
	})
	for _, c := range candidates {
		if c.RejectReason != "" {
			a.Excluded[c.RejectReason]++
		}
	}
	listed := candidates[:min(len(candidates), MaxCandidates)]
	a.More = len(candidates) - len(listed)
	a.Candidates = make([]Candidate, 0, len(listed))
	for _, c := range listed {
		listed := Candidate{
			Upstream: c.Upstream, Chosen: c.Upstream == a.Upstream, Excluded: c.RejectReason,
			Cost: c.Cost.Total(), Parts: Cost(c.Cost), PredictedMs: milliseconds(c.Predicted), CachedTokens: c.CachedTokens,
			Running: c.Running, MaxRunning: c.MaxRunning, Free: c.Free,
		}
		if !c.ReportedAt.IsZero() {
			age := milliseconds(now.Sub(c.ReportedAt))
			listed.ReportAgeMs = &age
		}
		a.Candidates = append(a.Candidates, listed)
	}
}

// refusal returns the refusal that the caller would get; nil if there is none. The code is that of a shed request.
// If bounded is set, requests may wait only for a part of the time until their deadline, and a longer expected wait is
// an overload.
func (a *Answer) refusal(p kingcuphook.Preview, code string, bounded bool) *kingcuphook.RequestError {
	switch {
	case a.WaitMs != nil && *a.WaitMs > a.MaxWaitMs:
		reason := fmt.Sprintf("no slot within %.0f ms", a.MaxWaitMs)
		if err := p.Shed.Err(); err != nil {
			reason += ": " + err.Error()
		}
		e := &kingcuphook.RequestError{Code: kingcuphook.CodeDeadline, Ran: kingcuphook.RunStateNotRun, Err: errors.New(reason)}
		if bounded {
			e.Code, e.RetryAfter = kingcuphook.CodeOverloaded, dispatcher.MinQueueRetryAfter
		}
		return e
	case p.Shed.Err() != nil:
		return &kingcuphook.RequestError{Code: code, Ran: kingcuphook.RunStateNotRun, RetryAfter: p.Shed.RetryAfter(), Err: p.Shed.Err()}
	}
	return nil
}

// setRefusal sets the refusal to an error. The request then goes to no upstream.
func (a *Answer) setRefusal(e *kingcuphook.RequestError, retryAfter time.Duration) {
	a.Upstream, a.PredictedMs, a.UncachedTokens, a.CopyFrom, a.Spilled, a.RateLimited = "", 0, 0, "", false, ""
	for i := range a.Candidates {
		a.Candidates[i].Chosen, a.Candidates[i].Probability = false, nil
	}
	a.Draws, a.WaitProbability = 0, nil
	a.Refusal = &Refusal{Code: e.Code, RetryAfterMs: milliseconds(retryAfter), Reason: e.Err.Error()}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
