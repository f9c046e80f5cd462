package kingcuphook

// Codes of RequestError that more than one package gives or reads. Callers see
// them; they don't change.
const (
	CodeAlreadyClaimed = "already-claimed"
	CodeDeadline       = "deadline"
	CodeInternal       = "internal"
	CodeKeyReused      = "key-reused"
	CodeNoRoute        = "no-route"
	CodeNoUpstream     = "no-upstream"
	CodeNotReady       = "not-ready"
	CodeOverloaded     = "overloaded"
	CodeRateLimited    = "rate-limited"
	CodeTooLarge       = "too-large"
	CodeUpstreamFailed = "upstream-failed"
)
