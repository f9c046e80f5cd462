package transporter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxRest bounds the pause that an upstream can request with one response.
const MaxRest = time.Hour

// Rest returns the longest pause that the given values of the Retry-After header
// request. Seconds may have decimals. Values that are no positive numbers are ignored,
// and so are dates, since the clock can step.
func Rest(values []string) time.Duration {
	longest := 0.0
	for _, v := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err == nil && !math.IsNaN(seconds) {
			longest = max(longest, seconds)
		}
	}
	if longest >= MaxRest.Seconds() {
		return MaxRest
	}
	return time.Duration(longest * float64(time.Second))
}
