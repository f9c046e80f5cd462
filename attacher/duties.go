package attacher

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/executor"
	"github.com/kingcuphook/kingcuphook/leaser"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
)

// pollsPerLease is how often the key of the lease on the duties is read per time-to-live by a candidate that
// doesn't hold it. After a planned stop of the holder the next one must take over within a second.
const pollsPerLease = 8

// duties runs the duties that one router has at a time, while this router is that one.
type duties struct {
	a        *Attacher
	calls    *platform.Duties
	lease    *leaser.Runner
	client   *executor.Client
	executor *executor.Executor
}

// newDuties returns the duties; nil if the settings name no API or no duty.
func newDuties(a *Attacher) *duties {
	s := a.Settings
	if s.DutyAddress() == "" || len(s.Duties()) == 0 {
		return nil
	}
	d := &duties{a: a, calls: &platform.Duties{Address: s.DutyAddress(), Owner: s.Name()}}
	d.calls.Connect()
	d.lease = &leaser.Runner{Store: a.store, Leaser: &leaser.Leaser{
		Key:        kingcuphook.DutyLeaseKey,
		Owner:      s.Address().String(),
		TTL:        s.LeaseTTL(),
		Poll:       s.LeaseTTL() / pollsPerLease,
		Rest:       executor.LeaseRest,
		IsRestored: d.isRestored,
		WallClock:  func(t time.Time) time.Time { return t.Round(0) },
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}}
	d.client = &executor.Client{
		Lease:     d.lease,
		Transport: d.calls,
		TTL:       s.LeaseTTL(),
		Rate:      s.DutyRate(),
		IsGuarded: func() bool { return s.ChecksFence() && !d.isRestored() },
		OnFailure: d.logFailure,
	}
	d.executor = &executor.Executor{Client: d.client, Workers: a.dutyWorkers(), Position: d.findPosition, OnChange: d.logChange}
	if a.usage != nil {
		a.usage.Holder = d.holderAddress
	}
	d.addGauges()
	return d
}

// isRestored reports whether the store has ever come back from an older copy.
func (d *duties) isRestored() bool { return d.a.store.Era() > platform.FirstEra }

// dutyWorkers returns the workers of the duties that the settings name.
func (a *Attacher) dutyWorkers() []kingcuphook.DutyWorker {
	var workers []kingcuphook.DutyWorker
	for _, d := range a.Settings.Duties() {
		switch d {
		case kingcuphook.DutyUsage:
			workers = append(workers, a.usage)
		case kingcuphook.DutyCapacity:
			workers = append(workers, newCapacity(a))
		}
	}
	return workers
}

// runDuties runs the duties until a planned stop begins or the parts end.
func (a *Attacher) runDuties(stopping, parts context.Context) {
	if a.duties == nil {
		return
	}
	ctx, end := context.WithCancel(stopping)
	defer end()
	defer context.AfterFunc(parts, end)()
	defer a.duties.calls.Close()
	a.duties.executor.Run(ctx)
}

// findPosition returns the position of this router among the candidates for the lease.
func (d *duties) findPosition() int { return d.a.candidates.position(time.Now()) }

// holder returns the address of the holder of the lease and its fencing number, as far as this router
// knows; the zero address if it doesn't, as where it is no candidate. held is true if this router is the
// holder.
func (d *duties) holder() (address netip.Addr, fence int64, held bool) {
	if fence, _, err := d.lease.Holding(); err == nil {
		return d.a.Settings.Address(), fence, true
	}
	text, fence := d.lease.Holder()
	address, err := netip.ParseAddr(text)
	if err != nil || address == d.a.Settings.Address() {
		return netip.Addr{}, 0, false
	}
	return address, fence, false
}

// holderAddress returns the address of the holder of the lease as far as this router knows.
func (d *duties) holderAddress() netip.Addr {
	address, _, _ := d.holder()
	return address
}

// logChange logs that this router has acquired or lost the lease.
func (d *duties) logChange(held bool, fence int64) {
	event := logger.LeaseLost
	if held {
		event = logger.LeaseAcquired
	}
	d.a.Log.Log(event, "key", kingcuphook.DutyLeaseKey, "fence", fence)
}

// logFailure logs a call of a duty that failed.
func (d *duties) logFailure(duty kingcuphook.Duty, fence int64, err error) {
	d.a.Log.Log(logger.DutyCallFailed, "duty", duty, "fence", fence, "error", err)
}

func (d *duties) addGauges() {
	m := d.a.meter
	m.Gauge("kingcuphook_duties_held", func() float64 {
		if _, _, err := d.lease.Holding(); err != nil {
			return 0
		}
		return 1
	})
	for name, count := range map[string]func(executor.Counts) int64{
		"accepted":     func(c executor.Counts) int64 { return c.Accepted },
		"no_capacity":  func(c executor.Counts) int64 { return c.NoCapacity },
		"rejected":     func(c executor.Counts) int64 { return c.Rejected },
		"rate_limited": func(c executor.Counts) int64 { return c.RateLimited },
		"unavailable":  func(c executor.Counts) int64 { return c.Unavailable },
		"unknown":      func(c executor.Counts) int64 { return c.Unknown },
	} {
		m.Gauge("kingcuphook_duty_calls_"+name+"_total", func() float64 { return float64(count(d.client.Counts())) })
	}
}
