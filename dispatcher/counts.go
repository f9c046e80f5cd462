package dispatcher

import "github.com/kingcuphook/kingcuphook/assembler"

// Counts are the counters of a Dispatcher since its start.
type Counts struct {
	// Answered and Failed count finished calls by their result; Replayed counts
	// the calls that got a stored outcome and is included in them.
	Answered, Failed, Replayed int
	// Attempts counts the dispatches; Resumed counts those that resumed a partly
	// delivered answer.
	Attempts, Resumed int
	// Crashes, Unresponsive and Preempted count attempts that failed because the
	// upstream crashed, was unresponsive, or the slot was preempted.
	Crashes, Unresponsive, Preempted int
	// LongSilent counts the unresponsive upstreams of which nothing but the length of their
	// silence was known. It is included in Unresponsive.
	LongSilent int
	// Hedged counts the hedges, HedgesWon those that answered first. HedgeTokens counts the
	// uncached prompt tokens of the attempts that lost, which were prefilled in vain at most.
	Hedged, HedgesWon, HedgeTokens int
	// Moved counts the streams that went on at another upstream with their KV memory, MovesFailed the
	// moves that were begun without that.
	Moved, MovesFailed int
	// RetriesRejected counts the retries that the retry budget rejected.
	RetriesRejected int
	// RejectedFrames counts the frames that the assembler rejected, by reason.
	RejectedFrames assembler.Counts
}

func (n *Counts) add(r *run, err error) {
	if err == nil {
		n.Answered++
	} else {
		n.Failed++
	}
	if r.replayed {
		n.Replayed++
	}
	c := r.answer.Counts()
	n.RejectedFrames.Foreign += c.Foreign
	n.RejectedFrames.Repeated += c.Repeated
	n.RejectedFrames.Ahead += c.Ahead
	n.RejectedFrames.Late += c.Late
	n.RejectedFrames.Malformed += c.Malformed
}

// Counts returns a copy of the counters.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *Dispatcher) count(f func(*Counts)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.counts)
}
