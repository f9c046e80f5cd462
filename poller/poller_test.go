package poller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The rate must stay bounded with many upstreams, and none of them may be left out.
func TestRateIsBoundedAndAllUpstreamsArePolled(t *testing.T) {
	is := is.New(t)
	addresses := make([]string, 0, 600)
	for i := range 600 {
		addresses = append(addresses, fmt.Sprint(i))
	}
	p := &Poller{}
	p.Update(addresses)
	now := time.Unix(0, 0)
	polled := make(map[string]int)
	total := 0
	const seconds = 160
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for _, a := range p.Next(now) {
			polled[a]++
			total++
		}
	}
	is.Equal(len(polled), 600)
	is.True(total <= seconds*defaultRate+maxBurst)
}

func TestReportsReplacePolls(t *testing.T) {
	is := is.New(t)
	p := &Poller{}
	p.Update([]string{"a", "b"})
	now := time.Unix(0, 0)
	p.RecordReport(now, "a")
	is.Equal(p.Next(now), []string{"b"})
	p.Update([]string{"b"})
	is.Equal(p.Next(now.Add(time.Second)), []string{"b"})
}
