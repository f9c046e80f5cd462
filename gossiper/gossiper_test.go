package gossiper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEightRoutersFindEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 3, 3)
	took := f.until(time.Minute, f.agrees)
	t.Log("took", took)
	is.True(took >= 0)
}

func TestRevisionReachesEightRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 3, 3)
	f.until(time.Minute, f.agrees)
	f.put()
	took := f.until(time.Minute, f.inForce)
	t.Log("took", took)
	is.True(took >= 0 && took <= 3*time.Second)
}
