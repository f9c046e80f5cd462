package gossiper

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Bounds of the sections of a digest, in entries. They do not depend on the
// size of the fleet.
const (
	// MaxMembers bounds the members of an ordinary digest.
	MaxMembers = 12
	// MaxJoinMembers bounds the members of a reply to a joining router.
	MaxJoinMembers = 48
	// MaxLocations bounds the names of locations.
	MaxLocations = 2
	// MaxPressures bounds the reports of pressure, one a region.
	MaxPressures = 3
	// MaxSuspectsBytes bounds the suspects and quarantines.
	MaxSuspectsBytes = 512
	// MaxRates bounds the rates.
	MaxRates = 4
	// MaxChangesBytes bounds the table changes.
	MaxChangesBytes = 1024
	// MaxDigestBytes bounds an encoded digest.
	MaxDigestBytes = 4096
)

// Entry is one member as a digest carries it.
type Entry struct {
	// Address is the IP number and port of the member.
	Address string
	// Location is the hash of the member's region and data centre.
	Location uint32
	// Incarnation is the member's own counter; only the member raises it.
	Incarnation uint64
	// State is what the sender knows of the member.
	State State
}

// Location names a data centre.
type Location struct {
	// Region and DataCentre are never empty.
	Region, DataCentre string
}

// Pressure is how full the queues of a region are.
type Pressure struct {
	// Region names the region.
	Region string
	// Tiers holds the pressure of each tier, from 0 (idle) to 255 (shedding).
	Tiers [kingcuphook.TierCount]uint8
	// Age is the time since the report was made.
	Age time.Duration
}

// Rate is what one router spends of one limit.
type Rate struct {
	// Key is the hash of the limit's name.
	Key uint64
	// Rate is in requests a second; finite and not negative.
	Rate float64
}

// Digest is one direction of an exchange between two routers.
type Digest struct {
	// Sender is the router that built the digest.
	Sender Entry
	// Revision is the revision of the tables in force at the sender.
	Revision int64
	// Checksum is a hash over all members that the sender knows.
	Checksum uint64
	// Members are some of the members that the sender knows.
	Members []Entry
	// Locations name some of the locations.
	Locations []Location
	// OwnPressure is the pressure at the sender itself.
	OwnPressure [kingcuphook.TierCount]uint8
	// Pressures are the newest reports for some regions.
	Pressures []Pressure
	// Suspects are the suspects and quarantines that the sender knows, in the
	// form of package quarantiner.
	Suspects []byte
	// Rates are the sender's own.
	Rates []Rate
	// Changes leads the tables from ChangesAfter to Revision; it may be empty.
	Changes      []byte
	ChangesAfter int64
	// Joining says that the sender lacks most members and wants those that
	// follow After in the order of addresses.
	Joining bool
	After   string
}
