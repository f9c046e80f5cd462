package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/runner"
)

// runVersions runs f with an upstream for each of the software versions, all of which can
// resume.
func runVersions(t *testing.T, versions []string, f func(*harness)) {
	runTest(t, make([]bool, len(versions)), func(r *harness) {
		for i, version := range versions {
			u := r.upstreams[i].Fields()
			u.Resumes, u.SoftwareVersion = true, version
			r.upstreams[i] = kingcuphook.NewUpstream(u)
		}
		f(r)
	})
}

// ran returns the addresses of the upstreams that ran the attempts, in order.
func (r *harness) ran() string {
	addresses := ""
	for _, run := range r.engine.Runs() {
		addresses += run.Upstream
	}
	return addresses
}

// An answer that broke off was continued by an upstream of another software version.
func TestAnswerIsNotJoinedFromTwoVersions(t *testing.T) {
	early := runner.Fault{Kind: runner.FaultEarlyEnd, At: 7}
	refuse := runner.Fault{Kind: runner.FaultRefuse}
	for name, test := range map[string]struct {
		versions []string
		faults   []runner.Fault
		ran      string
		whole    bool
	}{
		"other version":                {[]string{"1", "2"}, []runner.Fault{early}, "a", false},
		"same version last":            {[]string{"1", "2", "2", "1"}, []runner.Fault{early}, "ad", true},
		"the second attempt began":     {[]string{"1", "2", "1", "2"}, []runner.Fault{refuse, early}, "bd", true},
		"no whole frame of the first":  {[]string{"1", "2", "1", "2"}, []runner.Fault{{Kind: runner.FaultEarlyEnd}, early}, "abd", true},
		"no version and another":       {[]string{"", "2"}, []runner.Fault{early}, "a", false},
		"broken off twice":             {[]string{"1", "2", "1", "1"}, []runner.Fault{early, {Kind: runner.FaultEarlyEnd, At: 9}}, "acd", true},
		"none reports a version":       {[]string{"", ""}, []runner.Fault{early}, "ab", true},
		"preempted at the only one":    {[]string{"1", "2"}, nil, "aa", true},
		"hedged at another version":    {[]string{"1", "2", "1"}, []runner.Fault{{Kind: runner.FaultSlow}, early}, "ab", false},
		"hedged, both of the versions": {[]string{"1", "2", "2"}, []runner.Fault{{Kind: runner.FaultSlow}, early}, "abc", true},
	} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, test.versions, func(r *harness) {
				r.faults = test.faults
				if slices.ContainsFunc(test.faults, func(f runner.Fault) bool { return f.Kind == runner.FaultSlow }) {
					r.Limits.HedgeAfter = 15 * time.Millisecond
				}
				if test.faults == nil {
					time.AfterFunc(55*time.Millisecond, func() { close(r.slots[0].preempted) })
				}
				began := time.Now()
				_, err := r.call(stream)
				r.Equal(r.ran(), test.ran)
				r.Equal(err == nil, test.whole)
				if test.whole {
					r.Equal(r.text.String(), runner.AnswerText([]byte(body), words))
					return
				}
				r.Equal(r.text.String(), runner.AnswerText([]byte(body), 7))
				r.Equal(fmt.Sprint(err.Code, " ", err.Ran), "stream-version-gone unknown")
				r.True(time.Since(began) < 2*time.Second) // it ends at once
			})
		})
	}
}
