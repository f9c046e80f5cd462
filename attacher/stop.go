package attacher

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// killMargin is how long before the end of the grace time, when the platform kills
	// the process, a graceful shutdown ends.
	killMargin = 350 * time.Millisecond
	// callersLag is how long callers may still send calls after the process has
	// reported that it is not ready.
	callersLag = 3500 * time.Millisecond
	// streamsAccepted is how long new streams are accepted after the start of a graceful
	// shutdown. Later ones might not end before the process is killed.
	streamsAccepted = 2800 * time.Millisecond
	// stopPoll is how often a graceful shutdown checks whether calls are still open.
	stopPoll = 50 * time.Millisecond
	// closeTimeout bounds the time in which calls that are still open at the end are ended
	// and their callers get an error.
	closeTimeout = 200 * time.Millisecond
)

// stopDeadlines are the deadlines of a graceful shutdown: streams for accepting
// new streams, end for open calls.
type stopDeadlines struct{ streams, end time.Time }

// stop shuts down gracefully. The process reports that it is not ready, serves the calls
// that callers still send for callersLag, and waits for open calls until shortly before
// the end of the grace time. It ends those that are open then with an error.
func (a *Attacher) stop() {
	begun := time.Now()
	last := begun.Add(a.Settings.Grace() - killMargin)
	a.stopping.Store(&stopDeadlines{streams: begun.Add(streamsAccepted), end: last})
	a.permits.Stop()
	a.relays.announceStop()
	a.Log.Log(logger.Stopping, "open-requests", a.receiver.InFlight(), "until-ms", time.Until(last).Milliseconds())
	for time.Now().Before(last) {
		if time.Since(begun) >= callersLag && a.receiver.InFlight() == 0 && a.relays.door.Busy() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
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

// stopReceiver stops the receiver and waits for its calls until a time. It returns an error
// if calls are still open then.
func (a *Attacher) stopReceiver(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return a.receiver.Stop(ctx)
}
