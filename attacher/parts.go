package attacher

import (
	"net/netip"
	"time"

	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/narrator"
)

const (
	// partPeers bounds the routers that get each message about suspected prompt parts, and
	// partBytes its size. With a message in each digest interval, that is at most 2.4 KB a
	// second.
	partPeers = 4
	partBytes = 180
	// partStatePeers bounds those that get the quarantined parts while nothing changes.
	partStatePeers = 1
	// joinedPartBytes bounds the quarantined parts for a router that has just started.
	joinedPartBytes = 1200
)

// sendParts sends what has changed about suspected prompt parts to random routers, or the
// quarantined parts to another one.
func (c *control) sendParts(now time.Time) {
	message, changed := c.a.isolator.Export(now, partBytes)
	peers := partStatePeers
	if changed {
		peers = partPeers
	}
	if message != nil {
		c.sendToAll(message, c.peers.pickRandom(peers))
	}
}

// greetWithParts sends the quarantined parts to a router that has just started.
func (c *control) greetWithParts(now time.Time, peer netip.Addr) {
	if message := c.a.isolator.ExportStates(now, joinedPartBytes); message != nil {
		c.sendTo(peer, message)
	}
}

func (c *control) sendToAll(message []byte, peers []netip.Addr) {
	for _, peer := range peers {
		c.sendTo(peer, message)
	}
}

// partChanged logs a change of the state of a prompt part, and clears the requests of the crashes
// that it explains.
func (a *Attacher) partChanged(e isolator.Entry) {
	narrator.LogPart(a.Log)(e)
	dispatcher.Explain(a.quarantine)(e)
}
