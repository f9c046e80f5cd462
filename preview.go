package kingcuphook

import "time"

// Preview is what would become of a request if it came now. It comes from the code that decides about real
// requests, and making it has no influence on them.
type Preview struct {
	// Choice is the upstream that the request would be assigned to; its Upstream is nil if none takes
	// it now or the request would be shed. With a Wait, others go first and may take the slot.
	Choice Choice
	// Draws is the number of selections by which the probabilities of the candidates were estimated; 0 if the
	// selection is not drawn. Choice is then the most frequent one.
	Draws int
	// Candidates are all upstreams of the pool. Those that the request can't be assigned to have a RejectReason.
	Candidates []Candidate
	// Place is the place in the queue.
	Place QueuePlace
	// Shed is the refusal if the request would be shed; its Err is nil if not.
	Shed Shed
	// Wait is the expected time in the queue until the request is dispatched or shed; known only if
	// WaitKnown is true. A request that is shed at once has an unknown one.
	Wait      time.Duration
	WaitKnown bool
}

// QueuePlace is the place that a request would have in the queue of a pool.
type QueuePlace struct {
	// Queued is the number of requests that are queued here for the pool, Higher the number of those of higher
	// tiers and Before that of those of its own tier that go before it. InGroup is the number of those of
	// both that have its group.
	Queued, Higher, Before, InGroup int
	// Elsewhere is the number of requests of its own and of higher tiers that are queued at the other routers.
	Elsewhere int
	// PerSecond is the number of requests that this router dispatched in a second lately; 0 if unknown.
	PerSecond float64
}

// Ahead returns the number of requests queued here that go before the request.
func (p QueuePlace) Ahead() int { return p.Higher + p.Before }
