package transporter

import (
	"testing"
	"time"
)

func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   time.Duration
	}{
		{nil, 0},
		{[]string{""}, 0},
		{[]string{"0"}, 0},
		{[]string{"2"}, 2 * time.Second},
		{[]string{" 0.25 "}, 250 * time.Millisecond},
		{[]string{"-3"}, 0},
		{[]string{"NaN"}, 0},
		{[]string{"soon"}, 0},
		{[]string{"Wed, 21 Oct 2026 07:28:00 GMT"}, 0},
		{[]string{"1e9"}, MaxRetryAfter},
		{[]string{"1e400"}, 0}, // exceeds a float64
		{[]string{"+Inf"}, MaxRetryAfter},
		{[]string{"1", "x", "3"}, 3 * time.Second},
	} {
		if got := RetryAfter(c.values); got != c.want {
			t.Errorf("RetryAfter(%q) = %v, want %v", c.values, got, c.want)
		}
	}
}
