package soaker

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// dutyStream selects the random numbers of the settings of the duties, apart from those of
	// the faults.
	dutyStream = 2
	// dutyLease is the time-to-live of the lease on the duties.
	dutyLease = 3 * time.Second
	// usageWindow and usageLate are the length of a window of usage, and how long after it its
	// report is due. The windows are short so that a run has many.
	usageWindow, usageLate = time.Second, 3 * time.Second
	// maxSlowDuty bounds the delay of a call that is answered. It is below dutyLease: a holder
	// whose call is cut off by the end of its lease is not followed by a call before that.
	maxSlowDuty = time.Second
	// maxLateDuty bounds the delay of a call that takes effect without an answer.
	maxLateDuty = 2 * dutyLease
)

// dutyAPI serves the API of the duties and records the calls that it receives.
type dutyAPI struct {
	*standin.Duties

	address string
	server  *http.Server

	mu       sync.Mutex
	fault    standin.DutyFault
	received []standin.DutyCall
}

// newDutyAPI starts the API of the duties. The seed decides whether it checks fencing numbers.
func newDutyAPI(seed uint64) (*dutyAPI, error) {
	rng := rand.New(rand.NewPCG(seed, dutyStream))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	d := &dutyAPI{Duties: &standin.Duties{ChecksFence: rng.IntN(2) == 0}, address: l.Addr().String()}
	d.Fault = d.receive
	d.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: d.Duties}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// settings returns the settings of the duties for routers.
func (d *dutyAPI) settings() standin.DutySettings {
	if d == nil {
		return standin.DutySettings{}
	}
	return standin.DutySettings{Address: d.address, ChecksFence: d.ChecksFence, Lease: dutyLease, Window: usageWindow, Late: usageLate}
}

// receive records a call and returns its fault.
func (d *dutyAPI) receive(c standin.DutyCall) standin.DutyFault {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = append(d.received, c)
	return d.fault
}

// set sets the fault of the calls that follow.
func (d *dutyAPI) set(f standin.DutyFault) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// allReceived returns the calls that arrived, in this order.
func (d *dutyAPI) allReceived() []standin.DutyCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]standin.DutyCall(nil), d.received...)
}

// figures returns the figures of the duties as text; empty if there are none.
func (d *dutyAPI) figures() string {
	if d == nil {
		return ""
	}
	received, fences := d.allReceived(), make(map[int64]bool)
	for _, c := range received {
		fences[c.Fence] = true
	}
	return fmt.Sprintf("; duties (fence checked %v): %d calls, %d accepted, %d stale, %d holdings", d.ChecksFence, len(received), len(d.Accepted()), d.Rejected(), len(fences))
}

// dutyHolder returns the router that made the last call of a duty; nil if there is none.
func (env *environment) dutyHolder() *router {
	received := env.duties.allReceived()
	for _, r := range env.routers {
		if n := len(received); n > 0 && received[n-1].Holder == r.name {
			return r
		}
	}
	return nil
}

// dutyFaults returns the faults of a run with duties: of the API, and of the router that holds the duties when
// the fault begins.
func (s *Soak) dutyFaults(duration time.Duration) []func() fault {
	env := s.env
	api := func(name string, f standin.DutyFault) func() fault {
		begin, end := func() { env.duties.set(f) }, func() { env.duties.set(standin.DutyFault{}) }
		return func() fault { return fault{"duties " + name, duration, begin, end} }
	}
	holder := func(name string, d time.Duration, of func(*router) (begin, end func())) func() fault {
		end := func() {}
		begin := func() {
			if r := env.dutyHolder(); r != nil {
				var start func()
				start, end = of(r)
				start()
			}
		}
		return func() fault { return fault{name + " holder of duties", d, begin, func() { end() }} }
	}
	nothing := func() {}
	long := between(s.rng, dutyLease, 2*dutyLease)
	slow, late := between(s.rng, 0, maxSlowDuty), between(s.rng, 0, maxLateDuty)
	return []func() fault{
		api("refused", standin.DutyFault{Status: http.StatusServiceUnavailable}),
		api("slow", standin.DutyFault{Delay: slow}),
		api("without effect", standin.DutyFault{Unanswered: true}),
		api("late", standin.DutyFault{Delay: late, Unanswered: true, Runs: true}),
		holder("kill", 0, func(r *router) (func(), func()) { return func() { env.kill(r, duration) }, nothing }),
		holder("stop", 0, func(r *router) (func(), func()) { return func() { env.stop(r) }, nothing }),
		holder("pause", long, func(r *router) (func(), func()) {
			return func() { r.pause(long) }, func() { r.signal(syscall.SIGCONT) }
		}),
		holder("cut store of", long, func(r *router) (func(), func()) {
			f := env.storeFault(r, 0, long)
			return f.begin, f.end
		}),
	}
}

// violations describes how the rules of the duties were violated. The faults ended at faultsEnd, long
// enough before the end of the run for a lease to pass on and a window to be reported.
func (d *dutyAPI) violations(faultsEnd time.Time) []string {
	if d == nil {
		return nil
	}
	accepted := d.Accepted()
	return append(standin.CheckDuties(accepted, dutyLease), checkReports(d.allReceived(), accepted, faultsEnd)...)
}

// checkReports checks that received calls with one fencing number are of one holder, that reports of
// one window have the same counts, and that a report was accepted after faultsEnd.
func checkReports(received, accepted []standin.DutyCall, faultsEnd time.Time) []string {
	var faults []string
	holders := make(map[int64]string)
	windows := make(map[int64]map[string]int64)
	for _, c := range received {
		if h, ok := holders[c.Fence]; ok && h != c.Holder {
			faults = append(faults, fmt.Sprintf("%s and %s sent fencing number %d", h, c.Holder, c.Fence))
		}
		holders[c.Fence] = c.Holder
		var report struct {
			Window int64            `json:"window"`
			Counts map[string]int64 `json:"counts"`
		}
		if err := json.Unmarshal(c.Body, &report); err != nil {
			faults = append(faults, fmt.Sprintf("invalid call %s %q: %v", c.Path, c.Body, err))
			continue
		}
		if counts, ok := windows[report.Window]; ok && !maps.Equal(counts, report.Counts) {
			faults = append(faults, fmt.Sprintf("window %d was reported with %v and by %s with %v", report.Window, counts, c.Holder, report.Counts))
		}
		windows[report.Window] = report.Counts
	}
	if n := len(accepted); n == 0 || accepted[n-1].At.Before(faultsEnd) {
		faults = append(faults, fmt.Sprintf("no usage was reported after the faults; %d reports before", n))
	}
	return faults
}
