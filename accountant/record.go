package accountant

import (
	"encoding/json"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// RecordKey is the key of the record of windows in the store.
const RecordKey = "usage/reports"

// maxRecordBytes bounds the record. The oldest windows that are not reported yet are given up beyond
// it.
const maxRecordBytes = kingcuphook.MaxValueBytes / 2

// record is the value of RecordKey.
type record struct {
	// Era is the era of the store in which the record was written.
	Era int64 `json:"era"`
	// Fixed is the last fixed window. It is never fixed again, with or without counts.
	Fixed int64 `json:"fixed"`
	// Windows are the fixed windows whose report may not have been sent, in order.
	Windows []recordWindow `json:"windows"`
}

type recordWindow struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("accountant: decode %s: %w: %w", RecordKey, kingcuphook.ErrInvalid, err)
	}
	last := int64(0)
	for _, w := range r.Windows {
		if w.Window <= last || w.Window > r.Fixed {
			return record{}, fmt.Errorf("accountant: windows of %s: %w", RecordKey, kingcuphook.ErrInvalid)
		}
		last = w.Window
	}
	return r, nil
}

// encode returns the record as JSON. It drops the oldest windows of a record that is too long, and
// returns their number.
func (r *record) encode() (value []byte, dropped int) {
	for {
		value, err := json.Marshal(r)
		if err != nil {
			panic(err) // A struct of strings and integers can always be encoded.
		}
		if len(value) <= maxRecordBytes || len(r.Windows) == 0 {
			return value, dropped
		}
		r.Windows = r.Windows[1:]
		dropped++
	}
}
