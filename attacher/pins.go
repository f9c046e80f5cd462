package attacher

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/pinner"
)

const (
	// findTimeout bounds how long a call waits until the origin of its stream is found: for a read of the store
	// under way and its own. peerTimeout bounds how long it waits for peers.
	findTimeout = 900 * time.Millisecond
	peerTimeout = 150 * time.Millisecond
	// queryDelay is how long queries for streams are batched before they are sent to the
	// peers, and queryDelayPerRouter how much each router adds to it.
	queryDelay          = 5 * time.Millisecond
	queryDelayPerRouter = 50 * time.Microsecond
	// minReadInterval is the shortest time between two reads of the ledger in the store, and
	// readIntervalPerRouter how much each router adds to it.
	minReadInterval       = 100 * time.Millisecond
	readIntervalPerRouter = 2 * time.Millisecond
	// maxRejected bounds the invalid entries that are logged.
	maxRejected = 1024
)

// pins finds the software versions that began streams: in the memory of this router, from
// peers and in the store. It does the calls, package pinner decides. It implements
// kingcuphook.StreamPinner.
type pins struct {
	a      *Attacher
	pinner pinner.Pinner
	// peers are the other routers.
	peers atomic.Pointer[[]netip.Addr]
	// found counts the origins found by source, unknown the calls whose stream has none.
	found   map[pinner.Source]*atomic.Int64
	unknown atomic.Int64
	// reads counts the lists of the store, writes the segments and records written.
	reads, writes atomic.Int64
	// started is true once the first records of the pools of the first tables are known, or are not awaited any
	// more.
	started atomic.Bool
	// recordings holds back the first events of streams.
	recordings *recordings

	// reading is held during a read of the store.
	reading sync.Mutex

	mu sync.Mutex
	// inquiries are the streams whose origin calls wait for, by key.
	inquiries map[uint64]*inquiry
	// unsent are the keys for the next query to peers.
	unsent []uint64
	// nextRead is closed once the next read of the store has ended; nil if none is due.
	nextRead chan struct{}
	lastRead time.Time
	// wanted are the pools that the next read is for, wantedAt is when one was last added.
	wanted   map[string]bool
	wantedAt time.Time
	// rejected are the revisions of invalid entries that were logged, by key.
	rejected map[string]int64
}

// inquiry is a stream whose origin calls wait for.
type inquiry struct {
	// waiting is the number of calls.
	waiting int
	// reported is closed once the origin is reported.
	reported chan struct{}
	isDone   bool
}

var _ kingcuphook.StreamPinner = (*pins)(nil)

func newPins(a *Attacher) *pins {
	s := &pins{a: a, recordings: newRecordings(), found: make(map[pinner.Source]*atomic.Int64), inquiries: make(map[uint64]*inquiry), wanted: make(map[string]bool), rejected: make(map[string]int64)}
	for _, source := range pinner.Sources() {
		s.found[source] = &atomic.Int64{}
	}
	s.peers.Store(&[]netip.Addr{})
	return s
}

// Begun implements kingcuphook.StreamPinner. While several versions are or were in service, it
// waits until the ledger has the stream: the caller may resume it once it has the first event,
// also if all routers have ended since. A stream that isn't in the ledger is taken for one of the base
// of the pool's record: at another version, it begins only once the ledger has it as queued, while any upstream has
// the base.
func (s *pins) Begun(ctx context.Context, r *kingcuphook.Request, version string) error {
	if !isAttempt(r.ID()) {
		return nil
	}
	began := time.Now()
	key := pinner.Key(r.Organisation(), r.ID())
	base, guarded := s.pinner.Guarded(began, r.Pool())
	how := recordingDone
	if guarded && version != base {
		how = s.queue(ctx, key, pinner.MaxGuard)
	}
	queued := time.Since(began)
	if how == recordingDone || !s.pinner.TakesNew(r.Pool(), base) {
		how = s.record(ctx, key, r.Pool(), version, pinner.MaxHold-queued)
	} else {
		how = recordingUnqueued
	}
	if how == recordingNone {
		return nil
	}
	held := time.Since(began)
	s.recordings.count(how, held)
	s.a.Log.Log(logger.StreamHeld, "request", r.ID(), "pool", r.Pool(), "version", version, "base", base, "queued-ms", queued.Milliseconds(), "held-ms", held.Milliseconds(), "recording", how)
	if how == recordingUnqueued {
		return fmt.Errorf("attacher: stream of version %q is not in the ledger: %w", version, kingcuphook.ErrVersionUnrecorded)
	}
	return nil
}

// queue returns once the ledger has the stream without a version, or how it failed in the given time.
func (s *pins) queue(ctx context.Context, key uint64, longest time.Duration) recording {
	ended := s.recordings.expect(key, true)
	defer s.recordings.forget(key, ended)
	if !s.pinner.Queue(time.Now(), key) {
		return recordingDone
	}
	s.recordings.wake()
	return s.recordings.hold(ctx, ended, longest)
}

// record has the ledger record a stream that begins, and waits for that as long as it can be expected.
func (s *pins) record(ctx context.Context, key uint64, pool, version string, longest time.Duration) recording {
	var ended <-chan recording
	if s.pinner.IsMixed(pool) {
		ended = s.recordings.expect(key, false)
		defer s.recordings.forget(key, ended)
	}
	if !s.pinner.Begun(time.Now(), key, pool, version) {
		return recordingNone
	}
	s.recordings.wake()
	if ended == nil {
		return recordingDistant
	}
	return s.recordings.hold(ctx, ended, longest)
}

// Find implements kingcuphook.StreamPinner.
func (s *pins) Find(ctx context.Context, organisation, attempt, pool string) (kingcuphook.Origin, error) {
	began := time.Now()
	found, err := s.find(ctx, pinner.Key(organisation, attempt), isAttempt(attempt), pool)
	took := time.Since(began)
	e := s.pinner.Evidence(time.Now(), began, pool)
	log := s.a.Log.With("base", e.Base, "record-revision", e.Revision, "record-age-ms", e.RecordAge.Milliseconds(), "ledger-age-ms", e.LedgerAge.Milliseconds(),
		"versions", strings.Join(s.pinner.Versions(began, pool), ","))
	if err != nil {
		s.unknown.Add(1)
		log.Log(logger.StreamOriginUnknown, "pool", pool, "organisation", organisation, "attempt", attempt[:min(len(attempt), kingcuphook.MaxAttemptBytes)],
			"took-ms", took.Milliseconds(), "missing", e.Gap, "error", err)
		return kingcuphook.Origin{}, err
	}
	s.found[found.Source].Add(1)
	log.Log(logger.StreamOriginFound, "pool", found.Origin.Pool, "version", found.Origin.Version, "source", found.Source,
		"organisation", organisation, "attempt", attempt[:min(len(attempt), kingcuphook.MaxAttemptBytes)], "age-ms", found.Age.Milliseconds(), "took-ms", took.Milliseconds())
	return found.Origin, nil
}

// hasStarted reports whether streams that may be resumed begin at this router. Once they do, a new pool makes no
// difference.
func (s *pins) hasStarted() bool {
	if !s.started.Load() && !s.pinner.AwaitsRecords(time.Now()) {
		s.started.Store(true)
	}
	return s.started.Load()
}

// isAttempt reports whether the ID can name a stream.
func isAttempt(attempt string) bool {
	return attempt != "" && len(attempt) <= kingcuphook.MaxAttemptBytes
}

// find returns the origin of a stream. A call that names no attempt gets the only version in
// service, if that is certain.
func (s *pins) find(ctx context.Context, key uint64, named bool, pool string) (pinner.Found, error) {
	began := time.Now()
	found, err := s.pinner.Find(began, began, key, pool)
	if named && found.Source == pinner.SourceSingle {
		s.askPeers(ctx, key)
		found, err = s.pinner.Find(time.Now(), began, key, pool)
	}
	if !isUnknown(err) || !named && s.isCertainlyMixed(pool) {
		return found, err
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var reported <-chan struct{}
	var silent <-chan time.Time
	if named {
		reported = s.ask(key)
		defer s.release(key)
		silent = time.After(peerTimeout)
	}
	read := s.read(pool)
	for read != nil || silent != nil {
		select {
		case <-reported:
			reported = nil
		case <-read:
			read = nil
		case <-silent:
			silent = nil
		case <-ctx.Done():
			read, silent = nil, nil
		}
		found, err = s.pinner.Find(time.Now(), began, key, pool)
		isBase := err == nil && found.Source == pinner.SourceBase
		if isBase && !named {
			found, err = pinner.Found{}, errUnnamed
		}
		// Peers may know a stream that isn't in the ledger.
		awaitsPeers := isBase && silent != nil
		if !isUnknown(err) && !awaitsPeers {
			return found, err
		}
	}
	return found, err
}

// errUnnamed means that a call that resumes a stream names no attempt, while several versions are or were
// in service.
var errUnnamed = fmt.Errorf("attacher: no attempt is named: %w", kingcuphook.ErrVersionUnknown)

// askPeers returns once a peer has reported the origin of the stream, or after peerTimeout. A
// peer may have learned of another version before this router.
func (s *pins) askPeers(ctx context.Context, key uint64) {
	if len(*s.peers.Load()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	defer s.release(key)
	select {
	case <-s.ask(key):
	case <-ctx.Done():
	}
}

// isUnknown reports whether others may know the origin of a stream.
func isUnknown(err error) bool {
	return errors.Is(err, kingcuphook.ErrVersionUnknown) && !errors.Is(err, pinner.ErrAmbiguous)
}

// ask queues a query to all peers for a stream. The channel is closed once it is answered.
func (s *pins) ask(key uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.inquiries[key]
	if q == nil {
		q = &inquiry{reported: make(chan struct{})}
		s.inquiries[key] = q
		s.unsent = append(s.unsent, key)
		if len(s.unsent) == 1 {
			time.AfterFunc(queryDelay+time.Duration(s.a.routers.Load())*queryDelayPerRouter, s.sendQueries)
		}
	}
	q.waiting++
	return q.reported
}

func (s *pins) release(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.inquiries[key]
	q.waiting--
	if q.waiting == 0 {
		delete(s.inquiries, key)
	}
}

// sendQueries sends the queued queries to all peers.
func (s *pins) sendQueries() {
	s.mu.Lock()
	keys := s.unsent
	s.unsent = nil
	s.mu.Unlock()
	for len(keys) > 0 {
		n := min(len(keys), pinner.MaxKeys)
		s.a.control.sendToAll(pinner.EncodeQuery(keys[:n]), *s.peers.Load())
		keys = keys[n:]
	}
}

// handleMessage handles the query or the answer of a peer.
func (s *pins) handleMessage(peer netip.Addr, message []byte) error {
	keys, reports, err := pinner.Decode(message)
	if err != nil {
		return err
	}
	if known := s.pinner.Known(time.Now(), keys); len(known) > 0 {
		s.a.control.sendTo(peer, pinner.EncodeAnswer(known))
	}
	if len(reports) == 1 && reports[0].Announced() != pinner.GuardNone {
		s.a.control.offer(func(now time.Time) { s.a.control.peers.guards.Received(now, peer, reports[0].Announced()) })
		return nil
	}
	s.learn(reports, pinner.SourcePeer)
	return nil
}

// learn records the reports of streams that calls wait for.
func (s *pins) learn(reports []pinner.Report, source pinner.Source) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		q := s.inquiries[r.Key]
		if q == nil {
			continue
		}
		s.pinner.Learn(now, r, source)
		if !q.isDone {
			q.isDone = true
			close(q.reported)
		}
	}
}

func (s *pins) addGauges() {
	m := s.a.meter
	m.Gauge("kingcuphook_streams_remembered", func() float64 { return float64(s.pinner.Remembered()) })
	m.Gauge("kingcuphook_pool_versions_max", func() float64 { return float64(s.pinner.MaxVersions(time.Now())) })
	for source, n := range s.found {
		m.Gauge("kingcuphook_stream_origins_from_"+string(source)+"_total", func() float64 { return float64(n.Load()) })
	}
	m.Gauge("kingcuphook_stream_origins_unknown_total", func() float64 { return float64(s.unknown.Load()) })
	m.Gauge("kingcuphook_version_store_reads_total", func() float64 { return float64(s.reads.Load()) })
	m.Gauge("kingcuphook_version_store_writes_total", func() float64 { return float64(s.writes.Load()) })
	m.Gauge("kingcuphook_streams_recorded_total", func() float64 { return float64(s.recordings.recorded.Load()) })
	m.Gauge("kingcuphook_streams_unrecorded_total", func() float64 { return float64(s.recordings.unrecorded.Load()) })
	m.Gauge("kingcuphook_stream_hold_seconds_total", func() float64 { return time.Duration(s.recordings.held.Load()).Seconds() })
}
