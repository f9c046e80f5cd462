package attacher

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/tallier"
)

// sendLocations sends the locations of prefixes that wait to be sent. Lost messages are not
// repeated: a request that has the prefix prefilled elsewhere makes another location.
func (c *control) sendLocations(now time.Time) {
	peers := c.peers.byDataCentre()
	for _, m := range c.a.index.Tick(now, peers.Near, peers.Far) {
		c.sendTo(m.To, m.Payload)
	}
}

// upstreamKeys returns the keys of the programs of all upstreams.
func upstreamKeys(t *kingcuphook.Tables) map[tallier.Key]bool {
	keys := make(map[tallier.Key]bool, t.ProgramCount())
	for _, p := range t.Pools() {
		for _, u := range p.Upstreams() {
			keys[tallier.KeyOf(u)] = true
		}
	}
	return keys
}

func (a *Attacher) addIndexGauges() {
	a.meter.Gauge("kingcuphook_index_prefixes", func() float64 { return float64(a.index.Counts().Prefixes) })
	a.meter.Gauge("kingcuphook_index_sent_bytes_total", func() float64 { return float64(a.index.Counts().Sent) })
	a.meter.Gauge("kingcuphook_index_locations_received_total", func() float64 { return float64(a.index.Counts().Received) })
	a.meter.Gauge("kingcuphook_index_locations_dropped_total", func() float64 { return float64(a.index.Counts().Dropped) })
}
