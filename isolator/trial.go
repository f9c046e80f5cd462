package isolator

import "time"

const (
	// firstTrial and secondTrial are how long after its quarantine, and after the first trial, a
	// part is tried again. There is no third trial, since each may cost a crash.
	firstTrial  = 15 * time.Second
	secondTrial = 30 * time.Minute
	maxTrials   = 2
	// wantedTime is how long a rejected request shows that a trial would find one to run.
	wantedTime = 2 * time.Second
	// calmTime is how long no upstream has crashed before a trial, which another crash would
	// break off.
	calmTime = 5 * time.Second
	// retryTrial is the shortest time between two proposals of a trial by one router.
	retryTrial = 20 * time.Second
)

// startTrial reports whether the request is that of an allowed trial; otherwise it notes that a
// request was rejected.
func (i *Isolator) startTrial(now time.Time, e *Entry) bool {
	if e.onTrial {
		e.onTrial = false
		return true
	}
	e.refusedAt = now
	return false
}

// TrialsWanted returns the quarantined parts that may be tried as far as this router knows, since
// requests with them come. The next call returns others.
func (i *Isolator) TrialsWanted(now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.crashedSince(now.Add(-calmTime)) {
		return nil
	}
	var list []string
	for _, e := range i.entries {
		if e.state != StateQuarantined || now.Sub(e.since) < firstTrial || now.Before(e.trialAfter) || now.Sub(e.refusedAt) > wantedTime {
			continue
		}
		e.trialAfter = now.Add(retryTrial)
		list = append(list, FormatPart(e.part))
	}
	return list
}

// NextTrial returns the record with one more trial, and whether the trial is due.
func (r Record) NextTrial(now time.Time) (Record, bool) {
	due := r.State == StateQuarantined && (r.Trials == 0 || r.Trials < maxTrials && now.Sub(r.TriedAt) >= secondTrial)
	r.Trials++
	r.TriedAt = now.UTC()
	return r, due
}

// AllowTrial lets the next request with the part through. The caller must have written the
// record of the trial to the store, so that no other router does the same.
func (i *Isolator) AllowTrial(r Record) {
	part, err := r.part()
	if err != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if e, ok := i.entries[part]; ok && e.state == StateQuarantined {
		e.onTrial = true
	}
}

// crashedSince reports whether a crash is known that was detected after the given time.
func (i *Isolator) crashedSince(at time.Time) bool {
	for _, e := range i.entries {
		if e.latest().After(at) {
			return true
		}
	}
	return false
}
