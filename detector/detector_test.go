package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDetector(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	d := Detector{First: 10 * time.Second, Between: 3 * time.Second}
	d.Sent(began)
	is.Equal(d.Due(), at(10))
	is.True(!d.Silent(at(9.9)))
	is.True(d.Silent(at(10)))
	d.Heard(at(9))
	is.Equal(d.Due(), at(12))
	is.True(d.Silent(at(12.5)))
	is.True(!d.Silent(at(40))) // a look that late means that the router was paused
	d.Resume(at(40))
	is.True(!d.Silent(at(42.9)))
	is.True(d.Silent(at(43)))
	d.Sent(at(50))
	is.Equal(d.Due(), at(60)) // the bound of the first byte holds again
}
