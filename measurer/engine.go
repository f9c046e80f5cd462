package measurer

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// progressEvery is the number of tokens between two progress messages of an attempt
// to its router.
const progressEvery = 8

// sequence is one attempt of a request on an engine.
type sequence struct {
	job *job
	// attempt numbers the attempts of the job, from 1.
	attempt int
	// prefill is the number of tokens still to be prefilled; stepTokens is how many of
	// them the current step prefills.
	prefill, stepTokens int
	// resume is the number of answer tokens that earlier attempts delivered.
	resume int
	// produced counts the answer tokens of this attempt, received those that reached
	// the router while the attempt was current, or all of them once it is complete. The
	// attempt is complete when produced is equal to wanted.
	produced, received, wanted int
	// prefillWork and decodeWork are the engine time spent on this attempt.
	prefillWork, decodeWork time.Duration
}

// engine emulates a model engine with continuous batching and a prefix cache. One
// step prefills a limited number of prompt tokens and decodes one token of every
// running sequence whose prefill is complete.
type engine struct {
	sim        *simulation
	upstream   *kingcuphook.Upstream
	spec       runnerSpec
	speed      float64
	priorities bool
	// slowdown divides the speed; it is above 1 while the engine is a straggler.
	slowdown float64
	down     bool
	// generation increases at a crash, so that the end of a step that was under way
	// is ignored.
	generation int
	stepping   bool
	queue      []*sequence
	running    []*sequence
	cache      *blockCache
	// events is the sequence number of the last cache event.
	events int64
	// busy is the total engine time of all steps.
	busy time.Duration
}

// enqueue adds an attempt to the engine's queue. It reports whether the engine is up.
func (e *engine) enqueue(s *sequence) bool {
	if e.down {
		return false
	}
	at := len(e.queue)
	if e.priorities {
		for at > 0 && e.queue[at-1].job.request.Tier() > s.job.request.Tier() {
			at--
		}
	}
	e.queue = slices.Insert(e.queue, at, s)
	e.step()
	return true
}

// cancel removes an attempt from the engine. The duration of the current step still
// includes its share.
func (e *engine) cancel(j *job, attempt int) {
	gone := func(s *sequence) bool {
		if s.job != j || s.attempt != attempt {
			return false
		}
		j.addWork(s)
		return true
	}
	e.queue = slices.DeleteFunc(e.queue, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}

// crash takes the engine down, with the loss of all its attempts and its cache.
func (e *engine) crash() {
	e.down = true
	e.generation++
	e.stepping = false
	lost := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	e.cache = newBlockCache(e.spec.CacheTokens / hasher.BlockTokens)
	for _, s := range lost {
		s.job.addWork(s)
		e.sim.deliverFailure(e, s)
	}
}

func (e *engine) recover() { e.down = false }

// admit moves queued sequences into the batch.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.spec.Batch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		r := s.job.request
		cached := min(e.cache.match(r.Prefix())*hasher.BlockTokens, r.PromptTokens()-1)
		s.prefill = r.PromptTokens() - cached + s.resume
		s.job.recordCachedTokens(s, cached)
		e.running = append(e.running, s)
	}
}

// step starts the next step unless one is under way or nothing runs.
func (e *engine) step() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	left, decoding := e.spec.Chunk, 0
	for _, s := range e.running {
		s.stepTokens = min(s.prefill, left)
		left -= s.stepTokens
		if s.prefill == 0 {
			decoding++
		}
	}
	scale := e.slowdown / e.speed
	base := float64(e.spec.StepBase) * scale
	each := float64(e.spec.StepSequence) * scale
	token := float64(e.spec.StepToken) * scale
	length := time.Duration(base + each*float64(decoding) + token*float64(e.spec.Chunk-left))
	e.charge(base, each, token)
	e.busy += length
	e.stepping = true
	generation := e.generation
	e.sim.after(length, func() {
		if e.generation == generation {
			e.finishStep()
		}
	})
}

// charge divides the time of the step among the running sequences: the fixed cost in
// equal shares, the rest by the tokens prefilled or decoded.
func (e *engine) charge(base, each, token float64) {
	share := base / float64(len(e.running))
	for _, s := range e.running {
		s.prefillWork += time.Duration(token * float64(s.stepTokens))
		if s.prefill == 0 {
			s.decodeWork += time.Duration(each + share)
		} else {
			s.prefillWork += time.Duration(share)
		}
	}
}

// finishStep applies a completed step to the running sequences and starts the next one.
func (e *engine) finishStep() {
	e.stepping = false
	kept := e.running[:0]
	for _, s := range e.running {
		if !e.advance(s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.step()
}

// advance applies the step to one sequence and reports whether the sequence is complete.
func (e *engine) advance(s *sequence) bool {
	if s.prefill > 0 {
		if s.stepTokens == 0 {
			return false
		}
		s.prefill -= s.stepTokens
		s.stepTokens = 0
		if s.prefill > 0 {
			return false
		}
		e.store(s.job.request.Prefix())
	}
	s.produced++
	done := s.produced == s.wanted
	if done {
		s.received = s.produced
		s.job.addWork(s)
	}
	if done || s.produced == 1 || s.produced%progressEvery == 0 {
		e.sim.deliverTokens(e, s, s.produced, done)
	}
	return done
}

// store caches a chain and emits cache events for the evicted blocks and, if a block
// was added, for the chain.
func (e *engine) store(chain []uint64) {
	if len(chain) == 0 {
		return
	}
	added, dropped := e.cache.store(chain)
	for _, hash := range dropped {
		e.emitCacheEvent(hash, false)
	}
	if added {
		e.emitCacheEvent(chain[len(chain)-1], true)
	}
}

func (e *engine) emitCacheEvent(hash uint64, stored bool) {
	e.events++
	e.sim.deliverCacheEvent(e, kingcuphook.NewCacheEvent(e.upstream.Address(), e.events, hash, stored))
}

// report returns the current load.
func (e *engine) report() kingcuphook.LoadReport {
	tokens := 0
	for _, s := range e.queue {
		tokens += s.job.request.PromptTokens()
	}
	for _, s := range e.running {
		tokens += s.prefill
	}
	return kingcuphook.NewLoadReport(kingcuphook.LoadReportFields{
		Upstream:     e.upstream.Address(),
		Made:         e.sim.time(),
		Running:      len(e.running),
		Queued:       len(e.queue),
		QueuedTokens: tokens,
		CachedTokens: e.cache.len() * hasher.BlockTokens,
	})
}
