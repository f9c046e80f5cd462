package attacher

import (
	"context"
	"time"

	"github.com/kingcuphook/kingcuphook/logger"
)

const (
	// killMargin is how long before the kill a planned stop ends.
	killMargin = 350 * time.Millisecond
	// callersLag is how long callers go on coming after the process said that it
	// is not ready.
	callersLag = 3500 * time.Millisecond
	// streamsTaken is how long streams are taken after that: later ones might not
	// end before the kill.
	streamsTaken = 2800 * time.Millisecond
	// stopPoll is how often the end of the open calls is looked for.
	stopPoll = 50 * time.Millisecond
	// closeTime bounds closing the connections that are left.
	closeTime = 150 * time.Millisecond
)

// closing are the times of a planned stop.
type closing struct{ streams, end time.Time }

// stop takes the process out of use: it is not ready from now on, serves what
// comes until its callers have gone elsewhere, and waits for what is open.
func (a *Attacher) stop() {
	begun := time.Now()
	last := begun.Add(a.Settings.Grace() - killMargin)
	a.closing.Store(&closing{streams: begun.Add(streamsTaken), end: last})
	a.Log.Log(logger.Stopping, "open-requests", a.receiver.InFlight(), "until-ms", time.Until(last).Milliseconds())
	for time.Now().Before(last) {
		if time.Since(begun) >= callersLag && a.receiver.InFlight() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if err := a.receiver.Stop(ctx); err != nil {
		a.Log.Log(logger.StopIncomplete, "open-requests", a.receiver.InFlight(), "error", err)
	}
}
