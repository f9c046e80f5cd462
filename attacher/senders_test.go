package attacher

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forwarder"
	"github.com/kingcuphook/kingcuphook/platform"
)

// A stream went on at an upstream that was back with another version, which its router had not learned yet.
func TestSenderIsVerifiedByItsRegistration(t *testing.T) {
	w := newTestPlatform(t)
	w.registerVersion("i-0", w.addresses[0], "2")
	a := &Attacher{Settings: &platform.Settings{}, store: &platform.Store{Address: w.server.Listener.Addr().String()}}
	a.store.Connect()
	a.pins = newPins(a)
	now := time.Now()
	for name, test := range map[string]struct {
		instance, version             string
		storeDown, isLost, isVerified bool
		want                          error
		wantBegins                    error
	}{
		"registered version":          {instance: "i-0", version: "2"},
		"other version":               {instance: "i-0", version: "1", want: kingcuphook.ErrMisdirected, wantBegins: kingcuphook.ErrMisdirected},
		"store away":                  {instance: "i-0", version: "1", storeDown: true},
		"store away after a loss":     {instance: "i-0", version: "1", storeDown: true, isLost: true, want: kingcuphook.ErrOutcomeUnknown},
		"store away, verified before": {instance: "i-0", version: "2", storeDown: true, isLost: true, isVerified: true},
		"not registered after a loss": {instance: "i-9", version: "1", isLost: true, want: kingcuphook.ErrOutcomeUnknown},
		"other address after a loss":  {instance: "i-1", version: "", isLost: true, want: kingcuphook.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			w.storeDown.Store(test.storeDown)
			for _, begins := range []bool{false, true} {
				u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: w.addresses[0], Instance: test.instance, SoftwareVersion: test.version})
				s := forwarder.Sender{Upstream: u, OpenedAt: now, Begins: begins}
				if test.isLost {
					s.LostAt = now
				}
				checks := newSenders(a)
				if test.isVerified {
					checks.check(u.Program()).verifiedAt = now.Add(time.Millisecond)
				}
				err, want := checks.verify(t.Context(), s), test.want
				if begins {
					want = test.wantBegins
				}
				if !errors.Is(err, want) || errors.Is(err, kingcuphook.ErrUnavailable) { // the call has run
					t.Errorf("begins %v: got %v, want %v", begins, err, want)
				}
			}
		})
	}
}

// Streams at one upstream waited for one another's reads of its registration while the store was silent.
func TestStreamsShareReadsOfSilentStore(t *testing.T) {
	const streams = 20
	is := is.New(t)
	store, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
	is.NoErr(err)
	defer func() { _ = store.Close() }()
	a := &Attacher{Settings: &platform.Settings{}, store: &platform.Store{Address: store.Addr().String()}}
	a.store.Connect()
	a.pins = newPins(a)
	checks := newSenders(a)
	u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: "127.0.0.1:1", Instance: "i-0", SoftwareVersion: "1"})
	began := time.Now()
	var g errgroup.Group
	for range streams {
		g.Go(func() error {
			return checks.verify(t.Context(), forwarder.Sender{Upstream: u, OpenedAt: time.Now(), LostAt: began, Begins: true})
		})
	}
	is.NoErr(g.Wait())
	is.True(time.Since(began) < streams/2*senderTimeout)
	is.True(checks.reads.Load() < streams/2)
}
