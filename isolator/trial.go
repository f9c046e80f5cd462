package isolator

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
)

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
	// allowedTime is how long an allowed trial waits for a request with the part.
	allowedTime = 5 * time.Second
	// proofDelay is how long after the end of a trial a request must be sent so that its answer
	// proves that the upstream hasn't crashed on the trial. The upstream may crash just after the
	// end, and until the registration of the program that replaces it is known, an answer of that
	// one is attributed to it.
	proofDelay = 10 * time.Second
	// orphanTime is how long after a trial was allowed other routers assume that it has ended, in
	// case its router stopped before the verdict. The request of a trial has its verdict well
	// before that.
	orphanTime = 10 * time.Minute
	// updateTrial is the shortest time between two attempts to write the record of a trial.
	updateTrial = 2 * time.Second
)

// trialState is the state of a trial.
type trialState string

// Values of trialState.
const (
	// trialAllowed means that the next request with the part is let through.
	trialAllowed trialState = "allowed"
	// trialRunning means that the request was let through.
	trialRunning trialState = "running"
	// trialUnsettled means that the request has ended, or its router has stopped, and that the
	// upstream may have crashed on the request.
	trialUnsettled trialState = "unsettled"
	// trialCounted means that the trial stays in the record, since it may have crashed its upstream.
	trialCounted trialState = "counted"
	// trialVoid means that the trial certainly crashed no upstream and gave no verdict on the part,
	// so that it is removed from the record.
	trialVoid trialState = "void"
)

// trial is a trial that is in the record of a part in the store and has no verdict.
type trial struct {
	record Record
	state  trialState
	// allowedAt is when this router allowed the trial; zero for that of another router.
	allowedAt time.Time
	// attempt is the attempt of this router that runs the trial, program the hash of the program of
	// its upstream; nil and "" before the attempt begins.
	attempt *Attempt
	program string
	// storedProgram is the program that the stored record names.
	storedProgram string
	// crashed is set if the program has crashed since the trial was allowed.
	crashed bool
	// provenAfter is the earliest time at which a request must be sent so that its answer proves
	// that the program hasn't crashed on the unsettled trial.
	provenAfter time.Time
	// updateAfter is the earliest time of the next attempt to write the record.
	updateAfter time.Time
}

// isOwn reports whether this router allowed the trial.
func (t *trial) isOwn() bool { return !t.allowedAt.IsZero() }

// startTrial reports whether the request is that of an allowed trial; otherwise it notes that a
// request was rejected.
func (i *Isolator) startTrial(now time.Time, e *Entry) bool {
	t, ok := i.trials[e.part]
	if ok && t.state == trialAllowed && now.Sub(t.allowedAt) < allowedTime {
		t.state = trialRunning
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

// NextTrial returns the record with one more trial, and whether the trial is due. The trial counts as
// one that crashed an upstream unless it is voided later, so that no router makes another one meanwhile.
func (r Record) NextTrial(now time.Time) (Record, bool) {
	due := r.State == StateQuarantined && (r.Trials == 0 || r.Trials < maxTrials && now.Sub(r.TriedAt) >= secondTrial) &&
		now.Sub(r.VoidedAt) >= firstTrial
	r.Trials++
	r.TriedBefore, r.TriedAt = r.TriedAt, now.UTC()
	r.TrialProgram = ""
	return r, due
}

// hasTrial reports whether the last trials of r and other are the same.
func (r Record) hasTrial(other Record) bool {
	return r.State == StateQuarantined && r.Trials == other.Trials && r.TriedAt.Equal(other.TriedAt)
}

// AllowTrial lets the next request with the part through. The caller must have written the
// record of the trial to the store, so that no other router does the same.
func (i *Isolator) AllowTrial(now time.Time, r Record) { i.addTrial(now, r, trialAllowed) }

// AbandonTrial voids a trial that this router doesn't make, although its record may be in the store.
func (i *Isolator) AbandonTrial(now time.Time, r Record) { i.addTrial(now, r, trialVoid) }

// addTrial adds a trial of this router in a state.
func (i *Isolator) addTrial(now time.Time, r Record, s trialState) {
	part, err := r.part()
	if err != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.setTrial(part, &trial{record: r, state: s, allowedAt: now})
}

func (i *Isolator) setTrial(part uint64, t *trial) {
	if i.trials == nil {
		i.trials = make(map[uint64]*trial)
	}
	i.trials[part] = t
}

// beginTrial records the attempt of a running trial.
func (i *Isolator) beginTrial(a *Attempt) {
	if len(a.request.Parts()) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.trials) == 0 {
		return
	}
	for _, p := range a.request.Parts() {
		if t, ok := i.trials[p]; ok && t.state == trialRunning && t.attempt == nil {
			t.attempt, t.program = a, FormatProgram(a.upstream.Program())
		}
	}
}

// EndTrial records that the request of the trial of a part has ended; ran is false if no upstream
// took it. Without a verdict a trial that ran stays unsettled, since its upstream may still crash.
func (i *Isolator) EndTrial(now time.Time, part uint64, ran bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	t, ok := i.trials[part]
	switch {
	case !ok || t.state != trialRunning:
	case !ran || t.attempt == nil:
		t.state = trialVoid
	case t.crashed || t.attempt.ended:
		t.state = trialCounted
	default:
		t.state, t.provenAfter = trialUnsettled, now.Add(proofDelay)
	}
}

// adoptTrial takes over the trial of another router in a record of the store, in case that router
// ends before the verdict.
func (i *Isolator) adoptTrial(part uint64, r Record) {
	known, ok := i.trials[part]
	if ok && (known.state == trialAllowed || known.state == trialRunning || known.isOwn() && r.hasTrial(known.record)) {
		return
	}
	if r.State != StateQuarantined || r.TrialProgram == "" {
		if ok && !known.isOwn() {
			delete(i.trials, part)
		}
		return
	}
	i.setTrial(part, &trial{
		record: r, state: trialUnsettled, program: r.TrialProgram, storedProgram: r.TrialProgram, provenAfter: r.TriedAt.Add(orphanTime),
	})
}

// recordTrialCrash records that a program has crashed, so that a trial there counts.
func (i *Isolator) recordTrialCrash(at time.Time, program uint32) {
	for _, t := range i.trials {
		if t.program != formatProgram(program) || at.Before(t.record.TriedAt) {
			continue
		}
		t.crashed = true
		if t.state == trialUnsettled {
			t.state = trialCounted
		}
	}
}

// recordTrialAnswer records that the program of u has answered a request that was sent at sentAt, and
// voids the unsettled trials there that this proves not to have crashed it.
func (i *Isolator) recordTrialAnswer(u *kingcuphook.Upstream, sentAt time.Time) {
	if len(i.trials) == 0 {
		return
	}
	program := FormatProgram(u.Program())
	for _, t := range i.trials {
		if t.state == trialUnsettled && t.program == program && !sentAt.Before(t.provenAfter) {
			t.state = trialVoid
		}
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
