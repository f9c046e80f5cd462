package attacher

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// silenceSeeds is the number of seeds of TestSilenceAcrossChangeCutsNoCall, each of which sends
// silentCalls counted calls for each change.
var silenceSeeds = flag.Int("silence-seeds", 1, "number of seeds of silences across changes; 10 send 2,100 calls")

const (
	// Two upstreams have silentSlots places each, of which calls that last longer than the silence
	// take silentBusy, and silentCalls counted ones nearly all of the rest.
	silentSlots, silentBusy, silentCalls = 16, 14, 15
	// silentPrefill is the time before each answer begins.
	silentPrefill = 150 * time.Millisecond
	// silentLead is from the first counted call to the silence, minSilentTime and maxSilentTime
	// bound its length, and maxSilentWait is the time from its start to the change.
	silentLead                   = 600 * time.Millisecond
	minSilentTime, maxSilentTime = 600 * time.Millisecond, 2500 * time.Millisecond
	maxSilentWait                = 300 * time.Millisecond
	// silentDeadline is the deadline of calls that outlasts every silence.
	silentDeadline = 8 * time.Second
	// shortTimeout is the time-out of routes once it is shortened, and the deadline of the calls
	// that are sent afterwards.
	shortTimeout = 400 * time.Millisecond
	// longBody is the length of long bodies.
	longBody = 300 << 10
)

// silenceMode is which answers fall silent together.
type silenceMode string

const (
	// silenceOfAnswers are silences of single answers at upstreams that go on with others.
	silenceOfAnswers silenceMode = "answers"
	// silenceOfUpstream is a silence of one upstream, silenceOfPool one of all upstreams.
	silenceOfUpstream silenceMode = "upstream"
	silenceOfPool     silenceMode = "pool"
)

var silenceModes = []silenceMode{silenceOfAnswers, silenceOfUpstream, silenceOfPool}

// Calls must end neither by a silence of a sound upstream nor by a change that arrives within it.
func TestSilenceAcrossChangeCutsNoCall(t *testing.T) {
	for seed := range *silenceSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for i, test := range silentChanges {
				t.Run(test.name, func(t *testing.T) {
					t.Parallel()
					r := rand.New(rand.NewPCG(uint64(seed), uint64(i)))
					s := newSilentTrial(t, 180+i, r, silenceModes[(seed+i)%len(silenceModes)])
					s.run(test.change)
					s.check()
				})
			}
		})
	}
}

// silentChanges are the changes that arrive within a silence.
var silentChanges = []struct {
	name   string
	change func(s *silentTrial)
}{
	{"none", func(*silentTrial) {}},
	{"time-out shortened", func(s *silentTrial) {
		s.declareAs(standin.Declaration{Keys: s.keys, Timeout: shortTimeout})
	}},
	{"idle time-out shortened", func(s *silentTrial) {
		s.declareAs(standin.Declaration{Keys: s.keys, IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond})
	}},
	{"routes dropped", func(s *silentTrial) {
		s.declareRaw(`{"version":%d,"routes":[],"services":[{"name":"models"}],"tenants":[]}`)
	}},
	{"moved to another pool", func(s *silentTrial) {
		shares := make(map[standin.Kind]float64)
		for _, k := range standin.Kinds() {
			shares[k] = 1
		}
		s.declareAs(standin.Declaration{Keys: s.keys, Shares: shares})
	}},
	{"weights 0", func(s *silentTrial) {
		value, err := standin.EncodeDeclaration(s.version+3, s.keys...)
		s.NoErr(err)
		const none = `"backends":[{"service":"models","weight":0},{"service":"others","weight":0}]`
		s.version += 3
		s.put(platform.DeclarationKey, bytes.ReplaceAll(value, []byte(`"service":"models"`), []byte(none)), nil)
	}},
	{"organisation removed", func(s *silentTrial) {
		value, err := standin.EncodeDeclaration(s.version+3, "other")
		s.version += 3
		s.put(platform.DeclarationKey, bytes.Replace(value, []byte(`"name":"org"`), []byte(`"name":"new"`), 1), err)
	}},
	{"key removed", func(s *silentTrial) { s.keys = []string{"other"}; s.declare() }},
	{"limits of requests lowered", func(s *silentTrial) {
		s.declareAs(standin.Declaration{Keys: s.keys, MaxBodyBytes: 4, MaxHeaderBytes: 64})
	}},
	{"rate limit lowered", func(s *silentTrial) {
		for _, u := range s.upstreams {
			u.SetRateLimit("0.1")
		}
	}},
	{"upstreams leave", func(s *silentTrial) { s.registerSilent(true) }},
	{"upstreams removed", func(s *silentTrial) { s.removeUpstreams() }},
	{"settings reloaded", func(s *silentTrial) {
		s.grace = time.Second
		for i, p := range s.routers {
			p.reload(s.settings(loopback(fmt.Sprintf("%d.%d", s.network, i+1)), s.server.Listener.Addr().String()))
		}
	}},
	{"everything at once", func(s *silentTrial) {
		s.removeUpstreams()
		s.declareRaw(`{"version":%d,"routes":[],"services":[],"tenants":[]}`)
	}},
}

// silentTrial sends calls that cross a silence of their upstreams and a change.
type silentTrial struct {
	*testPlatform
	network int
	random  *rand.Rand
	mode    silenceMode
	routers []*process
	// from and until bound the silence of upstreams.
	from, until time.Time
	// changed is when the change was made.
	changed time.Time
	pending sync.WaitGroup

	mu sync.Mutex
	// plans are the silences of single answers, by the ID of their call.
	plans map[string]silence
	// crossing are the IDs of the counted calls whose answers were silent when the change was made.
	crossing map[string]bool
	calls    []*silentCall
}

// silence is the time in which an answer stops. If half is set, it stops within a write.
type silence struct {
	from, until time.Time
	half        bool
}

// silentPhase is when a call is sent.
type silentPhase string

const (
	// silentPhaseBusy calls outlast the silence, and silentPhaseCounted ones cross it.
	silentPhaseBusy    silentPhase = "busy"
	silentPhaseCounted silentPhase = "counted"
	// silentPhaseHalf calls are half sent when the change is made, silentPhaseLate ones are sent
	// afterwards.
	silentPhaseHalf silentPhase = "half"
	silentPhaseLate silentPhase = "late"
)

// silentCall is a call and its result.
type silentCall struct {
	standin.Call
	phase  silentPhase
	status int
	body   string
	err    error
	took   time.Duration
}

func newSilentTrial(t *testing.T, network int, r *rand.Rand, mode silenceMode) *silentTrial {
	t.Helper()
	s := &silentTrial{testPlatform: newTestPlatform(t), network: network, random: r, mode: mode, plans: make(map[string]silence), crossing: make(map[string]bool)}
	s.removeUpstreams()
	s.upstreams, s.addresses = nil, nil
	for i := range 2 {
		u := &standin.Upstream{Instance: fmt.Sprintf("s-%d", i), Events: 20, EventInterval: 40 * time.Millisecond}
		u.Limit(silentSlots, 2, silentPrefill)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			u.ServeHTTP(&silentWriter{ResponseWriter: w, trial: s, id: standin.CallID(r.Header), first: u == s.upstreams[0]}, r)
		}))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		s.upstreams, s.addresses = append(s.upstreams, u), append(s.addresses, server.Listener.Addr().String())
	}
	s.registerSilent(false)
	s.routers = s.startFleet(network, 2)
	return s
}

func (s *silentTrial) registerSilent(leaving bool) {
	for i, u := range s.upstreams {
		value, err := standin.Registration{
			Address: s.addresses[i], Slots: silentSlots, Leaving: leaving, Born: time.Unix(1_700_000_000, 0), Sequence: s.seq.Add(1),
		}.Encode()
		s.put(platform.RegistrationPrefix+u.Instance, value, err)
	}
}

func (s *silentTrial) removeUpstreams() {
	for _, u := range s.upstreams {
		s.NoErr(s.store.Delete(s.t.Context(), platform.RegistrationPrefix+u.Instance, kingcuphook.RevisionAny))
	}
}

// declareAs writes a declaration with the next version.
func (s *silentTrial) declareAs(d standin.Declaration) {
	s.version += 3
	d.Version = s.version
	value, err := d.Encode()
	s.put(platform.DeclarationKey, value, err)
}

// declareRaw writes a declaration with the next version, which the format gets.
func (s *silentTrial) declareRaw(format string) {
	s.version += 3
	s.put(platform.DeclarationKey, fmt.Appendf(nil, format, s.version), nil)
}

// between returns a random duration.
func (s *silentTrial) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// run sends the calls, makes the change within the silence and waits for all results.
func (s *silentTrial) run(change func(s *silentTrial)) {
	for range silentBusy {
		s.send(0, silentPhaseBusy, standin.Call{Kind: standin.KindStream, Interval: 180 * time.Millisecond, Deadline: silentDeadline}, 0)
	}
	time.Sleep(silentPrefill)
	now := time.Now()
	s.mu.Lock()
	s.from = now.Add(silentLead)
	s.until = s.from.Add(s.between(minSilentTime, maxSilentTime))
	s.mu.Unlock()
	for i := range silentCalls {
		s.sendCounted(i)
	}
	release := make(chan struct{})
	for i := range 2 {
		s.sendHalf(i, release)
	}
	time.Sleep(time.Until(s.from.Add(s.between(0, maxSilentWait))))
	s.mu.Lock()
	s.changed = time.Now()
	s.mu.Unlock()
	change(s)
	time.Sleep(200 * time.Millisecond) // until the routers have the change
	close(release)
	for i := range len(silentKinds) {
		kind, size := s.kind(i)
		s.send(0, silentPhaseLate, standin.Call{Kind: kind, Deadline: shortTimeout}, size)
	}
	s.pending.Wait()
}

// silentKinds are the kinds of calls. Another fifth of them has long bodies.
var silentKinds = append(standin.Kinds(), standin.KindResumableStream, standin.KindNonIdempotent)

// kind returns the kind of the i-th call and the length of its body.
func (s *silentTrial) kind(i int) (standin.Kind, int) {
	n := i % len(silentKinds)
	if n < len(standin.Kinds()) {
		return silentKinds[n], len("question")
	}
	return silentKinds[n], longBody
}

// sendCounted sends the i-th counted call such that its answer is incomplete when the silence
// begins. The deadline of some is within the silence.
func (s *silentTrial) sendCounted(i int) {
	kind, size := s.kind(i)
	wait := s.between(silentLead-silentPrefill/2, silentLead)
	if kind == standin.KindStream || kind == standin.KindResumableStream {
		wait = s.between(0, silentLead)
	}
	c := standin.Call{Kind: kind, Deadline: silentDeadline}
	if s.random.IntN(6) == 0 {
		c.Deadline = s.between(silentLead, silentLead+maxSilentTime).Truncate(time.Millisecond)
	}
	s.send(wait, silentPhaseCounted, c, size)
}

// sendHalf sends a call, the second half of its body when release is closed.
func (s *silentTrial) sendHalf(i int, release <-chan struct{}) {
	body, sender := io.Pipe()
	kind := []standin.Kind{standin.KindNonIdempotent, standin.KindResumableStream}[i%2]
	go func() {
		_, _ = io.CopyN(sender, zeros{}, longBody/2)
		<-release
		_, _ = io.CopyN(sender, zeros{}, longBody/2)
		_ = sender.Close()
	}()
	s.send(0, silentPhaseHalf, standin.Call{Kind: kind, Deadline: silentDeadline, Body: body}, 0)
}

// zeros reads as zeros without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// send sends a call after the wait and records its result. Size is the length of its body,
// unless it has one.
func (s *silentTrial) send(wait time.Duration, phase silentPhase, c standin.Call, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := &silentCall{Call: c, phase: phase}
	one.ID = fmt.Sprintf("%016x", s.random.Uint64())
	one.Key = "secret"
	if one.Body == nil {
		one.Body = strings.NewReader(strings.Repeat("q", size))
	}
	router := s.routers[len(s.calls)%len(s.routers)]
	s.calls = append(s.calls, one)
	if phase == silentPhaseCounted && s.mode == silenceOfAnswers {
		begin := s.from.Add(s.between(-maxSilentWait/2, 0))
		s.plans[one.ID] = silence{from: begin, until: begin.Add(s.between(minSilentTime, maxSilentTime)), half: s.random.IntN(2) == 0}
	}
	s.pending.Go(func() {
		time.Sleep(wait)
		begun := time.Now()
		one.status, one.body, one.err = one.send(s, router.front)
		one.took = time.Since(begun)
	})
}

// send sends a call on a connection of its own and reads the answer.
func (c *silentCall) send(s *silentTrial, front string) (int, string, error) {
	t := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 1 << 16}
	return roundTrip(s.t.Context(), t, c.Call, front)
}

// isWhole reports whether the call got its whole answer.
func (c *silentCall) isWhole() bool {
	if c.err != nil || c.status != http.StatusOK {
		return false
	}
	if c.Kind == standin.KindStream || c.Kind == standin.KindResumableStream {
		return c.body == completeStream()
	}
	return strings.HasPrefix(c.body, "answer of ") && strings.HasSuffix(c.body, " to "+c.ID)
}

// isRefused reports whether a call that had not been accepted when the change was made was
// refused as not run.
func (c *silentCall) isRefused() bool {
	if c.err != nil || c.phase == silentPhaseBusy || c.phase == silentPhaseCounted {
		return false
	}
	switch c.status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isCut reports whether the call ended before its upstream and its deadline did. The time-out that
// was in force when it was accepted is later.
func (c *silentCall) isCut() bool { return !c.isWhole() && !c.isRefused() && c.took < c.Deadline }

// check fails the test if a call was cut, if one that may not be repeated ran twice, or if no
// counted answer was silent when the change was made, although all upstreams or answers were.
func (s *silentTrial) check() {
	counts := make(map[string]int)
	s.markLate()
	for _, c := range s.calls {
		result := "late"
		switch {
		case c.isWhole():
			result = "whole"
		case c.isRefused():
			result = "refused"
		case c.isCut():
			result = "cut"
			s.t.Errorf("%v %v %v: status %d, %d bytes after %v of %v: %v", c.phase, c.Kind, c.ID, c.status, len(c.body), c.took, c.Deadline, c.err)
			s.logCall(c.ID)
		}
		counts[string(c.phase)+" "+result]++
	}
	s.t.Logf("silence of %v, %v, %d crossing: %v", s.mode, s.until.Sub(s.from), len(s.crossing), counts)
	// The routers may use the other upstream for all counted calls.
	if len(s.crossing) == 0 && s.mode != silenceOfUpstream {
		s.t.Error("no answer was silent when the change was made")
	}
	s.checkRuns()
}

// markLate makes counted calls that a slow machine sent after the change late ones.
func (s *silentTrial) markLate() {
	ran := make(map[string]bool)
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			ran[r.ID] = ran[r.ID] || r.At.Before(s.changed)
		}
	}
	for _, c := range s.calls {
		if c.phase == silentPhaseCounted && !ran[c.ID] {
			c.phase, c.Deadline = silentPhaseLate, min(c.Deadline, shortTimeout)
		}
	}
}

// logCall logs what the routers logged of a call.
func (s *silentTrial) logCall(id string) {
	for i, p := range s.routers {
		for line := range strings.Lines(p.log.String()) {
			if strings.Contains(line, id) {
				s.t.Logf("router %d: %s", i, line)
			}
		}
	}
}

// checkRuns fails the test if a call that may not be repeated ran twice.
func (s *silentTrial) checkRuns() {
	runs := make(map[string]int)
	for _, u := range s.upstreams {
		for _, r := range u.Runs() {
			runs[r.ID]++
		}
	}
	for _, c := range s.calls {
		if n := runs[c.ID]; n > 1 && (c.Kind == standin.KindNonIdempotent || c.Kind == standin.KindStream) {
			s.t.Errorf("%v %v ran %d times", c.Kind, c.ID, n)
		}
	}
}

// silentWriter writes an answer of an upstream, and stops for the time of its silence.
type silentWriter struct {
	http.ResponseWriter
	trial *silentTrial
	id    string
	// first is set at the first upstream.
	first bool
	// wasSilent is set once the silence has ended.
	wasSilent bool
}

// Unwrap returns the writer that w wraps, for http.ResponseController.
func (w *silentWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *silentWriter) Write(b []byte) (int, error) {
	p, ok := w.trial.silenceOf(w)
	if !ok {
		return w.ResponseWriter.Write(b)
	}
	w.wasSilent = true
	n := 0
	if p.half {
		n = len(b) / 2
		_, _ = w.ResponseWriter.Write(b[:n])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
	time.Sleep(time.Until(p.until))
	w.trial.countCrossing(w.id, p)
	_, err := w.ResponseWriter.Write(b[n:])
	return len(b), err
}

// silenceOf returns the silence that an answer is in, if it is in one.
func (s *silentTrial) silenceOf(w *silentWriter) (silence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.plans[w.id]
	if s.mode == silenceOfPool || s.mode == silenceOfUpstream && w.first {
		p, ok = silence{from: s.from, until: s.until}, !s.from.IsZero()
	}
	now := time.Now()
	return p, ok && !w.wasSilent && !now.Before(p.from) && now.Before(p.until)
}

// countCrossing counts the silence of a counted answer if the change was made within it.
func (s *silentTrial) countCrossing(id string, p silence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if c.ID == id && c.phase == silentPhaseCounted && s.changed.After(p.from) && s.changed.Before(p.until) {
			s.crossing[id] = true
		}
	}
}
