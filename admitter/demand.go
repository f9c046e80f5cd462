package admitter

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxCorrection bounds the factor by which the part due to an organisation is above or below
	// an equal one, because it was served less or more than the others.
	maxCorrection = 4
	// maxFactor bounds the factor of an account, so that each organisation gets turns at each
	// router however much it is served elsewhere.
	maxFactor = 100
)

// Demands returns what each organisation was served since the last call, and whether it has queued
// requests.
func (a *Admitter) Demands(now time.Time) []kingcuphook.Demand {
	elapsed := now.Sub(a.demandsAt).Seconds()
	known := !a.demandsAt.IsZero() && elapsed > 0
	a.demandsAt = now
	var demands []kingcuphook.Demand
	for i := range a.tiers {
		for _, acc := range a.tiers[i].accounts {
			acc.rate = 0
			if known {
				acc.rate = max(acc.unreported, 0) / elapsed
			}
			acc.unreported = 0
			if acc.rate == 0 && acc.queued == 0 {
				continue
			}
			demands = append(demands, kingcuphook.Demand{
				Organisation: acc.organisation,
				Tier:         kingcuphook.HighestTier + kingcuphook.Tier(i),
				Rate:         acc.rate,
				Routers:      min(acc.queued, 1),
			})
		}
	}
	return demands
}

// SetDemands sets what organisations are served at the other routers. It must be called often, also
// without demands.
func (a *Admitter) SetDemands(elsewhere []kingcuphook.Demand) {
	var byTier [kingcuphook.TierCount][]kingcuphook.Demand
	for _, d := range elsewhere {
		if d.Tier.Valid() {
			byTier[d.Tier.Index()] = append(byTier[d.Tier.Index()], d)
		}
	}
	for i, demands := range byTier {
		a.tiers[i].setDemands(demands)
	}
}

// Portion returns the part of the slots of a tier that is due to the requests that are queued here,
// 0 to 1, and whether several organisations compete for the tier over all routers.
func (a *Admitter) Portion(t kingcuphook.Tier) (float64, bool) {
	q := &a.tiers[t.Index()]
	return q.portion, q.competing
}

// competitor is an organisation that competes for a tier.
type competitor struct {
	organisation string
	// rate is the tokens per second that all routers serve it.
	rate float64
	// routers is the number of routers at which it has queued requests, here reports whether
	// this one is among them.
	routers int
	here    bool
	// weight is the part of the slots that is due to it at each of its routers.
	weight float64
}

// setDemands sets the portion of this router and the factors of the accounts. Each organisation is
// due an equal part of the slots of all routers, corrected by what it was served, and has the same
// part of that at each router at which it has queued requests. Organisations that are not in
// the sum yet are not counted, so that the portions of all routers add up to 1, and have the factor 1.
func (t *tierQueue) setDemands(elsewhere []kingcuphook.Demand) {
	t.portion = 0
	all := t.competitors(elsewhere)
	t.competing = len(all) > 1
	if !t.competing {
		all = nil
	}
	highest := 0.0
	for _, c := range all {
		if c.here {
			t.portion += c.weight
			highest = max(highest, c.weight)
		}
	}
	factors := make(map[*account]float64, len(all))
	for _, c := range all {
		if acc := t.accounts[c.organisation]; acc != nil {
			factors[acc] = max(1, min(highest/c.weight, maxFactor))
		}
	}
	t.setFactors(factors)
}

// setFactors sets the factors of some accounts, and those of all others to 1.
func (t *tierQueue) setFactors(factors map[*account]float64) {
	lowest, _ := t.queuedCounters()
	lower := false
	for _, acc := range t.weighted {
		if factors[acc] == 0 {
			lower = t.setFactor(acc, 1, lowest) || lower
		}
	}
	t.weighted = t.weighted[:0]
	for acc, f := range factors {
		lower = t.setFactor(acc, f, lowest) || lower
		t.weighted = append(t.weighted, acc)
	}
	if lower {
		t.raiseQueued()
	}
}

// queuedCounters returns the lowest and the highest counter of the organisations that are queued, or
// the virtual time if that is lower.
func (t *tierQueue) queuedCounters() (lowest, highest float64) {
	lowest = t.virtualTime
	for i, acc := range t.byLoad {
		lowest = min(lowest, acc.counter)
		if i == 0 || acc.counter > highest {
			highest = acc.counter
		}
	}
	return lowest, min(highest, t.virtualTime)
}

// setFactor changes the factor of an account, and reports whether it is lower than before. What its
// counter is ahead of the lowest one that is queued scales with the factor, so that tokens charged at
// a high factor don't delay the organisation once it is lower. Idle organisations start at the
// virtual time.
func (t *tierQueue) setFactor(acc *account, factor, lowest float64) bool {
	from := lowest
	if acc.queued == 0 {
		from = t.virtualTime
	}
	old := acc.chargeFactor()
	if lead := acc.counter - from; lead > 0 && factor != old {
		acc.counter = from + lead*factor/old
		acc.fixHeaps()
	}
	acc.factor = factor
	return factor < old
}

// raiseQueued raises all organisations that are queued by the same, so that the first of them is at
// the virtual time if they were below it. The virtual time has risen by tokens charged at high
// factors; an organisation would be delayed by these when it next starts at the virtual time.
func (t *tierQueue) raiseQueued() {
	_, highest := t.queuedCounters()
	behind := t.virtualTime - highest
	if len(t.byLoad) == 0 || behind <= 0 {
		return
	}
	for _, acc := range t.byLoad {
		acc.counter += behind
	}
	for _, acc := range t.byLoad {
		acc.fixHeaps()
	}
}

// competitors returns the organisations that have queued requests at any router, with the weights
// that are due to them.
func (t *tierQueue) competitors(elsewhere []kingcuphook.Demand) []competitor {
	var all []competitor
	mean := 0.0
	for _, d := range elsewhere {
		if c := t.competitor(d); c.routers > 0 {
			all = append(all, c)
			mean += c.rate
		}
	}
	mean /= float64(max(len(all), 1))
	sum := 0.0
	for i, c := range all {
		due := 1.0
		if mean > 0 {
			due = max(min(mean/max(c.rate, 1), maxCorrection), 1.0/maxCorrection)
		}
		sum += due
		all[i].weight = due
	}
	for i, c := range all {
		all[i].weight /= sum * float64(c.routers)
	}
	return all
}

// competitor adds what this router serves to the demand at the others.
func (t *tierQueue) competitor(elsewhere kingcuphook.Demand) competitor {
	c := competitor{organisation: elsewhere.Organisation, rate: elsewhere.Rate, routers: elsewhere.Routers}
	if acc := t.accounts[elsewhere.Organisation]; acc != nil {
		c.rate += acc.rate
		if acc.queued > 0 {
			c.routers, c.here = c.routers+1, true
		}
	}
	return c
}
