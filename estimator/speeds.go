package estimator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// speedHalfLife is the time after which a sample of a speed counts half. An upstream that
	// slows down to a half must be seen within 10 s, of which sharing takes up to 5 s, and gives
	// fewer samples afterwards.
	speedHalfLife = 2500 * time.Millisecond
	// speedClip bounds how far the logarithm of a sample is taken to be from the estimate, so
	// that samples behind work that no report shows don't decide. Samples of an upstream that
	// has slowed down to a half are within it.
	speedClip = math.Ln2
	// speedPrior is the weight of the prior, which is a speed of 1.
	speedPrior = 1
	// speedNoise is the assumed standard deviation of the logarithm of a sample. It is more than
	// that of a single one because successive samples have the same slow spans in them.
	speedNoise = 0.4
	// speedConfidence is how many standard errors a difference must exceed evenDifference by to
	// count at once.
	speedConfidence = 3.5
	// steadyDifference is the difference that counts when it lasts: that of the mean over
	// steadyTime.
	steadyDifference = 0.24
	steadyTime       = 12 * time.Second
	// evenDifference is the logarithm of the difference from the mean of the pool up to which
	// upstreams count as alike; keptDifference is that below which an upstream counts as alike
	// again.
	evenDifference = 0.14
	keptDifference = 0.09
	// minSpeed and maxSpeed bound the learned speeds.
	minSpeed = 0.25
	maxSpeed = 4
)

// SpeedSamples are the decayed samples of the speed of one upstream. Those of several routers
// can be added.
type SpeedSamples struct {
	// Weight is the sum of the weights of the samples, Sum that of their weighted logarithms.
	Weight, Sum float64
}

// Add returns the sum of s and other.
func (s SpeedSamples) Add(other SpeedSamples) SpeedSamples {
	return SpeedSamples{Weight: s.Weight + other.Weight, Sum: s.Sum + other.Sum}
}

// Decayed returns what is left at a time of samples that were taken earlier.
func (s SpeedSamples) Decayed(now, at time.Time) SpeedSamples {
	if s.Weight == 0 {
		return SpeedSamples{}
	}
	return s.scaled(decay(now, at))
}

// Without returns s without the part other.
func (s SpeedSamples) Without(other SpeedSamples) SpeedSamples {
	if other.Weight >= s.Weight {
		return SpeedSamples{}
	}
	return SpeedSamples{Weight: s.Weight - other.Weight, Sum: s.Sum - other.Sum}
}

// scaled returns s with its weight multiplied by a factor.
func (s SpeedSamples) scaled(factor float64) SpeedSamples {
	return SpeedSamples{Weight: s.Weight * factor, Sum: s.Sum * factor}
}

// mean returns the mean logarithm of the samples and the prior.
func (s SpeedSamples) mean() float64 { return s.Sum / (s.Weight + speedPrior) }

// Speeds learns the speed of each upstream of one pool relative to the others. Its zero value
// has no upstreams. It is safe for concurrent use.
type Speeds struct {
	mu sync.Mutex
	// programs has the tracked upstreams, ordered by key. keys and speeds have their keys and speeds at the
	// same indices, and byProgram has the speeds by program.
	programs  []kingcuphook.Program
	keys      []uint64
	speeds    []*speed
	byProgram map[kingcuphook.Program]*speed
	// centre is the mean logarithm of all upstreams, as of centreAt.
	centre float64
	// offsets has the constant of each measure.
	offsets  [2]offset
	centreAt time.Time
}

// speed is what is known of one upstream.
type speed struct {
	// own has the samples of this router, shared those of the other routers.
	own, shared     SpeedSamples
	ownAt, sharedAt time.Time
	// steady is the mean logarithm of the difference from the pool over steadyTime, as of
	// steadyAt.
	steady   float64
	steadyAt time.Time
	// relative is the last speed that was returned; 1 for an upstream like the others.
	relative float64
}

// Measure is what a sample of a speed was taken from.
type Measure int

// Values of Measure.
const (
	// MeasureGap is the gap between events.
	MeasureGap Measure = iota
	// MeasureFirstToken is the time to the first token.
	MeasureFirstToken
)

// offsetStep is the least weight of a sample in the constant of a measure.
const offsetStep = 0.005

// offset learns the constant by which the samples of a measure exceed the speeds.
type offset struct {
	value   float64
	samples int
}

// adjust returns a sample without the constant, within speedClip of the estimate.
func (o *offset) adjust(sample, estimate float64) float64 {
	o.samples++
	if o.samples == 1 {
		o.value = sample - estimate
	}
	excess := min(max(sample-o.value-estimate, -speedClip), speedClip)
	o.value += max(1/float64(o.samples), offsetStep) * excess
	return estimate + excess
}

// Update sets the upstreams of the pool. What was learned of a program that is no longer among
// them is forgotten.
func (s *Speeds) Update(programs []kingcuphook.Program) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracks(programs) {
		return
	}
	known := s.byProgram
	s.keys, s.programs = sortedByKey(programs)
	s.byProgram = make(map[kingcuphook.Program]*speed, len(programs))
	s.speeds = make([]*speed, len(s.programs))
	for i, p := range s.programs {
		v := known[p]
		if v == nil {
			v = &speed{relative: 1}
		}
		s.byProgram[p], s.speeds[i] = v, v
	}
	s.centreAt = time.Time{}
}

// Change is Update for a pool of which only the given upstreams were added and removed. What was learned of a program
// that is removed is forgotten, unless it is added as well.
func (s *Speeds) Change(added, removed []kingcuphook.Program) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range removed {
		if !slices.Contains(added, p) {
			s.remove(p)
		}
	}
	for _, p := range added {
		if !slices.Contains(removed, p) {
			s.add(p)
		}
	}
}

// add begins to track a program. The caller holds mu.
func (s *Speeds) add(p kingcuphook.Program) {
	if s.byProgram == nil {
		s.byProgram = make(map[kingcuphook.Program]*speed)
	}
	if s.byProgram[p] != nil {
		return
	}
	v := &speed{relative: 1}
	i := s.search(p)
	s.keys = slices.Insert(s.keys, i, p.Key())
	s.programs = slices.Insert(s.programs, i, p)
	s.speeds = slices.Insert(s.speeds, i, v)
	s.byProgram[p] = v
	s.centreAt = time.Time{}
}

// remove ceases to track a program. The caller holds mu.
func (s *Speeds) remove(p kingcuphook.Program) {
	i := s.search(p)
	if i == len(s.programs) || s.programs[i] != p {
		return
	}
	s.keys = slices.Delete(s.keys, i, i+1)
	s.programs = slices.Delete(s.programs, i, i+1)
	s.speeds = slices.Delete(s.speeds, i, i+1)
	delete(s.byProgram, p)
	s.centreAt = time.Time{}
}

// search returns the index of a program, or where it is to be inserted. The caller holds mu.
func (s *Speeds) search(p kingcuphook.Program) int {
	i, _ := slices.BinarySearch(s.keys, p.Key())
	for i < len(s.keys) && s.keys[i] == p.Key() && cmp.Compare(s.programs[i].Address(), p.Address()) < 0 {
		i++
	}
	return i
}

// tracks reports whether the programs are the tracked ones. The caller holds mu.
func (s *Speeds) tracks(programs []kingcuphook.Program) bool {
	return len(programs) == len(s.programs) && !slices.ContainsFunc(programs, func(p kingcuphook.Program) bool {
		return s.byProgram[p] == nil
	})
}

// sortedByKey returns the keys in order, and the programs ordered by them. Keys are computed once for each, since they
// are hashes and large pools change often.
func sortedByKey(programs []kingcuphook.Program) ([]uint64, []kingcuphook.Program) {
	type entry struct {
		key   uint64
		index int
	}
	entries := make([]entry, len(programs))
	for i, p := range programs {
		entries[i] = entry{p.Key(), i}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.key == b.key {
			return cmp.Compare(programs[a.index].Address(), programs[b.index].Address())
		}
		return cmp.Compare(a.key, b.key)
	})
	keys, sorted := make([]uint64, len(entries)), make([]kingcuphook.Program, len(entries))
	for i, e := range entries {
		keys[i], sorted[i] = e.key, programs[e.index]
	}
	return keys, sorted
}

// Observe records a sample of the logarithm of the speed of an upstream. Samples of each measure
// may differ from those of the other by a constant.
func (s *Speeds) Observe(now time.Time, p kingcuphook.Program, m Measure, logarithm, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byProgram[p]
	if v == nil || weight <= 0 || math.IsNaN(logarithm) || math.IsInf(logarithm, 0) {
		return
	}
	estimate := v.samples(now).mean()
	sample := s.offsets[m].adjust(logarithm, estimate)
	v.own = v.own.Decayed(now, v.ownAt).Add(SpeedSamples{Weight: weight, Sum: weight * sample})
	v.ownAt = now
}

// Own returns the tracked upstreams, in the same order at all routers that track the same, and
// the samples of this router of each.
func (s *Speeds) Own(now time.Time) ([]kingcuphook.Program, []SpeedSamples) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := make([]SpeedSamples, len(s.programs))
	for i, v := range s.speeds {
		samples[i] = v.own.Decayed(now, v.ownAt)
	}
	return slices.Clone(s.programs), samples
}

// SetShared sets the samples of the other routers as of a time, in the order of programs.
func (s *Speeds) SetShared(at time.Time, programs []kingcuphook.Program, samples []SpeedSamples) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, p := range programs {
		if v := s.at(i, p); v != nil && i < len(samples) {
			v.shared, v.sharedAt = samples[i], at
		}
	}
}

// at returns the speed of a program; nil if it isn't tracked. Lists from peers usually have the same order, in which
// the program at index i is found without a look-up.
func (s *Speeds) at(i int, p kingcuphook.Program) *speed {
	if i < len(s.programs) && s.programs[i] == p {
		return s.speeds[i]
	}
	return s.byProgram[p]
}

// Relative returns the speed of an upstream relative to its pool. It is 1 unless the upstream
// differs from the mean by evenDifference with confidence.
func (s *Speeds) Relative(now time.Time, p kingcuphook.Program) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byProgram[p]
	if v == nil {
		return 1
	}
	s.updateCentre(now)
	samples := v.samples(now)
	difference := samples.mean() - s.centre*samples.Weight/(samples.Weight+speedPrior)
	v.observeSteady(now, difference)
	if v.differs(difference, samples.Weight) {
		v.relative = min(max(math.Exp(difference), minSpeed), maxSpeed)
	} else {
		v.relative = 1
	}
	return v.relative
}

// Learned returns the speed that Relative last returned for an upstream; 1 if there is none.
func (s *Speeds) Learned(p kingcuphook.Program) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.byProgram[p]; v != nil {
		return v.relative
	}
	return 1
}

// observeSteady updates the mean difference.
func (v *speed) observeSteady(now time.Time, difference float64) {
	if !v.steadyAt.IsZero() {
		kept := math.Exp(-max(now.Sub(v.steadyAt), 0).Seconds() / steadyTime.Seconds())
		v.steady += (1 - kept) * (difference - v.steady)
	}
	v.steadyAt = now
}

// differs reports whether an upstream with a difference counts as unlike its pool.
func (v *speed) differs(difference, weight float64) bool {
	size := math.Abs(difference)
	if v.relative != 1 {
		return size >= keptDifference
	}
	if size >= evenDifference+speedConfidence*speedNoise/math.Sqrt(max(weight, 1)) {
		return true
	}
	return size >= evenDifference && v.steady*difference > 0 && math.Abs(v.steady) >= steadyDifference
}

// Uneven returns how many upstreams differ from the mean of the pool.
func (s *Speeds) Uneven() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, v := range s.byProgram {
		if v.relative != 1 {
			n++
		}
	}
	return n
}

// centreInterval is the least interval at which the mean of the pool is computed, and
// centreIntervalPerUpstream that for each upstream, so that its cost a second doesn't grow with
// the pool.
const (
	centreInterval            = 100 * time.Millisecond
	centreIntervalPerUpstream = 200 * time.Microsecond
)

// updateCentre computes the logarithm of the mean speed of the upstreams that have samples.
func (s *Speeds) updateCentre(now time.Time) {
	interval := max(centreInterval, time.Duration(len(s.programs))*centreIntervalPerUpstream)
	if !s.centreAt.IsZero() && now.Sub(s.centreAt) < interval {
		return
	}
	s.centreAt = now
	sum, weights := 0.0, 0.0
	for _, v := range s.speeds {
		samples := v.samples(now)
		if samples.Weight == 0 {
			continue
		}
		weight := samples.Weight / (samples.Weight + speedPrior)
		sum += weight * math.Exp(samples.Sum/samples.Weight)
		weights += weight
	}
	s.centre = 0
	if weights > 0 {
		s.centre = math.Log(sum / weights)
	}
}

// samples returns the samples of all routers, decayed.
func (v *speed) samples(now time.Time) SpeedSamples {
	return v.own.Decayed(now, v.ownAt).Add(v.shared.Decayed(now, v.sharedAt))
}

// decay returns the factor by which samples of an earlier time count.
func decay(now, at time.Time) float64 {
	return math.Exp2(-max(now.Sub(at), 0).Seconds() / speedHalfLife.Seconds())
}
