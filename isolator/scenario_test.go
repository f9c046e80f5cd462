package isolator

import (
	"flag"
	"slices"
	"testing"
	"time"
)

// seeds is the number of seeds of each scenario.
var seeds = flag.Uint64("fleet-seeds", 2, "seeds of each simulated fleet")

// maxRouters bounds the size of the simulated fleets.
var maxRouters = flag.Int("fleet-routers", 300, "most routers of a simulated fleet")

// maxLateCalls is how many calls with a crashing part may reach upstreams after the bound.
const maxLateCalls = 3

// maxRefusedShare is the share of sound calls that may be refused in a simulated run.
const maxRefusedShare = 0.01

func TestFleetIsolatesCrashingParts(t *testing.T) {
	base := scenario{routers: 8, upstreams: 12, sound: 64, bad: 3, parts: 2, badParts: 1, length: 30 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*scenario)
	}{
		{"base", func(*scenario) {}},
		{"one-router", func(s *scenario) { s.routers = 1 }},
		{"30-routers", func(s *scenario) { s.routers, s.upstreams, s.sound = 30, 40, 200 }},
		{"300-routers", func(s *scenario) { s.routers, s.upstreams, s.sound, s.length = 300, 300, 900, 20*time.Second }},
		{"1103-routers", func(s *scenario) { s.routers, s.upstreams, s.sound, s.length = 1103, 1200, 2200, 16*time.Second }},
		{"one-part", func(s *scenario) { s.parts = 1 }},
		{"eight-parts", func(s *scenario) { s.parts = 8 }},
		{"two-bad-parts", func(s *scenario) { s.badParts, s.bad = 2, 5 }},
		{"other-crashes", func(s *scenario) { s.otherCrashes = 0.7 }},
		{"loss", func(s *scenario) { s.loss = 0.4 }},
		{"restarts", func(s *scenario) { s.restarts = true }},
		{"few-upstreams", func(s *scenario) { s.upstreams, s.sound = 6, 40 }},
		{"storm", func(s *scenario) { s.upstreams, s.restartTime, s.bad, s.sound = 4, 10*time.Millisecond, 10, 60 }},
		{"slow", func(s *scenario) { s.bad, s.length = 0.3, 90*time.Second }},
		{"fast", func(s *scenario) { s.bad = 6 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *seeds {
				s := base
				c.change(&s)
				if s.routers > *maxRouters {
					return
				}
				f := newSimFleet(s, seed)
				f.run()
				t.Logf("seed %d: %s", seed, f.result())
				if f.lateCalls > maxLateCalls {
					t.Errorf("seed %d: %d calls with a crashing part after the bound, %d are allowed", seed, f.lateCalls, maxLateCalls)
				}
				if share := float64(f.refused) / float64(f.refused+f.served); share > maxRefusedShare {
					t.Errorf("seed %d: %.3f of the sound calls refused", seed, share)
				}
			}
		})
	}
}

// Crashes of another cause got parts refused that sound calls have.
func TestOtherCrashesQuarantineNoPart(t *testing.T) {
	base := scenario{routers: 8, upstreams: 12, sound: 64, parts: 3, length: 30 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*scenario)
	}{
		{"single", func(s *scenario) { s.otherCrashes = 1 }},
		{"many", func(s *scenario) { s.otherCrashes = 3 }},
		{"data-centre", func(s *scenario) { s.centreCrash = true }},
		{"all", func(s *scenario) { s.fleetCrash = true }},
		{"all-large", func(s *scenario) { s.fleetCrash = true; s.routers, s.upstreams, s.sound = 100, 120, 600 }},
		{"all-eight-parts", func(s *scenario) { s.fleetCrash = true; s.parts = 8 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *seeds {
				s := base
				c.change(&s)
				f := newSimFleet(s, seed)
				f.run()
				t.Logf("seed %d: %s", seed, f.result())
				if len(f.falseParts) > 0 {
					t.Errorf("seed %d: sound parts %v quarantined", seed, f.falseParts)
				}
			}
		})
	}
}

// countAlone returns after how many crashes a count without elimination reaches MinCrashes for a
// crashing part, and how many sound parts have reached it by then.
func (f *simFleet) countAlone() (crashes, falseParts int) {
	counts := make(map[uint64]int)
	for n, suspects := range f.suspects {
		found := false
		for p := range suspects {
			counts[p]++
			found = found || isBad(p) && counts[p] >= minCrashes
		}
		if !found {
			continue
		}
		for p, count := range counts {
			if !isBad(p) && count >= minCrashes {
				falseParts++
			}
		}
		return n + 1, falseParts
	}
	return len(f.suspects), 0
}

// testEach returns how many parts a test of one suspect at a time would hold after the first
// crash, and the share of sound calls that have one of them.
func (f *simFleet) testEach() (suspects int, held float64) {
	if len(f.suspects) == 0 {
		return 0, 0
	}
	const calls = 1000
	n := 0
	for range calls {
		if slices.ContainsFunc(f.soundParts(), func(p uint64) bool { return f.suspects[0][p] }) {
			n++
		}
	}
	return len(f.suspects[0]), float64(n) / calls
}

// TestWaysOfFinding logs what the ways weighed in docs/design/prompt-parts.md cost.
func TestWaysOfFinding(t *testing.T) {
	for _, routers := range []int{1, 8, 30, 300} {
		for _, parts := range []int{1, 2, 8} {
			for _, others := range []float64{0, 0.2} {
				s := scenario{
					routers: routers, upstreams: max(12, routers), sound: max(64, 3*float64(routers)), bad: 3, parts: parts, badParts: 1,
					otherCrashes: others / (1 - others) * 3, length: 15 * time.Second,
				}
				f := newSimFleet(s, 1)
				f.run()
				alone, falseAlone := f.countAlone()
				suspects, held := f.testEach()
				t.Logf("| %d | %d | %.0f%% | %d, %d | %d, %d | 2, %d, %.0f%% |", routers, parts, 100*others,
					alone, falseAlone, f.foundAt, len(f.falseParts), suspects, 100*held)
			}
		}
	}
}
