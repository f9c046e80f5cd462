package measurer

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/hasher"
)

// maxAttempts is the number of attempts after which a request fails if the last one
// failed at its engine.
const maxAttempts = 4

// state is the state of a job.
type state string

// Values of state.
const (
	stateWaiting   state = "waiting"
	stateRunning   state = "running"
	stateCompleted state = "whole"
	stateShed      state = "shed"
	stateExpired   state = "gone"
	stateFailed    state = "failed"
)

// job is a request with its state in the simulation.
type job struct {
	*arrival
	request *kingcuphook.Request
	router  *router
	state   state
	// current is the attempt in flight; nil while the job is queued or has ended.
	current *sequence
	engine  *engine
	choice  kingcuphook.Choice
	// dispatchedAt is when the last attempt was sent, attemptFirstTokenAt when its
	// first token arrived at the router, or 0.
	dispatchedAt, attemptFirstTokenAt time.Duration
	attempts                          int
	excluded                          []string
	// delivered counts the tokens of the answer over all attempts; firstTokenAt and
	// lastTokenAt are when the first and the latest of them arrived at the router.
	delivered                 int
	firstTokenAt, lastTokenAt time.Duration
	// failures counts the attempts that failed at their engine, preempted those that
	// were cancelled for a request of a higher tier.
	failures, preempted int
	// cachedTokens and promptTokens are the cached and all prompt tokens of the first
	// attempt.
	cachedTokens, promptTokens int
	// prefillWork and decodeWork are the engine time of all attempts, lastPrefill is
	// the prefill of the last one; undeliveredDecode was spent on tokens that never
	// reached the router.
	prefillWork, lastPrefill, decodeWork, undeliveredDecode time.Duration
}

// recordCachedTokens records the cached tokens of the first attempt, and ignores those
// of later ones.
func (j *job) recordCachedTokens(s *sequence, cached int) {
	if s.attempt == 1 {
		j.cachedTokens, j.promptTokens = cached, j.request.PromptTokens()
	}
}

// addWork adds the engine time of an attempt that has left its engine.
func (j *job) addWork(s *sequence) {
	j.prefillWork += s.prefillWork
	j.lastPrefill = s.prefillWork
	j.decodeWork += s.decodeWork
	if s.produced > 0 {
		j.undeliveredDecode += s.decodeWork * time.Duration(s.produced-s.received) / time.Duration(s.produced)
	}
}

// work returns the engine time of the job and how much of it was wasted. Nothing
// counts as wasted while the job is open.
func (j *job) work() (all, wasted time.Duration) {
	all = j.prefillWork + j.decodeWork
	switch j.state {
	case stateCompleted:
		return all, j.prefillWork - j.lastPrefill + j.undeliveredDecode
	case stateRunning, stateWaiting:
		return all, 0
	default:
		return all, all
	}
}

// metTarget reports whether the answer is complete and its first token arrived within
// the target.
func (j *job) metTarget() bool {
	return j.state == stateCompleted && j.firstTokenAt-j.at <= j.request.Target()
}

// attained reports whether the answer is complete and met the targets of the first
// token and of the mean time between tokens.
func (j *job) attained() bool {
	if !j.metTarget() {
		return false
	}
	return j.length < 2 || (j.lastTokenAt-j.firstTokenAt)/time.Duration(j.length-1) <= j.request.TokenTarget()
}

// router calls one scheduler in the same way as the server does.
type router struct {
	sim       *simulation
	region    string
	scheduler kingcuphook.Scheduler
	// wake is when the next call of schedule is due; 0 if none is.
	wake time.Duration
}

func (r *router) arrive(j *job) {
	j.state = stateWaiting
	r.finishShed(r.scheduler.Offer(r.sim.time(), j.request))
	r.sim.after(j.request.Deadline().Sub(r.sim.time()), func() { r.expire(j) })
	r.schedule()
}

// schedule carries out the scheduler's assignments until it returns no more.
func (r *router) schedule() {
	for {
		assignments, shed := r.scheduler.Assign(r.sim.time())
		r.finishShed(shed)
		if len(assignments) == 0 {
			break
		}
		for _, a := range assignments {
			r.dispatch(a)
		}
	}
	r.scheduleWake()
}

// scheduleWake arranges the call of schedule at the time that the scheduler requests.
func (r *router) scheduleWake() {
	wake := r.scheduler.Wake(r.sim.time())
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(epoch), r.sim.now+time.Millisecond)
	if r.wake > r.sim.now && r.wake <= at {
		return
	}
	r.wake = at
	r.sim.after(at-r.sim.now, func() {
		if r.wake == at {
			r.wake = 0
			r.schedule()
		}
	})
}

func (r *router) finishShed(all []kingcuphook.Shed) {
	for _, s := range all {
		j := r.sim.jobs[s.Request().ID()]
		if j.attempts == 0 {
			r.finish(j, stateShed)
			continue
		}
		r.finish(j, stateFailed)
	}
}

func (r *router) finish(j *job, s state) {
	if j.state != stateWaiting && j.state != stateRunning {
		return
	}
	j.state = s
	j.current = nil
	r.sim.open--
}

func (r *router) dispatch(a kingcuphook.Assignment) {
	if a.Preempts != "" {
		r.preempt(r.sim.jobs[a.Preempts])
	}
	j := r.sim.jobs[a.Request.ID()]
	e := r.sim.byAddress[a.Choice.Upstream.Address()]
	j.attempts++
	j.state = stateRunning
	j.engine = e
	j.choice = a.Choice
	j.dispatchedAt, j.attemptFirstTokenAt = r.sim.now, 0
	s := &sequence{job: j, attempt: j.attempts, resume: j.delivered, wanted: j.length - j.delivered}
	j.current = s
	if r.region != e.upstream.Region() {
		r.sim.crossBytes += j.request.Bytes() + s.wanted*hasher.BytesPerToken
	}
	r.sim.after(r.sim.delay(r, e), func() {
		if !e.enqueue(s) {
			r.sim.deliverFailure(e, s)
		}
	})
}

// preempt cancels the current attempt of a running job and queues the job again.
func (r *router) preempt(j *job) {
	if j == nil || j.state != stateRunning {
		return
	}
	r.cancelAttempt(j)
	j.preempted++
	j.state = stateWaiting
	r.finishShed(r.scheduler.Requeue(r.sim.time(), j.request, j.excluded))
}

// cancelAttempt cancels the current attempt of a job.
func (r *router) cancelAttempt(j *job) {
	e, s := j.engine, j.current
	sample := r.sample(j)
	sample.Cancelled = true
	j.current = nil
	r.sim.after(r.sim.delay(r, e), func() { e.cancel(j, s.attempt) })
	r.scheduler.Finished(r.sim.time(), e.upstream.Address(), j.request, sample)
}

// sample returns the sample of a job's current attempt for the scheduler.
func (r *router) sample(j *job) kingcuphook.Sample {
	s := kingcuphook.Sample{Tokens: j.current.received, UncachedTokens: j.choice.UncachedTokens}
	if j.attemptFirstTokenAt > 0 {
		s.FirstToken = j.attemptFirstTokenAt - j.dispatchedAt
	}
	if s.Tokens > 1 {
		s.TokenGap = (j.lastTokenAt - j.attemptFirstTokenAt) / time.Duration(s.Tokens-1)
	}
	return s
}

// receive handles the arrival of an attempt's tokens up to the n-th.
func (r *router) receive(s *sequence, n int, done bool) {
	j := s.job
	if j.current != s {
		return
	}
	s.received = n
	j.delivered = s.resume + n
	if j.attemptFirstTokenAt == 0 {
		j.attemptFirstTokenAt = r.sim.now
	}
	if j.firstTokenAt == 0 {
		j.firstTokenAt = r.sim.now
	}
	j.lastTokenAt = r.sim.now
	r.scheduler.Progress(r.sim.time(), j.engine.upstream.Address(), j.request, n)
	if done {
		sample := r.sample(j)
		r.finish(j, stateCompleted)
		r.scheduler.Finished(r.sim.time(), j.engine.upstream.Address(), j.request, sample)
		r.schedule()
	}
}

// attemptFailed handles the failure of an attempt at its engine.
func (r *router) attemptFailed(s *sequence) {
	j := s.job
	if j.current != s {
		return
	}
	sample := r.sample(j)
	sample.Failed = true
	j.current = nil
	j.failures++
	j.state = stateWaiting
	j.excluded = append(j.excluded, j.engine.upstream.Address())
	r.scheduler.Finished(r.sim.time(), j.engine.upstream.Address(), j.request, sample)
	if j.attempts >= maxAttempts {
		r.finish(j, stateFailed)
	} else {
		r.finishShed(r.scheduler.Requeue(r.sim.time(), j.request, j.excluded))
	}
	r.schedule()
}

// expire ends a job at its deadline.
func (r *router) expire(j *job) {
	switch j.state {
	case stateRunning:
		r.cancelAttempt(j)
		r.finish(j, stateExpired)
	case stateWaiting:
		if r.scheduler.Cancel(r.sim.time(), j.request.ID()) {
			r.finish(j, stateExpired)
		}
	default:
		return
	}
	r.schedule()
}
