package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The first frame and later frames have separate timeouts. A check that is too late to be
// valid must not count the connection as unresponsive, nor may one after Restart before
// the timeout has passed again.
func TestTimeouts(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	d := Detector{FirstFrameTimeout: 10 * time.Second, IdleTimeout: 3 * time.Second}
	d.RecordDispatch(start)
	is.Equal(d.Deadline(), at(10))
	is.True(!d.Unresponsive(at(9.9)))
	is.True(d.Unresponsive(at(10)))
	d.RecordFrame(at(9))
	is.Equal(d.Deadline(), at(12))
	is.True(d.Unresponsive(at(12.1)))
	is.True(!d.Unresponsive(at(40))) // a check as late as this means that the process was suspended
	d.Restart(at(40))
	is.True(!d.Unresponsive(at(42.9)))
	is.True(d.Unresponsive(at(43)))
	d.RecordDispatch(at(50))
	is.Equal(d.Deadline(), at(60)) // the timeout of the first frame applies again
}

// A process that stood still for less than a second after the deadline blamed its upstreams.
func TestStandstillOfProcessIsNoSilence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	d := Detector{FirstFrameTimeout: 10 * time.Second, IdleTimeout: 3 * time.Second}
	d.RecordDispatch(start)
	for _, late := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		is.True(!d.Unresponsive(d.Deadline().Add(late)))
	}
}
