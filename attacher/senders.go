package attacher

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/forwarder"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
)

// senderTimeout bounds the read of a registration.
const senderTimeout = 400 * time.Millisecond

// senders finds which software version the programs have that answer with streams. An upstream may be
// back under its ID with another version before this router learns of it.
type senders struct {
	a *Attacher
	// reads counts the registrations that were read, displaced those that showed another program,
	// and unverified the answers that were dropped because none could be read.
	reads, displaced, unverified atomic.Int64

	mu sync.Mutex
	// checks are those of the programs in the tables.
	checks map[kingcuphook.Program]*senderCheck
}

// senderCheck is what is known of a program.
type senderCheck struct {
	mu sync.Mutex
	// verifiedAt is when the read was sent that last showed the version of the tables.
	verifiedAt time.Time
	// reading is the read in flight; nil if there is none.
	reading *versionRead
}

// versionRead is a read of a registration. Its result is set before done is closed.
type versionRead struct {
	sentAt  time.Time
	done    chan struct{}
	version string
	err     error
}

func newSenders(a *Attacher) *senders {
	return &senders{a: a, checks: make(map[kingcuphook.Program]*senderCheck)}
}

// verify implements forwarder.Forwarder.VerifySender. The sender has the version of the tables if they were
// confirmed, or its registration was read, after the connection was open. If the registration can't be read,
// verify assumes that version, except for a stream that goes on if a connection was lost since the tables were
// confirmed.
func (s *senders) verify(ctx context.Context, sender forwarder.Sender) error {
	confirmedAt := s.a.pins.pinner.ConfirmedAt()
	if confirmedAt.After(sender.OpenedAt) && s.isInTables(sender.Upstream) {
		return nil
	}
	c := s.check(sender.Upstream.Program())
	version, err := s.readAfter(ctx, c, sender)
	switch {
	case err == nil && version == sender.Upstream.SoftwareVersion():
		return nil
	case err == nil:
		s.displaced.Add(1)
		return fmt.Errorf("attacher: %s has version %q, not %q: %w: %w: %w", sender.Upstream.Address(), version, sender.Upstream.SoftwareVersion(),
			kingcuphook.ErrMisdirected, kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown)
	case sender.Begins || !sender.LostAt.After(confirmedAt):
		return nil
	}
	s.unverified.Add(1)
	// The error of the store is not wrapped: that the store is unavailable doesn't mean that the call has not run.
	return fmt.Errorf("attacher: version of %s after a lost connection: %w: %w: %s", sender.Upstream.Address(), kingcuphook.ErrUpstreamAnswered, kingcuphook.ErrOutcomeUnknown, err.Error())
}

// readAfter returns the registered version, or the error of reading it. Only a read counts that was sent after
// the connection of the sender was open. The senders of a program share reads, so that none waits for more than two.
func (s *senders) readAfter(ctx context.Context, c *senderCheck, sender forwarder.Sender) (string, error) {
	for {
		r, isOwn := c.begin(sender)
		switch {
		case r == nil:
			return sender.Upstream.SoftwareVersion(), nil
		case isOwn:
			r.version, r.err = s.readVersion(context.WithoutCancel(ctx), sender.Upstream)
			s.logRead(r, sender)
			c.end(r, sender.Upstream)
			return r.version, r.err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return "", ctx.Err()
		}
		if r.sentAt.After(sender.OpenedAt) {
			return r.version, r.err
		}
	}
}

// begin returns the read in flight, a new one that is the caller's own if there is none, or nil if the
// version was verified since the connection of the sender was open.
func (c *senderCheck) begin(sender forwarder.Sender) (r *versionRead, isOwn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.verifiedAt.After(sender.OpenedAt) {
		return nil, false
	}
	if c.reading != nil {
		return c.reading, false
	}
	c.reading = &versionRead{sentAt: time.Now(), done: make(chan struct{})}
	return c.reading, true
}

// end records the result of a read for an upstream.
func (c *senderCheck) end(r *versionRead, u *kingcuphook.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.err == nil && r.version == u.SoftwareVersion() {
		c.verifiedAt = r.sentAt
	}
	c.reading = nil
	close(r.done)
}

// logRead logs a read for a sender.
func (s *senders) logRead(r *versionRead, sender forwarder.Sender) {
	u := sender.Upstream
	s.a.Log.Log(logger.SenderChecked, "upstream", u.Address(), "instance", u.Instance(), "version", u.SoftwareVersion(),
		"registered", r.version, "begins", sender.Begins, "opened-ms-ago", r.sentAt.Sub(sender.OpenedAt).Milliseconds(), "lost", !sender.LostAt.IsZero(),
		"confirmed-ms-ago", r.sentAt.Sub(s.a.pins.pinner.ConfirmedAt()).Milliseconds(), "took-ms", time.Since(r.sentAt).Milliseconds(), "error", r.err)
}

// isInTables reports whether the tables have the program with the version of the upstream.
func (s *senders) isInTables(u *kingcuphook.Upstream) bool {
	tables := s.a.control.directory().Tables
	return tables != nil && tables.HasProgram(u.Program(), u.SoftwareVersion())
}

func (s *senders) check(p kingcuphook.Program) *senderCheck {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checks[p] == nil {
		s.checks[p] = &senderCheck{}
	}
	return s.checks[p]
}

// retain forgets the programs that are not in the tables.
func (s *senders) retain(t *kingcuphook.Tables) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.checks, func(p kingcuphook.Program, _ *senderCheck) bool { return !t.Runs(p) })
}

// readVersion reads the version that is registered for the instance at the address of the upstream.
func (s *senders) readVersion(ctx context.Context, u *kingcuphook.Upstream) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, senderTimeout)
	defer cancel()
	s.reads.Add(1)
	e, err := s.a.store.Get(ctx, platform.RegistrationPrefix+u.Instance())
	if err != nil {
		return "", err
	}
	r, err := platform.DirectoryCodec{Regions: s.a.Settings.Regions()}.Registration(e.Key(), e.Value())
	if err != nil {
		return "", err
	}
	if r.Upstream.Address != u.Address() {
		return "", fmt.Errorf("attacher: %s is registered at %s: %w", u.Instance(), r.Upstream.Address, kingcuphook.ErrNotFound)
	}
	return r.Upstream.SoftwareVersion, nil
}

func (s *senders) addGauges() {
	m := s.a.meter
	m.Gauge("kingcuphook_sender_checks_total", func() float64 { return float64(s.reads.Load()) })
	m.Gauge("kingcuphook_senders_displaced_total", func() float64 { return float64(s.displaced.Load()) })
	m.Gauge("kingcuphook_senders_unverified_total", func() float64 { return float64(s.unverified.Load()) })
}
