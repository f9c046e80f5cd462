package claimer

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// A stored outcome with a status that can't be written must not reach the handler of a resend, in
// which net/http panics, nor hide the outcomes beside it.
func TestOddOutcomeIsLeftOut(t *testing.T) {
	is := is.New(t)
	const valid = `"7":{"status":204},"8":{"finish":"stop","tokens":3},"9":{"released":true}`
	for _, odd := range []string{`{"status":99999}`, `{"status":-1}`, `{"status":101}`, `{"tokens":-1}`} {
		outcomes, err := decodeOutcomes([]byte(`{` + valid + `,"10":` + odd + `}`))
		is.NoErr(err)
		is.Equal(len(outcomes), 3)
	}
	for _, odd := range []string{"", "[]", `{"7":5}`, `{"-1":{}}`, `{"7":{"status":1e400}}`, `{"7":{"body":"%"}}`} {
		_, err := decodeOutcomes([]byte(odd))
		is.True(errors.Is(err, kingcuphook.ErrInvalid))
	}
}

func FuzzDecodeOutcomes(f *testing.F) {
	f.Add([]byte(`{"7":{"status":204,"content-type":"x","body":"eA=="},"4294967295":{"tokens":9223372036854775807}}`))
	f.Add([]byte(`{"7":{"status":6000}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		outcomes, err := decodeOutcomes(value)
		if err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
			t.Fatal(err)
		}
		for _, o := range outcomes {
			if o.Status != 0 && (o.Status < 200 || o.Status > 999) {
				t.Fatal(o.Status)
			}
		}
	})
}
