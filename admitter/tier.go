package admitter

import (
	"container/heap"
	"slices"
)

// maxAccounts bounds the organisations of one tier that are remembered while
// none of their requests waits.
const maxAccounts = 4096

// tierQueue has the waiting requests of one tier.
type tierQueue struct {
	waiting int
	// floor is the lowest counter of the organisations served last. It never
	// falls; an organisation that comes back starts there at least, so that
	// being idle earns no credit.
	floor    float64
	accounts map[string]*account
	// byLoad has the accounts with waiting requests, the heaviest first.
	byLoad loadHeap
	// lanes has one lane for each model with a waiting request.
	lanes []*modelLane
	seq   uint64
}

// account is what one organisation has used of one tier.
type account struct {
	organisation string
	// seq orders accounts with equal counters.
	seq uint64
	// counter is the number of tokens served, raised to the floor of the tier
	// whenever the organisation comes back from being idle.
	counter float64
	// load is the share of the bounds that its waiting requests take.
	load float64
	// waiting is the number of its waiting requests.
	waiting int
	// queues has one queue for each model with a waiting request.
	queues []*orgQueue
	// spare is a dropped queue that can be used again; may be nil.
	spare     *orgQueue
	loadIndex int
}

// orgQueue has the waiting requests of one organisation for one model.
type orgQueue struct {
	account *account
	lane    *modelLane
	// onTime can still meet their target; late can't.
	onTime, late itemHeap
	// onTimeIndex and lateIndex are the positions in the heaps of the lane; -1
	// outside.
	onTimeIndex, lateIndex int
}

// modelLane has the organisations with waiting requests for one model.
type modelLane struct {
	model        string
	onTime, late orgHeap
}

func (t *tierQueue) insert(it *item) {
	r := it.request
	acc := t.account(r.Organisation())
	if acc.waiting == 0 {
		acc.counter = max(acc.counter, t.floor)
		acc.load = 0
		heap.Push(&t.byLoad, acc)
	}
	t.waiting++
	acc.waiting++
	acc.load += it.load
	heap.Fix(&t.byLoad, acc.loadIndex)
	it.queue = t.queue(acc, r.Model())
	it.late = false
	it.queue.push(it)
}

func (t *tierQueue) remove(it *item) {
	q := it.queue
	acc := q.account
	q.drop(it)
	it.queue = nil
	t.waiting--
	acc.waiting--
	acc.load -= it.load
	if len(q.onTime)+len(q.late) == 0 {
		t.dropQueue(q)
	}
	if acc.waiting == 0 {
		heap.Remove(&t.byLoad, acc.loadIndex)
		return
	}
	heap.Fix(&t.byLoad, acc.loadIndex)
}

// pick returns the item to be served next. Items due at limit or before are
// late.
func (t *tierQueue) pick(limit int64, skip func(string) bool) *item {
	var best *orgQueue
	for _, l := range t.lanes {
		if skip != nil && skip(l.model) {
			continue
		}
		q := l.firstOnTime(limit)
		if q != nil && (best == nil || q.account.before(best.account)) {
			best = q
		}
	}
	if best != nil {
		t.floor = max(t.floor, best.account.counter)
		return best.onTime[0]
	}
	best = t.firstLate(skip)
	if best == nil {
		return nil
	}
	t.floor = max(t.floor, best.account.counter)
	return best.late[0]
}

func (t *tierQueue) firstLate(skip func(string) bool) *orgQueue {
	var best *orgQueue
	for _, l := range t.lanes {
		if len(l.late.queues) == 0 || skip != nil && skip(l.model) {
			continue
		}
		q := l.late.queues[0]
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
	if acc.waiting == 0 {
		acc.counter = max(acc.counter, t.floor)
	}
	acc.counter += tokens
	for _, q := range acc.queues {
		q.fix()
	}
}

func (t *tierQueue) account(organisation string) *account {
	if acc := t.accounts[organisation]; acc != nil {
		return acc
	}
	if t.accounts == nil {
		t.accounts = make(map[string]*account)
	}
	if len(t.accounts) >= maxAccounts {
		t.forget()
	}
	t.seq++
	acc := &account{organisation: organisation, seq: t.seq, counter: t.floor}
	t.accounts[organisation] = acc
	return acc
}

// forget drops the idle accounts that have nothing to remember, and all idle
// ones if that is not enough.
func (t *tierQueue) forget() {
	for name, acc := range t.accounts {
		if acc.waiting == 0 && acc.counter <= t.floor {
			delete(t.accounts, name)
		}
	}
	if len(t.accounts) < maxAccounts {
		return
	}
	for name, acc := range t.accounts {
		if acc.waiting == 0 {
			delete(t.accounts, name)
		}
	}
}

func (t *tierQueue) queue(acc *account, model string) *orgQueue {
	for _, q := range acc.queues {
		if q.lane.model == model {
			return q
		}
	}
	q := acc.spare
	acc.spare = nil
	if q == nil {
		q = &orgQueue{account: acc, onTimeIndex: -1, lateIndex: -1}
	}
	q.lane = t.lane(model)
	acc.queues = append(acc.queues, q)
	return q
}

func (t *tierQueue) lane(model string) *modelLane {
	for _, l := range t.lanes {
		if l.model == model {
			return l
		}
	}
	l := &modelLane{model: model, late: orgHeap{late: true}}
	t.lanes = append(t.lanes, l)
	return l
}

func (t *tierQueue) dropQueue(q *orgQueue) {
	acc := q.account
	acc.queues = slices.DeleteFunc(acc.queues, func(o *orgQueue) bool { return o == q })
	l := q.lane
	acc.spare = q
	if len(l.onTime.queues)+len(l.late.queues) > 0 {
		return
	}
	t.lanes = slices.DeleteFunc(t.lanes, func(o *modelLane) bool { return o == l })
}

// firstOnTime returns the first organisation with a request that is due after
// limit; it moves the late requests it meets to the late heap.
func (l *modelLane) firstOnTime(limit int64) *orgQueue {
	for len(l.onTime.queues) > 0 {
		q := l.onTime.queues[0]
		if q.onTime[0].due > limit {
			return q
		}
		q.moveLate(limit)
	}
	return nil
}

func (acc *account) before(other *account) bool {
	if acc.counter != other.counter {
		return acc.counter < other.counter
	}
	return acc.seq < other.seq
}
