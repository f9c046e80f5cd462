package measurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// bucketLength is the time resolution of the upper bound.
const bucketLength = 500 * time.Millisecond

// bound computes an upper bound for every policy: the largest number of requests
// that attain their targets if answer lengths and load are known in advance,
// answers can be divided freely among all runners, every batch is full, every
// shared prefix is cached and a request may be counted in part.
//
// Each request has a window, from its arrival to the latest end of its answer that
// meets both targets, and the least engine time that it can take. The work of all
// windows inside an interval can't exceed the engine time of the interval. The
// work vectors that satisfy this for every interval form a polymatroid, on which
// the greedy choice by increasing work maximizes the fractional number of requests.
type bound struct {
	f *file
	c *caseSpec
	// slack holds at index a*buckets+b the engine seconds that are not yet allocated
	// in the interval from bucket a to bucket b, both included.
	slack   []float64
	buckets int
}

func newBound(f *file, c *caseSpec, arrivals []arrival) *bound {
	b := &bound{f: f, c: c}
	for i := range arrivals {
		b.buckets = max(b.buckets, b.end(&arrivals[i])+1)
	}
	b.slack = make([]float64, b.buckets*b.buckets)
	for from := range b.buckets {
		left := 0.0
		for to := from; to < b.buckets; to++ {
			left += b.bucketCapacity(to)
			b.slack[from*b.buckets+to] = left
		}
	}
	return b
}

// bucketCapacity returns the engine seconds, at speed 1, that all runners supply in
// one bucket.
func (b *bound) bucketCapacity(at int) float64 {
	from := time.Duration(at) * bucketLength
	total := 0.0
	for n, speed := range b.f.Runner.Speeds {
		lost := 0.0
		if s := b.c.Straggler; s != nil && s.Runner == n {
			lost = overlap(from, s) * (1 - 1/s.Factor)
		}
		if s := b.c.Crash; s != nil && s.Runner == n {
			lost += overlap(from, s)
		}
		total += speed * (bucketLength.Seconds() - min(lost, bucketLength.Seconds()))
	}
	return total
}

// overlap returns how many seconds of the bucket that begins at from the fault lasts.
func overlap(from time.Duration, s *faultSpec) float64 {
	begin, end := max(from, s.From.std()), min(from+bucketLength, s.To.std())
	return max(end-begin, 0).Seconds()
}

// end returns the last bucket in which the answer may end and still meet its targets.
func (b *bound) end(a *arrival) int {
	due := a.at + a.fields.Target + time.Duration(a.length-1)*a.fields.TokenTarget
	return int(due / bucketLength)
}

// work returns the least engine seconds of an answer that meets its token target.
// The mean step can't be longer than the target, which limits the batch size and so
// how many sequences share the fixed cost of a step.
func (b *bound) work(a *arrival) float64 {
	r := b.f.Runner
	step := float64(a.fields.TokenTarget) * slices.Max(r.Speeds)
	batch := (step - float64(r.StepBase)) / float64(r.StepSequence)
	batch = min(max(batch, 1), float64(r.Batch))
	each := float64(r.StepBase)/batch + float64(r.StepSequence)
	work := float64(max(a.unshared, 1))*float64(r.StepToken) + float64(a.length-1)*each
	return work / float64(time.Second)
}

// allocate reserves as much of the request's work as its window has left, and
// returns the fraction of the work that was reserved.
func (b *bound) allocate(a *arrival) float64 {
	begin, end := int(a.at/bucketLength), b.end(a)
	want := b.work(a)
	got := want
	b.forIntervals(begin, end, func(slack *float64) { got = min(got, *slack) })
	b.forIntervals(begin, end, func(slack *float64) { *slack -= got })
	return got / want
}

// forIntervals calls visit with the slack of every interval that contains the one
// from begin to end.
func (b *bound) forIntervals(begin, end int, visit func(slack *float64)) {
	for from := 0; from <= begin; from++ {
		row := b.slack[from*b.buckets : (from+1)*b.buckets]
		for to := end; to < b.buckets; to++ {
			visit(&row[to])
		}
	}
}

// bounds returns upper bounds for the number of requests of a workload that attain
// their targets: overall for any policy, byTier for policies that never give up a
// request of a higher tier for one of a lower tier. classes splits byTier by class.
func bounds(f *file, c *caseSpec, arrivals []arrival) (overall, byTier float64, classes []float64) {
	order := make([]*arrival, 0, len(arrivals))
	for i := range arrivals {
		order = append(order, &arrivals[i])
	}
	b := newBound(f, c, arrivals)
	slices.SortFunc(order, func(x, y *arrival) int { return cmp.Compare(b.work(x), b.work(y)) })
	for _, a := range order {
		overall += b.allocate(a)
	}
	b = newBound(f, c, arrivals)
	slices.SortStableFunc(order, func(x, y *arrival) int { return cmp.Compare(tierOf(x), tierOf(y)) })
	classes = make([]float64, len(f.Classes))
	for _, a := range order {
		share := b.allocate(a)
		byTier += share
		classes[a.class] += share
	}
	return overall, byTier, classes
}

func tierOf(a *arrival) kingcuphook.Tier { return a.fields.Tier }
