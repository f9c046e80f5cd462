package attacher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/accountant"
	"github.com/kingcuphook/kingcuphook/executor"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/synchronizer"
)

const (
	// usageInterval is how often a router sends its counts; usagePerRouter is the interval for each
	// known router, which bounds the messages that a candidate receives to 200 per second.
	usageInterval  = 500 * time.Millisecond
	usagePerRouter = 5 * time.Millisecond
	// minClockGap is the smallest difference between the progress of the wall clock and of the
	// monotonic clock that counts as a step or a suspension.
	minClockGap = 200 * time.Millisecond
	// stepAge is how long this router counts as the holder after a step of the duty.
	stepAge = time.Second
	// maxStepTime is the time after which a step begins no more calls, so that the reports of a long outage
	// leave time to other duties.
	maxStepTime = 200 * time.Millisecond
	// maxFlushes bounds how often the last counts of a stopping router are sent, flushInterval is how long each
	// may stay unanswered. Together they fit into what is left of the grace time (killMargin - closeTimeout).
	// flushPoll is the interval at which answers are looked for.
	maxFlushes    = 4
	flushInterval = 25 * time.Millisecond
	flushPoll     = 2 * time.Millisecond
	// usageRetry is how long the holder waits after a failed call to the store for the record.
	usageRetry = 500 * time.Millisecond
)

// usage counts the requests of each organisation, exchanges the counts with the candidates for the
// lease of the duties, and reports them while this router holds the lease.
type usage struct {
	// Holder returns the router that holds the lease as far as this router knows, and the zero
	// address if it doesn't; nil means that it is learned from answers only.
	Holder func() netip.Addr

	a       *Attacher
	runID   uint64
	started time.Time
	counter accountant.Counter

	// mu guards the fields below.
	mu       sync.Mutex
	clock    synchronizer.Clock
	table    accountant.Table
	reporter accountant.Reporter
	// checked is when the clocks were last compared.
	checked  time.Time
	sequence uint32
	// targets are the routers that got the last report; holder is the one that an answer told.
	targets []netip.Addr
	holder  netip.Addr
	// answered has when the latest report that each target has answered was sent.
	answered map[netip.Addr]time.Duration
	// stepped is when Step was last called; retryAt is the earliest time of the next call to the store.
	stepped, retryAt time.Time
	// hashed has the declared organisations by hash, of the tables hashedOf.
	hashed   map[uint64]string
	hashedOf *kingcuphook.Tables

	rejected, reports int64
}

var _ kingcuphook.DutyWorker = (*usage)(nil)

func newUsage(a *Attacher) *usage {
	now := time.Now()
	u := &usage{a: a, runID: rand.Uint64(), started: now, checked: now, answered: make(map[netip.Addr]time.Duration)}
	u.clock.Self = a.Settings.Address()
	u.reporter = accountant.Reporter{Length: a.Settings.UsageWindow(), Late: a.Settings.UsageDelay()}
	u.addGauges()
	return u
}

func (u *usage) addGauges() {
	gauge := func(name string, f func() int64) {
		u.a.meter.Gauge(name, func() float64 {
			u.mu.Lock()
			defer u.mu.Unlock()
			return float64(f())
		})
	}
	gauge("kingcuphook_usage_fixed_window", u.table.Fixed)
	gauge("kingcuphook_usage_runs", func() int64 { return int64(u.table.Runs()) })
	gauge("kingcuphook_usage_reports_total", func() int64 { return u.reports })
	gauge("kingcuphook_usage_messages_rejected_total", func() int64 { return u.rejected })
	gauge("kingcuphook_usage_requests_dropped_total", u.counter.Dropped)
	gauge("kingcuphook_usage_windows_dropped_total", func() int64 { return int64(u.reporter.Dropped()) })
	gauge("kingcuphook_usage_clock_offset_milliseconds", func() int64 {
		now := time.Now()
		t, _ := u.clock.At(u.since(now))
		return t.Sub(now).Milliseconds()
	})
}

// allocator returns an allocator that counts the requests that begin on the slots of next.
func (u *usage) allocator(next kingcuphook.Allocator) kingcuphook.Allocator {
	return &accountant.Allocator{Next: next, Begin: func(organisation string) {
		now := time.Now()
		u.mu.Lock()
		u.checkClock(now)
		u.mu.Unlock()
		u.counter.Begin(u.since(now), organisation)
	}}
}

// since returns a time on the monotonic clock.
func (u *usage) since(now time.Time) time.Duration { return now.Sub(u.started) }

// checkClock discards the estimates of the time of day if the wall clock was set or the VM was
// suspended since the last call, which can't be told apart. Requests before are assigned first.
func (u *usage) checkClock(now time.Time) {
	gap := now.Round(0).Sub(u.checked.Round(0)) - now.Sub(u.checked)
	u.checked = now
	if gap.Abs() < minClockGap {
		return
	}
	u.assign()
	u.clock.Distrust(u.since(now))
	u.a.Log.Log(logger.UsageTimeLost, "gap-ms", gap.Milliseconds())
}

// assign assigns the counted requests to windows if the time of day is known.
func (u *usage) assign() {
	if _, ok := u.clock.At(0); !ok {
		return
	}
	u.counter.Assign(func(at time.Duration) int64 {
		t, _ := u.clock.At(at)
		return accountant.WindowAt(t, u.reporter.Length)
	})
}

// currentWindow returns the window in progress; 0 if the time of day is not known.
func (u *usage) currentWindow(now time.Time) int64 {
	t, ok := u.clock.At(u.since(now))
	if !ok {
		return 0
	}
	return accountant.WindowAt(t, u.reporter.Length)
}

// run sends the counts of this router periodically until ctx ends. It returns at once if u is nil.
func (u *usage) run(ctx context.Context) {
	if u == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		u.exchange(time.Now(), false)
		timer.Reset(u.interval(time.Now()))
	}
}

// flush sends the counts of a router that has served its last call, and repeats them until all targets have
// answered. It returns at once if u is nil.
func (u *usage) flush() {
	if u == nil {
		return
	}
	for range maxFlushes {
		begun := time.Now()
		u.exchange(begun, true)
		for time.Since(begun) < flushInterval {
			if u.isAnswered(u.since(begun)) {
				return
			}
			time.Sleep(flushPoll)
		}
	}
}

// isAnswered reports whether all targets have answered a report that was sent at a time or later.
func (u *usage) isAnswered(sent time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !slices.ContainsFunc(u.targets, func(a netip.Addr) bool {
		at, ok := u.answered[a]
		return a != u.a.Settings.Address() && (!ok || at < sent)
	})
}

// exchange sends the counts to the candidates for the lease and to the holder: what has changed, or all.
func (u *usage) exchange(now time.Time, all bool) {
	routers := u.a.control.routers()
	u.mu.Lock()
	u.checkClock(now)
	at := u.since(now)
	u.clock.ObserveClock(at, u.runID, now)
	u.clock.Update(at, len(routers))
	u.assign()
	current := u.currentWindow(now)
	u.table.Fix(at, u.table.Fixed(), current)
	targets := u.findTargets(now, routers)
	if !slices.Equal(targets, u.targets) {
		all = true
		clear(u.answered)
	}
	u.targets = targets
	report := u.counter.Report(at, current, all)
	report.Run, report.Sequence, report.Sent, report.Wall, report.Length = u.runID, u.sequence, at, now, u.reporter.Length
	messages := report.Encode()
	u.sequence += uint32(len(messages))
	_ = u.table.Receive(at, u.a.Settings.Address(), report, current, u.isDeclared)
	u.mu.Unlock()
	u.a.candidates.asked(now, targets)
	for _, to := range targets {
		if to == u.a.Settings.Address() {
			continue
		}
		for _, m := range messages {
			u.a.control.sendTo(to, m)
		}
	}
}

// interval returns the time until the counts are sent again. The next candidates send them often, so that they
// find soon whether the candidates live.
func (u *usage) interval(now time.Time) time.Duration {
	if u.a.candidates.isRanked(now) {
		return usageInterval
	}
	return max(usageInterval, usagePerRouter*time.Duration(len(u.a.control.routers())))
}

// findTargets returns the routers that need the counts: the candidates and the known holder.
func (u *usage) findTargets(now time.Time, routers []netip.Addr) []netip.Addr {
	targets := slices.Clone(u.a.candidates.candidates(now))
	if holder := u.knownHolder(now); holder.IsValid() && slices.Contains(routers, holder) {
		targets = append(targets, holder)
	}
	slices.SortFunc(targets, netip.Addr.Compare)
	return slices.Compact(targets)
}

// knownHolder returns the holder of the lease as far as it is known.
func (u *usage) knownHolder(now time.Time) netip.Addr {
	if !u.stepped.IsZero() && now.Sub(u.stepped) < stepAge {
		return u.a.Settings.Address()
	}
	if u.Holder != nil {
		if a := u.Holder(); a.IsValid() {
			return a
		}
	}
	if u.holder != u.a.Settings.Address() {
		return u.holder
	}
	return netip.Addr{}
}

// handleMessage handles a report or an answer of a peer. Messages are dropped if u is nil.
func (u *usage) handleMessage(from netip.Addr, message []byte) error {
	if u == nil {
		return nil
	}
	if accountant.IsAnswer(message) {
		a, err := accountant.DecodeAnswer(message)
		if err == nil {
			u.handleAnswer(time.Now(), from, a)
		}
		return err
	}
	r, err := accountant.DecodeReport(message)
	if err != nil {
		return err
	}
	u.a.control.sendTo(from, u.handleReport(time.Now(), from, r).Encode())
	if u.a.stopping.Started() {
		// The sender takes this router for a candidate.
		u.a.control.offer(func(now time.Time) { u.a.control.send(u.a.control.shortDigest(now), []netip.Addr{from}) })
	}
	return nil
}

// handleReport records the report of a peer and returns the answer.
func (u *usage) handleReport(now time.Time, from netip.Addr, r accountant.Report) accountant.Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.checkClock(now)
	at := u.since(now)
	u.clock.ObserveClock(at, r.Run, r.Wall)
	if current := u.currentWindow(now); current != 0 && r.Length == u.reporter.Length {
		if err := u.table.Receive(at, from, r, current, u.isDeclared); err != nil {
			u.rejected++
			u.a.Log.Log(logger.UsageRejected, "peer", from, "window", r.Current, "error", err)
		}
	}
	answer := accountant.Answer{Sent: r.Sent, Fixed: u.table.Fixed(), Holder: u.knownHolder(now)}
	answer.Time, answer.Clocks = u.clock.Own(at)
	return answer
}

// handleAnswer handles the answer of a peer to a report. One that was long under way says too little
// about the time.
func (u *usage) handleAnswer(now time.Time, from netip.Addr, a accountant.Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.checkClock(now)
	at := u.since(now)
	if a.Sent > at || at-a.Sent > usageInterval || !slices.Contains(u.targets, from) {
		return
	}
	u.answered[from] = max(u.answered[from], a.Sent)
	u.clock.ObserveEstimate(at, a.Sent, from, a.Time, a.Clocks)
	if a.Holder.IsValid() {
		u.holder = a.Holder
	}
	u.fix(now, a.Fixed)
}

// fix records that the windows up to one are fixed.
func (u *usage) fix(now time.Time, window int64) {
	current := u.currentWindow(now)
	if window >= current {
		return
	}
	u.table.Fix(u.since(now), window, current)
	u.counter.Fix(window)
}

// isDeclared reports whether the declaration has an organisation.
func (u *usage) isDeclared(hash uint64) bool {
	_, ok := u.name(hash)
	return ok
}

// name returns the name of a declared organisation.
func (u *usage) name(hash uint64) (string, bool) {
	if tables := u.a.control.directory().Tables; tables != nil && tables != u.hashedOf {
		u.hashed = make(map[uint64]string)
		for _, o := range tables.Organisations() {
			u.hashed[accountant.Hash(o.Name)] = o.Name
		}
		u.hashedOf = tables
	}
	name, ok := u.hashed[hash]
	return name, ok
}

// Acquired implements kingcuphook.DutyWorker.
func (u *usage) Acquired(time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.Acquired()
	u.retryAt = time.Time{}
}

// Step implements kingcuphook.DutyWorker.
func (u *usage) Step(ctx context.Context, c kingcuphook.DutyClient) {
	begun := time.Now()
	for ctx.Err() == nil && time.Since(begun) < maxStepTime {
		s, ok := u.next(time.Now())
		if !ok || !u.do(ctx, c, s) {
			return
		}
	}
}

// next returns the next call; false if there is none or the time of day is not known.
func (u *usage) next(now time.Time) (accountant.Step, bool) {
	routers := u.a.control.routers()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stepped = now
	u.checkClock(now)
	if len(routers) <= 1 && len(u.a.Settings.Seeds()) > 0 {
		// Cut off from all others, this router has neither their counts nor their clocks.
		return accountant.Step{}, false
	}
	t, ok := u.clock.At(u.since(now))
	if !ok || now.Before(u.retryAt) {
		return accountant.Step{}, false
	}
	u.reporter.Started, _ = u.clock.At(0)
	s := u.reporter.Next(t, u.a.store.Era(), accountant.Fleet{
		Fixed:      u.table.Fixed(),
		IsComplete: func(window int64) bool { return u.table.IsComplete(window, routers) },
		Sum:        func(window int64) map[string]int64 { return u.table.Sum(window, u.name) },
	})
	return s, s.Action != accountant.ActionNone
}

// do makes a call and passes its result to the reporter. It reports whether the call succeeded.
func (u *usage) do(ctx context.Context, c kingcuphook.DutyClient, s accountant.Step) bool {
	store := u.a.store
	switch s.Action {
	case accountant.ActionRead:
		e, err := store.Get(ctx, accountant.RecordKey)
		return u.finish(func() error { return u.reporter.Read(e, store.Era(), err) })
	case accountant.ActionWrite:
		revision, err := store.Put(ctx, accountant.RecordKey, s.Value, s.Revision, 0)
		return u.finish(func() error {
			u.reporter.Written(revision, store.Era(), err)
			return err
		})
	default:
		err := c.ReportUsage(ctx, s.Report)
		if err != nil && !errors.Is(err, executor.ErrWithheld) {
			u.a.Log.Log(logger.UsageReportFailed, "window", s.Report.Window, "error", err)
		}
		if errors.Is(err, kingcuphook.ErrInvalid) || errors.Is(err, kingcuphook.ErrTooLarge) {
			// The platform would refuse it again, and the later windows would wait for it.
			return u.finish(func() error { u.reporter.Reported(s.Report.Window); return nil })
		}
		if err != nil {
			return false
		}
		u.a.Log.Log(logger.UsageReported, "window", s.Report.Window, "organisations", len(s.Report.Counts))
		return u.finish(func() error {
			u.reporter.Reported(s.Report.Window)
			u.reports++
			return nil
		})
	}
}

// finish passes the result of a call to the reporter. After an error of the store, the next call waits.
func (u *usage) finish(result func() error) bool {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	err := result()
	u.fix(now, u.reporter.Fixed())
	if err != nil {
		u.retryAt = now.Add(usageRetry)
		u.a.Log.Log(logger.UsageRecordFailed, "key", accountant.RecordKey, "error", err)
	}
	return err == nil
}
