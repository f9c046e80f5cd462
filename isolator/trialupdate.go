package isolator

import "time"

// TrialUpdate is a change to the record of a part that concerns its last trial and is not in the store yet.
type TrialUpdate struct {
	part  uint64
	trial *trial
	state trialState
	// program is the program that the record must name; "" for none.
	program string
}

// Part returns the hash of the part.
func (u TrialUpdate) Part() string { return FormatPart(u.part) }

// IsVoid reports whether the trial is removed from the record.
func (u TrialUpdate) IsVoid() bool { return u.state == trialVoid }

// Apply returns the stored record with the change. It also returns whether the last trial of the stored
// record is that of the update; otherwise the change must not be written.
func (u TrialUpdate) Apply(now time.Time, stored Record) (Record, bool) {
	has := stored.hasTrial(u.trial.record)
	stored.TrialProgram = u.program
	if u.IsVoid() {
		stored.Trials--
		stored.TriedAt, stored.TriedBefore = stored.TriedBefore, time.Time{}
		stored.VoidedAt = now.UTC()
	}
	return stored, has
}

// TrialUpdates returns the changes to records that are not in the store yet. Void trials, and those
// that were allowed and found no request, are removed from the record. The program of a running trial
// is written to it, so that other routers can tell whether it crashed if this one stops, and is removed
// with the verdict. A change is returned again after updateTrial, until EndUpdate is called for it.
func (i *Isolator) TrialUpdates(now time.Time) []TrialUpdate {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []TrialUpdate
	for part, t := range i.trials {
		if t.state == trialAllowed && now.Sub(t.allowedAt) >= allowedTime {
			t.state = trialVoid
		}
		u := TrialUpdate{part: part, trial: t, state: t.state, program: t.wantedProgram()}
		switch {
		case u.state != trialVoid && u.program == t.storedProgram:
			if t.state == trialCounted {
				delete(i.trials, part)
			}
		case !now.Before(t.updateAfter):
			t.updateAfter = now.Add(updateTrial)
			list = append(list, u)
		}
	}
	return list
}

// wantedProgram returns the program that the stored record must name; "" for none.
func (t *trial) wantedProgram() string {
	if t.state == trialRunning || t.state == trialUnsettled {
		return t.program
	}
	return ""
}

// EndUpdate records that a change was written, or, if made is false, that it can't be written any more
// because the store has another trial.
func (i *Isolator) EndUpdate(u TrialUpdate, made bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.trials[u.part] != u.trial {
		return
	}
	if !made || u.IsVoid() {
		delete(i.trials, u.part)
		return
	}
	u.trial.storedProgram, u.trial.updateAfter = u.program, time.Time{}
}
