package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// hop is the way on which an attempt reaches its upstream: through a peer or, if that is the zero
// address, directly, on a connection that was open at openedAt.
type hop struct {
	peer     netip.Addr
	openedAt time.Time
}

// Sender is the program that answers with a stream.
type Sender struct {
	// Upstream is that of the attempt. Another program may have started at its address since.
	Upstream *kingcuphook.Upstream
	// OpenedAt is when the connection was open at the latest.
	OpenedAt time.Time
	// LostAt is when a connection to the upstream was last lost or refused; zero if none was.
	LostAt time.Time
	// Begins is true if the stream begins, and false if the answer must go on at a software version.
	Begins bool
}

// verify returns an error if the program that answers may have another software version than the
// upstream. That matters if the stream must go on at a version. If the stream begins, it only matters
// once a connection was lost, as in a crash: the version is then recorded with the stream.
func (f *Forwarder) verify(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt, h hop) error {
	if f.VerifySender == nil || a.Opaque() == nil || !a.Opaque().Resumable {
		return nil
	}
	_, restricted := a.Request().OnlyVersion()
	s := Sender{Upstream: u, OpenedAt: h.openedAt, LostAt: f.lostAt(u), Begins: !restricted}
	if s.Begins && (s.LostAt.IsZero() || s.OpenedAt.Before(s.LostAt)) {
		return nil
	}
	return f.VerifySender(ctx, s)
}

// recordLoss records that a connection to a program was lost or refused.
func (f *Forwarder) recordLoss(u *kingcuphook.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == nil {
		f.lost = make(map[kingcuphook.Program]time.Time)
	}
	f.lost[u.Program()] = time.Now()
}

func (f *Forwarder) lostAt(u *kingcuphook.Upstream) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[u.Program()]
}
