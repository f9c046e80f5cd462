package transporter

import (
	"strings"
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

func TestRateLimit(t *testing.T) {
	none := kingcuphook.RateLimit{}
	for _, c := range []struct {
		values []string
		want   kingcuphook.RateLimit
	}{
		{nil, none},
		{[]string{""}, none},
		{[]string{"few"}, none},
		{[]string{"-4"}, none},
		{[]string{"+4"}, none},
		{[]string{"NaN"}, none},
		{[]string{"Inf"}, none},
		{[]string{"1e300"}, none},
		{[]string{"0x10"}, none},
		{[]string{"1_000"}, none},
		{[]string{"4."}, none},
		{[]string{".5"}, none},
		{[]string{"4, 8"}, none},
		{[]string{"4", "4"}, none},
		{[]string{"0"}, kingcuphook.NewRateLimit(0)},
		{[]string{" 0.1 "}, kingcuphook.NewRateLimit(0.1)},
		{[]string{"4"}, kingcuphook.NewRateLimit(4)},
		{[]string{strings.Repeat("9", 400)}, kingcuphook.NewRateLimit(MaxRateLimit)},
	} {
		if got := RateLimit(c.values); got != c.want {
			t.Errorf("RateLimit(%q) = %v, want %v", c.values, got, c.want)
		}
	}
}
