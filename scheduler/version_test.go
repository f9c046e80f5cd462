package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

func versioned(address string, slots int, version string) kingcuphook.UpstreamFields {
	f := engine(address, slots)
	f.SoftwareVersion = version
	return f
}

func restricted(id string, tier kingcuphook.Tier, version string) *kingcuphook.Request {
	return request(id, tier).Restrict(version)
}

// A stream was continued by another software version when its own had no free slot.
func TestFullVersionIsAwaited(t *testing.T) {
	is := is.New(t)
	s := newScheduler(versioned("a", 1, "1"), versioned("b", 4, "2"))
	s.Offer(start, restricted("0", 1, "1"))
	is.Equal(assign(s, start), "0>a ")
	for i := range 2 * maxDeferred {
		s.Requeue(start, restricted(fmt.Sprint("r", i), 1, "1"), []string{"c"})
	}
	s.Offer(start, request("1", 1))
	is.Equal(assign(s, start), "1>b ") // those that wait hold back no other
	is.Equal(assign(s, start.Add(unservedWait)), "")
	s.Finished(start, "a", request("0", 1), kingcuphook.Sample{})
	is.Equal(assign(s, start.Add(unservedWait)), "r63>a ")
}

// A request whose software version is gone waited for upstreams that come back.
func TestRequestIsShedOnceItsVersionIsGone(t *testing.T) {
	gone := map[string]func(*Scheduler){
		"never there": func(*Scheduler) {},
		"removed":     func(s *Scheduler) { s.Update(start, pool(versioned("b", 1, "2"))) },
		"replaced":    func(s *Scheduler) { s.Update(start, pool(versioned("a", 1, "2"))) },
		"leaving": func(s *Scheduler) {
			s.Report(start, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "a", Made: start, Leaving: true}))
		},
		"no upstream": func(s *Scheduler) { s.Update(start, pool()) },
	}
	for name, change := range gone {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(versioned("a", 1, "1"), versioned("b", 1, "2"))
			version := "1"
			if name == "never there" {
				version = ""
			}
			s.Offer(start, restricted("0", 1, "1"))
			is.Equal(assign(s, start), "0>a ")
			s.Requeue(start, restricted("1", 1, version), []string{"b"})
			change(s)
			assignments, sheds := s.Assign(start)
			is.Equal(len(assignments), 0)
			is.Equal(len(sheds), 1)
			is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrVersionGone))
			is.Equal(s.Len()+len(s.restricted)+len(s.excluded), 0)
		})
	}
}

// Paths that pick an upstream besides the selector must keep to the version as well.
func TestNoPathLeavesTheVersion(t *testing.T) {
	upstreams := []kingcuphook.UpstreamFields{versioned("a", 1, "1"), versioned("b", 1, "2")}
	t.Run("probe", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(upstreams...)
		s.Ejector = &fixedEjector{weights: map[string]float64{"a": 0}, probes: 9}
		s.Offer(start, restricted("0", 5, "2"))
		is.Equal(assign(s, start), "0>b ")
	})
	t.Run("preemption", func(t *testing.T) {
		for version, want := range map[string]string{"1": "next>a-low ", "2": ""} {
			is := is.New(t)
			s := newScheduler(upstreams...)
			s.Offer(start, request("low", 5))
			s.Offer(start, restricted("high", 1, "2"))
			is.Equal(assign(s, start), "high>b low>a ")
			s.Offer(start, restricted("next", 1, version))
			is.Equal(assign(s, start.Add(950*time.Millisecond)), want)
		}
	})
	t.Run("no permit", func(t *testing.T) {
		is := is.New(t)
		s, permits := newLimitedScheduler(map[string]kingcuphook.PermitState{"a": {Limited: true}}, upstreams...)
		s.Offer(start, restricted("0", 1, "1"))
		is.Equal(assign(s, start), "")
		is.Equal(permits.requested["a"], 1)
	})
	t.Run("pause", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(upstreams...)
		s.Pause(start, kingcuphook.NewUpstream(upstreams[0]).Program(), start.Add(time.Minute))
		s.Offer(start, restricted("0", 1, "1"))
		assignments, sheds := s.Assign(start)
		is.Equal(len(assignments), 0)
		is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrPaused))
	})
	t.Run("all of the version excluded", func(t *testing.T) {
		is := is.New(t)
		s := newScheduler(upstreams...)
		sheds := s.Requeue(start, restricted("0", 1, "1"), []string{"a"})
		is.True(errors.Is(sheds[0].Err(), kingcuphook.ErrNoUpstream))
		is.Equal(len(s.restricted), 0)
	})
}
