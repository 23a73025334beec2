// Package queue decides which waiting request runs next, and on which instance.
//
// Each pool has a queue for each workspace. A free slot goes to the workspace that has used the least of the pool per unit of
// weight; within a workspace, urgent requests go first. A request that can't start in time is refused at once. The same calls
// at the same times lead to the same decisions. Each pool has its own lock, under which permits and slots are taken.
//
// An entry is a node of the fleet that accepts requests. In each data centre, one entry schedules a pool and
// holds its queue.
package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/requestid"
	"laburnumrouter/internal/request/routing"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Reasons of refusals.
const (
	// ReasonNoCapacity refuses a request that was not granted before its latest start.
	ReasonNoCapacity = "no-capacity"
	// ReasonTooLate refuses a request that would not start in time at the measured service rate.
	ReasonTooLate = "too-late"
	// ReasonQueueFull refuses a request because the pool has too many waiting ones.
	ReasonQueueFull = "queue-full"
)

// Grant is the right to run one request. It holds a slot of an instance and a permit under the workspace's limit.
type Grant struct {
	*routing.Slot
	ID        requestid.ID
	Workspace string
	GrantedAt time.Time

	pool *pool
	once sync.Once
}

// Release returns the slot and the permit. took is the time until the response headers arrived. Later calls do
// nothing.
func (g *Grant) Release(result routing.Result, took time.Duration, now time.Time) {
	g.once.Do(func() {
		g.pool.release(g, result, took, now)
		g.pool.onPermitFreed(g.Workspace, now)
	})
}

// Queue holds the queues of all pools. It is safe for concurrent use.
type Queue struct {
	router  *routing.Router
	permits escrow.Permits
	ids     *requestid.Generator
	weight  func(workspace, pool string) uint32
	now     func() time.Time

	// blocked is set while any workspace's limit keeps a waiting request from starting.
	blocked atomic.Bool

	mu    sync.RWMutex
	pools map[string]*pool
}

// New returns an empty queue. weight returns a workspace's share in a pool.
func New(router *routing.Router, permits escrow.Permits, ids *requestid.Generator, weight func(workspace, pool string) uint32, now func() time.Time) *Queue {
	return &Queue{router: router, permits: permits, ids: ids, weight: weight, now: now, pools: make(map[string]*pool)}
}

func (q *Queue) pool(name string) *pool {
	q.mu.RLock()
	p := q.pools[name]
	q.mu.RUnlock()
	if p != nil {
		return p
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if p = q.pools[name]; p == nil {
		p = &pool{name: name, slots: q.router, permits: q.permits, ids: q.ids, weight: q.weight, fair: newFairQueue(), blocked: &q.blocked}
		p.onPermitFreed = func(workspace string, now time.Time) { q.serveBlocked(p, workspace, now) }
		q.pools[name] = p
	}
	return p
}

// Acquire waits for a grant until the ticket's latest start or the end of ctx.
func (q *Queue) Acquire(ctx context.Context, t *admission.Ticket) (*Grant, *outcome.Refusal) {
	p := q.pool(t.Pool)
	grant, w, refusal := p.grantOrEnqueue(t, q.now())
	if w == nil {
		return grant, refusal
	}
	timer := time.NewTimer(t.WaitUntil().Sub(q.now()))
	defer timer.Stop()
	select {
	case v := <-w.decided:
		return v.grant, v.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	if !p.cancelWait(w) {
		v := <-w.decided // decided at the same moment
		return v.grant, v.refusal
	}
	return nil, p.refuseExpired(t, q.now())
}

// serveBlocked offers a permit that was released in one pool to the requests that wait in the others.
func (q *Queue) serveBlocked(from *pool, workspace string, now time.Time) {
	if !q.blocked.Load() {
		return
	}
	for _, p := range q.allPools() {
		if p != from {
			p.permitFreed(workspace, now)
		}
	}
}

// Reevaluate grants the waiting requests that can start now and refuses those that can no longer start in time.
func (q *Queue) Reevaluate() {
	now := q.now()
	q.blocked.Store(false) // set again by requests that are still blocked
	for _, p := range q.allPools() {
		p.reevaluate(now)
	}
}

func (q *Queue) allPools() []*pool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	list := make([]*pool, 0, len(q.pools))
	for _, p := range q.pools {
		list = append(list, p)
	}
	return list
}

// Waiting returns the number of requests that wait for a pool.
func (q *Queue) Waiting(pool string) int {
	p := q.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// RunningByPool returns the number of requests that each workspace runs on grants of this entry, by pool.
func (q *Queue) RunningByPool() []*laburnumv1.PoolUse {
	var list []*laburnumv1.PoolUse
	for _, p := range q.allPools() {
		if use := p.runningByWorkspace(); use != nil {
			list = append(list, use)
		}
	}
	return list
}

// SetRemoteRunning replaces the number of requests that run in other data centres, by pool and workspace.
func (q *Queue) SetRemoteRunning(running map[string]map[string]int) {
	now := q.now()
	for _, p := range q.allPools() {
		p.setRemoteRunning(running[p.name], now)
	}
}
