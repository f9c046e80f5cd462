package isolator

import (
	"errors"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Whatever stands in a record, it is invalid or one that a router could have written.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"part":"ab","state":"quarantined","generation":255,"since":"9999-12-31T23:59:59Z","crashes":3,"trials":9223372036854775807}`))
	f.Add([]byte(`{"part":"ab","state":"lifted","since":"0001-01-01T00:00:00Z"}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err != nil {
			if !errors.Is(err, kingcuphook.ErrInvalid) {
				t.Fatal(err)
			}
			return
		}
		if _, due := r.NextTrial(start); due && r.Trials >= maxTrials {
			t.Fatalf("trial of %+v", r)
		}
		var i Isolator
		i.Apply(start, r)
		for _, own := range i.Records() {
			if own.Since.After(start) || own.Part != r.Part {
				t.Fatalf("%+v of %+v", own, r)
			}
		}
	})
}

// Whatever a peer sends, it is rejected or can be sent on.
func FuzzImport(f *testing.F) {
	var i Isolator
	i.Apply(start, Record{Part: "ab", State: StateQuarantined, Generation: 1, Since: start})
	f.Add(i.ExportStates(start, 1<<10))
	f.Add([]byte{messageType})
	f.Add([]byte{messageType, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 1, 0, 0, 0, 1, 2, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var i, peer Isolator
		if err := i.Import(start, b); err != nil {
			if !errors.Is(err, kingcuphook.ErrInvalid) || len(i.entries) > 0 {
				t.Fatal("malformed message was not rejected as a whole")
			}
			return
		}
		if len(i.entries) > maxEntries {
			t.Fatal(len(i.entries))
		}
		message, _ := i.Export(start.Add(time.Second), 1<<16)
		if err := peer.Import(start, message); message != nil && err != nil {
			t.Fatal(err)
		}
	})
}
