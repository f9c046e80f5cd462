package gossiper

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// pressureGain is the share of each new sample in a region's pressure.
	pressureGain = 0.2
	// pressureTTL is how long a region's report is used.
	pressureTTL = 2 * time.Minute
	// maxRegions bounds the regions with a report.
	maxRegions = 64
)

// loads holds what is exchanged besides membership and revision.
type loads struct {
	// own is the pressure of this router.
	own [kingcuphook.TierCount]uint8
	// mean is the moving mean of the pressure of this router's region.
	mean [kingcuphook.TierCount]float64
	// reports holds the newest report of each other region.
	reports map[string]report
	// regions lists the keys of reports; next is where the next digest begins.
	regions []string
	next    int

	suspects []byte
	rates    []Rate
	nextRate int
}

type report struct {
	tiers [kingcuphook.TierCount]uint8
	made  time.Time
}

// SetPressure takes this router's own pressure by tier, from 0 (idle) to 255
// (shedding).
func (g *Gossiper) SetPressure(now time.Time, tiers [kingcuphook.TierCount]uint8) {
	g.start(now)
	g.load.own = tiers
	g.load.blend(tiers)
}

// SetSuspects takes the suspects and quarantines to be told, at most
// MaxSuspectsBytes.
func (g *Gossiper) SetSuspects(suspects []byte) { g.load.suspects = suspects }

// SetRates takes the rates to be told. Past the bound of a digest each rate has
// its turn.
func (g *Gossiper) SetRates(rates []Rate) { g.load.rates = rates }

// Pressure returns the newest known pressure of a region and its age. It
// reports false if none is known.
func (g *Gossiper) Pressure(now time.Time, region string) (Pressure, bool) {
	g.start(now)
	if region == g.Location.Region {
		return Pressure{Region: region, Tiers: g.load.region()}, true
	}
	r, ok := g.load.reports[region]
	if !ok || now.Sub(r.made) > pressureTTL {
		return Pressure{}, false
	}
	return Pressure{Region: region, Tiers: r.tiers, Age: now.Sub(r.made)}, true
}

func (l *loads) blend(sample [kingcuphook.TierCount]uint8) {
	for i, v := range sample {
		l.mean[i] += pressureGain * (float64(v) - l.mean[i])
	}
}

// region returns the mean pressure of this router's region.
func (l *loads) region() [kingcuphook.TierCount]uint8 {
	var tiers [kingcuphook.TierCount]uint8
	for i, v := range l.mean {
		tiers[i] = uint8(v + 0.5)
	}
	return tiers
}

// take learns from a digest.
func (l *loads) take(g *Gossiper, now time.Time, d *Digest) {
	if d.Sender.Location == g.self.entry.Location || g.locations[d.Sender.Location].Region == g.Location.Region {
		l.blend(d.OwnPressure)
	}
	for _, p := range d.Pressures {
		if p.Region == "" || p.Region == g.Location.Region || p.Age < 0 || p.Age > pressureTTL {
			continue
		}
		l.keep(p.Region, report{tiers: p.Tiers, made: now.Add(-p.Age)})
	}
}

// keep stores a report if it is newer than the one known.
func (l *loads) keep(region string, r report) {
	old, ok := l.reports[region]
	if ok && !r.made.After(old.made) {
		return
	}
	if !ok {
		if len(l.regions) >= maxRegions {
			return
		}
		l.regions = append(l.regions, region)
	}
	if l.reports == nil {
		l.reports = make(map[string]report)
	}
	l.reports[region] = r
}

// fill adds the sections to a digest, each within its bound.
func (l *loads) fill(g *Gossiper, now time.Time, d *Digest) {
	d.OwnPressure = l.own
	d.Pressures = append(d.Pressures, Pressure{Region: g.Location.Region, Tiers: l.region()})
	for range min(len(l.regions), MaxPressures-1) {
		region := l.regions[l.next%len(l.regions)]
		l.next++
		r := l.reports[region]
		if age := now.Sub(r.made); age <= pressureTTL {
			d.Pressures = append(d.Pressures, Pressure{Region: region, Tiers: r.tiers, Age: age})
		}
	}
	d.Suspects = l.suspects
	for range min(len(l.rates), MaxRates) {
		d.Rates = append(d.Rates, l.rates[l.nextRate%len(l.rates)])
		l.nextRate++
	}
}
