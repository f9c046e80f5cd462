package follower

import (
	"github.com/cespare/xxhash/v2"
)

// Watchers is how many routers of a data centre watch the store.
const Watchers = 2

// Router is a router as the choice of watchers sees it.
type Router struct {
	// Address identifies the router.
	Address string
	// DataCentre is where the router runs.
	DataCentre string
}

// Watches reports whether self is one of the routers that watch the store for
// their data centre: those with the highest rendezvous scores. Others are the
// routers thought to be alive; self may be among them.
func Watches(self Router, others []Router) bool {
	own := score(self)
	higher := 0
	for _, r := range others {
		if r.DataCentre != self.DataCentre || r.Address == self.Address {
			continue
		}
		if s := score(r); s > own || s == own && r.Address > self.Address {
			higher++
		}
	}
	return higher < Watchers
}

func score(r Router) uint64 { return xxhash.Sum64String(r.DataCentre + "\x00" + r.Address) }
