package follower

import (
	"github.com/cespare/xxhash/v2"
)

// WatchersPerDataCentre is how many routers of each data centre watch the store.
const WatchersPerDataCentre = 2

// Router identifies a router in the choice of watchers.
type Router struct {
	// Address is the unique address of the router.
	Address string
	// DataCentre is the data centre in which the router runs.
	DataCentre string
}

// Watches reports whether self is one of the routers that watch the store for
// their data centre, which are those with the highest rendezvous hashes. The
// others are all routers presumed to be alive, with or without self.
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
	return higher < WatchersPerDataCentre
}

func score(r Router) uint64 { return xxhash.Sum64String(r.DataCentre + "\x00" + r.Address) }
