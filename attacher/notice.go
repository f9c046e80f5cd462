package attacher

import (
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/logger"
)

// handleNotice handles the notice of an upstream in the reply to a call that was sent at
// sentAt: that it is leaving, asks to be paused or limits the rate of calls, and that it has not
// crashed.
func (a *Attacher) handleNotice(u *kingcuphook.Upstream, n kingcuphook.Notice, sentAt time.Time) {
	if !a.quarantine.IsEmpty() {
		a.quarantine.RecordAnswer(time.Now(), isolator.FormatProgram(u.Program()), sentAt)
	}
	a.isolator.RecordAnswer(time.Now(), u, sentAt)
	a.permits.Observe(time.Now(), u.Program(), n.RateLimit(), sentAt)
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

// handlePeerLeaving handles the upstreams that a peer reports as leaving.
func (a *Attacher) handlePeerLeaving(peer netip.Addr, payload []byte) error {
	n, err := a.withdrawn.RecordReports(time.Now(), payload)
	if n > 0 {
		a.Log.Log(logger.UpstreamLeaving, "source", "peer", "peer", peer, "count", n)
		a.control.wake()
	}
	return err
}
