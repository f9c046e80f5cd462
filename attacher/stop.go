package attacher

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/stopper"
)

const (
	// killMargin is how long before the end of the grace time, when the platform kills
	// the process, a graceful shutdown ends.
	killMargin = 350 * time.Millisecond
	// callersLag is how long callers may still send calls after the process has
	// reported that it is not ready.
	callersLag = 3500 * time.Millisecond
	// stopPoll is how often a graceful shutdown checks whether calls are still open.
	stopPoll = 50 * time.Millisecond
	// closeTimeout bounds the time in which calls that are still open at the end are ended
	// and their callers get an error.
	closeTimeout = 200 * time.Millisecond
)

// stop shuts down gracefully. The process reports that it is not ready, serves the calls
// that callers still send for callersLag, and waits for open calls and stopper.ReuseTime longer until
// shortly before the end of the grace time. It ends those that are open then with an error.
func (a *Attacher) stop() {
	begun := time.Now()
	last := begun.Add(a.grace() - killMargin)
	a.stopping.Start(begun, last)
	a.permits.Stop()
	a.relays.announceStop()
	a.Log.Log(logger.Stopping, "open-requests", a.receiver.InFlight(), "until-ms", time.Until(last).Milliseconds())
	a.awaitCallers(begun, last)
	if a.stopReceiver(last) == nil {
		return
	}
	if n := a.receiver.InFlight(); n > 0 {
		a.Log.Log(logger.CallsEnded, "open-requests", n)
	}
	a.receiver.EndCalls()
	if err := a.stopReceiver(last.Add(closeTimeout)); err != nil {
		a.Log.Log(logger.StopIncomplete, "open-requests", a.receiver.InFlight(), "error", err)
	}
}

// grace returns the grace time of a graceful shutdown that begins now. The platform may kill the
// process by the settings with which it was started or by the later ones.
func (a *Attacher) grace() time.Duration {
	if s := a.reloaded.Load(); s != nil {
		return min(a.Settings.Grace(), s.Grace())
	}
	return a.Settings.Grace()
}

// awaitCallers waits until callers send no more calls and none is open, here or on a connection of a
// peer, or until last.
func (a *Attacher) awaitCallers(begun, last time.Time) {
	kept, idle := a.receiver.Kept(), begun
	for now := begun; now.Before(last); now = time.Now() {
		if n := a.receiver.Kept(); n != kept {
			kept, idle = n, now
		}
		isUnused := now.Sub(begun) >= callersLag && now.Sub(idle) >= stopper.ReuseTime
		if isUnused && a.receiver.InFlight() == 0 && a.relays.door.Open() == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
}

// stopReceiver stops the receiver and waits for its calls until a time. It returns an error
// if calls are still open then.
func (a *Attacher) stopReceiver(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return a.receiver.Stop(ctx)
}
