package kingcuphook

const (
	// routeLevels is the number of route tiers that are kept apart within one tier of
	// organisations.
	routeLevels = 3
	// defaultOrganisationTier is the tier of an organisation that has none.
	defaultOrganisationTier = HighestTier + 1
)

// Rank returns the tier and the urgency of the requests of an organisation on a route; lower values
// go first. Requests are ordered by the tier of the organisation and then by that of the route.
func Rank(o Organisation, route *Route) (Tier, int) {
	organisation := o.Tier
	if !organisation.Declarable() {
		organisation = defaultOrganisationTier
	}
	urgency := organisation.Index()*routeLevels + min(route.Tier().Index(), routeLevels-1)
	return HighestTier + Tier(urgency), urgency
}
