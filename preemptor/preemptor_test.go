package preemptor

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func request(id string, tier kingcuphook.Tier, prompt int) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: id, Tier: tier, PromptTokens: prompt, Arrived: start, Target: time.Second,
	})
}

func candidate(id string, tier kingcuphook.Tier, prompt, tokens int, resumes bool) Candidate {
	return Candidate{
		Request:  request(id, tier, prompt),
		Upstream: kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Kind: kingcuphook.UpstreamKindEngine, Resumes: resumes}),
		Tokens:   tokens,
	}
}

func TestChooseTakesLowestTierThenLeastLoss(t *testing.T) {
	is := is.New(t)
	p := &Preemptor{}
	top := request("top", 1, 10)
	is.Equal(p.Choose(top, nil), -1)
	is.Equal(p.Choose(top, []Candidate{candidate("a", 1, 10, 0, true)}), -1)
	is.Equal(p.Choose(top, []Candidate{candidate("a", 3, 10, 0, true), candidate("b", 5, 100, 200, false), candidate("c", 5, 100, 50, false)}), 2)
	is.Equal(p.Choose(top, []Candidate{candidate("b", 5, 100, 200, true), candidate("c", 5, 100, 50, false)}), 0)
	service := candidate("a", 5, 10, 0, true)
	service.Upstream = kingcuphook.NewUpstream(kingcuphook.UpstreamFields{Kind: kingcuphook.UpstreamKindService})
	is.Equal(p.Choose(top, []Candidate{service}), -1)
}

func TestLostWorkStaysWithinTheBudget(t *testing.T) {
	is := is.New(t)
	p := &Preemptor{MaxWaste: 0.02}
	top := request("top", 1, 10)
	lost, served := 0.0, 0
	for i := range 5000 {
		candidates := []Candidate{candidate(fmt.Sprint(i), 5, 1000, 0, true)}
		if p.Choose(top, candidates) == 0 {
			p.Preempted(candidates[0])
			lost += LostWork(candidates[0])
		}
		p.Served(100)
		served += 100
	}
	is.Equal(p.WastedTokens(), lost)
	is.True(lost <= 0.02*float64(served)+initialBudget)
	is.True(lost >= 0.02*float64(served))
	p.Served(1_000_000_000)
	for i := range 100 {
		r := candidate(fmt.Sprint("burst", i), 5, 1000, 0, true)
		if p.Choose(top, []Candidate{r}) == 0 {
			p.Preempted(r)
		}
	}
	is.True(p.WastedTokens()-lost <= maxBudget)
}

func TestTrackedPreemptionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := &Preemptor{}
	r := candidate("first", 5, 0, 0, true)
	p.Preempted(r)
	is.Equal(p.Choose(request("top", 1, 10), []Candidate{r}), -1)
	for i := range maxTracked {
		p.Preempted(candidate(fmt.Sprint(i), 5, 0, 0, true))
	}
	is.Equal(len(p.counts), maxTracked)
	is.Equal(p.Choose(request("top", 1, 10), []Candidate{r}), 0)
}
