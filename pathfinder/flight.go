package pathfinder

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// Flight is a request on a direct path.
type Flight struct {
	path  *path
	begun time.Time
	// connected is set once the request has a connection.
	connected bool
}

// Began records that a request is sent on the direct path to an upstream. Ended must be called for
// it.
func (f *Pathfinder) Began(now time.Time, u *kingcuphook.Upstream) *Flight {
	f.mu.Lock()
	defer f.unlock()
	p := f.get(now, u)
	if p.inFlight == 0 {
		p.begun = now
	}
	if f.inFlight == 0 {
		f.begun = now
	}
	p.inFlight++
	f.inFlight++
	if p.flights == nil {
		p.flights = make(map[*Flight]bool)
	}
	flight := &Flight{path: p, begun: now}
	p.flights[flight] = true
	return flight
}

// Connected records that a request has a connection.
func (f *Pathfinder) Connected(now time.Time, flight *Flight) {
	f.mu.Lock()
	defer f.unlock()
	flight.connected = true
	flight.path.dial = max(flight.path.dial, now.Sub(flight.begun))
}

// isLongDial reports whether opening a connection for a request takes unusually long, and at least as
// long as given.
func (f *Flight) isLongDial(now time.Time, least time.Duration) bool {
	return !f.connected && now.Sub(f.begun) >= max(least, time.Duration(dialFactor*float64(f.path.dial)))
}

// SlowDials returns the upstreams to be checked because opening connections to several of them takes
// unusually long.
func (f *Pathfinder) SlowDials(now time.Time) []*kingcuphook.Upstream {
	f.mu.Lock()
	defer f.unlock()
	if f.inFlight < minCutOff {
		return nil
	}
	var slow []*path
	for _, p := range f.paths {
		for flight := range p.flights {
			if p.state == StateDirect && flight.isLongDial(now, longDial) {
				slow = append(slow, p)
				break
			}
		}
	}
	if len(slow) < minCutOff {
		return nil
	}
	var list []*kingcuphook.Upstream
	for _, p := range slow {
		if !now.Before(p.nextCheck) {
			p.evidence, p.evidenceAt = EvidenceSlowDial, now
			list = append(list, p.upstream)
		}
	}
	return list
}

// Ended records the end of a request. It must be called once.
func (f *Pathfinder) Ended(flight *Flight) {
	f.mu.Lock()
	defer f.unlock()
	delete(flight.path.flights, flight)
	flight.path.inFlight--
	f.inFlight--
}

// Lost returns the numbers of requests that have a slot on an upstream and are no load on it: no
// connection could be opened for long, or the direct path was found cut and nothing is received.
func (f *Pathfinder) Lost(now time.Time) map[kingcuphook.Program]int {
	f.mu.Lock()
	defer f.unlock()
	if f.inFlight == 0 {
		return nil
	}
	lost := make(map[kingcuphook.Program]int)
	for program, p := range f.paths {
		least := longDial
		if p.dial > 0 {
			least = unsentDial
		}
		isSilent := p.state == StateCut && p.verified && now.Sub(p.heard) >= minSilence
		for flight := range p.flights {
			if isSilent || flight.isLongDial(now, least) {
				lost[program]++
			}
		}
	}
	return lost
}

// Heard records that bytes were received on a direct connection to a program.
func (f *Pathfinder) Heard(now time.Time, program kingcuphook.Program) {
	f.mu.Lock()
	defer f.unlock()
	if f.inFlight > 0 {
		if gap := now.Sub(later(f.begun, f.heard)); gap > f.usualGap(now) {
			f.gap, f.gapAt = gap, now
		}
	}
	f.heard = now
	if p := f.paths[program]; p != nil {
		p.heard = now
	}
}

// usualGap returns the longest time without any byte of late. The caller must hold mu.
func (f *Pathfinder) usualGap(now time.Time) time.Duration {
	return f.gap >> min(now.Sub(f.gapAt)/gapHalfLife, 62)
}

// Silent returns the upstreams to be checked because nothing was received lately on any direct
// connection, although requests to several upstreams are in flight.
func (f *Pathfinder) Silent(now time.Time) []*kingcuphook.Upstream {
	f.mu.Lock()
	defer f.unlock()
	if f.inFlight < minCutOff || now.Before(f.nextSilent) {
		return nil
	}
	least := min(max(time.Duration(silenceFactor*float64(f.usualGap(now))), minSilence), maxSilence)
	if now.Sub(later(f.begun, f.heard)) < least {
		return nil
	}
	var silent []*path
	for _, p := range f.paths {
		if p.inFlight > 0 && p.state == StateDirect && now.Sub(later(p.begun, p.heard)) >= least {
			silent = append(silent, p)
		}
	}
	if len(silent) < minCutOff {
		return nil
	}
	slices.SortFunc(silent, func(a, b *path) int {
		return cmp.Or(later(a.begun, a.heard).Compare(later(b.begun, b.heard)), cmp.Compare(a.upstream.Address(), b.upstream.Address()))
	})
	f.silentPause = min(max(2*f.silentPause, minSilentPause), maxSilentPause)
	f.nextSilent = now.Add(f.silentPause)
	var list []*kingcuphook.Upstream
	for _, p := range silent[:min(len(silent), maxSilentChecks)] {
		p.evidence, p.evidenceAt = EvidenceSilent, now
		p.nextCheck = now
		list = append(list, p.upstream)
	}
	return list
}
