package estimator

import (
	"sync"
	"time"
)

const (
	// roundTripQuantile is the quantile of the connect times that is taken as the round
	// trip.
	roundTripQuantile = 0.3
	// initialRoundTripStep is the first step of the quantile estimate, as a logarithm.
	initialRoundTripStep = 0.1
	// maxDataCentres bounds the data centres that are tracked; one more clears all.
	maxDataCentres = 256
)

// RoundTrips learns the round trip to each data centre from the time that connections
// take to open. Its zero value is ready for use. It is safe for concurrent use.
type RoundTrips struct {
	mu sync.Mutex
	// byDataCentre holds the data centres to which a connection was opened.
	byDataCentre map[string]*quantile
}

// Observe records how long a connection to a data centre took to open.
func (r *RoundTrips) Observe(dataCentre string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.byDataCentre[dataCentre]
	if q == nil {
		if r.byDataCentre == nil || len(r.byDataCentre) >= maxDataCentres {
			r.byDataCentre = make(map[string]*quantile)
		}
		// The first sample sets the scale.
		q = &quantile{level: roundTripQuantile, value: max(took, time.Microsecond).Seconds(), step: initialRoundTripStep}
		r.byDataCentre[dataCentre] = q
	}
	q.add(took.Seconds())
}

// RoundTrip returns the round trip to a data centre, or 0 if no connection to it was
// opened.
func (r *RoundTrips) RoundTrip(dataCentre string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.byDataCentre[dataCentre]
	if q == nil {
		return 0
	}
	return seconds(q.value)
}
