package composer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.Unix(1_700_000_000, 0)

func pool(regions ...string) *kingcuphook.Pool {
	f := kingcuphook.PoolFields{Name: "p", SpillRegions: true}
	for _, region := range regions {
		f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(kingcuphook.UpstreamFields{
			Address: region, Region: region, DataCentre: region, Kind: kingcuphook.UpstreamKindEngine, Slots: 4,
		}))
	}
	return kingcuphook.NewPool(f)
}

func request(id string, arrived time.Time) *kingcuphook.Request {
	return kingcuphook.NewRequest(kingcuphook.RequestFields{
		ID: id, Class: "till", Pool: "p", Tier: 1, Arrived: arrived, Target: time.Second, PromptTokens: 10,
	})
}

// A scheduler with any one mechanism disabled, or none, still serves a request.
func TestEveryMechanismCanBeDisabled(t *testing.T) {
	for _, m := range append(Mechanisms(), "") {
		t.Run(string(m), func(t *testing.T) {
			is := is.New(t)
			s := (&Composer{Region: "cairo", DataCentre: "cairo", Disabled: []Mechanism{m}}).Compose()
			s.Update(start, pool("cairo"))
			s.SetRouters(2)
			s.Report(start, kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{Upstream: "cairo", Made: start}))
			is.Equal(len(s.Offer(start, request("a", start))), 0)
			got, shed := s.Assign(start)
			is.Equal(len(shed), 0)
			is.Equal(len(got), 1)
			s.Finished(start.Add(time.Second), "cairo", got[0].Request, kingcuphook.Sample{FirstToken: time.Second, Tokens: 3})
			is.Equal(s.Running(), 0)
		})
	}
}

// The only upstream is in another region. A request that is about to miss its
// target is sent there, unless MechanismSpill is disabled.
func TestRequestsStayInRegionWithoutSpill(t *testing.T) {
	is := is.New(t)
	late := start.Add(990 * time.Millisecond)
	for _, test := range []struct {
		disabled   []Mechanism
		dispatched bool
	}{{nil, true}, {[]Mechanism{MechanismSpill}, false}} {
		s := (&Composer{Region: "cairo", DataCentre: "cairo", Disabled: test.disabled}).Compose()
		s.Update(start, pool("alex"))
		s.Offer(start, request("a", start))
		got, _ := s.Assign(late)
		is.Equal(len(got) == 1, test.dispatched)
	}
}
