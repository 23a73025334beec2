package queue

import (
	"container/list"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/requestid"
	"laburnumrouter/internal/request/routing"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// minRetryAfter is the shortest Retry-After of a refusal; the header counts in whole seconds.
const minRetryAfter = time.Second

// slotSource provides the slots of instances; *routing.Router implements it.
type slotSource interface {
	Pick(pool, avoid string, now time.Time) *routing.Slot
	Capacity(pool string, now time.Time) (slots, used int)
	Return(pool, instance string, result routing.Result, took time.Duration, now time.Time)
}

// permitSource provides the permits under the limits of workspaces; escrow.Permits satisfies it.
type permitSource interface {
	// TryAcquire takes a permit. If none is free, it records demand of the workspace in this data centre.
	TryAcquire(workspace string) bool
	// TryAcquireWithoutDemand takes a permit for a request that goes to another data centre if no permit is free. A
	// failure is not counted as demand.
	TryAcquireWithoutDemand(workspace string) bool
	Release(workspace string)
}

// waiter is a queued request.
type waiter struct {
	ticket  *admission.Ticket
	decided chan decision // has a buffer of one, so that sending never blocks
	queue   *workspaceQueue
	list    *list.List
	element *list.Element
}

// decision is the result of a wait: either a grant or a refusal.
type decision struct {
	grant   *Grant
	refusal *outcome.Refusal
}

// pool is the queue of one pool. Its methods don't read the clock: the same calls with the same times lead to the same
// decisions. mu guards fair and waiting.
type pool struct {
	name          string
	slots         slotSource
	permits       permitSource
	ids           *requestid.Generator
	weight        func(workspace, pool string) uint32
	blocked       *atomic.Bool                          // set when a workspace's limit blocks a request; shared by all pools
	onPermitFreed func(workspace string, now time.Time) // notifies the other pools of a free permit; called without locks held

	mu      sync.Mutex
	fair    fairQueue
	waiting int
}

// grantOrEnqueue grants, queues or refuses a request: one of its results is set. The caller must not hold mu.
func (p *pool) grantOrEnqueue(t *admission.Ticket, now time.Time) (*Grant, *waiter, *outcome.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fair.accrueService(now)
	tq := p.fair.queueOf(t.Workspace, p.weight(t.Workspace, p.name))
	if tq.waiting() == 0 {
		p.fair.raiseToMinimum(tq)
	}
	if p.waiting == 0 {
		if g := p.tryGrant(tq, t, now); g != nil {
			return g, nil, nil
		}
	}
	if !t.StartBy.After(now) {
		return nil, nil, p.refuseNoCapacity(minRetryAfter)
	}
	if refusal := p.refuseNewIfTooLate(tq, t, now); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := p.enforceMaxWaiting(tq, t, now); refusal != nil {
		return nil, nil, refusal
	}
	w := &waiter{ticket: t, decided: make(chan decision, 1)}
	p.insert(tq, w)
	p.grantWaiting(now)
	return nil, w, nil
}

// insert adds a waiter in order of arrival. A request that comes back from another data centre without a slot keeps
// its first arrival time, and so its place.
func (p *pool) insert(tq *workspaceQueue, w *waiter) {
	w.queue, w.list = tq, tq.normal
	if w.ticket.Urgent {
		w.list = tq.urgent
	}
	p.waiting++
	e := w.list.Back()
	for e != nil && e.Value.(*waiter).ticket.ArrivedAt.After(w.ticket.ArrivedAt) {
		e = e.Prev()
	}
	if e == nil {
		w.element = w.list.PushFront(w)
		return
	}
	w.element = w.list.InsertAfter(w, e)
}

// remove takes a waiter out of the queue in constant time. It returns false if the waiter was already decided.
func (p *pool) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	w.list.Remove(w.element)
	w.element = nil
	p.waiting--
	return true
}

// cancelWait removes a waiter whose caller gave up or whose wait timed out. It returns false if the waiter was
// already decided.
func (p *pool) cancelWait(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remove(w)
}

// acquirePermit takes a permit. A request that can't wait here, such as an overflow from another data centre, is not
// counted as demand in this data centre: that would draw permits from the data centre it came from, which is short of
// them.
func (p *pool) acquirePermit(t *admission.Ticket, now time.Time) bool {
	if t.StartBy.After(now) {
		return p.permits.TryAcquire(t.Workspace)
	}
	return p.permits.TryAcquireWithoutDemand(t.Workspace)
}

// tryGrant takes a permit and a slot for a request. It returns nil if either is missing, and sets tq.blocked if it is
// the permit.
func (p *pool) tryGrant(tq *workspaceQueue, t *admission.Ticket, now time.Time) *Grant {
	if !p.acquirePermit(t, now) {
		tq.blocked = true
		p.blocked.Store(true)
		return nil
	}
	if tq.blocked {
		tq.blocked = false
		p.fair.raiseToMinimum(tq)
	}
	slot := p.slots.Pick(p.name, t.AvoidInstance, now)
	if slot == nil {
		p.permits.Release(t.Workspace)
		return nil
	}
	tq.running++
	p.fair.recordGrant(tq)
	return &Grant{Slot: slot, ID: p.ids.Next(t.Workspace), Workspace: t.Workspace, GrantedAt: now, pool: p}
}

// grantWaiting grants waiting requests until no slot is free or no workspace may use one.
func (p *pool) grantWaiting(now time.Time) {
	limitedWorkspaces := make(map[*workspaceQueue]bool)
	for p.waiting > 0 {
		tq := p.fair.next(func(tq *workspaceQueue) bool { return limitedWorkspaces[tq] })
		if tq == nil {
			return
		}
		w := tq.head().Value.(*waiter)
		g := p.tryGrant(tq, w.ticket, now)
		if g == nil && !tq.blocked {
			return // no slot is free
		}
		if g == nil {
			limitedWorkspaces[tq] = true
			continue
		}
		p.remove(w)
		w.decided <- decision{grant: g}
	}
}

// reevaluate grants the waiting requests that can start now and refuses those that can no longer start in time.
func (p *pool) reevaluate(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fair.accrueService(now)
	p.grantWaiting(now)
	if p.waiting > 0 {
		p.shedLateWaiters(now)
	}
	p.fair.removeIdle()
}

// refuseNewIfTooLate refuses a new request that can't start in time at the measured service rate.
func (p *pool) refuseNewIfTooLate(tq *workspaceQueue, t *admission.Ticket, now time.Time) *outcome.Refusal {
	total, _ := p.slots.Capacity(p.name, now)
	ahead := tq.waiting()
	if t.Urgent {
		ahead = tq.urgent.Len()
	}
	if total == 0 {
		return nil // an instance may come back in time
	}
	return p.refuseIfTooLate(tq, t, ahead, total, now)
}

// refuseIfTooLate refuses a request at a position of its workspace's queue if its estimated wait ends after its latest start.
func (p *pool) refuseIfTooLate(tq *workspaceQueue, t *admission.Ticket, position, total int, now time.Time) *outcome.Refusal {
	wait := p.fair.estimateWait(tq, position, total)
	left := t.StartBy.Sub(now)
	if wait <= left {
		return nil
	}
	r := outcome.Refuse(http.StatusServiceUnavailable, ReasonTooLate,
		"the request would not start in time: %d requests of its workspace are ahead of it in pool %s", position, p.name)
	return r.WithRetryAfter(max(minRetryAfter, wait-left))
}

// shedLateWaiters goes through each workspace's requests from the front of its queue and refuses those that can no longer
// start in time. A refused request no longer counts as ahead of those behind it, which shortens their estimated wait.
func (p *pool) shedLateWaiters(now time.Time) {
	total, _ := p.slots.Capacity(p.name, now)
	if total == 0 {
		return
	}
	for _, tq := range p.fair.queues {
		position := 0
		for _, queued := range []*list.List{tq.urgent, tq.normal} {
			position = p.shedLateInList(tq, queued, position, total, now)
		}
	}
}

// shedLateInList refuses the late requests in one list of a workspace. position is that of the list's first request in the
// workspace's queue. It returns the position after the last request that stays.
func (p *pool) shedLateInList(tq *workspaceQueue, queued *list.List, position, total int, now time.Time) int {
	for e := queued.Front(); e != nil; {
		w := e.Value.(*waiter)
		e = e.Next()
		refusal := p.refuseIfTooLate(tq, w.ticket, position, total, now)
		if refusal == nil {
			position++
			continue
		}
		p.remove(w)
		w.decided <- decision{refusal: refusal}
	}
	return position
}

// enforceMaxWaiting refuses a request if the queue is full: the newest normal request of the workspace with the most waiting
// requests per unit of weight. If t is of that workspace, or the workspace has no normal request waiting, it refuses t.
func (p *pool) enforceMaxWaiting(tq *workspaceQueue, t *admission.Ticket, now time.Time) *outcome.Refusal {
	if p.waiting < t.MaxWaiting {
		return nil
	}
	largest, mostPerWeight := tq, float64(tq.waiting()+1)/tq.weight
	for _, other := range p.fair.queues {
		if n := float64(other.waiting()) / other.weight; n > mostPerWeight {
			largest, mostPerWeight = other, n
		}
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, ReasonQueueFull, "%d requests wait for pool %s", p.waiting, p.name)
	total, _ := p.slots.Capacity(p.name, now)
	if total > 0 {
		refusal.WithRetryAfter(max(minRetryAfter, p.fair.estimateWait(largest, largest.waiting(), total)))
	} else {
		refusal.WithRetryAfter(minRetryAfter)
	}
	last := largest.normal.Back()
	if largest == tq || last == nil {
		return refusal
	}
	w := last.Value.(*waiter)
	p.remove(w)
	w.decided <- decision{refusal: refusal}
	return nil
}

func (p *pool) refuseNoCapacity(retryAfter time.Duration) *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, ReasonNoCapacity, "no instance of pool %s came free in time", p.name).WithRetryAfter(retryAfter)
}

// release returns the slot and the permit of a grant and grants waiting requests.
func (p *pool) release(g *Grant, result routing.Result, took time.Duration, now time.Time) {
	p.slots.Return(p.name, g.Instance, result, took, now)
	p.permits.Release(g.Workspace)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fair.accrueService(now)
	if tq := p.fair.queues[g.Workspace]; tq != nil {
		tq.running--
	}
	if result != routing.Neutral {
		p.fair.recordRunTime(now.Sub(g.GrantedAt))
	}
	p.grantWaiting(now)
}

// permitFreed grants waiting requests of a workspace that its limit had blocked.
func (p *pool) permitFreed(workspace string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tq := p.fair.queues[workspace]; tq != nil && tq.blocked && tq.waiting() > 0 {
		p.fair.accrueService(now)
		p.grantWaiting(now)
	}
}

// refuseExpired returns the refusal of a request whose wait has ended without a grant.
func (p *pool) refuseExpired(t *admission.Ticket, now time.Time) *outcome.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	total, _ := p.slots.Capacity(p.name, now)
	tq := p.fair.queues[t.Workspace]
	if tq == nil || total == 0 {
		return p.refuseNoCapacity(minRetryAfter)
	}
	return p.refuseNoCapacity(max(minRetryAfter, p.fair.estimateWait(tq, tq.waiting(), total)))
}

// runningByWorkspace returns the number of requests that each workspace runs on grants of this entry, or nil if none runs.
func (p *pool) runningByWorkspace() *laburnumv1.PoolUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	use := &laburnumv1.PoolUse{Pool: p.name}
	for _, tq := range p.fair.queues {
		if tq.running > 0 {
			use.Teams = append(use.Teams, &laburnumv1.TeamSlots{Team: tq.workspace, Running: uint32(tq.running)})
		}
	}
	if len(use.Teams) == 0 {
		return nil
	}
	return use
}

// setRemoteRunning replaces the number of requests that each workspace runs in other data centres.
func (p *pool) setRemoteRunning(running map[string]int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fair.accrueService(now)
	for _, tq := range p.fair.queues {
		tq.remoteRunning = 0
	}
	for workspace, n := range running {
		p.fair.queueOf(workspace, p.weight(workspace, p.name)).remoteRunning = n
	}
}
