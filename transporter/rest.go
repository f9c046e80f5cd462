package transporter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxRest bounds the rest that an upstream can ask for at once.
const MaxRest = time.Hour

// Rest returns for how long the values of Retry-After ask for a rest, the longest of
// them. Seconds may have decimals. What is no positive number asks for nothing, and
// neither does a date: the time of day may jump.
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
