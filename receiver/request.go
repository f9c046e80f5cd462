package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forwarder"
)

func (s *Receiver) newRequest(ctx context.Context, r *http.Request, l kingcuphook.CallLabels, route *kingcuphook.Route, o kingcuphook.Organisation, body []byte, arrived, deadline time.Time) (*kingcuphook.Request, error) {
	f := s.newFields(l, route, o, arrived, deadline)
	f.Bytes, f.Fingerprint = len(body), fingerprint(r, o.Name, body)
	if f.ID == "" {
		f.ID = xid.New().String()
	}
	if !s.resumesStream(l, route) {
		f.Pool = poolFor(route, f.ID)
		return kingcuphook.NewRequest(f), nil
	}
	origin, err := s.findOrigin(ctx, l, o.Name, route)
	if err != nil {
		return nil, err
	}
	f.Pool, f.OnlyVersion = origin.Pool, &origin.Version
	return kingcuphook.NewRequest(f), nil
}

// newFields returns the fields of a request that don't depend on its body.
func (s *Receiver) newFields(l kingcuphook.CallLabels, route *kingcuphook.Route, o kingcuphook.Organisation, arrived, deadline time.Time) kingcuphook.RequestFields {
	tier, urgency := kingcuphook.Rank(o, route)
	return kingcuphook.RequestFields{
		ID:           l.ID,
		Class:        route.Name(),
		Organisation: o.Name,
		// Every upstream of a pool serves all models. What differs between the requests
		// that are queued for a pool is their route.
		Model:         route.Name(),
		Region:        s.Region,
		DataCentre:    s.DataCentre,
		Tier:          tier,
		Urgency:       urgency,
		Arrived:       arrived,
		Target:        route.Target(),
		TokenTarget:   route.TokenTarget(),
		Deadline:      deadline,
		NonIdempotent: route.NonIdempotent(),
		PromptTokens:  l.PromptTokens,
		MaxTokens:     l.MaxTokens,
		LengthHint:    l.LengthHint,
		Prefix:        l.Prefix,
		PrefixTokens:  l.PrefixTokens,
		Parts:         l.Parts,
		Stream:        route.Stream(),
	}
}

// poolFor returns the pool of the call with the ID, which is the same at every router.
func poolFor(route *kingcuphook.Route, id string) string {
	return route.PoolFor(float64(xxhash.Sum64String(id)>>11) / (1 << 53))
}

// fingerprint returns a hash of a call that is the same when the call is repeated.
func fingerprint(r *http.Request, organisation string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{organisation, r.Method, r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

func (s *Receiver) newCall(r *http.Request, route *kingcuphook.Route, request *kingcuphook.Request, body []byte) *kingcuphook.Call {
	header := s.Codec.Forwarded(r.Header)
	forwarder.RemoveHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	o := &kingcuphook.Opaque{
		Host:        r.Host,
		Header:      header,
		MaxAttempts: route.MaxAttempts(),
		Resumable:   route.Resumable(),
	}
	o.FirstByte, o.Silence = silenceLimits(route)
	o.Patience = patience(route)
	kind := kingcuphook.UpstreamKindService
	if route.Stream() {
		kind = kingcuphook.UpstreamKindEngine
	}
	return &kingcuphook.Call{
		Request: request,
		Method:  r.Method,
		Path:    r.RequestURI,
		Body:    body,
		Kind:    kind,
		Opaque:  o,
	}
}

const (
	// firstByteFactor and silenceFactor are how many times the target of its route an
	// upstream may stay silent before a retryable call is sent to another one.
	firstByteFactor = 3
	silenceFactor   = 3
	// minSilence is the lower limit of both times.
	minSilence = 400 * time.Millisecond
	// soundSilence is how long a sound upstream may be silent.
	soundSilence = 2500 * time.Millisecond
	// dropTime is how long after a request has gone on at another upstream the one before may
	// still run it.
	dropTime = 400 * time.Millisecond
	// A caller abandons a stream after a gap of abandonTime, abandonTargets times its target or
	// abandonPauses times the token target, whichever is longest. moveTime is how long before
	// that a stream is moved.
	abandonTime    = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
	moveTime       = 300 * time.Millisecond
	// unlimited is in effect no limit. It applies to calls that can't be retried: only
	// their deadline ends them.
	unlimited = time.Hour
)

// silenceLimits returns how long an upstream may stay silent before the first byte of
// an answer and between two events of a stream.
func silenceLimits(route *kingcuphook.Route) (firstByte, silence time.Duration) {
	if route.NonIdempotent() || route.MaxAttempts() < 2 {
		return unlimited, unlimited
	}
	firstByte = max(firstByteFactor*route.Target(), minSilence)
	silence = max(silenceFactor*route.TokenTarget(), minSilence)
	return firstByte, silence
}

// patience returns how long an upstream that nothing shows to have ended may stay silent before a
// retryable call is sent to another one.
func patience(route *kingcuphook.Route) time.Duration {
	abandoned := max(abandonTime, abandonTargets*route.Target(), abandonPauses*route.TokenTarget())
	return min(soundSilence-dropTime, abandoned-moveTime)
}
