package kingcuphook

// Codes of RequestError that more than one package sets or reads. They are sent
// to callers and must stay stable.
const (
	CodeAlreadyClaimed = "already-claimed"
	CodeClosing        = "connection-closing"
	CodeDeadline       = "deadline"
	CodeInternal       = "internal"
	CodeKeyReused      = "key-reused"
	CodeNoRoute        = "no-route"
	CodeNoUpstream     = "no-upstream"
	CodeNotReady       = "not-ready"
	CodeOverloaded     = "overloaded"
	CodeRateLimited    = "rate-limited"
	CodeStopping       = "stopping"
	CodeTooLarge       = "too-large"
	CodeVersionGone    = "stream-version-gone"
	CodeVersionUnknown = "stream-version-unknown"
	CodeUpstreamFailed = "upstream-failed"
)
