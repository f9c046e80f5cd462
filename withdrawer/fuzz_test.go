package withdrawer

import (
	"errors"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Whatever a peer sends, it is rejected as a whole or adds as many programs as it has.
func FuzzRecordReports(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		w := &Withdrawer{}
		added, err := w.RecordReports(time.Unix(1000, 0), payload)
		if err != nil && !errors.Is(err, kingcuphook.ErrInvalid) || err != nil && added > 0 || added > len(payload)/entryBytes {
			t.Fatal(added, err)
		}
	})
}
