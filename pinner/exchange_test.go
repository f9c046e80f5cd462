package pinner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router that started while the store was away kept to no base, since its peers passed on no records.
func TestRecordsOfPeersNameBase(t *testing.T) {
	is := is.New(t)
	from, to, revision := &Pinner{}, &Pinner{}, int64(0)
	is.True(from.ExportRecords() == nil) // it doesn't know them
	from.SetEra(era)
	from.MissingExcept(start, nil)
	from.Observe(start, tables("1"))
	from.SetFleet(Fleet{All: true})
	is.Equal(recordAll(is, from, start, &revision).Base, "1")
	is.NoErr(to.ImportRecords(start, from.ExportRecords()))
	to.Observe(start, tables("1", "2"))
	version, guarded := to.Guarded(start, "models")
	is.True(guarded && version == "1" && to.ExportRecords() != nil)
	to.Observe(start.Add(time.Second), tables("1"))
	is.True(!to.pools["models"].isComplete(start)) // the record may be old
	is.True(to.ImportRecords(start, []byte(`{"records":[{}]}`)) != nil)
}
