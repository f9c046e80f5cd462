package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// poolName is the name of the only pool in a simulation.
const poolName = "runners"

// epoch is the time at which the virtual time of every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// arrival is one request of the workload, before it reaches a router.
type arrival struct {
	at     time.Duration
	fields kingcuphook.RequestFields
	class  int
	router int
	// length is the number of tokens of the answer.
	length int
	// unshared is the number of prompt tokens after the shared prefix, which is counted
	// in full blocks.
	unshared int
}

// generator generates the workload of one case and seed.
type generator struct {
	f    *file
	c    *caseSpec
	rand *rand.Rand
	// rate is the number of requests per second at a load of 1.
	rate float64
	// organisations holds the weight of each organisation; their sum is 1.
	organisations []float64
}

func newGenerator(f *file, c *caseSpec, seed uint64) *generator {
	g := &generator{f: f, c: c, rand: rand.New(rand.NewPCG(seed, 1)), rate: f.capacity()}
	sum := 0.0
	for n := range f.Organisations.Count {
		weight := math.Pow(float64(n+1), -f.Organisations.Skew)
		g.organisations = append(g.organisations, weight)
		sum += weight
	}
	for n := range g.organisations {
		g.organisations[n] /= sum
	}
	return g
}

// capacity returns how many requests per second all runners complete with full batches
// and every shared prefix cached.
func (f *file) capacity() float64 {
	shares, work := 0.0, 0.0
	for _, c := range f.Classes {
		shares += c.Share
		work += c.Share * f.work(c.QuestionTokens, c.AnswerTokens, f.Runner.Batch).Seconds()
	}
	return sum(f.Runner.Speeds) * shares / work
}

// work returns the engine time, at speed 1, of a request that runs in batches of the
// given size.
func (f *file) work(prefill, answer, batch int) time.Duration {
	r := f.Runner
	each := r.StepBase.std()/time.Duration(batch) + r.StepSequence.std()
	return time.Duration(prefill)*r.StepToken.std() + time.Duration(answer)*each
}

func sum(x []float64) float64 {
	total := 0.0
	for _, v := range x {
		total += v
	}
	return total
}

// arrivals returns the workload in order of arrival: a Poisson process at the highest
// load, thinned to the load at each time.
func (g *generator) arrivals() []arrival {
	peak := g.c.Load
	if g.c.Burst != nil {
		peak = max(peak, g.c.Burst.Load)
	}
	if g.c.Loud != nil {
		peak *= 1 + (g.c.Loud.Factor-1)*g.organisations[g.c.Loud.Organisation]
	}
	var all []arrival
	at := 0.0
	for {
		at += g.rand.ExpFloat64() / (peak * g.rate)
		now := time.Duration(at * float64(time.Second))
		if now >= g.f.Horizon.std() {
			return all
		}
		router := g.rand.IntN(g.f.Routers)
		if g.rand.Float64()*peak < g.load(now, router) {
			all = append(all, g.arrival(len(all), now, router))
		}
	}
}

// load returns the load, in multiples of the capacity, at a time and router.
func (g *generator) load(at time.Duration, router int) float64 {
	load := g.c.Load
	b := g.c.Burst
	if b != nil && within(at, b.From, b.To) && (b.Region == 0 || b.Region-1 == router%g.c.regions()) {
		load = b.Load
	}
	if g.loudActive(at) {
		load *= 1 + (g.c.Loud.Factor-1)*g.organisations[g.c.Loud.Organisation]
	}
	return load
}

func (g *generator) loudActive(at time.Duration) bool {
	return g.c.Loud != nil && within(at, g.c.Loud.From, g.c.Loud.To)
}

func within(at time.Duration, from, to duration) bool {
	return at >= from.std() && at < to.std()
}

func (c *caseSpec) regions() int { return max(c.Regions, 1) }

func (g *generator) arrival(n int, at time.Duration, router int) arrival {
	class := g.class()
	spec := g.f.Classes[class]
	organisation := g.organisation(at)
	prefix, key := spec.PrefixTokens, uint64(organisation+1)<<16|uint64(class)
	if g.c.HotPrefix != nil && g.rand.Float64() < g.c.HotPrefix.Share {
		prefix, key = g.c.HotPrefix.Tokens, 1<<32
	}
	shared := prefix / hasher.BlockTokens
	prompt := prefix + spec.QuestionTokens
	fingerprint := g.rand.Uint64() | 1
	region := regionName(router % g.c.regions())
	return arrival{
		at: at, class: class, router: router, length: g.answerLength(spec), unshared: prompt - shared*hasher.BlockTokens,
		fields: kingcuphook.RequestFields{
			ID: fmt.Sprintf("r%d", n), Class: spec.Name, Organisation: fmt.Sprintf("org-%d", organisation),
			Model: "m", Pool: poolName, Region: region, DataCentre: region, Tier: spec.Tier,
			Arrived: epoch.Add(at), Target: spec.Target.std(), TokenTarget: spec.TokenTarget.std(),
			Deadline: epoch.Add(at + spec.Deadline.std()), PromptTokens: prompt, MaxTokens: spec.AnswerMax, Bytes: prompt * hasher.BytesPerToken,
			Prefix: chain(key, fingerprint, shared, prompt/hasher.BlockTokens), Fingerprint: fingerprint, Stream: true,
		},
	}
}

func regionName(n int) string { return fmt.Sprintf("region-%d", n) }

// chain returns block hashes. The first shared ones are derived from key, the others
// from fingerprint.
func chain(key, fingerprint uint64, shared, blocks int) []uint64 {
	hashes := make([]uint64, 0, blocks)
	for i := range min(blocks, hasher.MaxBlocks) {
		own := key
		if i >= shared {
			own = fingerprint
		}
		hashes = append(hashes, mixBits(own<<8|uint64(i)))
	}
	return hashes
}

// mixBits returns a hash of x in which every bit depends on all bits of x.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (g *generator) class() int {
	shares := make([]float64, 0, len(g.f.Classes))
	for _, c := range g.f.Classes {
		shares = append(shares, c.Share)
	}
	return g.weightedIndex(shares)
}

func (g *generator) organisation(at time.Duration) int {
	if !g.loudActive(at) {
		return g.weightedIndex(g.organisations)
	}
	weights := append([]float64(nil), g.organisations...)
	weights[g.c.Loud.Organisation] *= g.c.Loud.Factor
	return g.weightedIndex(weights)
}

// weightedIndex returns a random index with a probability in proportion to its weight.
func (g *generator) weightedIndex(weights []float64) int {
	at := g.rand.Float64() * sum(weights)
	for i, weight := range weights {
		if at < weight {
			return i
		}
		at -= weight
	}
	return len(weights) - 1
}

// answerLength returns a random length from a log-normal distribution with the mean of
// the class, at least 2 tokens and at most the class's limit.
func (g *generator) answerLength(spec classSpec) int {
	spread := spec.AnswerSpread
	if g.c.AnswerSpread > 0 {
		spread = g.c.AnswerSpread
	}
	mean := math.Log(float64(spec.AnswerTokens)) - spread*spread/2
	length := max(int(math.Exp(mean+spread*g.rand.NormFloat64())), 2)
	if spec.AnswerMax > 0 {
		return min(length, spec.AnswerMax)
	}
	return length
}
