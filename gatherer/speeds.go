package gatherer

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/estimator"
)

// Kinds of the messages with samples of speeds. Builds without them reject the messages, because
// they know neither these kinds nor a format of digests with these first bytes.
const (
	// KindRouterSpeeds has the samples of one router.
	KindRouterSpeeds Kind = 0x61
	// KindCentreSpeeds has the sum over the routers of a data centre, for another one.
	KindCentreSpeeds Kind = 0x62
	// KindFleetSpeeds has the sum over the routers of all data centres.
	KindFleetSpeeds Kind = 0x63
)

const (
	// minSpeedInterval is the least interval between messages with speeds. speedBytesPerSecond
	// bounds what a router sends on average, with the headers of the datagrams; each message
	// of a router is followed by speedCopies messages of the aggregators for each router.
	minSpeedInterval    = time.Second
	speedBytesPerSecond = 190
	speedCopies         = 1.3
	datagramHeaderBytes = 28
	// speedsStale is the age from which received samples are ignored.
	speedsStale = 15 * time.Second
	// maxSpeedPools and maxSpeedUpstreams bound the pools of a router and the upstreams of a
	// pool whose samples are exchanged.
	maxSpeedPools     = 8
	maxSpeedUpstreams = 600
	// speedHeaderBytes is the length of the header: kind, data centre, address of the router
	// that made the message, list of upstreams. speedEntryBytes is that of the samples of an
	// upstream: weight, mean.
	speedHeaderBytes = 1 + 4 + 4 + 4
	speedEntryBytes  = 2
)

// SpeedList identifies an ordered list of upstreams. Samples are only added to those of the same
// list, so that routers with other tables don't misread them.
type SpeedList uint32

// SpeedListOf returns the identity of the upstreams of a pool.
func SpeedListOf(pool string, programs []kingcuphook.Program) SpeedList {
	b := []byte(pool)
	for _, p := range programs {
		b = binary.BigEndian.AppendUint64(b, p.Key())
	}
	return SpeedList(xxhash.Sum64(b))
}

// speedReport holds the samples of one sender by list.
type speedReport map[SpeedList]speedSum

// speedSum holds samples in the order of their list.
type speedSum struct {
	at      time.Time
	samples []estimator.SpeedSamples
}

// speeds is the state of a Gatherer for samples of speeds.
type speeds struct {
	// next is the earliest time of the next messages.
	next time.Time
	// members and centres have what the routers of the own data centre and the aggregators of
	// the others reported, fleet the last sums over all data centres.
	members map[netip.Addr]speedReport
	centres map[uint32]speedReport
	fleet   speedReport
	// sent has the samples of this router that were last sent, as the others decode them.
	sent speedReport
}

// SpeedsDue reports whether TickSpeeds sends messages now.
func (g *Gatherer) SpeedsDue(now time.Time) bool { return !now.Before(g.speeds.next) }

// TickSpeeds returns the messages with the samples of this router by list, or, if it is the
// aggregator of its data centre, with the sums.
func (g *Gatherer) TickSpeeds(now time.Time, own map[SpeedList][]estimator.SpeedSamples, peers Peers) []Message {
	if !g.SpeedsDue(now) {
		return nil
	}
	bytes, sent := 0, make(speedReport)
	for list, samples := range own {
		if len(samples) == 0 || len(samples) > maxSpeedUpstreams || len(sent) >= maxSpeedPools {
			continue
		}
		payload := encodeSpeeds(samples)
		bytes += len(payload) + speedHeaderBytes + datagramHeaderBytes
		sent[list] = speedSum{at: now, samples: decodeSpeeds(payload)}
	}
	g.speeds.next = now.Add(speedInterval(bytes))
	g.speeds.sent = sent
	ranked := g.rank(peers.Near)
	if g.isAggregator(now, slices.Index(ranked, g.Self)) {
		return g.aggregateSpeeds(now, sent, peers)
	}
	to := ranked[0]
	if now.Sub(g.aggregatorAt) < staleAfter {
		to = g.aggregator
	}
	return g.encodeReport(KindRouterSpeeds, to, sent)
}

// speedInterval returns the interval between messages for the bytes of one router.
func speedInterval(bytes int) time.Duration {
	perRound := float64(bytes) * (1 + speedCopies)
	return max(minSpeedInterval, time.Duration(perRound/speedBytesPerSecond*float64(time.Second)))
}

// aggregateSpeeds sums the samples that were received and the own ones.
func (g *Gatherer) aggregateSpeeds(now time.Time, own speedReport, peers Peers) []Message {
	var messages []Message
	centre, fleet := make(speedReport), make(speedReport)
	for list, s := range own {
		sum := slices.Clone(s.samples)
		for _, m := range g.speeds.members {
			addSpeeds(now, sum, m[list])
		}
		centre[list] = speedSum{at: now, samples: slices.Clone(sum)}
		for _, c := range g.speeds.centres {
			addSpeeds(now, sum, c[list])
		}
		fleet[list] = speedSum{at: now, samples: sum}
	}
	for c, far := range peers.Far {
		if to, ok := g.contact(now, c, far); ok {
			messages = append(messages, g.encodeReport(KindCentreSpeeds, to, centre)...)
		}
	}
	for _, a := range peers.Near {
		messages = append(messages, g.encodeReport(KindFleetSpeeds, a, fleet)...)
	}
	g.speeds.fleet = fleet
	return messages
}

// addSpeeds adds samples that were received, decayed.
func addSpeeds(now time.Time, sum []estimator.SpeedSamples, s speedSum) {
	if len(s.samples) != len(sum) || now.Sub(s.at) > speedsStale {
		return
	}
	for i, samples := range s.samples {
		sum[i] = sum[i].Add(samples.Decayed(now, s.at))
	}
}

// SharedSpeeds returns the samples of the other routers for a list and when they arrived. It
// returns false if there are none.
func (g *Gatherer) SharedSpeeds(now time.Time, list SpeedList) ([]estimator.SpeedSamples, time.Time, bool) {
	s, ok := g.speeds.fleet[list]
	if !ok || now.Sub(s.at) > speedsStale {
		return nil, time.Time{}, false
	}
	samples := slices.Clone(s.samples)
	if own := g.speeds.sent[list]; len(own.samples) == len(samples) {
		for i, o := range own.samples {
			samples[i] = samples[i].Without(o.Decayed(s.at, own.at))
		}
	}
	return samples, s.at, true
}

func (g *Gatherer) encodeReport(kind Kind, to netip.Addr, r speedReport) []Message {
	self := g.Self.As4()
	messages := make([]Message, 0, len(r))
	for list, s := range r {
		b := append(make([]byte, 0, speedHeaderBytes+len(s.samples)*speedEntryBytes), byte(kind))
		b = binary.BigEndian.AppendUint32(b, g.Centre)
		b = append(b, self[:]...)
		b = binary.BigEndian.AppendUint32(b, uint32(list))
		messages = append(messages, Message{To: to, Payload: append(b, encodeSpeeds(s.samples)...)})
	}
	return messages
}

// isSpeeds reports whether a message has samples of speeds.
func isSpeeds(b []byte) bool {
	return len(b) > 0 && Kind(b[0]) >= KindRouterSpeeds && Kind(b[0]) <= KindFleetSpeeds
}

// receiveSpeeds handles a message with samples of speeds. The error wraps ErrInvalid.
func (g *Gatherer) receiveSpeeds(now time.Time, from netip.Addr, b []byte) error {
	n := len(b) - speedHeaderBytes
	if n <= 0 || n%speedEntryBytes != 0 || n > maxSpeedUpstreams*speedEntryBytes {
		return fmt.Errorf("gatherer: invalid length of speeds of %d bytes: %w", len(b), kingcuphook.ErrInvalid)
	}
	kind, centre, maker := Kind(b[0]), binary.BigEndian.Uint32(b[1:]), netip.AddrFrom4([4]byte(b[5:]))
	list := SpeedList(binary.BigEndian.Uint32(b[9:]))
	if from != maker || (centre == g.Centre) == (kind == KindCentreSpeeds) {
		return fmt.Errorf("gatherer: speeds from %v don't fit their sender or data centre: %w", maker, kingcuphook.ErrInvalid)
	}
	sum := speedSum{at: now, samples: decodeSpeeds(b[speedHeaderBytes:])}
	switch kind {
	case KindRouterSpeeds:
		g.speeds.member(now, from).set(now, list, sum)
	case KindCentreSpeeds:
		g.speeds.centre(now, centre).set(now, list, sum)
	default:
		if g.speeds.fleet == nil {
			g.speeds.fleet = make(speedReport)
		}
		g.speeds.fleet.set(now, list, sum)
	}
	return nil
}

// member returns the report of a router of the own data centre. It isn't kept if there are too many.
func (s *speeds) member(now time.Time, a netip.Addr) speedReport {
	maps.DeleteFunc(s.members, func(_ netip.Addr, r speedReport) bool { return r.stale(now) })
	r := s.members[a]
	if r == nil {
		r = make(speedReport)
		if s.members == nil {
			s.members = make(map[netip.Addr]speedReport)
		}
		if len(s.members) < maxMembers {
			s.members[a] = r
		}
	}
	return r
}

// centre returns the report of another data centre. It isn't kept if there are too many.
func (s *speeds) centre(now time.Time, c uint32) speedReport {
	maps.DeleteFunc(s.centres, func(_ uint32, r speedReport) bool { return r.stale(now) })
	r := s.centres[c]
	if r == nil {
		r = make(speedReport)
		if s.centres == nil {
			s.centres = make(map[uint32]speedReport)
		}
		if len(s.centres) < maxCentres {
			s.centres[c] = r
		}
	}
	return r
}

// stale reports whether all samples of the report are stale.
func (r speedReport) stale(now time.Time) bool {
	for _, s := range r {
		if now.Sub(s.at) <= speedsStale {
			return false
		}
	}
	return true
}

// set records samples of a list, and forgets those that are stale.
func (r speedReport) set(now time.Time, list SpeedList, s speedSum) {
	for l, old := range r {
		if now.Sub(old.at) > speedsStale {
			delete(r, l)
		}
	}
	if _, known := r[list]; known || len(r) < maxSpeedPools {
		r[list] = s
	}
}

// encodeSpeeds encodes samples: for each upstream the weight on a logarithmic scale, and the mean.
func encodeSpeeds(samples []estimator.SpeedSamples) []byte {
	b := make([]byte, 0, len(samples)*speedEntryBytes)
	for _, s := range samples {
		if s.Weight < leastWeight {
			b = append(b, 0, 0)
			continue
		}
		weight := 1 + math.Round(math.Log2(s.Weight/leastWeight)*weightSteps)
		mean := math.Round(s.Sum / s.Weight * meanSteps)
		b = append(b, byte(min(weight, math.MaxUint8)), byte(int8(min(max(mean, -math.MaxInt8), math.MaxInt8))))
	}
	return b
}

const (
	// leastWeight is the least weight that is encoded, weightSteps the number of steps in which
	// it doubles, meanSteps the number of steps of the mean for each unit.
	leastWeight = 1.0 / 8
	weightSteps = 16
	meanSteps   = 48
)

func decodeSpeeds(b []byte) []estimator.SpeedSamples {
	samples := make([]estimator.SpeedSamples, len(b)/speedEntryBytes)
	for i := range samples {
		if b[2*i] == 0 {
			continue
		}
		weight := leastWeight * math.Exp2(float64(b[2*i]-1)/weightSteps)
		samples[i] = estimator.SpeedSamples{Weight: weight, Sum: weight * float64(int8(b[2*i+1])) / meanSteps}
	}
	return samples
}
