package measurer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

// bucket is the grain of time of the upper bound.
const bucket = 500 * time.Millisecond

// bound computes what no policy can exceed: the most requests that attain their
// targets when lengths and load are known, answers can be split at will among
// all runners, every batch is full, every shared prefix is cached and a request
// may be counted in part.
//
// Each request gets a window, from its arrival to the end of its answer if both
// targets are just kept, and the least engine time it can need. Work of the
// windows inside an interval can't exceed the engine time of the interval. The
// sets of works that keep this for every interval are a polymatroid, on which
// taking requests by rising work is optimal for their fractional number.
type bound struct {
	f *file
	c *caseSpec
	// slack has for the interval from bucket a to bucket b the engine seconds
	// that are left, at a*buckets+b.
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
			left += b.supply(to)
			b.slack[from*b.buckets+to] = left
		}
	}
	return b
}

// supply returns the engine seconds at speed 1 of one bucket.
func (b *bound) supply(at int) float64 {
	from := time.Duration(at) * bucket
	total := 0.0
	for n, speed := range b.f.Runner.Speeds {
		lost := 0.0
		if s := b.c.Straggler; s != nil && s.Runner == n {
			lost = overlap(from, s) * (1 - 1/s.Factor)
		}
		if s := b.c.Crash; s != nil && s.Runner == n {
			lost += overlap(from, s)
		}
		total += speed * (bucket.Seconds() - min(lost, bucket.Seconds()))
	}
	return total
}

// overlap returns the seconds of the bucket during which the fault lasts.
func overlap(from time.Duration, s *faultSpec) float64 {
	begin, end := max(from, s.From.std()), min(from+bucket, s.To.std())
	return max(end-begin, 0).Seconds()
}

// end returns the bucket in which the answer ends at the latest.
func (b *bound) end(a *arrival) int {
	due := a.at + a.fields.Target + time.Duration(a.length-1)*a.fields.TokenTarget
	return int(due / bucket)
}

// work returns the least engine seconds of an answer that keeps its token
// target: no step may be longer on average, which bounds the batch.
func (b *bound) work(a *arrival) float64 {
	r := b.f.Runner
	step := float64(a.fields.TokenTarget) * slices.Max(r.Speeds)
	batch := (step - float64(r.StepBase)) / float64(r.StepSequence)
	batch = min(max(batch, 1), float64(r.Batch))
	each := float64(r.StepBase)/batch + float64(r.StepSequence)
	work := float64(max(a.unshared, 1))*float64(r.StepToken) + float64(a.length-1)*each
	return work / float64(time.Second)
}

// take gives the request as much of its work as is left in its window, and
// returns the share it got.
func (b *bound) take(a *arrival) float64 {
	begin, end := int(a.at/bucket), b.end(a)
	want := b.work(a)
	got := want
	b.each(begin, end, func(slack *float64) { got = min(got, *slack) })
	b.each(begin, end, func(slack *float64) { *slack -= got })
	return got / want
}

// each visits the intervals that contain the one from begin to end.
func (b *bound) each(begin, end int, visit func(slack *float64)) {
	for from := 0; from <= begin; from++ {
		row := b.slack[from*b.buckets : (from+1)*b.buckets]
		for to := end; to < b.buckets; to++ {
			visit(&row[to])
		}
	}
}

// bounds returns the upper bounds of the attained requests of a workload: over
// all policies, and over those that never give up a request of a higher tier
// for one of a lower tier. The second is also split by class.
func bounds(f *file, c *caseSpec, arrivals []arrival) (free, strict float64, classes []float64) {
	order := make([]*arrival, 0, len(arrivals))
	for i := range arrivals {
		order = append(order, &arrivals[i])
	}
	b := newBound(f, c, arrivals)
	slices.SortFunc(order, func(x, y *arrival) int { return cmp.Compare(b.work(x), b.work(y)) })
	for _, a := range order {
		free += b.take(a)
	}
	b = newBound(f, c, arrivals)
	slices.SortStableFunc(order, func(x, y *arrival) int { return cmp.Compare(tierOf(x), tierOf(y)) })
	classes = make([]float64, len(f.Classes))
	for _, a := range order {
		share := b.take(a)
		strict += share
		classes[a.class] += share
	}
	return free, strict, classes
}

func tierOf(a *arrival) kingcuphook.Tier { return a.fields.Tier }
