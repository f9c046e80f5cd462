package measurer

import (
	"slices"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// progressEvery is the number of tokens between two news of a running answer.
const progressEvery = 8

// sequence is one attempt on an engine.
type sequence struct {
	job *job
	// attempt is the number of the attempt of the job, from 1.
	attempt int
	// prefill is the number of tokens still to be prefilled; take is how many
	// of them the current step does.
	prefill, take int
	// resume is the number of tokens that earlier attempts delivered.
	resume int
	// produced counts the tokens of this attempt, received those that reached
	// the router while the attempt counted; wanted ends it.
	produced, received, wanted int
	// prefillWork and decodeWork are engine time spent on it.
	prefillWork, decodeWork time.Duration
}

// engine is a model engine with continuous batching and a prefix cache. One
// step prefills a bounded number of prompt tokens and decodes one token of
// every other running sequence.
type engine struct {
	w          *world
	upstream   *kingcuphook.Upstream
	spec       runnerSpec
	speed      float64
	priorities bool
	// slow is the straggle factor, 1 normally.
	slow float64
	down bool
	// generation changes at a crash, so that a step under way counts no more.
	generation int
	stepping   bool
	queue      []*sequence
	running    []*sequence
	cache      *blockCache
	// events counts the cache events.
	events int64
	// busy is the engine time spent in steps.
	busy time.Duration
}

// enqueue takes an attempt. It reports whether the engine is up.
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

// cancel takes an attempt off the engine; the current step still pays for it.
func (e *engine) cancel(j *job, attempt int) {
	gone := func(s *sequence) bool {
		if s.job != j || s.attempt != attempt {
			return false
		}
		j.settle(s)
		return true
	}
	e.queue = slices.DeleteFunc(e.queue, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}

// crash loses all work and the cache.
func (e *engine) crash() {
	e.down = true
	e.generation++
	e.stepping = false
	lost := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	e.cache = newBlockCache(e.spec.CacheTokens / hasher.BlockTokens)
	for _, s := range lost {
		s.job.settle(s)
		e.w.broken(e, s)
	}
}

func (e *engine) recover() { e.down = false }

// admit moves waiting sequences into the batch.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.spec.Batch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		r := s.job.request
		cached := min(e.cache.match(r.Prefix())*hasher.BlockTokens, r.PromptTokens()-1)
		s.prefill = r.PromptTokens() - cached + s.resume
		s.job.matched(s, cached)
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
		s.take = min(s.prefill, left)
		left -= s.take
		if s.prefill == 0 {
			decoding++
		}
	}
	scale := e.slow / e.speed
	base := float64(e.spec.StepBase) * scale
	each := float64(e.spec.StepSequence) * scale
	token := float64(e.spec.StepToken) * scale
	length := time.Duration(base + each*float64(decoding) + token*float64(e.spec.Chunk-left))
	e.charge(base, each, token)
	e.busy += length
	e.stepping = true
	generation := e.generation
	e.w.after(length, func() {
		if e.generation == generation {
			e.stepped()
		}
	})
}

// charge splits the time of the step among its sequences.
func (e *engine) charge(base, each, token float64) {
	share := base / float64(len(e.running))
	for _, s := range e.running {
		s.prefillWork += time.Duration(token * float64(s.take))
		if s.prefill == 0 {
			s.decodeWork += time.Duration(each + share)
		} else {
			s.prefillWork += time.Duration(share)
		}
	}
}

// stepped ends a step.
func (e *engine) stepped() {
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

// advance applies the step to one sequence and reports whether it is done.
func (e *engine) advance(s *sequence) bool {
	if s.prefill > 0 {
		if s.take == 0 {
			return false
		}
		s.prefill -= s.take
		s.take = 0
		if s.prefill > 0 {
			return false
		}
		e.store(s.job.request.Prefix())
	}
	s.produced++
	done := s.produced == s.wanted
	if done {
		s.received = s.produced
		s.job.settle(s)
	}
	if done || s.produced == 1 || s.produced%progressEvery == 0 {
		e.w.produced(e, s, s.produced, done)
	}
	return done
}

// store caches a chain and tells what was stored and dropped.
func (e *engine) store(chain []uint64) {
	if len(chain) == 0 {
		return
	}
	added, dropped := e.cache.store(chain)
	for _, hash := range dropped {
		e.tell(hash, false)
	}
	if added {
		e.tell(chain[len(chain)-1], true)
	}
}

func (e *engine) tell(hash uint64, stored bool) {
	e.events++
	e.w.cached(e, kingcuphook.NewCacheEvent(e.upstream.Address(), e.events, hash, stored))
}

// report returns the load at this moment.
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
		Made:         e.w.time(),
		Running:      len(e.running),
		Queued:       len(e.queue),
		QueuedTokens: tokens,
		CachedTokens: e.cache.len() * hasher.BlockTokens,
	})
}
