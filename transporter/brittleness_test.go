package transporter

import (
	"testing"

	"github.com/kingcuphook/kingcuphook"
)

func TestBrittleness(t *testing.T) {
	malformed := kingcuphook.MalformedBrittleness()
	for _, c := range []struct {
		values []string
		want   kingcuphook.Brittleness
	}{
		{nil, kingcuphook.Brittleness{}},
		{[]string{""}, malformed},
		{[]string{"-1"}, malformed},
		{[]string{"many"}, malformed},
		{[]string{"1e12"}, malformed},
		{[]string{"3", "3"}, malformed},
		{[]string{"0"}, kingcuphook.NewBrittleness(0)},
		{[]string{" 3 "}, kingcuphook.NewBrittleness(3)},
		{[]string{"1000000000000"}, kingcuphook.NewBrittleness(MaxTolerated)},
	} {
		if got := Brittleness(c.values); got != c.want {
			t.Errorf("Brittleness(%q) = %v, want %v", c.values, got, c.want)
		}
	}
}
