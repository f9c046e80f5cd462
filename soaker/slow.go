package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	// longCalls is the number of streams that outlast a stop; longInterval is the time after
	// each of their events, and longTimeout how long their callers wait.
	longCalls    = 3
	longInterval = 600 * time.Millisecond
	longTimeout  = 9 * time.Second
	// minSilence and maxSilence bound the time for which a sound upstream sends nothing.
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// halfBytes is the size of each half of a body, halfPause the longest time between them.
	halfBytes = 1000
	halfPause = 300 * time.Millisecond
)

// silenceFault returns a fault in which a sound upstream sends nothing for a second or so and
// goes on. It is no trouble: no call may end because of it.
func (env *environment) silenceFault(i int, rng *rand.Rand, longest time.Duration) fault {
	d := between(rng, minSilence, longest)
	begin := func() { env.upstream(i).FallSilent(d) }
	return fault{"upstream is silent", d, begin, func() {}}
}

// longStopFault returns a fault in which a router is stopped while it serves streams that
// outlast its stop.
func (env *environment) longStopFault(r *router, rng *rand.Rand) fault {
	var open sync.WaitGroup
	ids := make([]string, longCalls)
	for n := range ids {
		ids[n] = fmt.Sprintf("%016x", rng.Uint64())
	}
	begin := func() {
		for _, id := range ids {
			open.Go(func() {
				line := &line{router: r}
				defer line.close()
				x := &call{id: id, kind: standin.KindStream, router: r, timeout: longTimeout, interval: longInterval}
				env.soak.calls.send(context.Background(), line, x)
			})
		}
		time.Sleep(longInterval / 2)
		env.stop(r)
	}
	return fault{"stop " + r.name + " with long streams", 0, begin, open.Wait}
}

// halves is a body that comes in two halves with a pause between them.
type halves struct {
	pause time.Duration
	rest  int
	half  io.Reader
}

func newHalves(rng *rand.Rand) *halves {
	return &halves{pause: between(rng, time.Millisecond, halfPause), rest: 1, half: strings.NewReader(strings.Repeat("x", halfBytes))}
}

// Read implements io.Reader.
func (h *halves) Read(b []byte) (int, error) {
	n, err := h.half.Read(b)
	if err != io.EOF || h.rest == 0 {
		return n, err
	}
	time.Sleep(h.pause)
	h.rest--
	h.half = strings.NewReader(strings.Repeat("y", halfBytes))
	return h.half.Read(b)
}
