package attacher

import (
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/logger"
)

// noticed takes what an upstream says of itself with a reply.
func (a *Attacher) noticed(u *kingcuphook.Upstream, n kingcuphook.Notice) {
	if n.Leaving() && a.withdrawn.RecordAnnouncement(time.Now(), u.Program()) {
		a.Log.Log(logger.UpstreamLeaving, "upstream", u.Address(), "instance", u.Instance(), "born", u.Born(), "source", "answer")
		a.control.wake()
	}
	if n.Rest() > 0 {
		a.rests.Add(1)
		a.Log.Log(logger.UpstreamPaused, "upstream", u.Address(), "instance", u.Instance(), "source", "answer", "rest-ms", n.Rest().Milliseconds())
		a.allocator.Pause(u.Program(), n.Rest())
	}
}

// toldLeaving takes what a peer tells of upstreams that leave.
func (a *Attacher) toldLeaving(peer netip.Addr, payload []byte) error {
	n, err := a.withdrawn.RecordReports(time.Now(), payload)
	if n > 0 {
		a.Log.Log(logger.UpstreamLeaving, "source", "peer", "peer", peer, "count", n)
		a.control.wake()
	}
	return err
}
