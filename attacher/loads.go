package attacher

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// digestEvery is how often digests are sent, and the loads of others are
	// handed to the schedulers.
	digestEvery = 300 * time.Millisecond
	// digestPeers bounds the routers that one digest is sent to.
	digestPeers = 12
	// maxDatagram bounds a digest on the wire.
	maxDatagram = 1400
)

// hearLoads takes the digests of other routers until the socket is closed.
func (a *Attacher) hearLoads() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := a.loads.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil //nolint:nilerr // the socket is closed at the end of the process
		}
		if err := a.tally.Take(time.Now(), from.Addr().String(), buffer[:n]); err != nil {
			a.Log.Log(logger.PeerFailed, "peer", from.String(), "error", err)
		}
	}
}

// tellLoads sends digests and hands what others said to the schedulers.
func (a *Attacher) tellLoads(ctx context.Context) {
	ticker := time.NewTicker(digestEvery)
	defer ticker.Stop()
	defer a.loads.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.sendDigest()
			a.takeOthers(now)
		}
	}
}

// sendDigest sends the digest to some of the other routers, by turns. A datagram
// that is lost is made up for by the next one.
func (a *Attacher) sendDigest() {
	peers := a.control.peerAddresses()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	digest := a.tally.Encode()
	for _, address := range peers[:min(len(peers), digestPeers)] {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			a.Log.Log(logger.PeerFailed, "peer", address, "error", err)
			continue
		}
		_, _ = a.loads.WriteToUDP(digest, to)
	}
}

func (a *Attacher) takeOthers(now time.Time) {
	tables := a.control.directory().Tables
	if tables == nil {
		return
	}
	a.allocator.ReportAll(a.tally.Others(now, tables, int(a.routers.Load())-1))
}
