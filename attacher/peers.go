package attacher

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook/gatherer"
	"github.com/kingcuphook/kingcuphook/pinner"
)

const (
	// ticksPerDigest is how many ticks of the exchange there are per digest. Loads are
	// sent at each tick.
	ticksPerDigest = 2
	// digestPeers bounds the routers that get each full digest, nearPeers those of the
	// own data centre that get a short one in addition.
	digestPeers = 12
	nearPeers   = 2
	// memberTimeout is how long a router is kept in the list after it was last seen.
	memberTimeout = 10 * time.Second
	// suspectBytes bounds the size of the suspects in a digest.
	suspectBytes = 400
	// aheadTolerance is how long a router waits for the store to deliver changes that a
	// peer already has, in addition to the batching delay of its watch.
	aheadTolerance = 600 * time.Millisecond
)

// peers is the list of the other routers.
type peers struct {
	// lastSeen has when each router last sent a digest or was first listed in one.
	lastSeen map[netip.Addr]time.Time
	// near has the routers of the own data centre, whose hash is centre. far has the
	// routers of each other data centre that sent a digest last, by its hash.
	near   map[netip.Addr]bool
	far    map[uint32][]netip.Addr
	centre uint32
	// joined is when a new router was last seen.
	joined time.Time
	// changes counts the routers that were added to the list or removed from it.
	changes int
	// carriesNone has the routers that carry no connections for peers now.
	carriesNone map[netip.Addr]bool
	// guards has the announcements of those that guard the bases of records of versions.
	guards pinner.Announcements
	// seeds are the configured addresses, which are used while few routers are known.
	seeds []netip.Addr
	// ahead is a peer with a newer revision of the store than this router, since
	// aheadSince; the zero address means that there is none.
	ahead      netip.Addr
	aheadSince time.Time
	// aheadVersion and aheadRevision are the version and the revision in its last digest.
	aheadVersion, aheadRevision int64
}

func newPeers(seeds []netip.Addr, centre uint32) *peers {
	return &peers{
		lastSeen: make(map[netip.Addr]time.Time), near: make(map[netip.Addr]bool), far: make(map[uint32][]netip.Addr),
		carriesNone: make(map[netip.Addr]bool), seeds: seeds, centre: centre,
	}
}

// recordSeen records that a router was seen, directly or in the digest of another one.
// It reports whether the router is new.
func (p *peers) recordSeen(now time.Time, a netip.Addr) bool {
	_, known := p.lastSeen[a]
	p.lastSeen[a] = now
	if !known {
		p.joined = now
		p.changes++
	}
	return !known
}

// index returns the number of known routers whose addresses are lower than that of this one.
func (p *peers) index(self netip.Addr) int {
	n := 0
	for a := range p.lastSeen {
		if a.Less(self) {
			n++
		}
	}
	return n
}

// expire removes the routers that were not seen for memberTimeout, and returns them.
func (p *peers) expire(now time.Time) []netip.Addr {
	var left []netip.Addr
	for a, at := range p.lastSeen {
		if now.Sub(at) > memberTimeout {
			delete(p.lastSeen, a)
			delete(p.near, a)
			delete(p.carriesNone, a)
			left = append(left, a)
			p.changes++
		}
	}
	for centre, list := range p.far {
		p.far[centre] = slices.DeleteFunc(list, func(a netip.Addr) bool { return slices.Contains(left, a) })
	}
	return left
}

const (
	// maxPerCentre bounds the known routers of each other data centre, maxCentres the number
	// of other data centres.
	maxPerCentre = 4
	maxCentres   = 64
)

// setDataCentre records the data centre of a router that sent a digest.
func (p *peers) setDataCentre(a netip.Addr, centre uint32) {
	if centre == p.centre {
		p.near[a] = true
		return
	}
	list := slices.DeleteFunc(p.far[centre], func(b netip.Addr) bool { return a == b })
	if len(list) == 0 && len(p.far) >= maxCentres {
		return
	}
	p.far[centre] = append(list[max(len(list)-maxPerCentre+1, 0):], a)
}

// byDataCentre returns the known routers by data centre.
func (p *peers) byDataCentre() gatherer.Peers {
	return gatherer.Peers{Near: slices.Collect(maps.Keys(p.near)), Far: p.far}
}

// pickRandomNear returns at most n random routers of the own data centre.
func (p *peers) pickRandomNear(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.near))
	shuffle(list)
	return list[:min(len(list), n)]
}

func shuffle(list []netip.Addr) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// pickRandom returns at most n random routers, filled up with seeds if fewer are known.
func (p *peers) pickRandom(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.lastSeen))
	shuffle(list)
	for _, a := range p.seeds {
		if len(list) < n && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list[:min(len(list), n)]
}

// addresses returns the addresses of all other routers.
func (p *peers) addresses() []string {
	list := make([]string, 0, len(p.lastSeen))
	for a := range p.lastSeen {
		list = append(list, a.String())
	}
	return list
}

// recent returns at most n routers, those that were seen last.
func (p *peers) recent(n int) []netip.Addr {
	list := slices.Collect(maps.Keys(p.lastSeen))
	slices.SortFunc(list, func(a, b netip.Addr) int {
		return cmp.Or(p.lastSeen[b].Compare(p.lastSeen[a]), a.Compare(b))
	})
	return list[:min(len(list), n)]
}
