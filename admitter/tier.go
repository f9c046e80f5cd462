package admitter

import (
	"container/heap"
	"slices"
)

// maxAccounts is the number of accounts in one tier from which adding another one
// evicts idle ones. Organisations with queued requests are never evicted.
const maxAccounts = 4096

// tierQueue holds the queued requests of one tier.
type tierQueue struct {
	queued int
	// virtualTime is the virtual time of the fair queue: the highest counter that an
	// organisation had when it was chosen. It never decreases. The counter of an
	// organisation that was idle is raised to it, so that idle time earns no credit.
	virtualTime float64
	accounts    map[string]*account
	// byLoad holds the accounts with queued requests, the largest load first.
	byLoad loadHeap
	// models has one entry for each model with queued requests.
	models []*modelQueue
	seq    uint64
	// portion is the part of the slots that is due to the requests queued here, competing
	// reports whether several organisations compete for the tier over all routers, weighted has
	// the accounts whose factor was set.
	portion   float64
	competing bool
	weighted  []*account
}

// account tracks the service and the queued requests of one organisation in one
// tier.
type account struct {
	organisation string
	// seq breaks ties between equal counters.
	seq uint64
	// counter is the number of tokens served, raised to the virtual time of the
	// tier whenever the organisation is charged or queues a request while idle.
	counter float64
	// factor multiplies the tokens that are charged; 0 means 1. It is above 1 for an organisation
	// that is due less here than another one, because it has queued requests at more routers or was
	// served more there.
	factor float64
	// unreported are the tokens charged since the last call of Demands.
	unreported float64
	// rate is the tokens per second charged before that call.
	rate float64
	// load is the share of the bounds that its queued requests take up.
	load float64
	// queued is the number of its queued requests.
	queued int
	// queues has one queue for each model with queued requests.
	queues []*orgQueue
	// reusable is a removed queue kept for reuse; may be nil.
	reusable  *orgQueue
	loadIndex int
}

// orgQueue holds the queued requests of one organisation for one model.
type orgQueue struct {
	account *account
	model   *modelQueue
	// onTime holds requests that can still meet their target, late the others.
	onTime, late itemHeap
	// onTimeIndex and lateIndex are the positions in the heaps of the model; -1
	// means that the queue is not in the heap.
	onTimeIndex, lateIndex int
}

// modelQueue orders the organisations with queued requests for one model.
type modelQueue struct {
	name         string
	onTime, late orgHeap
}

func (t *tierQueue) insert(it *item) {
	r := it.request
	acc := t.account(r.Organisation())
	if acc.queued == 0 {
		acc.counter = max(acc.counter, t.virtualTime)
		acc.load = 0
		heap.Push(&t.byLoad, acc)
	}
	t.queued++
	acc.queued++
	acc.load += it.load
	heap.Fix(&t.byLoad, acc.loadIndex)
	it.queue = t.queue(acc, r.Group())
	it.late = false
	it.queue.push(it)
}

func (t *tierQueue) remove(it *item) {
	q := it.queue
	acc := q.account
	q.remove(it)
	it.queue = nil
	t.queued--
	acc.queued--
	acc.load -= it.load
	if len(q.onTime)+len(q.late) == 0 {
		t.removeQueue(q)
	}
	if acc.queued == 0 {
		heap.Remove(&t.byLoad, acc.loadIndex)
		return
	}
	heap.Fix(&t.byLoad, acc.loadIndex)
}

// pick returns the item to serve next, or nil. Items due at or before cutoff are
// late and come after all others.
func (t *tierQueue) pick(cutoff int64, skip func(string) bool) *item {
	var best *orgQueue
	for _, m := range t.models {
		if skip != nil && skip(m.name) {
			continue
		}
		q := m.firstOnTime(cutoff)
		if q != nil && (best == nil || q.account.before(best.account)) {
			best = q
		}
	}
	if best != nil {
		t.virtualTime = max(t.virtualTime, best.account.counter)
		return best.onTime[0]
	}
	best = t.firstLate(skip)
	if best == nil {
		return nil
	}
	t.virtualTime = max(t.virtualTime, best.account.counter)
	return best.late[0]
}

func (t *tierQueue) firstLate(skip func(string) bool) *orgQueue {
	var best *orgQueue
	for _, m := range t.models {
		if len(m.late.queues) == 0 || skip != nil && skip(m.name) {
			continue
		}
		q := m.late.queues[0]
		if best == nil || q.account.before(best.account) {
			best = q
		}
	}
	return best
}

func (t *tierQueue) charge(organisation string, tokens float64) {
	t.chargeAccount(t.account(organisation), tokens)
}

func (t *tierQueue) chargeAccount(acc *account, tokens float64) {
	if acc.queued == 0 {
		acc.counter = max(acc.counter, t.virtualTime)
	}
	acc.counter += tokens * acc.chargeFactor()
	acc.unreported += tokens
	acc.fixHeaps()
}

func (t *tierQueue) account(organisation string) *account {
	if acc := t.accounts[organisation]; acc != nil {
		return acc
	}
	if t.accounts == nil {
		t.accounts = make(map[string]*account)
	}
	if len(t.accounts) >= maxAccounts {
		t.evictIdle()
	}
	t.seq++
	acc := &account{organisation: organisation, seq: t.seq, counter: t.virtualTime}
	t.accounts[organisation] = acc
	return acc
}

// evictIdle evicts the idle accounts whose counter is not above the virtual time,
// since a new account would start with the same counter. If that is not enough,
// it evicts all idle accounts.
func (t *tierQueue) evictIdle() {
	for name, acc := range t.accounts {
		if acc.queued == 0 && acc.counter <= t.virtualTime {
			delete(t.accounts, name)
		}
	}
	if len(t.accounts) < maxAccounts {
		return
	}
	for name, acc := range t.accounts {
		if acc.queued == 0 {
			delete(t.accounts, name)
		}
	}
}

func (t *tierQueue) queue(acc *account, model string) *orgQueue {
	for _, q := range acc.queues {
		if q.model.name == model {
			return q
		}
	}
	q := acc.reusable
	acc.reusable = nil
	if q == nil {
		q = &orgQueue{account: acc, onTimeIndex: -1, lateIndex: -1}
	}
	q.model = t.modelQueue(model)
	acc.queues = append(acc.queues, q)
	return q
}

func (t *tierQueue) modelQueue(model string) *modelQueue {
	for _, m := range t.models {
		if m.name == model {
			return m
		}
	}
	m := &modelQueue{name: model, late: orgHeap{late: true}}
	t.models = append(t.models, m)
	return m
}

func (t *tierQueue) removeQueue(q *orgQueue) {
	acc := q.account
	acc.queues = slices.DeleteFunc(acc.queues, func(o *orgQueue) bool { return o == q })
	m := q.model
	acc.reusable = q
	if len(m.onTime.queues)+len(m.late.queues) > 0 {
		return
	}
	t.models = slices.DeleteFunc(t.models, func(o *modelQueue) bool { return o == m })
}

// firstOnTime returns the queue of the first organisation whose earliest on-time
// request is due after cutoff, or nil. It moves the late requests that it finds on
// the way to their late heaps.
func (m *modelQueue) firstOnTime(cutoff int64) *orgQueue {
	for len(m.onTime.queues) > 0 {
		q := m.onTime.queues[0]
		if q.onTime[0].due > cutoff {
			return q
		}
		q.moveLate(cutoff)
	}
	return nil
}

// fixHeaps restores the heap order after the counter changed.
func (acc *account) fixHeaps() {
	for _, q := range acc.queues {
		q.fixHeaps()
	}
}

// chargeFactor returns what multiplies the tokens that are charged.
func (acc *account) chargeFactor() float64 {
	if acc.factor == 0 {
		return 1
	}
	return acc.factor
}

func (acc *account) before(other *account) bool {
	if acc.counter != other.counter {
		return acc.counter < other.counter
	}
	return acc.seq < other.seq
}
