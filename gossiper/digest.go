package gossiper

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Limits of the sections of a digest, independent of the size of the fleet.
const (
	// MaxMembers limits the members in a digest that is not a reply to a joining
	// router.
	MaxMembers = 12
	// MaxJoinMembers limits the members in a reply to a joining router.
	MaxJoinMembers = 48
	// MaxLocations limits the location names.
	MaxLocations = 2
	// MaxPressures limits the pressure reports, one per region.
	MaxPressures = 3
	// MaxSuspectsBytes limits the encoded suspects and quarantines, MaxPartsBytes the
	// message about prompt parts.
	MaxSuspectsBytes = 512
	MaxPartsBytes    = 180
	// MaxRates limits the rates.
	MaxRates = 4
	// MaxChangesBytes limits the encoded table changes.
	MaxChangesBytes = 1024
	// MaxDigestBytes limits an encoded digest.
	MaxDigestBytes = 4096
)

// Entry describes one member in a digest.
type Entry struct {
	// Address is the IP address and port of the member's peer link.
	Address string
	// Location is the hash of the member's region and data centre.
	Location uint32
	// Incarnation orders statements about the member; only the member itself
	// increments it.
	Incarnation uint64
	// State is the member's state at the sender.
	State State
}

// Location identifies a data centre and its region.
type Location struct {
	// Region and DataCentre are never empty.
	Region, DataCentre string
}

// Pressure reports how full the queues of a region are.
type Pressure struct {
	// Region names the region.
	Region string
	// Tiers holds the pressure per tier, from 0 (idle) to 255 (shedding).
	Tiers [kingcuphook.DeclaredTierCount]uint8
	// Age is the time since the report was created.
	Age time.Duration
}

// Rate is one router's usage of one rate limit.
type Rate struct {
	// Key is the hash of the limit's name.
	Key uint64
	// Rate is in requests per second, finite and not negative.
	Rate float64
}

// Digest is the message that one router sends to another in an exchange, either
// as the request or as the reply.
type Digest struct {
	// Sender is the router that built the digest.
	Sender Entry
	// Revision is the sender's current revision of the tables.
	Revision int64
	// Checksum is a hash over all members known to the sender that are neither
	// dead nor have left, itself included.
	Checksum uint64
	// Members are some of the members known to the sender.
	Members []Entry
	// Locations are some of the locations known to the sender.
	Locations []Location
	// OwnPressure is the pressure per tier at the sender itself.
	OwnPressure [kingcuphook.DeclaredTierCount]uint8
	// Pressures are the latest reports for some regions.
	Pressures []Pressure
	// Suspects are the suspects and quarantines known to the sender, in the
	// encoding of package quarantiner.
	Suspects []byte
	// Parts is what the sender knows of prompt parts that may crash upstreams, a message of
	// package isolator; may be empty.
	Parts []byte
	// Rates are some of the sender's own rates.
	Rates []Rate
	// Changes holds the encoded table changes from ChangesAfter to Revision; it
	// may be empty.
	Changes      []byte
	ChangesAfter int64
	// Joining is set if the sender still loads the member list and requests the
	// members that follow After in address order. In the reply to such a request
	// After repeats that address.
	Joining bool
	After   string
}
