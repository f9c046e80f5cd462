package previewer

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/receiver"
)

const (
	// Path is the path on the port for metrics to which questions are posted.
	Path = "/where"
	// MaxQuestionBytes is the largest length of a question in bytes, and readTimeout limits the time to
	// send it.
	MaxQuestionBytes = 16 << 10
	readTimeout      = 2 * time.Second
	// questionsPerSecond limits the questions to a router, since each takes the lock of a pool and rates all
	// of its upstreams. As many may come at once.
	questionsPerSecond = 4
)

// Handler answers questions over HTTP. Its exported fields are set before use.
type Handler struct {
	// Describe is that of a receiver.Receiver.
	Describe func(now time.Time, d receiver.Description) (*kingcuphook.Request, *kingcuphook.Route, *kingcuphook.RequestError, error)
	// Preview is that of an allocator.Allocator.
	Preview func(r *kingcuphook.Request) (kingcuphook.Preview, string, error)
	// Prompt returns the labels of a call that follow from its model and the list of the parts of its prompt.
	Prompt func(model, list string) kingcuphook.CallLabels
	// Hedges decides when requests are hedged; nil means that none are.
	Hedges kingcuphook.HedgePolicy
	// WaitShare is that of dispatcher.Limits; 0 means that requests wait until their deadline.
	WaitShare float64
	// MaxAttempts is the largest number of attempts of a call; 0 means that of its route.
	MaxAttempts int
	// RetryAfter returns the delay that the caller is told with an error; nil means that of package receiver.
	RetryAfter func(e *kingcuphook.RequestError) time.Duration
	// CostUnit is the unit of the costs of candidates; empty means CostUnitAnswer.
	CostUnit CostUnit

	mu    sync.Mutex
	quota quota
}

// problem is the body of an error.
type problem struct {
	Error string `json:"error"`
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	w.Header().Set("Content-Type", "application/json")
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		writeProblem(w, http.StatusMethodNotAllowed, errors.New("questions are sent by POST"))
		return
	}
	if !h.take(now) {
		w.Header().Set("Retry-After", "1")
		writeProblem(w, http.StatusTooManyRequests, fmt.Errorf("the router answers %d questions a second", questionsPerSecond))
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(readTimeout))
	var q Question
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxQuestionBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		writeProblem(w, http.StatusBadRequest, fmt.Errorf("question: %w", err))
		return
	}
	a, err := h.answer(time.Now(), &q)
	if err != nil {
		writeProblem(w, statusOf(err), err)
		return
	}
	_ = json.NewEncoder(w).Encode(a)
}

// answer answers a question.
func (h *Handler) answer(now time.Time, q *Question) (*Answer, error) {
	d, err := q.describe(h.Prompt)
	if err != nil {
		return nil, err
	}
	r, route, refused, err := h.Describe(now, d)
	if err != nil {
		return nil, err
	}
	p, code, err := h.Preview(r)
	if err != nil {
		return nil, err
	}
	a := newAnswer(now, r, route, p, cmp.Or(h.WaitShare, 1))
	a.CostUnit = cmp.Or(h.CostUnit, CostUnitAnswer)
	if refused == nil {
		refused = a.refusal(p, code, h.WaitShare > 0)
	}
	if refused != nil {
		a.setRefusal(refused, h.retryAfter(refused))
	}
	if h.Hedges != nil && a.Refusal == nil && a.Upstream != "" && a.Idempotent && cmp.Or(h.MaxAttempts, route.MaxAttempts()) > 1 {
		if delay, ok := h.Hedges.Delay(r, a.UncachedTokens); ok {
			after := milliseconds(delay)
			a.HedgeAfterMs = &after
		}
	}
	return a, nil
}

func (h *Handler) retryAfter(e *kingcuphook.RequestError) time.Duration {
	if h.RetryAfter == nil {
		return receiver.RetryAfter(e)
	}
	return h.RetryAfter(e)
}

func (h *Handler) take(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quota.take(now)
}

// quota bounds the questions. Its zero value is full.
type quota struct {
	// used is the number of questions that count at the time at.
	used float64
	at   time.Time
}

// take counts a question, and reports whether it is within questionsPerSecond.
func (q *quota) take(now time.Time) bool {
	q.used = max(q.used-questionsPerSecond*now.Sub(q.at).Seconds(), 0)
	q.at = now
	if q.used+1 > questionsPerSecond {
		return false
	}
	q.used++
	return true
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, receiver.ErrNoRoute), errors.Is(err, receiver.ErrNoOrganisation):
		return http.StatusNotFound
	case errors.Is(err, kingcuphook.ErrInvalid):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeProblem(w http.ResponseWriter, status int, err error) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{err.Error()})
}
