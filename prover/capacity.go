package prover

const capacityIntro = `The rules are those of design/capacity.md.`

// capacityFaults are the faults of the number of upstreams. Simulated platforms play them.
var capacityFaults = []TestedFault{
	{"spot-reclaimed", "the need is served, after 16 s also after one more reclaim", []string{"autoscaler.TestReclaim"}},
	{"spot-reclaimed-in-turn", "nearly the need is served", []string{"autoscaler.TestReclaim"}},
	{"no-spot-anywhere", "on-demand upstreams until spot ones are back", []string{"autoscaler.TestNoSpotAnywhere"}},
	{"order-lost, late, twice or rejected", "repeated until the need is covered", []string{"autoscaler.TestUncertainOrders"}},
	{"holder-changed", "nothing is given up until earlier orders have taken effect, same need", []string{"autoscaler.TestHolderChange"}},
	{"data-centre-gone", "the need is served elsewhere after 25 s", []string{"autoscaler.TestDataCentreGone"}},
	{"registrations-late", "no order for fewer than exist", []string{"autoscaler.TestLateRegistrations"}},
	{"load-unknown", "the size stays", []string{"autoscaler.TestUnknownLoadKeepsSize", "attacher.TestCapacityInput"}},
	{"platform-down", "one call in each step, sent again later", []string{"attacher.TestCapacityOrdersForScaledPoolsOnly"}},
}
