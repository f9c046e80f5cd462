package attacher

import (
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
)

// handleNotice handles the notice of an upstream in the reply to a call that was sent at
// sentAt: that it is leaving, asks to be paused, limits the rate of calls or is brittle, and
// that it has not crashed.
func (a *Attacher) handleNotice(u *kingcuphook.Upstream, n kingcuphook.Notice, sentAt time.Time) {
	a.handleAnswer(u, sentAt)
	a.permits.Observe(time.Now(), u.Program(), n.RateLimit(), sentAt)
	a.permits.ObserveBrittleness(time.Now(), u, n.Brittleness(), n.Refused(), sentAt)
	if n.Leaving() && a.withdrawn.RecordAnnouncement(time.Now(), u.Program()) {
		a.Log.Log(logger.UpstreamLeaving, "upstream", u.Address(), "instance", u.Instance(), "born", u.StartTime(), "source", "answer")
		a.control.wake()
	}
	if n.Pause() > 0 {
		a.pauses.Add(1)
		a.Log.Log(logger.UpstreamPaused, "upstream", u.Address(), "instance", u.Instance(), "source", "answer", "rest-ms", n.Pause().Milliseconds())
		a.allocator.Pause(u.Program(), n.Pause())
	}
}

// handleAnswer withdraws what looked like a crash of an upstream before it answered a call that
// was sent at sentAt.
func (a *Attacher) handleAnswer(u *kingcuphook.Upstream, sentAt time.Time) {
	now := time.Now()
	requests := 0
	if !a.quarantine.IsEmpty() {
		requests = a.quarantine.RecordAnswer(now, isolator.FormatProgram(u.Program()), sentAt)
	}
	a.logWithdrawn(u, "answer", requests, a.isolator.RecordAnswer(now, u, sentAt))
}

// logWithdrawn logs that crashes of an upstream were withdrawn, if any request or prompt part had
// been suspected of one.
func (a *Attacher) logWithdrawn(u *kingcuphook.Upstream, source string, requests, parts int) {
	if requests+parts > 0 {
		a.Log.Log(logger.CrashWithdrawn, "upstream", u.Address(), "instance", u.Instance(), "born", u.StartTime(),
			"program", isolator.FormatProgram(u.Program()), "source", source, "requests", requests, "parts", parts)
	}
}

// handlePeerLeaving handles the upstreams that a peer reports as leaving.
func (a *Attacher) handlePeerLeaving(peer netip.Addr, payload []byte) error {
	n, err := a.withdrawn.RecordReports(time.Now(), payload)
	if n > 0 {
		a.Log.Log(logger.UpstreamLeaving, "source", "peer", "peer", peer, "count", n)
		a.control.wake()
	}
	return err
}
