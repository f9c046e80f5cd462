package hedger

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Fixed is a policy that hedges each request after the same delay and has no limit, for tests of what
// uses hedges.
type Fixed time.Duration

var _ kingcuphook.HedgePolicy = Fixed(0)

// Requested implements kingcuphook.HedgePolicy.
func (Fixed) Requested(*kingcuphook.Request) {}

// Delay implements kingcuphook.HedgePolicy.
func (f Fixed) Delay(*kingcuphook.Request, int) (time.Duration, bool) { return time.Duration(f), true }

// Spend implements kingcuphook.HedgePolicy.
func (Fixed) Spend(int) bool { return true }

// Observe implements kingcuphook.HedgePolicy.
func (Fixed) Observe(*kingcuphook.Request, int, time.Duration) {}
