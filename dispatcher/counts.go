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
	// Crashes, Silent and Preempted count attempts that failed because the
	// upstream crashed, was unresponsive, or the slot was preempted.
	Crashes, Silent, Preempted int
	// Hedged counts the hedged attempts.
	Hedged int
	// NoBudget counts the retries that the retry budget rejected.
	NoBudget int
	// Refused counts the frames that the assembler rejected, by reason.
	Refused assembler.Counts
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
	n.Refused.Foreign += c.Foreign
	n.Refused.Repeated += c.Repeated
	n.Refused.Ahead += c.Ahead
	n.Refused.Late += c.Late
	n.Refused.Malformed += c.Malformed
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
