package transporter

import (
	"strconv"
	"strings"

	"github.com/kingcuphook/kingcuphook"
)

// MaxRateLimit is the highest rate limit in requests per second; larger announced
// limits count as this one.
const MaxRateLimit = 1e6

// RateLimit returns the limit that the values of a rate-limit header announce, in
// requests per second. The header must have one value, a decimal number without sign and
// exponent. Every other value, and several values, announce no limit.
func RateLimit(values []string) kingcuphook.RateLimit {
	if len(values) != 1 {
		return kingcuphook.RateLimit{}
	}
	text := strings.TrimSpace(values[0])
	if !isDecimal(text) {
		return kingcuphook.RateLimit{}
	}
	// ParseFloat returns infinity with its error if the number is out of range.
	perSecond, _ := strconv.ParseFloat(text, 64)
	return kingcuphook.NewRateLimit(min(perSecond, MaxRateLimit))
}

// isDecimal reports whether text consists of digits, with at most one decimal point
// between them.
func isDecimal(text string) bool {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	return isDigits(whole) && (!hasPoint || isDigits(fraction))
}

func isDigits(text string) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return text != ""
}
