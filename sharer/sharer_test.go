package sharer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// fleet starts n sharers on a common store.
func fleet(ctx context.Context, store *storer.Store, n int) []*Sharer {
	all := make([]*Sharer, 0, n)
	for i := range n {
		s := &Sharer{Store: store, Quarantiner: &quarantiner.Quarantiner{}, Owner: fmt.Sprint(i)}
		all = append(all, s)
		go func() { _ = s.Run(ctx) }()
	}
	return all
}

// Entries must have reached all processes when Share returns, also after the store has
// compacted the history that the watches follow, and must reach a process that starts
// later.
func TestShareReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &storer.Store{Hook: func(string, string) storer.Fault { return storer.Fault{Delay: 3 * time.Millisecond} }}
		all := fleet(ctx, store, 8)
		time.Sleep(time.Minute)
		store.Compact()
		time.Sleep(time.Minute)

		all[0].Quarantiner.RecordCrash(time.Now(), 1, "u1")
		all[0].Share(ctx)
		for _, s := range all {
			is.Equal(s.Quarantiner.Check(time.Now(), 1), quarantiner.VerdictSuspect) // received when Share returns
		}
		all[5].Quarantiner.RecordCrash(time.Now(), 1, "u2")
		all[5].Share(ctx)
		time.Sleep(3 * time.Second)
		for _, s := range all {
			is.Equal(s.Quarantiner.Check(time.Now(), 1), quarantiner.VerdictQuarantined)
		}
		late := fleet(ctx, store, 9)[8] // a process that starts now
		time.Sleep(time.Second)
		is.Equal(late.Quarantiner.Check(time.Now(), 1), quarantiner.VerdictQuarantined)
		is.True(all[3].Quarantiner.Lift(time.Now(), 1))
		all[3].Share(ctx)
		is.Equal(late.Quarantiner.Check(time.Now(), 1), quarantiner.VerdictClear)
	})
}

func TestUndecodableEntriesAreReported(t *testing.T) {
	is := is.New(t)
	var bad []string
	s := &Sharer{Quarantiner: &quarantiner.Quarantiner{}, OnDecodeError: func(key string, err error) {
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
		bad = append(bad, key)
	}}
	s.importEntries([]kingcuphook.Entry{kingcuphook.NewEntry(Prefix+"one", []byte("?"), 1, false), kingcuphook.NewEntry(Prefix+"two", nil, 2, false)})
	is.Equal(bad, []string{Prefix + "one"})
}

// During an outage of the store, Share must return, and sharing must resume after it.
func TestSharingResumesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &storer.Store{}
		all := fleet(ctx, store, 2)
		time.Sleep(time.Minute)
		store.SetFault(storer.Fault{Down: true})
		all[0].Quarantiner.RecordCrash(time.Now(), 1, "u1")
		all[0].Share(ctx) // returns after the failed write
		before := store.Counts().Reads
		time.Sleep(time.Minute)
		is.Equal(store.Counts().Reads, before)
		store.SetFault(storer.Fault{})
		all[0].Quarantiner.RecordCrash(time.Now(), 2, "u1")
		time.Sleep(3 * time.Second)
		all[0].Share(ctx)
		is.Equal(all[1].Quarantiner.Check(time.Now(), 2), quarantiner.VerdictSuspect)
	})
}

// crashPart makes the isolator quarantine a part, with crashes between which requests with another
// part begin soundly.
func crashPart(i *isolator.Isolator, part uint64) {
	begin := func(address string, part uint64) *isolator.Attempt {
		u := kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Address: address})
		return i.Begin(u, kingcuphook.NewRequest(kingcuphook.RequestFields{Parts: []uint64{part}}))
	}
	for n := range 8 {
		begin(fmt.Sprint(n), part).BrokenOff(time.Now())
		time.Sleep(time.Second)
		begin("sound", part+1).Complete(time.Now(), true)
		time.Sleep(time.Second)
	}
}

// Quarantined prompt parts were gone once all processes had ended.
func TestQuarantinedPartsOutliveAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &storer.Store{}
		const part = 7
		start := func() (*Sharer, context.CancelFunc) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &Sharer{Store: store, Quarantiner: &quarantiner.Quarantiner{}, Isolator: &isolator.Isolator{}, Owner: "0"}
			go func() { _ = s.Run(ctx) }()
			time.Sleep(10 * time.Second)
			return s, cancel
		}
		first, end := start()
		crashPart(first.Isolator, part)
		verdict, _ := first.Isolator.Check(time.Now(), []uint64{part})
		is.Equal(verdict, isolator.VerdictQuarantined)
		first.Share(t.Context())
		end()
		second, end := start()
		defer end()
		verdict, _ = second.Isolator.Check(time.Now(), []uint64{part})
		is.Equal(verdict, isolator.VerdictQuarantined)
	})
}
