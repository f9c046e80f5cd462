package attacher

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// addUpstream starts a third upstream and returns its address.
func (w *testPlatform) addUpstream() string {
	w.t.Helper()
	server := httptest.NewServer(&standin.Upstream{Instance: "i-2", Events: 20, EventInterval: 20 * time.Millisecond})
	w.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// linesWith returns the lines of a log that have any of the texts.
func linesWith(log string, texts ...string) string {
	var lines []string
	for line := range strings.Lines(log) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Streams were refused after all routers had ended, though upstreams of their version served: the record of the pool named
// no base, since versions had come together, the fleet had just started, routers had not heard of each other, or fewer than
// half of the upstreams had the version.
func TestStreamsGoOnAfterAllRoutersEnd(t *testing.T) {
	for i, test := range []struct {
		name string
		// before are the versions of the upstreams, meanwhile those of all three after the routers have ended; nil
		// means no change.
		before, meanwhile []string
		strangers, away   bool
		// lives is how long the routers live before the streams begin.
		lives time.Duration
	}{
		{name: "versions-that-came-together", before: []string{"1", "2"}, away: true},
		{name: "just-started", before: []string{"1", "1"}, meanwhile: []string{"1", "2", ""}},
		{name: "just-started-one-in-three", before: []string{"1", "1"}, meanwhile: []string{"1", "2", "2"}},
		{name: "strangers", before: []string{"1", "1"}, meanwhile: []string{"1", "2", "2"}, strangers: true},
		{name: "one-in-three", before: []string{"1", "1"}, meanwhile: []string{"1", "2", "2"}, lives: 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newTestPlatform(t)
			w.registerVersions(test.before...)
			var fleet []*process
			if test.strangers {
				fleet = w.startAll(110+i, 2) // as if all datagrams between them were lost
			} else {
				fleet = w.startFleet(110+i, 2)
			}
			time.Sleep(test.lives)
			streams := w.begin(fleet[0], 4)
			w.storeDown.Store(test.away)
			streams = append(streams, w.begin(fleet[1], 8)...)
			version := make(map[string]string)
			for _, s := range streams {
				version[s.id] = test.before[map[string]int{"i-0": 0, "i-1": 1}[w.upstreamOf(s.id)]]
			}
			serving := test.before
			w.whileDown = func() {
				w.storeDown.Store(false)
				if test.meanwhile == nil {
					return
				}
				serving = test.meanwhile
				w.registerVersions(serving[:2]...)
				if serving[2] != "" {
					w.registerVersion("i-2", w.addUpstream(), serving[2])
				}
			}
			w.restart(110+i, fleet, 0, 1)
			time.Sleep(6 * time.Second) // until a second version is recorded and streams begin there
			for _, s := range streams {
				status, upstream := w.resumeStream(fleet[1], s, s.id)
				if status != http.StatusOK {
					t.Log(linesWith(fleet[1].log.String(), "KCH1702", "KCH1703"))
				}
				w.Equal(status, http.StatusOK)
				w.Equal(serving[map[string]int{"i-0": 0, "i-1": 1, "i-2": 2}[upstream]], version[s.id])
			}
		})
	}
}

// No stream went on, since each router took its read of the store for one from before the search on a clock that had not
// moved on.
func TestReadCountsOnClockThatMovesInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // time stands still
		is := is.New(t)
		s := newPins(&Attacher{})
		s.nextRead = make(chan struct{}) // one is due already
		began := time.Now()
		s.read(standin.Pool)
		is.Equal(time.Now(), began)
		is.True(later(time.Now(), s.wantedAt).After(began))
		is.Equal(later(began.Add(time.Second), s.wantedAt), began.Add(time.Second))
	})
}

// Streams were refused although the store had what tells their version, since its replies took a third of a second.
func TestStreamsGoOnWithSlowStore(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t)
	w.registerVersions("1", "1")
	fleet := w.startFleet(115, 2)
	streams := w.begin(fleet[0], 4)
	w.whileDown = func() {
		w.registerVersion("i-1", w.addresses[1], "2")
		w.storeDelay.Store(int64(350 * time.Millisecond))
	}
	w.restart(115, fleet, 0, 1)
	time.Sleep(6 * time.Second) // until the second version is recorded
	for _, s := range streams {
		status, upstream := w.resumeStream(fleet[1], s, s.id)
		w.Equal(status, http.StatusOK)
		w.Equal(upstream, "i-0")
	}
}
