package dispatcher

import "github.com/kingcuphook/kingcuphook/assembler"

// Counts tell what a Dispatcher did since it was started.
type Counts struct {
	// Answered and Failed count the calls by their end; Replayed counts those of
	// Answered that got a stored outcome.
	Answered, Failed, Replayed int
	// Attempts counts the dispatches; Resumed those of them that started past
	// the first frame.
	Attempts, Resumed int
	// Crashes, Silent and Preempted count attempts by how they were cut off.
	Crashes, Silent, Preempted int
	// Hedged counts the second attempts at a first frame.
	Hedged int
	// NoBudget counts the retries that the budget refused.
	NoBudget int
	// Refused are the frames that the guard refused.
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

// Counts returns what the Dispatcher did so far.
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
