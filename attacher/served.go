package attacher

import (
	"context"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/equalizer"
	"github.com/kingcuphook/kingcuphook/gatherer"
	"github.com/kingcuphook/kingcuphook/logger"
)

// fairness is the state of the exchange of what organisations were served.
type fairness struct {
	// list has the organisations of listOf. Only the control loop uses them.
	list   *equalizer.List
	listOf *kingcuphook.Tables
	// inSum is the number of organisations in the sum in use; -1 means that none is.
	inSum atomic.Int64
}

// update rebuilds the list if the tables have changed.
func (f *fairness) update(t *kingcuphook.Tables) {
	if t != nil && t != f.listOf {
		f.list, f.listOf = equalizer.NewList(t), t
	}
}

func (a *Attacher) addFairnessGauges() {
	a.fairness.inSum.Store(-1)
	a.meter.Gauge("kingcuphook_fleet_fairness_sum_used", func() float64 { return math.Min(float64(a.fairness.inSum.Load()+1), 1) })
	a.meter.Gauge("kingcuphook_fleet_fairness_organisations", func() float64 { return math.Max(float64(a.fairness.inSum.Load()), 0) })
}

// exchangeServed sends what this router served each organisation if it is time to, and passes what
// the other routers served to the schedulers.
func (a *Attacher) exchangeServed(ctx context.Context) {
	if !a.FleetFairness {
		return
	}
	var list *equalizer.List
	var elsewhere equalizer.Loads
	due := false
	done := a.control.do(ctx, func(now time.Time) {
		g := &a.control.loads
		if due = g.ServedDue(now) || a.fairness.list == nil; due {
			a.fairness.update(a.control.directory().Tables)
			g.SetServedList(a.fairness.list)
		}
		list = a.fairness.list
		elsewhere = a.servedElsewhere(now)
	})
	if !done || list == nil {
		return
	}
	a.allocator.SetDemands(func(pool string) []kingcuphook.Demand { return list.Demands(pool, elsewhere) })
	if !due {
		return
	}
	own := list.Loads(a.allocator.Demands())
	a.control.do(ctx, func(now time.Time) {
		a.control.sendAll(a.control.loads.TickServed(now, own, a.control.peers.byDataCentre()))
	})
}

// servedElsewhere returns what the other routers served.
func (a *Attacher) servedElsewhere(now time.Time) equalizer.Loads {
	loads, ok := a.control.loads.ServedElsewhere(now)
	if !ok {
		a.fairness.inSum.Store(-1)
		return nil
	}
	a.fairness.inSum.Store(int64(loads.Organisations()))
	return loads
}

// logRejected logs that a message of the gatherer from a peer was rejected.
func (c *control) logRejected(from netip.Addr, message []byte, err error) {
	event := logger.PeerFailed
	if gatherer.IsServed(message) {
		event = logger.ServedRejected
	}
	c.a.Log.Log(event, "peer", from, "error", err)
}
