package gossiper

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// pressureGain is the weight of a new sample in the moving average of a region's
	// pressure.
	pressureGain = 0.2
	// pressureTTL is how long a region's report remains valid.
	pressureTTL = 2 * time.Minute
	// maxRegions limits the other regions for which a report is kept.
	maxRegions = 64
)

// loadState holds the data that digests carry besides membership and table
// changes.
type loadState struct {
	// own is the pressure at this router.
	own [kingcuphook.DeclaredTierCount]uint8
	// mean is the exponential moving average of the pressure in this router's
	// region.
	mean [kingcuphook.DeclaredTierCount]float64
	// reports holds the latest report for each other region.
	reports map[string]pressureReport
	// regions lists the keys of reports; next counts those sent and determines with
	// which region the next digest continues.
	regions []string
	next    int

	suspects []byte
	// parts is the message about prompt parts to be sent.
	parts    []byte
	rates    []Rate
	nextRate int
}

type pressureReport struct {
	tiers [kingcuphook.DeclaredTierCount]uint8
	made  time.Time
}

// SetPressure sets this router's own pressure per tier, from 0 (idle) to 255
// (shedding).
func (g *Gossiper) SetPressure(now time.Time, tiers [kingcuphook.DeclaredTierCount]uint8) {
	g.start(now)
	g.load.own = tiers
	g.load.updateMean(tiers)
}

// SetSuspects sets the encoded suspects and quarantines to be sent, at most
// MaxSuspectsBytes.
func (g *Gossiper) SetSuspects(suspects []byte) { g.load.suspects = suspects }

// SetParts sets the message about prompt parts to be sent, at most MaxPartsBytes.
func (g *Gossiper) SetParts(message []byte) { g.load.parts = message }

// SetRates sets the rates to be sent. If there are more than MaxRates, successive
// digests send them in rotation.
func (g *Gossiper) SetRates(rates []Rate) { g.load.rates = rates }

// Pressure returns the latest known pressure of a region and its age, or false if
// there is no valid report.
func (g *Gossiper) Pressure(now time.Time, region string) (Pressure, bool) {
	g.start(now)
	if region == g.Location.Region {
		return Pressure{Region: region, Tiers: g.load.regionMean()}, true
	}
	r, ok := g.load.reports[region]
	if !ok || now.Sub(r.made) > pressureTTL {
		return Pressure{}, false
	}
	return Pressure{Region: region, Tiers: r.tiers, Age: now.Sub(r.made)}, true
}

func (l *loadState) updateMean(sample [kingcuphook.DeclaredTierCount]uint8) {
	for i, v := range sample {
		l.mean[i] += pressureGain * (float64(v) - l.mean[i])
	}
}

// regionMean returns the average pressure of this router's region, rounded.
func (l *loadState) regionMean() [kingcuphook.DeclaredTierCount]uint8 {
	var tiers [kingcuphook.DeclaredTierCount]uint8
	for i, v := range l.mean {
		tiers[i] = uint8(v + 0.5)
	}
	return tiers
}

// merge takes the pressure reports from a digest. The sender's own pressure counts
// towards the average if it is in this router's region.
func (l *loadState) merge(g *Gossiper, now time.Time, d *Digest) {
	if d.Sender.Location == g.self.entry.Location || g.locations[d.Sender.Location].Region == g.Location.Region {
		l.updateMean(d.OwnPressure)
	}
	for _, p := range d.Pressures {
		if p.Region == "" || p.Region == g.Location.Region || p.Age < 0 || p.Age > pressureTTL {
			continue
		}
		l.storeReport(p.Region, pressureReport{tiers: p.Tiers, made: now.Add(-p.Age)})
	}
}

// storeReport stores a report if it is newer than the one kept for the region.
func (l *loadState) storeReport(region string, r pressureReport) {
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
		l.reports = make(map[string]pressureReport)
	}
	l.reports[region] = r
}

// addTo adds the load sections to a digest, each within its limit.
func (l *loadState) addTo(g *Gossiper, now time.Time, d *Digest) {
	d.OwnPressure = l.own
	d.Pressures = append(d.Pressures, Pressure{Region: g.Location.Region, Tiers: l.regionMean()})
	for range min(len(l.regions), MaxPressures-1) {
		region := l.regions[l.next%len(l.regions)]
		l.next++
		r := l.reports[region]
		if age := now.Sub(r.made); age <= pressureTTL {
			d.Pressures = append(d.Pressures, Pressure{Region: region, Tiers: r.tiers, Age: age})
		}
	}
	d.Suspects = l.suspects
	d.Parts = l.parts
	for range min(len(l.rates), MaxRates) {
		d.Rates = append(d.Rates, l.rates[l.nextRate%len(l.rates)])
		l.nextRate++
	}
}
