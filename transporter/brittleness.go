package transporter

import (
	"math"
	"strings"

	"github.com/kingcuphook/kingcuphook"
)

// MaxTolerated is the highest number of refusals that an upstream tolerates; larger announced
// numbers count as this one.
const MaxTolerated = 1 << 14

// Brittleness returns what the values of the header announce. One decimal number without sign
// and exponent is the number of requests that the upstream can turn away in a second. Other
// values, and several values, are malformed: they neither begin nor end anything.
func Brittleness(values []string) kingcuphook.Brittleness {
	if len(values) == 0 {
		return kingcuphook.Brittleness{}
	}
	limit := RateLimit(values)
	if !limit.IsSet() || strings.TrimSpace(values[0]) == "" {
		return kingcuphook.MalformedBrittleness()
	}
	return kingcuphook.NewBrittleness(int(math.Min(limit.PerSecond(), MaxTolerated)))
}
