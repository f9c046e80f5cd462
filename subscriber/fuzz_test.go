package subscriber

import (
	"errors"
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

// Whatever a peer exports, the declaration doesn't go back, and what was imported can be exported.
func FuzzImport(f *testing.F) {
	f.Add([]byte(`{"declared":{"key":"op/config","value":"Mg==","revision":5},"upstreams":[{"key":"servers/b","value":"YkAx","revision":6}],"revision":9,"hold-ms":9223372036854775807}`))
	f.Add([]byte(`{"after":1,"removed":[{"key":"servers/a","revision":9223372036854775807}],"revision":9223372036854775807}`))
	f.Add([]byte(`{"after":-1,"revision":-1,"upstreams":[{"key":"","value":null,"revision":-1}],"hold-ms":-9223372036854775808}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		s := newSubscriber()
		if _, err := s.ApplyDeclaration(put("op/config", "1", 1)); err != nil {
			t.Fatal(err)
		}
		if err := s.ApplyChanges(start, []kingcuphook.Entry{put("servers/a", "a@1", 2)}, 2); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Import(start, payload); err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
			t.Fatal(err)
		}
		s.Expire(start)
		if s.Tables() == nil || s.Version() < 1 || s.Revision() < 2 {
			t.Fatal(s.Version(), s.Revision())
		}
		if _, err := s.Export(start, 0); err != nil {
			t.Fatal(err)
		}
	})
}
