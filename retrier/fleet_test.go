package retrier

import (
	"testing"
	"time"
)

// spendAll spends all retries that windows without requests allow, and returns their number.
func spendAll(now time.Time, windows []*Window) int {
	n := 0
	for _, w := range windows {
		for w.Spend(now) {
			n++
		}
	}
	return n
}

// Eight routers start at once: none knows the others yet, and each would take its retries for
// those of a fleet of two.
func TestBudgetHoldsWhileRoutersDoNotKnowEachOther(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fleets, windows := startFleet(now, 8)
	spent := spendAll(now, windows)
	now = now.Add(settleTime)
	for _, f := range fleets {
		f.Set(now, 8)
	}
	if spent += spendAll(now, windows); spent > slack {
		t.Errorf("%d retries in a window, %v are allowed", spent, slack)
	}
	if spent < slack/2 {
		t.Errorf("%d retries after the routers know each other, want more", spent)
	}
}

// Eight routers lose sight of each other, but all reach callers and upstreams.
func TestBudgetHoldsWhileRoutersAreCutOff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	fleets, windows := startFleet(now, 8)
	for _, f := range fleets {
		f.Set(now, 8)
	}
	now = now.Add(fleetMemory - time.Second)
	for _, f := range fleets {
		f.Set(now, 1)
	}
	if spent := spendAll(now, windows); spent > slack {
		t.Errorf("%d retries in a window, %v are allowed", spent, slack)
	}
}

// A fleet that has become smaller shares its budget anew after a while.
func TestSizeFollowsFleet(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := &Fleet{}
	f.Set(now, 8)
	for end := now.Add(2*fleetMemory + time.Second); now.Before(end); now = now.Add(time.Second) {
		f.Set(now, 3)
	}
	if n := f.Size(now); n != 3 {
		t.Errorf("size %d, want 3", n)
	}
}

func startFleet(now time.Time, n int) ([]*Fleet, []*Window) {
	fleets, windows := make([]*Fleet, n), make([]*Window, n)
	for i := range windows {
		fleets[i] = &Fleet{}
		fleets[i].Set(now, 1)
		windows[i] = newWindow(fleets[i])
	}
	return fleets, windows
}
