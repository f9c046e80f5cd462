package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"
	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// Headers of the callers' API.
const (
	HeaderRequest       = "X-Request-Id"
	HeaderClass         = "X-Class"
	HeaderOrganisation  = "X-Organisation"
	HeaderKey           = "Idempotency-Key"
	HeaderNonIdempotent = "X-Non-Idempotent"
	HeaderDeadline      = "X-Deadline"
)

// Bounds of what a caller may say of itself.
const (
	maxLabelBytes = 128
	maxKeyBytes   = 256
)

// accepted is a caller's request that matched a route.
type accepted struct {
	call  *kingcuphook.Call
	route *kingcuphook.Route
	// ctx ends when the caller is gone.
	ctx context.Context
}

// labels are what a caller says of its request in headers.
type labels struct {
	class, organisation, key string
	nonIdempotent            bool
	deadline                 time.Duration
}

// isClean reports whether a path means to an upstream what it means to the
// routes: one with .. would leave the prefix that a route matched.
func isClean(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// refused returns the error of a request that is refused before its claim, if it
// has one, is looked at.
func (l labels) refused(err *kingcuphook.RequestError) error {
	if l.key != "" {
		return beforeClaim(err)
	}
	return err
}

// accept reads a request, matches it and applies its rates. The identifier is
// valid also when an error is returned.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*accepted, string, error) {
	id := xid.New().String()
	w.Header().Set(HeaderRequest, id)
	l, err := readLabels(r)
	if err != nil {
		return nil, id, badRequest(err)
	}
	if !isClean(r.URL.Path) {
		return nil, id, badRequest(errors.New("the path holds empty, . or .. elements"))
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, id, bodyError(err)
	}
	tables := s.Tables()
	if tables == nil {
		return nil, id, l.refused(errNotReady)
	}
	var c chat
	if isChat(r) {
		if !gjson.ValidBytes(body) {
			return nil, id, badRequest(errors.New("the body is not valid JSON"))
		}
		c = parseChat(body)
	}
	route := tables.Match(l.class, l.organisation, c.model, r.URL.Path)
	if route == nil {
		return nil, id, l.refused(errNoRoute)
	}
	l.nonIdempotent = l.nonIdempotent || route.NonIdempotent()
	pool := tables.Pool(route.Pool())
	if s.Throttle != nil {
		if ok, after := s.Throttle.Allow(route, l.organisation); !ok {
			return nil, id, l.refused(overRate(after))
		}
	}
	return s.newAccepted(r, id, l, c, body, route, pool), id, nil
}

func (s *Server) newAccepted(r *http.Request, id string, l labels, c chat, body []byte, route *kingcuphook.Route, pool *kingcuphook.Pool) *accepted {
	now := time.Now()
	deadline := now.Add(s.deadline(l, route))
	f := kingcuphook.RequestFields{
		ID:             id,
		Class:          classOf(route),
		Organisation:   l.organisation,
		Model:          c.model,
		Pool:           route.Pool(),
		Region:         s.Region,
		DataCentre:     s.DataCentre,
		Tier:           route.Tier(),
		Arrived:        now,
		Target:         route.Target(),
		TokenTarget:    route.TokenTarget(),
		Deadline:       deadline,
		NonIdempotent:  l.nonIdempotent,
		IdempotencyKey: l.key,
		Bytes:          len(body),
		Fingerprint:    xxhash.Sum64(body),
	}
	kind := poolKind(pool)
	if kind == kingcuphook.UpstreamKindEngine {
		c.fill(&f)
	}
	return &accepted{
		call: &kingcuphook.Call{
			Request:     kingcuphook.NewRequest(f),
			Method:      r.Method,
			Path:        r.URL.RequestURI(),
			ContentType: r.Header.Get("Content-Type"),
			Body:        body,
			Kind:        kind,
		},
		route: route,
		ctx:   r.Context(),
	}
}

// classOf returns the class of the requests of a route: the one that it matches,
// or its own name if it matches any. What callers make up never becomes one, so
// that classes stay as few as routes.
func classOf(route *kingcuphook.Route) string {
	if route.Class() != "" {
		return route.Class()
	}
	return route.Name()
}

// chat is what the router reads of a chat completion.
type chat struct {
	model, messages string
	maxTokens       int
	stream          bool
}

// parseChat reads a valid JSON body in one pass.
func parseChat(body []byte) chat {
	var c chat
	gjson.ParseBytes(body).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "model":
			c.model = value.String()
		case "messages":
			c.messages = value.Raw
		case "max_tokens":
			c.maxTokens = int(value.Int())
		case "stream":
			c.stream = value.Bool()
		}
		return true
	})
	return c
}

// fill sets what is known of the prompt.
func (c chat) fill(f *kingcuphook.RequestFields) {
	prompt := []byte(c.messages)
	f.PromptTokens = hasher.Tokens(len(prompt))
	f.Prefix = hasher.Append(make([]uint64, 0, len(prompt)/hasher.BlockBytes), c.model, prompt)
	f.MaxTokens = c.maxTokens
	f.Stream = c.stream
}

// readBody reads the body within its bound.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, s.Limits.MaxBodyBytes)
	if r.ContentLength <= 0 || r.ContentLength > s.Limits.MaxBodyBytes {
		return io.ReadAll(limited)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, body)
	return body, err
}

func (s *Server) deadline(l labels, route *kingcuphook.Route) time.Duration {
	bound := s.Limits.Deadline
	if route.Deadline() > 0 {
		bound = route.Deadline()
	}
	if l.deadline > 0 {
		bound = min(bound, l.deadline)
	}
	return bound
}

// poolKind returns what serves the pool; a pool has upstreams of one kind.
func poolKind(p *kingcuphook.Pool) kingcuphook.UpstreamKind {
	if p == nil || len(p.Upstreams()) == 0 {
		return kingcuphook.UpstreamKindEngine
	}
	return p.Upstreams()[0].Kind()
}

func readLabels(r *http.Request) (labels, error) {
	l := labels{
		class:        r.Header.Get(HeaderClass),
		organisation: r.Header.Get(HeaderOrganisation),
		key:          r.Header.Get(HeaderKey),
	}
	if len(l.class) > maxLabelBytes || len(l.organisation) > maxLabelBytes {
		return l, fmt.Errorf("%s and %s are limited to %d bytes", HeaderClass, HeaderOrganisation, maxLabelBytes)
	}
	if len(l.key) > maxKeyBytes {
		return l, fmt.Errorf("%s is limited to %d bytes", HeaderKey, maxKeyBytes)
	}
	if text := r.Header.Get(HeaderNonIdempotent); text != "" {
		marked, err := strconv.ParseBool(text)
		if err != nil {
			return l, fmt.Errorf("%s must be true or false, not %q", HeaderNonIdempotent, text)
		}
		l.nonIdempotent = marked
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return l, fmt.Errorf("%s must be a duration such as 5s, not %q", HeaderDeadline, text)
		}
		l.deadline = d
	}
	return l, nil
}
