package measurer

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxAttempts bounds the attempts of a request that upstreams broke off.
const maxAttempts = 4

// state says where a job is.
type state string

// Values of state.
const (
	stateWaiting state = "waiting"
	stateRunning state = "running"
	stateWhole   state = "whole"
	stateShed    state = "shed"
	stateGone    state = "gone"
	stateFailed  state = "failed"
)

// job is a request on its way.
type job struct {
	*arrival
	request *kingcuphook.Request
	router  *router
	state   state
	// current is the attempt that counts; nil while the job waits.
	current *sequence
	engine  *engine
	choice  kingcuphook.Choice
	// dispatched and begun are when the current attempt was sent and when its
	// first token came, or 0.
	dispatched, begun time.Duration
	attempts          int
	excluded          []string
	// delivered counts the tokens of the answer; first and last are when the
	// first and the last came.
	delivered   int
	first, last time.Duration
	// broken counts attempts broken off by the upstream, preempted those taken
	// back for a higher tier.
	broken, preempted int
	// hit and prompt are the cached and all prompt tokens of the first attempt.
	hit, prompt int
	// prefillWork and decodeWork are engine time of all attempts, lastPrefill of
	// the last one; lostDecode was spent on tokens that never arrived.
	prefillWork, lastPrefill, decodeWork, lostDecode time.Duration
}

// matched notes what the engine had cached for an attempt.
func (j *job) matched(s *sequence, cached int) {
	if s.attempt == 1 {
		j.hit, j.prompt = cached, j.request.PromptTokens()
	}
}

// settle adds the work of an attempt that has left its engine.
func (j *job) settle(s *sequence) {
	j.prefillWork += s.prefillWork
	j.lastPrefill = s.prefillWork
	j.decodeWork += s.decodeWork
	if s.produced > 0 {
		j.lostDecode += s.decodeWork * time.Duration(s.produced-s.received) / time.Duration(s.produced)
	}
}

// work returns the engine time of the job and how much of it was wasted.
func (j *job) work() (all, wasted time.Duration) {
	all = j.prefillWork + j.decodeWork
	switch j.state {
	case stateWhole:
		return all, j.prefillWork - j.lastPrefill + j.lostDecode
	case stateRunning, stateWaiting:
		return all, 0
	default:
		return all, all
	}
}

// punctual reports whether the answer was whole and began within its target.
func (j *job) punctual() bool {
	return j.state == stateWhole && j.first-j.at <= j.request.Target()
}

// attained reports whether the answer was whole and kept both targets.
func (j *job) attained() bool {
	if !j.punctual() {
		return false
	}
	return j.length < 2 || (j.last-j.first)/time.Duration(j.length-1) <= j.request.TokenTarget()
}

// router drives one scheduler as the server does.
type router struct {
	w         *world
	region    string
	scheduler kingcuphook.Scheduler
	// wake is when the next call of pump is due; 0 if none is.
	wake time.Duration
}

func (r *router) arrive(j *job) {
	j.state = stateWaiting
	r.shed(r.scheduler.Offer(r.w.time(), j.request))
	r.w.after(j.request.Deadline().Sub(r.w.time()), func() { r.expire(j) })
	r.pump()
}

// pump carries out what the scheduler decides until it decides nothing.
func (r *router) pump() {
	for {
		assignments, shed := r.scheduler.Assign(r.w.time())
		r.shed(shed)
		if len(assignments) == 0 {
			break
		}
		for _, a := range assignments {
			r.dispatch(a)
		}
	}
	r.sleep()
}

// sleep schedules the next call of pump.
func (r *router) sleep() {
	wake := r.scheduler.Wake(r.w.time())
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(epoch), r.w.now+time.Millisecond)
	if r.wake > r.w.now && r.wake <= at {
		return
	}
	r.wake = at
	r.w.after(at-r.w.now, func() {
		if r.wake == at {
			r.wake = 0
			r.pump()
		}
	})
}

func (r *router) shed(all []kingcuphook.Shed) {
	for _, s := range all {
		j := r.w.jobs[s.Request().ID()]
		if j.attempts == 0 {
			r.end(j, stateShed)
			continue
		}
		r.end(j, stateFailed)
	}
}

func (r *router) end(j *job, s state) {
	if j.state != stateWaiting && j.state != stateRunning {
		return
	}
	j.state = s
	j.current = nil
	r.w.open--
}

func (r *router) dispatch(a kingcuphook.Assignment) {
	if a.Preempts != "" {
		r.preempt(r.w.jobs[a.Preempts])
	}
	j := r.w.jobs[a.Request.ID()]
	e := r.w.byAddress[a.Choice.Upstream.Address()]
	j.attempts++
	j.state = stateRunning
	j.engine = e
	j.choice = a.Choice
	j.dispatched, j.begun = r.w.now, 0
	s := &sequence{job: j, attempt: j.attempts, resume: j.delivered, wanted: j.length - j.delivered}
	j.current = s
	if r.region != e.upstream.Region() {
		r.w.crossBytes += j.request.Bytes() + s.wanted*hasher.BytesPerToken
	}
	r.w.after(r.w.delay(r, e), func() {
		if !e.enqueue(s) {
			r.w.broken(e, s)
		}
	})
}

// preempt takes a running job back and queues it again.
func (r *router) preempt(j *job) {
	if j == nil || j.state != stateRunning {
		return
	}
	r.stop(j)
	j.preempted++
	j.state = stateWaiting
	r.shed(r.scheduler.Requeue(r.w.time(), j.request, j.excluded))
}

// stop cancels the current attempt of a job.
func (r *router) stop(j *job) {
	e, s := j.engine, j.current
	sample := r.sample(j)
	sample.Cancelled = true
	j.current = nil
	r.w.after(r.w.delay(r, e), func() { e.cancel(j, s.attempt) })
	r.scheduler.Finished(r.w.time(), e.upstream.Address(), j.request, sample)
}

// sample describes the current attempt of a job.
func (r *router) sample(j *job) kingcuphook.Sample {
	s := kingcuphook.Sample{Tokens: j.current.received, UncachedTokens: j.choice.UncachedTokens}
	if j.begun > 0 {
		s.FirstToken = j.begun - j.dispatched
	}
	if s.Tokens > 1 {
		s.TokenGap = (j.last - j.begun) / time.Duration(s.Tokens-1)
	}
	return s
}

// receive takes the n-th token of an attempt.
func (r *router) receive(s *sequence, n int, done bool) {
	j := s.job
	if j.current != s {
		return
	}
	s.received = n
	j.delivered = s.resume + n
	if j.begun == 0 {
		j.begun = r.w.now
	}
	if j.first == 0 {
		j.first = r.w.now
	}
	j.last = r.w.now
	r.scheduler.Progress(r.w.time(), j.request, n)
	if done {
		sample := r.sample(j)
		r.end(j, stateWhole)
		r.scheduler.Finished(r.w.time(), j.engine.upstream.Address(), j.request, sample)
		r.pump()
	}
}

// lost takes the news that an attempt was broken off by its engine.
func (r *router) lost(s *sequence) {
	j := s.job
	if j.current != s {
		return
	}
	sample := r.sample(j)
	sample.Failed = true
	j.current = nil
	j.broken++
	j.state = stateWaiting
	j.excluded = append(j.excluded, j.engine.upstream.Address())
	r.scheduler.Finished(r.w.time(), j.engine.upstream.Address(), j.request, sample)
	if j.attempts >= maxAttempts {
		r.end(j, stateFailed)
	} else {
		r.shed(r.scheduler.Requeue(r.w.time(), j.request, j.excluded))
	}
	r.pump()
}

// expire ends a job whose caller gives up.
func (r *router) expire(j *job) {
	switch j.state {
	case stateRunning:
		r.stop(j)
		r.end(j, stateGone)
	case stateWaiting:
		if r.scheduler.Cancel(r.w.time(), j.request.ID()) {
			r.end(j, stateGone)
		}
	default:
		return
	}
	r.pump()
}
