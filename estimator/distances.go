package estimator

import (
	"sync"
	"time"
)

const (
	// tripShare is the quantile of the times to connect that stands for the way.
	tripShare = 0.3
	// tripStep is the first move of the quantile, as a logarithm.
	tripStep = 0.1
	// maxCentres bounds the data centres that are kept apart.
	maxCentres = 256
)

// Distances learns the round trip to each data centre from the time that connections
// take to open. Its zero value is ready for use. It is safe for concurrent use.
type Distances struct {
	mu sync.Mutex
	// byCentre has the data centres that a connection was opened to.
	byCentre map[string]*quantile
}

// Connected takes how long a connection to a data centre took to open.
func (d *Distances) Connected(dataCentre string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.byCentre[dataCentre]
	if q == nil {
		if d.byCentre == nil || len(d.byCentre) >= maxCentres {
			d.byCentre = make(map[string]*quantile)
		}
		// The first sample tells the scale.
		q = &quantile{share: tripShare, value: max(took, time.Microsecond).Seconds(), step: tripStep}
		d.byCentre[dataCentre] = q
	}
	q.add(took.Seconds())
}

// RoundTrip returns the round trip to a data centre; 0 if no connection has shown it.
func (d *Distances) RoundTrip(dataCentre string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.byCentre[dataCentre]
	if q == nil {
		return 0
	}
	return seconds(q.value)
}
