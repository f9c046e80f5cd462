package auditor

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// The trail keeps the newest records, and its value stays within the store's limit even if
// all texts are too long.
func TestTrailIsBounded(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	a := Auditor{Store: &s}
	for i := range MaxRecords + 10 {
		a.Add(ctx, NewRecord(RecordFields{
			Kind: RecordRejected, EditID: fmt.Sprint(i), Cause: strings.Repeat("é", MaxRecords*4), Time: time.Unix(1, 0),
		}))
	}
	records, err := Read(ctx, &s)
	is.NoErr(err)
	is.Equal(len(records), MaxRecords)
	is.Equal(records[MaxRecords-1].Fields().EditID, fmt.Sprint(MaxRecords+9))
	e, err := s.Get(ctx, Key)
	is.NoErr(err)
	is.True(len(e.Value()) < kingcuphook.MaxValueBytes)
	is.Equal(a.Dropped(), int64(0))
}

func TestConcurrentAddsKeepBothRecords(t *testing.T) {
	is := is.New(t)
	var s storer.Store
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			a := Auditor{Store: &s}
			a.Add(context.Background(), NewRecord(RecordFields{EditID: fmt.Sprint(i)}))
		})
	}
	wg.Wait()
	records, err := Read(context.Background(), &s)
	is.NoErr(err)
	is.Equal(len(records), 2)
}

// Records over the rate limit and failed writes are counted, and new records can be added
// to a trail whose value can't be decoded.
func TestDroppedRecordsAreCounted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var s storer.Store
	a := Auditor{Store: &s, Limit: rate.NewLimiter(0, 2)}
	s.SetFault(storer.Fault{Down: true})
	a.Add(ctx, NewRecord(RecordFields{EditID: "down"}))
	is.Equal(a.Dropped(), int64(1))
	s.SetFault(storer.Fault{})
	_, err := s.Put(ctx, Key, []byte("damaged"), kingcuphook.RevisionAny, 0)
	is.NoErr(err)
	a.Add(ctx, NewRecord(RecordFields{EditID: "kept"}))
	a.Add(ctx, NewRecord(RecordFields{EditID: "over the limit"}))
	is.Equal(a.Dropped(), int64(2))
	records, err := Read(ctx, &s)
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.Equal(records[0].Fields().EditID, "kept")
}
