package meter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Metric names are an interface for dashboards and must not change.
func TestWriteMetrics(t *testing.T) {
	is := is.New(t)
	m := New()
	class := m.Class("till", 1)
	class.Ended(OutcomeAttained, time.Second)
	class.Queued(time.Millisecond)
	m.Tokens(7, true)
	is.Equal(m.Class("till", 1), class)
	var out bytes.Buffer
	m.Write(&out)
	is.True(strings.Contains(out.String(), `kingcuphook_requests_total{class="till",tier="1",outcome="attained"} 1`))
	is.True(strings.Contains(out.String(), "kingcuphook_wasted_tokens_total 7"))
	is.True(strings.Contains(out.String(), "kingcuphook_first_token_seconds_bucket"))
}
