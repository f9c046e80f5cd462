package receiver

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// pins knows the origin of the streams in it, by the attempt that began them.
type pins map[string]kingcuphook.Origin

func (pins) Begun(context.Context, *kingcuphook.Request, string) error { return nil }

func (p pins) Find(_ context.Context, organisation, attempt, pool string) (kingcuphook.Origin, error) {
	if origin, ok := p[organisation+" "+attempt]; ok {
		if origin.Pool == "" {
			origin.Pool = pool
		}
		return origin, nil
	}
	return kingcuphook.Origin{}, fmt.Errorf("pins: %q: %w", attempt, kingcuphook.ErrVersionUnknown)
}

// newResumptionHarness serves a Receiver with a resumable stream whose route is split over
// the pools a, b and c. Its dispatcher answers with the pool and version of the call.
func newResumptionHarness(t *testing.T) *harness {
	r := newHarness(t, func(_ context.Context, c *kingcuphook.Call, w kingcuphook.FrameWriter) (kingcuphook.Outcome, error) {
		version, ok := c.Request.OnlyVersion()
		if ok && version == "left" {
			return kingcuphook.Outcome{}, &kingcuphook.RequestError{
				Code: kingcuphook.CodeVersionGone, Ran: kingcuphook.RunStateNotRun, Err: kingcuphook.ErrVersionGone,
			}
		}
		if err := w.(kingcuphook.HeadWriter).WriteHead(kingcuphook.NewOpaqueAnswer(http.StatusOK, http.Header{}, nil)); err != nil {
			return kingcuphook.Outcome{}, err
		}
		return kingcuphook.Outcome{}, w.WriteData(fmt.Sprint(c.Request.Pool(), " ", version, " ", ok))
	})
	route := func(f kingcuphook.RouteFields) *kingcuphook.Route {
		f.Host, f.Pool, f.MaxAttempts, f.Path = "a.example", "a", 2, "/"+f.Name+"/"
		f.Split = kingcuphook.NewSplit([]kingcuphook.PoolShare{{Pool: "a", Weight: 5}, {Pool: "b", Weight: 5}, {Pool: "c"}})
		return kingcuphook.NewRoute(f)
	}
	current := kingcuphook.NewTables(1, []*kingcuphook.Route{
		route(kingcuphook.RouteFields{Name: "stream", Stream: true, Resumable: true}),
		route(kingcuphook.RouteFields{Name: "once", Stream: true, NonIdempotent: true}),
		route(kingcuphook.RouteFields{Name: "plain", Resumable: true}),
	}, nil).WithOrganisations(map[string]kingcuphook.Organisation{"secret": {Name: "org"}})
	r.Directory = func() Directory { return Directory{Tables: current} }
	r.Pins = pins{
		"org first":  {Pool: "b", Version: "2"},
		"org none":   {Pool: "b"},
		"org ":       {Version: "only"},
		"org other":  {Pool: "elsewhere", Version: "2"},
		"org off":    {Pool: "c", Version: "2"},
		"org left":   {Pool: "a", Version: "left"},
		"rival mine": {Pool: "a", Version: "1"},
	}
	return r
}

// A call that resumed a stream ran at any software version, also when nothing was known of
// the version that began the stream.
func TestStreamIsResumedAtTheVersionThatBeganIt(t *testing.T) {
	long := strings.Repeat("x", kingcuphook.MaxAttemptBytes+1)
	for name, test := range map[string]struct {
		path   string
		header []string
		status int
		body   string
	}{
		"known":                     {"/stream/", []string{"Resumes", "first", "Last-Event-Id", "4"}, 200, "b 2 true"},
		"before any event":          {"/stream/", []string{"Resumes", "first"}, 200, "b 2 true"},
		"begun without a version":   {"/stream/", []string{"Resumes", "none", "Last-Event-Id", "4"}, 200, "b  true"},
		"attempt not named":         {"/stream/", []string{"Last-Event-Id", "4"}, 200, "b only true"},
		"new stream":                {"/stream/", nil, 200, "b  false"},
		"unknown":                   {"/stream/", []string{"Resumes", "never", "Last-Event-Id", "4"}, 503, "stream-version-unknown\n"},
		"attempt of another caller": {"/stream/", []string{"Resumes", "mine", "Last-Event-Id", "4"}, 503, "stream-version-unknown\n"},
		"long name":                 {"/stream/", []string{"Resumes", long, "Last-Event-Id", "4"}, 503, "stream-version-unknown\n"},
		"pool of another route":     {"/stream/", []string{"Resumes", "other", "Last-Event-Id", "4"}, 503, "stream-version-gone\n"},
		"pool without weight":       {"/stream/", []string{"Resumes", "off", "Last-Event-Id", "4"}, 503, "stream-version-gone\n"},
		"version left":              {"/stream/", []string{"Resumes", "left", "Last-Event-Id", "4"}, 503, "stream-version-gone\n"},
		"not resumable":             {"/once/", []string{"Resumes", "never", "Last-Event-Id", "4"}, 200, "b  false"},
		"no stream":                 {"/plain/", []string{"Resumes", "never", "Last-Event-Id", "4"}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newResumptionHarness(t)
			began := time.Now()
			resp, text, err := r.call(test.path, "", append(test.header, "X-Id", "id-3")...)
			r.NoErr(err)
			r.Equal(resp.StatusCode, test.status)
			if test.body != "" {
				r.Equal(text, test.body)
			}
			r.Equal(resp.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			r.True(time.Since(began) < time.Second) // no wait
		})
	}
}

// A call that resumed a stream of a split route drew a pool of its own.
func TestStreamIsResumedInThePoolOfItsFirstAttempt(t *testing.T) {
	r := newResumptionHarness(t)
	known := r.Pins.(pins)
	drawn := make(map[string]int)
	for i := range 20 {
		first := fmt.Sprint("first-", i)
		_, begun, err := r.call("/stream/", "", "X-Id", first)
		r.NoErr(err)
		known["org "+first] = kingcuphook.Origin{}
		_, resumed, err := r.call("/stream/", "", "X-Id", fmt.Sprint("next-", i), "Resumes", first, "Last-Event-Id", "4")
		r.NoErr(err)
		r.Equal(resumed[:1], begun[:1])
		drawn[begun[:1]]++
	}
	r.Equal(len(drawn), 2)
}

// slowPins takes two seconds to find an origin.
type slowPins struct{ pins }

func (slowPins) Find(ctx context.Context, _, _, _ string) (kingcuphook.Origin, error) {
	pauser.Pause(ctx, 2*time.Second)
	return kingcuphook.Origin{}, kingcuphook.ErrVersionUnknown
}

// A call that waited for the origin of its stream at the end of a planned stop got no answer.
func TestEndedCallThatWaitsForOriginIsRefused(t *testing.T) {
	r := newResumptionHarness(t)
	r.Pins = slowPins{}
	time.AfterFunc(100*time.Millisecond, r.EndCalls)
	began := time.Now()
	resp, _, err := r.call("/stream/", "", "Resumes", "first", "Last-Event-Id", "4")
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.True(time.Since(began) < time.Second)
}
