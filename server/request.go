package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"
	"github.com/tidwall/gjson"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// Headers of the callers' API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "X-Class"
	HeaderOrganisation   = "X-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "X-Non-Idempotent"
	HeaderDeadline       = "X-Deadline"
)

// Limits on the length of header values that callers set.
const (
	maxNameBytes = 128
	maxKeyBytes  = 256
)

// acceptedRequest is a caller's request that matched a route and is within its
// rate limits.
type acceptedRequest struct {
	call  *kingcuphook.Call
	route *kingcuphook.Route
	// ctx ends when the caller disconnects, and with EndCalls.
	ctx context.Context
}

// callerHeaders holds the properties of a request that its caller sets in headers.
type callerHeaders struct {
	class, organisation, key string
	nonIdempotent            bool
	deadline                 time.Duration
}

// isCleanPath reports whether a path has no empty, . or .. elements. An upstream
// could resolve .. to a path outside of the prefix that the route matched.
func isCleanPath(p string) bool {
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// rejectBeforeClaim returns the error for a request that is rejected before the claim
// of its idempotency key is read. If it has a key, the run state is unknown.
func (h callerHeaders) rejectBeforeClaim(err *kingcuphook.RequestError) error {
	if h.key != "" {
		return withUnknownRunState(err)
	}
	return err
}

// readRequest is a caller's request whose body was read.
type readRequest struct {
	id      string
	headers callerHeaders
	body    []byte
}

// read reads a request into memory reserved on the account. The returned request ID is valid even with an
// error; the account is closed then.
func (s *Server) read(w http.ResponseWriter, r *http.Request, account *rationer.Account) (*readRequest, error) {
	c := &readRequest{id: xid.New().String()}
	w.Header().Set(HeaderRequestID, c.id)
	var err error
	c.headers, err = readCallerHeaders(r)
	if err != nil {
		return c, badRequest(err)
	}
	if !isCleanPath(r.URL.Path) {
		return c, badRequest(errors.New("the path holds empty, . or .. elements"))
	}
	c.body, err = s.readBody(w, r, account)
	if err == nil {
		return c, nil
	}
	defer account.Close()
	if errors.Is(err, kingcuphook.ErrOutOfMemory) {
		s.logNoMemory(r, c.id, account)
		return c, c.headers.rejectBeforeClaim(errNoMemory)
	}
	return c, bodyError(err)
}

// accept matches a request to a route and applies the rate limits.
func (s *Server) accept(r *http.Request, read *readRequest) (*acceptedRequest, error) {
	h, body := read.headers, read.body
	tables := s.Tables()
	if tables == nil {
		return nil, h.rejectBeforeClaim(errNotReady)
	}
	var c chat
	if isChat(r) {
		if !gjson.ValidBytes(body) {
			return nil, badRequest(errors.New("the body is not valid JSON"))
		}
		c = parseChat(body)
	}
	route := tables.Match(h.class, h.organisation, c.model, r.URL.Path)
	if route == nil {
		return nil, h.rejectBeforeClaim(errNoRoute)
	}
	pool := tables.Pool(route.Pool())
	if s.Throttle != nil {
		if ok, after := s.Throttle.Allow(route, h.organisation); !ok {
			return nil, h.rejectBeforeClaim(rateLimitError(after))
		}
	}
	a := s.newAcceptedRequest(r, read.id, h, c, body, route, pool)
	if err := s.checkStop(a.call.Request); err != nil {
		return nil, h.rejectBeforeClaim(err)
	}
	return a, nil
}

func (s *Server) newAcceptedRequest(r *http.Request, id string, h callerHeaders, c chat, body []byte, route *kingcuphook.Route, pool *kingcuphook.Pool) *acceptedRequest {
	f := s.newFields(time.Now(), id, h, c.model, len(body), route)
	f.Fingerprint = xxhash.Sum64(body)
	kind := poolKind(pool)
	if kind == kingcuphook.UpstreamKindEngine {
		c.setPromptFields(&f)
	}
	return &acceptedRequest{
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

// newFields returns the fields of a request that don't depend on its body.
func (s *Server) newFields(now time.Time, id string, h callerHeaders, model string, bytes int, route *kingcuphook.Route) kingcuphook.RequestFields {
	return kingcuphook.RequestFields{
		ID:             id,
		Class:          classOf(route),
		Organisation:   h.organisation,
		Model:          model,
		Pool:           route.Pool(),
		Region:         s.Region,
		DataCentre:     s.DataCentre,
		Tier:           route.Tier(),
		Arrived:        now,
		Target:         route.Target(),
		TokenTarget:    route.TokenTarget(),
		Deadline:       now.Add(s.deadline(h, route)),
		NonIdempotent:  h.nonIdempotent || route.NonIdempotent(),
		IdempotencyKey: h.key,
		Bytes:          bytes,
	}
}

// classOf returns the class of the requests of a route: the class that the route
// matches, or the route's name if it matches any class. Header values of callers
// never become a class, so that there are no more classes than routes.
func classOf(route *kingcuphook.Route) string {
	if route.Class() != "" {
		return route.Class()
	}
	return route.Name()
}

// chat holds the fields of a chat completion request that the router uses.
type chat struct {
	model, messages string
	maxTokens       int
	stream          bool
}

// parseChat reads a chat from a valid JSON body in one pass.
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

// setPromptFields sets the prompt's tokens and prefix hashes, the token limit and
// the stream flag.
func (c chat) setPromptFields(f *kingcuphook.RequestFields) {
	prompt := []byte(c.messages)
	f.PromptTokens = hasher.Tokens(len(prompt))
	f.Prefix = hasher.Append(make([]uint64, 0, len(prompt)/hasher.BlockBytes), c.model, prompt)
	f.Parts = messageParts(c.messages)
	f.MaxTokens = c.maxTokens
	f.Stream = c.stream
}

// messageParts returns a hash of each message of a prompt without the last one, which is the
// request's own.
func messageParts(messages string) []uint64 {
	var parts []uint64
	gjson.Parse(messages).ForEach(func(_, message gjson.Result) bool {
		parts = append(parts, xxhash.Sum64String(message.Raw))
		return len(parts) <= kingcuphook.MaxParts
	})
	return parts[:max(len(parts)-1, 0)]
}

// readBody reads the head and the body, up to MaxBodyBytes, into memory reserved on the account.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, account *rationer.Account) ([]byte, error) {
	if wrapped, ok := w.(*response); ok {
		// MaxBytesReader makes the server's own writer close the connection.
		w = wrapped.ResponseWriter
	}
	if err := account.Grow(rationer.RequestBytes(r)); err != nil {
		return nil, err
	}
	limited := http.MaxBytesReader(w, r.Body, s.Limits.MaxBodyBytes)
	length := r.ContentLength
	if length > s.Limits.MaxBodyBytes {
		length = -1
	}
	return account.ReadAll(limited, length, s.Limits.MaxBodyBytes)
}

func (s *Server) deadline(h callerHeaders, route *kingcuphook.Route) time.Duration {
	bound := s.Limits.Deadline
	if route.Deadline() > 0 {
		bound = route.Deadline()
	}
	if h.deadline > 0 {
		bound = min(bound, h.deadline)
	}
	return bound
}

// poolKind returns the kind of the upstreams of a pool, which all have the same
// kind; engine if there are none.
func poolKind(p *kingcuphook.Pool) kingcuphook.UpstreamKind {
	if p == nil || len(p.Upstreams()) == 0 {
		return kingcuphook.UpstreamKindEngine
	}
	return p.Upstreams()[0].Kind()
}

func readCallerHeaders(r *http.Request) (callerHeaders, error) {
	h := callerHeaders{
		class:        r.Header.Get(HeaderClass),
		organisation: r.Header.Get(HeaderOrganisation),
		key:          r.Header.Get(HeaderIdempotencyKey),
	}
	if len(h.class) > maxNameBytes || len(h.organisation) > maxNameBytes {
		return h, fmt.Errorf("%s and %s are limited to %d bytes", HeaderClass, HeaderOrganisation, maxNameBytes)
	}
	if len(h.key) > maxKeyBytes {
		return h, fmt.Errorf("%s is limited to %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if text := r.Header.Get(HeaderNonIdempotent); text != "" {
		nonIdempotent, err := strconv.ParseBool(text)
		if err != nil {
			return h, fmt.Errorf("%s must be true or false, not %q", HeaderNonIdempotent, text)
		}
		h.nonIdempotent = nonIdempotent
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return h, fmt.Errorf("%s must be a duration such as 5s, not %q", HeaderDeadline, text)
		}
		h.deadline = d
	}
	return h, nil
}
