package leaser_test

import (
	"fmt"
	"testing"

	"github.com/kingcuphook/kingcuphook/leaser"
)

// BenchmarkPosition measures how long one router takes to find its position among the
// candidates for a lease.
func BenchmarkPosition(b *testing.B) {
	for _, n := range []int{8, 1100} {
		members := make([]string, n)
		for i := range members {
			members[i] = fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255)
		}
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				leaser.Position(key, members[3], members)
			}
		})
	}
}
