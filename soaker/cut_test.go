package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
)

// TestUnservedCallersOfCutRouterAreReported guards against excuses that hide calls that a router
// failed while it was cut off.
func TestUnservedCallersOfCutRouterAreReported(t *testing.T) {
	const calls = 2 * minCutCalls
	began := time.Now()
	for name, test := range map[string]struct {
		lasts time.Duration
		// served is how many calls are served at the cut router; the others serve all.
		served int
		// otherCut is set if the other router is cut off as well.
		otherCut bool
		// part is in the calls that are not served.
		part string
		want bool
	}{
		"all served":   {ruledCut, calls, false, "", false},
		"0.9 served":   {ruledCut, calls * 9 / 10, false, "", false},
		"fewer served": {ruledCut, calls*9/10 - 1, false, "", true},
		"short cut":    {ruledCut - 1, 0, false, "", false},
		"all cut off":  {ruledCut, 0, true, "", false},
		"crashing":     {ruledCut, calls*9/10 - 1, false, "bad", false},
		"not yet":      {ruledCut, calls*9/10 - 1, false, "later", true},
	} {
		cutOff, other := &router{}, &router{}
		parts := []*crashingPart{{"bad", []time.Time{began}}, {"later", []time.Time{began.Add(test.lasts)}}}
		env := &environment{soak: &Soak{}, routers: []*router{cutOff, other}, parts: parts}
		env.soak.calls = newCallers(env, 1)
		span := period{began, began.Add(test.lasts)}
		env.cuts = []*cut{{way: forwarder.FaultReset, routers: []*router{cutOff}, period: span}}
		if test.otherCut {
			env.cuts = append(env.cuts, &cut{way: forwarder.FaultHang, routers: []*router{other}, period: span})
		}
		for n := range calls {
			sent := began.Add(cutNoticed + time.Duration(n)*time.Millisecond)
			for _, r := range env.routers {
				c := &call{id: fmt.Sprint(n, r == other), router: r, timeout: callTimeout, sent: sent, ended: sent, served: r == other || n < test.served}
				if !c.served {
					c.parts = []string{test.part}
				}
				env.soak.calls.add(c)
			}
		}
		if _, violations := env.cutShares(); (len(violations) > 0) != test.want {
			t.Errorf("%s: %q, reported is to be %v", name, violations, test.want)
		}
	}
}
