package subscriber

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

// transfer imports into one router what another exports for it.
func transfer(t interface{ Fatal(...any) }, now time.Time, from, to *Subscriber) {
	payload, err := from.Export(now, to.Revision())
	if errors.Is(err, kingcuphook.ErrNotFound) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Import(now, payload); err != nil {
		t.Fatal(err)
	}
}

func TestExportHoldsOnlyChanges(t *testing.T) {
	is := is.New(t)
	s, peer := newSubscriber(), newSubscriber()
	_, err := s.ApplyDeclaration(put("op/config", "1", 1))
	is.NoErr(err)
	for i := range 100 {
		is.NoErr(s.ApplyChanges(start, []kingcuphook.Entry{put(fmt.Sprintf("servers/%d", i), "a@1", int64(2+i))}, int64(2+i)))
	}
	transfer(t, start, s, peer)
	is.NoErr(s.ApplyChanges(start, []kingcuphook.Entry{put("servers/x", "x@1", 200), deletion("servers/3", 201)}, 201))
	is.True(s.HasChanges(peer.Revision()))
	payload, err := s.Export(start, peer.Revision())
	is.NoErr(err)
	is.True(len(payload) < 300) // two changes, and not 100 registrations
	_, err = peer.Import(start, payload)
	is.NoErr(err)
	is.Equal(addresses(peer), addresses(s))
	is.True(!s.HasChanges(peer.Revision()))
}

func TestImportDoesNotRestoreRemovedKey(t *testing.T) {
	is := is.New(t)
	s, late := newSubscriber(), newSubscriber()
	for _, x := range []*Subscriber{s, late} {
		_, err := x.ApplyDeclaration(put("op/config", "1", 1))
		is.NoErr(err)
		is.NoErr(x.ApplyChanges(start, []kingcuphook.Entry{put("servers/a", "a@1", 2), put("servers/b", "b@1", 3)}, 3))
	}
	is.NoErr(late.ApplyChanges(start, []kingcuphook.Entry{put("servers/c", "c@1", 4)}, 4))
	payload, err := late.Export(start, 1) // a change after 1, as of 4
	is.NoErr(err)
	is.NoErr(s.ApplyChanges(start, []kingcuphook.Entry{deletion("servers/a", 5)}, 3)) // a removal that arrives before the changes up to its revision are complete
	_, err = s.Import(start, payload)
	is.NoErr(err)
	is.Equal(addresses(s), "b c")
}

func TestImportAdoptsHoldOfPeer(t *testing.T) {
	is := is.New(t)
	s, peer := newSubscriber(), newSubscriber()
	_, err := s.ApplyDeclaration(put("op/config", "1", 1))
	is.NoErr(err)
	is.NoErr(s.ApplyChanges(start, []kingcuphook.Entry{put("servers/a", "a@1", 2)}, 2))
	transfer(t, start, s, peer)
	s.SetUnavailable()
	s.SetAvailable(start)
	is.NoErr(s.ApplySnapshot(start, nil, 9)) // expired during the outage of the store
	transfer(t, start.Add(time.Second), s, peer)
	is.Equal(addresses(peer), "a")
	end := start.Add(expiredHold)
	is.Equal(peer.Expire(end.Add(-50*time.Millisecond)), 0)
	is.Equal(peer.Expire(end), 1)
}

// TestChangesThroughPeersEndAtTheStore makes random changes to the store, which routers
// read from it or import from each other. In the end all must have what the store has.
func TestChangesThroughPeersEndAtTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := map[string]kingcuphook.Entry{}
		var history []kingcuphook.Entry
		routers := []*Subscriber{newSubscriber(), newSubscriber(), newSubscriber()}
		revision := int64(1)
		declaration := put("op/config", "1", 1)
		for _, s := range routers {
			if _, err := s.ApplyDeclaration(declaration); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint("servers/", rapid.IntRange(0, 4).Draw(t, "key"))
			s := routers[rapid.IntRange(0, 2).Draw(t, "router")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				revision++
				stored[key] = put(key, fmt.Sprintf("v%d@1", revision), revision)
				history = append(history, stored[key])
			case 1:
				revision++
				delete(stored, key)
				history = append(history, deletion(key, revision))
			case 2:
				follow(t, s, history, revision)
			case 3:
				snapshot(t, s, stored, revision)
			default:
				transfer(t, start, s, routers[rapid.IntRange(0, 2).Draw(t, "to")])
			}
		}
		snapshot(t, routers[0], stored, revision)
		transfer(t, start, routers[0], routers[1])
		transfer(t, start, routers[1], routers[2])
		for i, s := range routers {
			if got, want := addresses(s), addresses(routers[0]); got != want {
				t.Fatalf("router %d has %q, want %q as in the store", i, got, want)
			}
		}
		if got := len(routers[2].upstreams); got != len(stored) {
			t.Fatalf("got %d upstreams, want one for each of %d registrations", got, len(stored))
		}
	})
}

// follow applies to a router the changes after its revision, as a watch does.
func follow(t *rapid.T, s *Subscriber, history []kingcuphook.Entry, revision int64) {
	var entries []kingcuphook.Entry
	for _, e := range history {
		if e.Revision() > s.Revision() {
			entries = append(entries, e)
		}
	}
	if err := s.ApplyChanges(start, entries, revision); err != nil {
		t.Fatal(err)
	}
}

func snapshot(t *rapid.T, s *Subscriber, stored map[string]kingcuphook.Entry, revision int64) {
	entries := make([]kingcuphook.Entry, 0, len(stored))
	for _, e := range stored {
		entries = append(entries, e)
	}
	if err := s.ApplySnapshot(start, entries, revision); err != nil {
		t.Fatal(err)
	}
}
