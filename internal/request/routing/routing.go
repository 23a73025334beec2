// Package routing chooses the instance for a request.
//
// Each pool has a table of its instances, a heap ordered by the part of their slots that is in use, so that a
// choice takes time logarithmic in the size of the pool. The table is rebuilt when the accepted state changes, and
// an instance that is no longer live is removed when it reaches the top of the heap.
//
// An entry is a node of the fleet that accepts requests. The entry that schedules a pool grants the slots of its
// instances.
package routing

import (
	"sync"
	"time"

	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Router holds the tables of all pools. It is safe for concurrent use; each pool has a lock of its own.
type Router struct {
	directory *directory.Directory
	view      func() *view.View
	notify    func(Event)

	mu    sync.RWMutex
	pools map[string]*table

	inFlight inFlightCounts
}

// Event is a change in the health of an instance, for the log.
type Event struct {
	Pool     string
	Instance string
	Action   string // ejected, readmitted or ejection-refused
	Reason   string
}

// NewRouter returns a router over the live views in d and the assignments in the current view. notify
// is called without locks held; it may be nil.
func NewRouter(d *directory.Directory, current func() *view.View, notify func(Event)) *Router {
	if notify == nil {
		notify = func(Event) {}
	}
	return &Router{directory: d, view: current, notify: notify, pools: make(map[string]*table)}
}

// Slot is the capacity for one request on an instance, taken for that request.
type Slot struct {
	Pool        string
	Instance    string
	Address     string
	Incarnation uint64
	// RunnerUp is the instance that would have been picked next, for the log; empty if there was none.
	RunnerUp string
	Reason   string // why this instance was picked
	Used     int    // slots of the instance in use, this one included
	Slots    int    // slots of the instance
}

// Result says how a request on an instance ended.
type Result int

const (
	// Answered requests got response headers without a server error.
	Answered Result = iota
	// Failed requests got no response, an incomplete one or a server error.
	Failed
	// Neutral means that no request was sent, or that it ended for a reason unrelated to the instance's health.
	Neutral
)

func (r *Router) table(pool string) *table {
	r.mu.RLock()
	t := r.pools[pool]
	r.mu.RUnlock()
	if t != nil {
		return t
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t = r.pools[pool]; t == nil {
		t = newTable(pool)
		r.pools[pool] = t
	}
	return t
}

// Pick takes a slot of the least loaded instance of pool, or returns nil if none is free. If that instance is avoid,
// the runner-up is taken instead, provided that it has a free slot and is live.
func (r *Router) Pick(pool, avoid string, now time.Time) *Slot {
	t := r.table(pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.rebuildIfChanged(t, now)
	return t.pick(avoid, now, r.live)
}

// Capacity returns the slots of pool's live instances and how many of them are in use.
func (r *Router) Capacity(pool string, now time.Time) (slots, used int) {
	t := r.table(pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.rebuildIfChanged(t, now)
	return t.capacity(now)
}

// HasLiveInstance reports whether pool has a live instance in this entry's view, busy or not.
func (r *Router) HasLiveInstance(pool string, now time.Time) bool {
	slots, _ := r.Capacity(pool, now)
	return slots > 0
}

// CountGrantedSlot counts as used a slot that an earlier scheduler of the pool granted.
func (r *Router) CountGrantedSlot(pool, instance string) {
	t := r.table(pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addUsed(instance)
}

// Return releases a slot and records the result of its request. took is the time to the response headers.
func (r *Router) Return(pool, instance string, result Result, took time.Duration, now time.Time) {
	t := r.table(pool)
	t.mu.Lock()
	events := t.release(instance, result, took, now)
	t.mu.Unlock()
	for _, e := range events {
		r.notify(e)
	}
}

// Refresh rebuilds all tables from the current views and readmits instances whose ejection has ended.
func (r *Router) Refresh(now time.Time) {
	r.mu.RLock()
	tables := make([]*table, 0, len(r.pools))
	for _, t := range r.pools {
		tables = append(tables, t)
	}
	r.mu.RUnlock()
	for _, t := range tables {
		t.mu.Lock()
		t.builtFrom = nil
		r.rebuildIfChanged(t, now)
		events := t.readmit(now)
		t.mu.Unlock()
		for _, e := range events {
			r.notify(e)
		}
	}
}

// rebuildIfChanged rebuilds a table if the accepted state has changed since it was built.
func (r *Router) rebuildIfChanged(t *table, now time.Time) {
	v := r.view()
	if t.builtFrom == v {
		return
	}
	t.builtFrom = v
	t.rebuild(v.Assigned(t.pool), r.live, now)
}

// live returns the view of an assigned instance if it may take requests now, or nil.
func (r *Router) live(a *laburnumv1.Assignment, now time.Time) *laburnumv1.InstanceView {
	i, ok := r.directory.Get(a.Instance)
	if !ok || !i.Fresh(now) || i.View.Leaving {
		return nil
	}
	if i.View.Epoch > a.Epoch {
		return nil // the instance knows a later assignment than this entry
	}
	return i.View
}

// BeginRequest counts a request that this entry is about to send to an instance. It returns false, and counts nothing,
// if the instance is not a live member of pool in this entry's own view: the scheduler that granted the slot may have
// an older state.
func (r *Router) BeginRequest(pool, instance string, now time.Time) bool {
	r.inFlight.add(instance, 1)
	a := r.view().Assignment(instance)
	member := a != nil && a.Pool == pool && a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
	if member && r.live(a, now) != nil {
		return true
	}
	r.inFlight.add(instance, -1)
	return false
}

// EndRequest reverses the count of one request that BeginRequest counted.
func (r *Router) EndRequest(instance string) { r.inFlight.add(instance, -1) }

// InFlight returns the number of requests that this entry runs on an instance.
func (r *Router) InFlight(instance string) int { return r.inFlight.get(instance) }

const inFlightShards = 16

// inFlightCounts counts requests by instance. Each shard has its own lock.
type inFlightCounts struct {
	shards [inFlightShards]struct {
		mu     sync.Mutex
		counts map[string]int
	}
}

func (o *inFlightCounts) add(instance string, n int) {
	s := &o.shards[shardOf(instance)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[string]int)
	}
	s.counts[instance] += n
	if s.counts[instance] == 0 {
		delete(s.counts, instance)
	}
}

func (o *inFlightCounts) get(instance string) int {
	s := &o.shards[shardOf(instance)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[instance]
}

// shardOf hashes the name of an instance by FNV-1a.
func shardOf(instance string) int {
	h := uint32(2166136261)
	for i := range len(instance) {
		h = (h ^ uint32(instance[i])) * 16777619
	}
	return int(h % inFlightShards)
}
