// Package attacher assembles and runs a router for an existing host platform, whose
// formats package platform implements. Calls are forwarded in the format in which they
// arrive. The tables are built from the operators' declaration and the upstreams'
// registrations in the platform's store. Package router, in contrast, assembles the
// router with APIs of its own and tables that operators edit.
package attacher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/allocator"
	"github.com/kingcuphook/kingcuphook/bounder"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/ejector"
	"github.com/kingcuphook/kingcuphook/estimator"
	"github.com/kingcuphook/kingcuphook/forwarder"
	"github.com/kingcuphook/kingcuphook/indexer"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/locator"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/meter"
	"github.com/kingcuphook/kingcuphook/narrator"
	"github.com/kingcuphook/kingcuphook/observer"
	"github.com/kingcuphook/kingcuphook/permitter"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/quarantiner"
	"github.com/kingcuphook/kingcuphook/rationer"
	"github.com/kingcuphook/kingcuphook/receiver"
	"github.com/kingcuphook/kingcuphook/recorder"
	"github.com/kingcuphook/kingcuphook/reserver"
	"github.com/kingcuphook/kingcuphook/retrier"
	"github.com/kingcuphook/kingcuphook/scheduler"
	"github.com/kingcuphook/kingcuphook/stopper"
	"github.com/kingcuphook/kingcuphook/tallier"
	"github.com/kingcuphook/kingcuphook/withdrawer"
)

// Attacher is one router on the platform. Its exported fields are set before Run.
type Attacher struct {
	// Settings are the settings of the process; never nil.
	Settings *platform.Settings
	// Hedges decides when requests are hedged; nil means that none are.
	Hedges kingcuphook.HedgePolicy
	// BoundsKVMemory bounds the requests at engines by their KV memory, in pools that declare it.
	BoundsKVMemory bool
	// FleetFairness makes the organisations of a tier equal over all routers, not at each one.
	FleetFairness bool
	// Log receives the log events; nil means none.
	Log *logger.Logger
	// Dropped returns how many log lines were dropped; nil means none.
	Dropped func() int64

	listeners listeners
	datagrams *net.UDPConn
	tally     *tallier.Tally
	// kvCounts counts the requests that wait or are refused for lack of KV memory.
	kvCounts   reserver.Counts
	prefills   *prefills
	store      *platform.Store
	control    *control
	allocator  *allocator.Allocator
	forwarder  *forwarder.Forwarder
	dispatcher *dispatcher.Dispatcher
	receiver   *receiver.Receiver
	meter      *meter.Meter
	// memory is the budget for what callers and upstreams make the router hold.
	memory     *rationer.Rationer
	quarantine *quarantiner.Quarantiner
	isolator   *isolator.Isolator
	pins       *pins
	senders    *senders
	relays     *relays
	// duties are those that one router has at a time; nil if there are none.
	duties *duties
	// candidates ranks the routers for the lease on them.
	candidates *candidates
	// roundTrips has the round-trip times to the data centres.
	roundTrips estimator.RoundTrips
	// speeds has the learned speeds of the upstreams.
	speeds speeds
	// reports passes the loads of the other routers to the allocator.
	reports loadReports
	// fairness has what organisations were served at the other routers.
	fairness fairness
	// index has the locations of long shared prefixes.
	index indexer.Index
	// withdrawn has the upstreams that announced in a reply that they are leaving.
	withdrawn withdrawer.Withdrawer
	// permits keeps the rate limits that upstreams announced.
	permits *permitter.Permitter
	// usage counts and reports the requests of each organisation; nil if the settings have no such duty.
	usage *usage
	// pauses counts the requests of upstreams to be paused.
	pauses atomic.Int64
	// rejected is the number of entries of the store that are ignored as invalid.
	rejected atomic.Int64
	// routers is the number of known routers, including this one; fleet the number that
	// share the retry budgets.
	routers atomic.Int64
	// routerIndex is the index of this one among them in the order of their addresses.
	routerIndex atomic.Int64
	fleet       retrier.Fleet
	// stopping is the graceful shutdown.
	stopping stopper.Stopper
	// reloaded are the settings that were read last; nil means Settings.
	reloaded atomic.Pointer[platform.Settings]
}

type listeners struct {
	callers, ready, metrics, peers net.Listener
}

// Reload passes on settings that were read while the process runs. Only a shorter grace time takes
// effect, for a graceful shutdown that has not begun; all others do at the next start.
func (a *Attacher) Reload(s *platform.Settings) { a.reloaded.Store(s) }

// Run serves calls until ctx ends, and then shuts down gracefully.
func (a *Attacher) Run(ctx context.Context) error {
	if err := a.listen(); err != nil {
		return err
	}
	a.build()
	defer a.store.Close()
	defer a.forwarder.Close()
	defer a.relays.door.Close()
	s := a.Settings
	a.Log.Log(logger.Started, "name", s.Name(), "region", s.Region(), "data-centre", s.DataCentre(),
		"callers", s.CallersAddress(), "store", s.StoreAddress())
	parts, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, parts := errgroup.WithContext(parts)
	g.Go(func() error { a.control.run(parts); return nil })
	g.Go(func() error { a.follow(parts); return nil })
	g.Go(func() error { a.runExchange(parts); return nil })
	g.Go(func() error { a.runPermits(parts); return nil })
	g.Go(func() error { a.runLedger(parts); return nil })
	g.Go(func() error { a.runDuties(ctx, parts); return nil })
	g.Go(func() error { a.usage.run(parts); return nil })
	g.Go(func() error { a.forwarder.WatchPaths(parts); return nil })
	g.Go(a.receiveDatagrams)
	g.Go(func() error { return a.receiver.Run(a.listeners.callers) })
	for _, p := range a.ports() {
		server := p.server()
		g.Go(func() error { return serve(server, a.limited(p)) })
		context.AfterFunc(parts, func() { _ = server.Close() })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.stop()
			a.usage.flush()
		case <-parts.Done():
		}
		end()
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("attacher: %w", err)
	}
	a.Log.Log(logger.Stopped)
	return nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (a *Attacher) listen() error {
	s := a.Settings
	for _, l := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers", s.CallersAddress(), &a.listeners.callers},
		{"ready", s.ReadyAddress(), &a.listeners.ready},
		{"metrics", s.MetricsAddress(), &a.listeners.metrics},
		{"peers", s.PeerAddress(), &a.listeners.peers},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			a.Log.Log(logger.ListenFailed, "listen", l.name, "address", l.address, "error", err)
			return fmt.Errorf("attacher: listen for %s: %w", l.name, err)
		}
		*l.listener = opened
	}
	address, err := net.ResolveUDPAddr("udp", s.PeerAddress())
	if err == nil {
		a.datagrams, err = net.ListenUDP("udp", address)
	}
	if err != nil {
		a.Log.Log(logger.ListenFailed, "listen", "datagrams", "address", s.PeerAddress(), "error", err)
		return fmt.Errorf("attacher: listen for datagrams: %w", err)
	}
	return nil
}

func (a *Attacher) build() {
	s := a.Settings
	a.routers.Store(1)
	a.store = &platform.Store{Address: s.StoreAddress()}
	a.store.Connect()
	a.meter = meter.New()
	a.memory = &rationer.Rationer{Bytes: memoryBudget(s.Memory())}
	a.addGauges()
	a.permits = &permitter.Permitter{Self: s.Address().String(), OnChange: a.logRateLimit, OnPlacesChange: a.logPlaces, Careful: true}
	a.allocator = &allocator.Allocator{NewScheduler: a.newScheduler}
	a.prefills = &prefills{next: a.allocator, isScaled: a.isScaled}
	a.tally = &tallier.Tally{Next: a.prefills}
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Address(), 0))
	a.forwarder = &forwarder.Forwarder{
		Codec:        platform.HeaderCodec{},
		ProbePath:    platform.PathReport,
		LocalAddress: local,
		OnDial:       func(u *kingcuphook.Upstream, took time.Duration) { a.roundTrips.Observe(u.DataCentre(), took) },
		OnNotice:     a.handleNotice,
		Memory:       a.memory,
	}
	a.relays = newRelays(a, local)
	a.relays.equip(a.forwarder)
	a.relays.addGauges()
	a.addIndexGauges()
	a.addFairnessGauges()
	a.pins = newPins(a)
	a.pins.addGauges()
	a.senders = newSenders(a)
	a.senders.addGauges()
	a.forwarder.VerifySender = a.senders.verify
	a.control = newControl(a)
	a.candidates = newCandidates(a)
	var counted kingcuphook.Allocator = a.tally
	if slices.Contains(s.Duties(), kingcuphook.DutyUsage) {
		a.usage = newUsage(a)
		counted = a.usage.allocator(a.tally)
	}
	a.duties = newDuties(a)
	a.quarantine = &quarantiner.Quarantiner{}
	a.isolator = &isolator.Isolator{}
	a.isolator.OnChange = a.partChanged
	watch := &observer.Observer{Recorder: &recorder.Recorder{}, Meter: a.meter}
	a.dispatcher = &dispatcher.Dispatcher{
		Allocator:     &narrator.Allocator{Next: &observer.Allocator{Next: &holdAllocator{next: counted, pins: a.pins}, Observer: watch}, Log: a.Log, Explain: a.allocator.Explain},
		Engine:        &narrator.Engine{Next: &observer.Engine{Next: a.forwarder, Observer: watch}, Log: a.Log},
		Quarantiner:   a.quarantine,
		Isolator:      a.isolator,
		OnCrash:       narrator.LogCrash(a.Log),
		NewBudget:     a.newBudget,
		BudgetKey:     (*kingcuphook.Request).Pool,
		HasVacancy:    a.allocator.HasVacancy,
		Readmit:       a.allocator.Readmit,
		InquireSilent: a.forwarder.InquireSilent,
		Pins:          a.pins,
		Hedges:        a.Hedges,
		HasSpareSlot:  a.allocator.HasSpareSlot,
		Mover:         a.forwarder,
		OnMove:        a.logMove,
		Neighbours: func(u *kingcuphook.Upstream) []string {
			return a.control.directory().Tables.InDataCentre(u.DataCentre())
		},
		Stopping:    a.stopping.Begun(),
		LatestStart: func(r *kingcuphook.Request) time.Time { return a.receiver.LatestStart(r) },
		Owner:       s.Name(),
		Limits:      dispatcher.Limits{WaitShare: waitShare},
	}
	a.receiver = &receiver.Receiver{
		Dispatcher:   a.dispatcher,
		Codec:        platform.HeaderCodec{},
		Directory:    a.control.directory,
		TablesLoaded: a.control.tablesLoaded,
		StopTimes:    a.stopping.Times,
		Pins:         a.pins,
		Observer:     watch,
		Memory:       a.memory,
		Log:          a.Log,
		Region:       s.Region(),
		DataCentre:   s.DataCentre(),
	}
}

func (a *Attacher) addGauges() {
	a.meter.Gauge("kingcuphook_routers", func() float64 { return float64(a.routers.Load()) })
	a.meter.Gauge("kingcuphook_open_requests", func() float64 { return float64(a.receiver.InFlight()) })
	a.meter.Gauge("kingcuphook_requests_unanswered_total", func() float64 { return float64(a.receiver.Unanswered()) })
	a.meter.Gauge("kingcuphook_requests_late_for_stop_total", func() float64 { return float64(a.receiver.Late()) })
	a.meter.Gauge("kingcuphook_upstreams_uneven", func() float64 { return float64(a.speeds.uneven()) })
	a.meter.Gauge("kingcuphook_upstreams_withdrawn", func() float64 { return float64(a.withdrawn.Count()) })
	a.meter.Gauge("kingcuphook_rejected_entries", func() float64 { return float64(a.rejected.Load()) })
	a.meter.Gauge("kingcuphook_upstream_rests_total", func() float64 { return float64(a.pauses.Load()) })
	a.meter.Gauge("kingcuphook_upstreams_rate_limited", func() float64 { return float64(a.permits.Count()) })
	a.meter.Gauge("kingcuphook_upstream_rate_limits_per_second", func() float64 { return a.permits.Sum() })
	a.meter.Gauge("kingcuphook_rate_limited_requests_sent_total", func() float64 { return float64(a.permits.Sent()) })
	a.meter.Gauge("kingcuphook_rate_limited_requests_withheld_total", func() float64 { return float64(a.permits.Withheld()) })
	a.meter.Gauge("kingcuphook_upstreams_brittle", func() float64 { return float64(a.permits.Brittle()) })
	a.meter.Gauge("kingcuphook_brittle_places_held", func() float64 { held, _ := a.permits.Places(); return float64(held) })
	a.meter.Gauge("kingcuphook_brittle_requests_refused_total", func() float64 { _, refused := a.permits.Places(); return float64(refused) })
	a.meter.Gauge("kingcuphook_attempts_silent_total", func() float64 { return float64(a.dispatcher.Counts().Unresponsive) })
	a.meter.Gauge("kingcuphook_attempts_silent_long_total", func() float64 { return float64(a.dispatcher.Counts().LongSilent) })
	a.meter.Gauge("kingcuphook_hedges_total", func() float64 { return float64(a.dispatcher.Counts().Hedged) })
	a.meter.Gauge("kingcuphook_hedges_won_total", func() float64 { return float64(a.dispatcher.Counts().HedgesWon) })
	a.meter.Gauge("kingcuphook_hedge_tokens_total", func() float64 { return float64(a.dispatcher.Counts().HedgeTokens) })
	a.meter.Gauge("kingcuphook_streams_moved_total", func() float64 { return float64(a.dispatcher.Counts().Moved) })
	a.meter.Gauge("kingcuphook_stream_moves_failed_total", func() float64 { return float64(a.dispatcher.Counts().MovesFailed) })
	a.meter.Gauge("kingcuphook_kv_memory_waits_total", func() float64 { return float64(a.kvCounts.Held.Load()) })
	a.meter.Gauge("kingcuphook_kv_memory_too_large_total", func() float64 { return float64(a.kvCounts.TooLarge.Load()) })
	a.meter.Gauge("kingcuphook_memory_budget_bytes", func() float64 { return float64(a.memory.Bytes) })
	a.meter.Gauge("kingcuphook_memory_held_bytes", func() float64 { return float64(a.memory.Usage().Held) })
	a.meter.Gauge("kingcuphook_memory_held_peak_bytes", func() float64 { return float64(a.memory.Usage().Peak) })
	a.meter.Gauge("kingcuphook_memory_refused_total", func() float64 { return float64(a.memory.Usage().Refused) })
	a.meter.Gauge("kingcuphook_attempts_crashed_total", func() float64 { return float64(a.dispatcher.Counts().Crashes) })
	a.meter.Gauge("kingcuphook_quarantined_fingerprints", func() float64 { return float64(len(a.quarantine.List(time.Now()))) })
	a.meter.Gauge("kingcuphook_quarantined_parts", func() float64 { n, _ := a.isolator.Count(); return float64(n) })
	a.meter.Gauge("kingcuphook_suspected_parts", func() float64 { _, n := a.isolator.Count(); return float64(n) })
	a.meter.Gauge("kingcuphook_heads_rejected_total", func() float64 { return float64(a.forwarder.HeadsRejected()) })
	a.meter.Gauge("kingcuphook_log_lines_dropped_total", func() float64 {
		if a.Dropped == nil {
			return 0
		}
		return float64(a.Dropped())
	})
}

func (a *Attacher) newScheduler(pool string) kingcuphook.Scheduler {
	s := &scheduler.Scheduler{
		Admitter:     &admitter.Admitter{},
		HoldPerModel: true,
		Limiter:      &bounder.Bounder{Seed: xxhash.Sum64String(a.Settings.Address().String()), Speeds: a.speeds.ofPool(pool)},
		Selector: &locator.Locator{
			Region: a.Settings.Region(), DataCentre: a.Settings.DataCentre(), RoundTrip: a.roundTrips.RoundTrip,
			Speeds: a.speeds.ofPool(pool),
			Index:  &a.index,
		},
		Ejector: &ejector.Ejector{Decay: ejectorDecay, SlowFactor: slowFactor},
		Permits: a.permits,
	}
	if a.BoundsKVMemory {
		s.Memory = &reserver.Memory{Counts: &a.kvCounts}
	}
	return s
}

// memoryShare is the share of the memory of the process that callers' connections, heads, bodies and
// events may use. The rest is for tables, other connections and garbage.
const memoryShare = 0.4

// defaultMemoryBudget is the budget in bytes if the settings don't state the memory of the process.
const defaultMemoryBudget = 64 << 20

// memoryBudget returns the budget in bytes of a process with that memory; 0 means unknown.
func memoryBudget(memory int64) int64 {
	if memory <= 0 {
		return defaultMemoryBudget
	}
	return int64(memoryShare * float64(memory))
}

// waitShare is the share of the time until its deadline that a call may be queued for its
// first upstream.
const waitShare = 0.15

// ejectorDecay is the weight of earlier samples in the moving averages of an ejector.
// It is high because some calls fail at every upstream.
const ejectorDecay = 0.9

// slowFactor is so high that in practice no upstream is ejected as slow: the speeds of
// upstreams also differ with the calls that they get.
const slowFactor = 1000

func (a *Attacher) newBudget(string) kingcuphook.RetryBudget {
	s := a.Settings
	return &retrier.Window{Length: s.RetryWindow(), Ratio: s.RetryRatio(), Slack: s.RetrySlack(), Fleet: &a.fleet}
}

func (a *Attacher) answerReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if a.stopping.Started() || a.control.directory().Tables == nil || !a.pins.hasStarted() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *Attacher) answerMetrics(w http.ResponseWriter, _ *http.Request) { a.meter.Write(w) }
