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
)

// follow runs a watcher of everything in s and returns what it told.
func follow(ctx context.Context, s *storer.Store) *[]Event {
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

func TestTellsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		write(t, s, "a")
		events := follow(t.Context(), s)
		synctest.Wait()
		write(t, s, "b")
		is.Equal(len(*events), 2)
		is.Equal((*events)[0].Kind, EventSnapshot)
		is.Equal((*events)[1].Kind, EventChanges)
		is.Equal((*events)[1].Entries[0].Key(), "b")
		is.True((*events)[1].Revision > (*events)[0].Revision)
	})
}

func TestReadsAgainAfterForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		events := follow(t.Context(), s)
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
			is.True(e.Kind != EventLost) // the store was there all the while
		}
	})
}

func TestTellsThatTheStoreIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storer.Store{}
		s.SetFault(storer.Fault{Down: true})
		events := follow(t.Context(), s)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		n := len(*events)
		is.True(n >= 4 && n <= 20) // it tries on, without a storm
		for _, e := range *events {
			is.Equal(e.Kind, EventLost)
			is.True(errors.Is(e.Err, kingcuphook.ErrUnavailable))
		}
		s.SetFault(storer.Fault{})
		time.Sleep(defaultRetryMost)
		synctest.Wait()
		is.Equal((*events)[len(*events)-1].Kind, EventSnapshot)
	})
}

func TestBeginsAfterWhatIsKnown(t *testing.T) {
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
		is.Equal(len(events), 1) // nothing is read that is known
		is.Equal(events[0].Kind, EventChanges)
		is.Equal(events[0].Entries[0].Key(), "b")
	})
}
