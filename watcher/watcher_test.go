package watcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/pauser"
)

// startWatcher runs a watcher of all keys in s and returns its events.
func startWatcher(ctx context.Context, s *storer.Store) *[]Event {
	var events []Event
	w := &Watcher{Store: s, OnEvent: func(e Event) { events = append(events, e) }}
	go w.Run(ctx)
	return &events
}

func write(t *testing.T, s *storer.Store, key string) {
	t.Helper()
	if _, err := s.Put(t.Context(), key, nil, kingcuphook.RevisionAny, 0); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

func TestReportsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		write(t, s, "a")
		events := startWatcher(t.Context(), s)
		synctest.Wait()
		write(t, s, "b")
		is.Equal(len(*events), 2)
		is.Equal((*events)[0].Kind, EventSnapshot)
		is.Equal((*events)[1].Kind, EventChanges)
		is.Equal((*events)[1].Entries[0].Key(), "b")
		is.True((*events)[1].Revision > (*events)[0].Revision)
	})
}

func TestReadsAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		events := startWatcher(t.Context(), s)
		synctest.Wait()
		s.Hook = func(op, _ string) storer.Fault {
			return storer.Fault{Delay: map[bool]time.Duration{true: time.Second}[op == storer.OpWatch]}
		}
		write(t, s, "a")
		write(t, s, "b")
		s.Compact()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		last := (*events)[len(*events)-1]
		is.Equal(last.Kind, EventSnapshot)
		is.Equal(len(last.Entries), 2)
		for _, e := range *events {
			is.True(e.Kind != EventUnavailable) // a compaction does not make the store unavailable
		}
	})
}

func TestReportsUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		s.SetFault(storer.Fault{Down: true})
		events := startWatcher(t.Context(), s)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		n := len(*events)
		is.True(n >= 4 && n <= 20) // it retries, but not too often
		for _, e := range *events {
			is.Equal(e.Kind, EventUnavailable)
			is.True(errors.Is(e.Err, kingcuphook.ErrUnavailable))
		}
		s.SetFault(storer.Fault{})
		time.Sleep(defaultMaxRetryDelay)
		synctest.Wait()
		is.Equal((*events)[len(*events)-1].Kind, EventSnapshot)
	})
}

func TestStartsAfterKnownRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		write(t, s, "a")
		_, known, err := s.ListAt(t.Context(), "")
		is.NoErr(err)
		var events []Event
		w := &Watcher{Store: s, OnEvent: func(e Event) { events = append(events, e) }, After: known}
		go w.Run(t.Context())
		synctest.Wait()
		write(t, s, "b")
		is.Equal(len(events), 1) // known entries are not read again
		is.Equal(events[0].Kind, EventChanges)
		is.Equal(events[0].Entries[0].Key(), "b")
	})
}

// slowStore is a store whose replies to watches arrive late.
type slowStore struct {
	*storer.Store

	late time.Duration
}

// WatchFor implements kingcuphook.WaitWatcher.
func (s slowStore) WatchFor(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kingcuphook.Entry, int64, error) {
	s.WatchWait = wait
	entries, next, err := s.Watch(ctx, prefix, after)
	pauser.Pause(ctx, s.late)
	return entries, next, err
}

// A reply that arrived late was taken for one about the time of its arrival.
func TestLateReplyIsAboutTheTimeBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const wait, late = 2 * time.Second, 5 * time.Second
		s := slowStore{&storer.Store{}, late}
		var events []Event
		began := time.Now()
		w := &Watcher{Store: s, OnEvent: func(e Event) { events = append(events, e) }, WatchWait: func() time.Duration { return wait }}
		go w.Run(t.Context())
		time.Sleep(wait + late)
		synctest.Wait()
		is.Equal(len(events), 2)
		is.Equal(events[1].CurrentAt, began.Add(wait)) // no change until then
		time.Sleep(time.Second)
		write(t, s.Store, "a")
		time.Sleep(late)
		synctest.Wait()
		is.Equal(len(events), 3)
		is.Equal(events[2].CurrentAt, began.Add(wait+late)) // when the call was sent
	})
}
