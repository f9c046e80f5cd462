package dispatcher

import (
	"time"

	"github.com/kingcuphook/kingcuphook/isolator"
	"github.com/kingcuphook/kingcuphook/quarantiner"
)

// Explain returns a function for isolator.Isolator.OnChange that clears the requests of the
// crashes that a quarantined prompt part explains.
func Explain(q *quarantiner.Quarantiner) func(isolator.Entry) {
	return func(e isolator.Entry) {
		if e.State() != isolator.StateQuarantined {
			return
		}
		crashes := make([]quarantiner.Crash, 0, len(e.Crashes()))
		for _, c := range e.Crashes() {
			crashes = append(crashes, quarantiner.NewCrash(c.Program(), c.At()))
		}
		q.Attribute(time.Now(), crashes)
	}
}
