package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDetector(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	d := Detector{First: 10 * time.Second, Between: 3 * time.Second}
	d.Sent(start)
	is.Equal(d.Due(), at(10))
	is.True(!d.Silent(at(9.9)))
	is.True(d.Silent(at(10)))
	d.Heard(at(9))
	is.Equal(d.Due(), at(12))
	is.True(d.Silent(at(12.5)))
	is.True(!d.Silent(at(40))) // a check as late as this means that the process was suspended
	d.Resume(at(40))
	is.True(!d.Silent(at(42.9)))
	is.True(d.Silent(at(43)))
	d.Sent(at(50))
	is.Equal(d.Due(), at(60)) // the timeout of the first frame applies again
}
