package transporter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the pause that an upstream can request with one response.
const MaxRetryAfter = time.Hour

// RetryAfter returns the longest pause that the given values of the Retry-After header
// request. Seconds may have decimals. Values that are no positive numbers are ignored,
// and so are dates, since the clock can step.
func RetryAfter(values []string) time.Duration {
	longest := 0.0
	for _, v := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err == nil && !math.IsNaN(seconds) {
			longest = max(longest, seconds)
		}
	}
	if longest >= MaxRetryAfter.Seconds() {
		return MaxRetryAfter
	}
	return time.Duration(longest * float64(time.Second))
}
