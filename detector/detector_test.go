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

// Where each tenth check came late, as on a busy machine, an upstream that was down was never given up.
func TestLateChecksKeepTheSilence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	d := Detector{IdleTimeout: 750 * time.Millisecond, Patience: 2100 * time.Millisecond}
	d.RecordFrame(start)
	now := start
	for n := 1; d.IsPatient(now) || !d.Unresponsive(now); n++ {
		now = d.Deadline()
		if n%10 == 0 {
			now = now.Add(maxDelay + 1)
		}
		switch {
		case !d.Unresponsive(now):
			d.RecordDelay(now)
		case d.IsPatient(now):
			d.Postpone(now)
		}
		if now.Sub(start) > 10*time.Second {
			t.Fatal("not given up after 10 s")
		}
	}
	is.True(now.Sub(start) >= d.Patience && now.Sub(start) < d.Patience+500*time.Millisecond)
}

// The time by which a check was late counted as silence.
func TestDelayOfCheckIsNoSilence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	d := Detector{IdleTimeout: time.Second, Patience: 10 * time.Second}
	d.RecordFrame(start)
	d.Postpone(start.Add(time.Second))
	late := start.Add(5 * time.Second)
	d.RecordDelay(late)
	is.Equal(d.Silence(late), time.Second+checkInterval)
	is.Equal(d.Deadline(), late.Add(checkInterval))
}
