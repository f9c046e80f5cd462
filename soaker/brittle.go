package soaker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
	"github.com/kingcuphook/kingcuphook/transporter"
)

const (
	// soakSlots is the number of slots that upstreams register, and soakWaiting the number of
	// calls that wait at an upstream that is not brittle.
	soakSlots, soakWaiting = 16, 1000
	// maxFallsPerTime is how often an upstream may fall over in one time in which it is brittle,
	// beside the other faults.
	maxFallsPerTime = 2
)

// brittleness are the values with which upstreams announce that they are brittle. Some of them
// can't be read.
var brittleness = []string{"1", "3", "10", "0", "1000000000000", "many", "-1"}

// brittleFault returns a fault in which an upstream is brittle and announces it. It lasts longer
// than other faults, so that these overlap it.
func (env *environment) brittleFault(i int, rng *rand.Rand, duration time.Duration) fault {
	u := env.upstream(i)
	value := brittleness[rng.IntN(len(brittleness))]
	tolerated, known := transporter.Brittleness([]string{value}).Tolerated()
	if !known {
		tolerated = math.MaxInt
	}
	begin := func() { u.SetBrittle(value, tolerated, 0) }
	end := func() {
		u.SetBrittle("", 0, 0)
		u.limitMu.Lock()
		defer u.limitMu.Unlock()
		u.brittleTimes++
	}
	return fault{fmt.Sprintf("%s is brittle, %q", u.name, value), standin.BrittleDelay + 2*duration, begin, end}
}

// fallenTooOften describes an upstream that the routers knocked over.
func (env *environment) fallenTooOften(u *upstream) []string {
	u.limitMu.Lock()
	defer u.limitMu.Unlock()
	if n, allowed := u.Falls(), maxFallsPerTime*u.brittleTimes; n > allowed {
		return []string{fmt.Sprintf("%s fell over %d times, %d are allowed", u.name, n, allowed)}
	}
	return nil
}
