package router

// addGauges registers the metrics whose values are read from the components.
func (r *Router) addGauges() {
	for name, value := range map[string]func() float64{
		"kingcuphook_ready":           func() float64 { return boolToFloat(r.Ready()) },
		"kingcuphook_tables_revision": func() float64 { return float64(r.follower.Tables().Revision()) },
		"kingcuphook_store_available": func() float64 { return boolToFloat(!r.follower.StoreFailing()) },
		"kingcuphook_peers":           func() float64 { return float64(len(r.control.view.Load().members)) },
		"kingcuphook_open_requests":   func() float64 { return float64(r.server.Open()) },

		"kingcuphook_memory_budget_bytes":    func() float64 { return float64(r.memory.Bytes) },
		"kingcuphook_memory_held_bytes":      func() float64 { return float64(r.memory.Usage().Held) },
		"kingcuphook_memory_held_peak_bytes": func() float64 { return float64(r.memory.Usage().Peak) },
		"kingcuphook_heads_rejected_total":   func() float64 { return float64(r.upstreams.HeadsRejected()) },
		"kingcuphook_memory_refused_total":   func() float64 { return float64(r.memory.Usage().Refused) },

		"kingcuphook_attempts_resumed_total":               func() float64 { return float64(r.dispatcher.Counts().Resumed) },
		"kingcuphook_attempts_crashed_total":               func() float64 { return float64(r.dispatcher.Counts().Crashes) },
		"kingcuphook_attempts_silent_total":                func() float64 { return float64(r.dispatcher.Counts().Unresponsive) },
		"kingcuphook_attempts_preempted_total":             func() float64 { return float64(r.dispatcher.Counts().Preempted) },
		"kingcuphook_hedges_total":                         func() float64 { return float64(r.dispatcher.Counts().Hedged) },
		"kingcuphook_hedges_won_total":                     func() float64 { return float64(r.dispatcher.Counts().HedgesWon) },
		"kingcuphook_hedge_tokens_total":                   func() float64 { return float64(r.dispatcher.Counts().HedgeTokens) },
		"kingcuphook_retries_refused_total":                func() float64 { return float64(r.dispatcher.Counts().RetriesRejected) },
		"kingcuphook_outcomes_replayed_total":              func() float64 { return float64(r.dispatcher.Counts().Replayed) },
		"kingcuphook_frames_foreign_total":                 func() float64 { return float64(r.dispatcher.Counts().RejectedFrames.Foreign) },
		"kingcuphook_frames_repeated_total":                func() float64 { return float64(r.dispatcher.Counts().RejectedFrames.Repeated) },
		"kingcuphook_claims_held_total":                    func() float64 { return float64(r.claims.Counts().Held) },
		"kingcuphook_claims_found_total":                   func() float64 { return float64(r.claims.Counts().Found) },
		"kingcuphook_claims_failed_total":                  func() float64 { return float64(r.claims.Counts().Failed) },
		"kingcuphook_claim_writes_total":                   func() float64 { return float64(r.claims.Counts().Writes) },
		"kingcuphook_claims_restored_total":                func() float64 { return float64(r.claims.Counts().Restored) },
		"kingcuphook_claim_conflicts_total":                func() float64 { return float64(r.claims.Counts().Conflicts) },
		"kingcuphook_rate_limited_total":                   func() float64 { return float64(r.throttle.rejected()) },
		"kingcuphook_quarantined_fingerprints":             func() float64 { return float64(len(r.Quarantine())) },
		"kingcuphook_quarantined_parts":                    func() float64 { n, _ := r.isolator.Count(); return float64(n) },
		"kingcuphook_suspected_parts":                      func() float64 { _, n := r.isolator.Count(); return float64(n) },
		"kingcuphook_audit_records_lost_total":             func() float64 { return float64(r.editor.Audit.Dropped()) },
		"kingcuphook_upstreams_rate_limited":               func() float64 { return float64(r.permits.Count()) },
		"kingcuphook_upstream_rate_limits_per_second":      r.permits.Sum,
		"kingcuphook_rate_limited_requests_sent_total":     func() float64 { return float64(r.permits.Sent()) },
		"kingcuphook_rate_limited_requests_withheld_total": func() float64 { return float64(r.permits.Withheld()) },
		"kingcuphook_upstream_reports":                     func() float64 { return float64(len(r.control.view.Load().reports)) },
		"kingcuphook_requests_waiting":                     func() float64 { return float64(r.queuedRequests()) },
	} {
		r.meter.Gauge(name, value)
	}
}

// queuedRequests returns the number of requests queued at this router.
func (r *Router) queuedRequests() int {
	n := 0
	for _, p := range r.follower.Tables().Pools() {
		n += r.allocator.Queued(p.Name())
	}
	return n
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
