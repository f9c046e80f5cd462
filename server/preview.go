package server

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/receiver"
)

// RetryAfter returns the delay that the caller is told with an error, in whole seconds; 0 if it is told none.
func RetryAfter(e *kingcuphook.RequestError) time.Duration {
	return time.Duration(math.Ceil(e.RetryAfter.Seconds())) * time.Second
}

// ThrottlePreviewer is a Throttle that can be asked what it would do with a request.
type ThrottlePreviewer interface {
	// Preview returns what Allow would return, without counting a request.
	Preview(route *kingcuphook.Route, organisation string) (bool, time.Duration)
}

// Describe returns the request that a described one would become that came now, and its route. If it would be
// refused before it is dispatched, refused is that error. Without a body the request has no
// fingerprint and no prefix.
func (s *Server) Describe(now time.Time, d receiver.Description) (r *kingcuphook.Request, route *kingcuphook.Route, refused *kingcuphook.RequestError, err error) {
	tables := s.Tables()
	if tables == nil {
		return nil, nil, nil, receiver.ErrNoTables
	}
	if d.Host != "" || len(d.Labels.Prefix) > 0 {
		return nil, nil, nil, fmt.Errorf("server: this router reads no hosts, and prefixes from bodies only: %w", kingcuphook.ErrInvalid)
	}
	c, route, err := match(tables, d)
	if err != nil {
		return nil, nil, nil, err
	}
	h := callerHeaders{class: d.Class, organisation: d.Organisation, deadline: d.Labels.Deadline}
	f := s.newFields(now, d.Labels.ID, h, c.model, max(d.Bytes, len(d.Body)), route)
	if len(d.Body) > 0 {
		f.Fingerprint = xxhash.Sum64(d.Body)
	}
	if servesChat(tables, route) {
		c.setPromptFields(&f)
		f.PromptTokens = max(f.PromptTokens, d.Labels.PromptTokens)
	}
	r = kingcuphook.NewRequest(f)
	return r, route, s.refusalOf(r, route), nil
}

// match returns the route of a described request, and the fields of its body if it is a chat completion.
func match(t *kingcuphook.Tables, d receiver.Description) (c chat, route *kingcuphook.Route, err error) {
	isChat := d.Path == PathChat
	if d.Route != "" {
		if route, err = receiver.RouteNamed(t, d.Route); err != nil {
			return chat{}, nil, err
		}
		isChat = servesChat(t, route)
	}
	c = chat{model: d.Labels.Model, maxTokens: d.Labels.MaxTokens}
	if isChat && len(d.Body) > 0 {
		if !gjson.ValidBytes(d.Body) {
			return chat{}, nil, fmt.Errorf("server: the body is not valid JSON: %w", kingcuphook.ErrInvalid)
		}
		c = parseChat(d.Body)
	}
	if route == nil {
		route = t.Match(d.Class, d.Organisation, c.model, d.Path)
	}
	if route == nil || !isChat && servesChat(t, route) {
		return chat{}, nil, fmt.Errorf("%w: path %q, class %q, model %q", receiver.ErrNoRoute, d.Path, d.Class, c.model)
	}
	return c, route, nil
}

// servesChat reports whether the upstreams of a route serve chat completions only.
func servesChat(t *kingcuphook.Tables, route *kingcuphook.Route) bool {
	return poolKind(t.Pool(route.Pool())) == kingcuphook.UpstreamKindEngine
}

// refusalOf returns the error of a request that is refused before its dispatch; nil if it isn't.
func (s *Server) refusalOf(r *kingcuphook.Request, route *kingcuphook.Route) *kingcuphook.RequestError {
	if err := s.refuse(s.Open() + 1); err != nil {
		return err
	}
	if int64(r.Bytes()) > s.Limits.MaxBodyBytes {
		return &kingcuphook.RequestError{Code: kingcuphook.CodeTooLarge, Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrTooLarge}
	}
	if t, ok := s.Throttle.(ThrottlePreviewer); ok {
		if ok, after := t.Preview(route, r.Organisation()); !ok {
			return rateLimitError(after)
		}
	}
	return s.checkStop(r)
}
