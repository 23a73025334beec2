package routing

import (
	"container/heap"
	"sync"
	"time"

	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// slowStart is the time over which a new instance of a pool that already has others ramps up to all its slots.
const slowStart = 3 * time.Second

// table holds the instances of one pool in a heap ordered by load.
type table struct {
	mu        sync.Mutex
	pool      string
	builtFrom *view.View

	members map[string]*member // instances with requests running, that may get requests, or that are ejected
	heap    loadHeap           // members that may get requests
	picks   uint64             // number of picks so far, to break ties in loadHeap
}

// member is one instance in a table.
type member struct {
	assignment *laburnumv1.Assignment
	view       *laburnumv1.InstanceView
	since      time.Time // when this incarnation was first seen
	warm       bool      // past slowStart, or exempt from it as the pool had no other instance
	used       int
	limit      int    // slots that it may use now
	index      int    // in the heap, -1 if not there
	lastPick   uint64 // value of table.picks at its latest pick
	health     health
}

func newTable(pool string) *table { return &table{pool: pool, members: make(map[string]*member)} }

type liveFunc func(*laburnumv1.Assignment, time.Time) *laburnumv1.InstanceView

// rebuild fills the heap from the pool's assignments and the live views, and forgets members that are gone and idle.
func (t *table) rebuild(assignments []*laburnumv1.Assignment, live liveFunc, now time.Time) {
	populated := len(t.heap) > 0
	for _, m := range t.heap {
		m.index = -1
	}
	t.heap = t.heap[:0]
	for _, a := range assignments {
		v := live(a, now)
		if v == nil {
			continue
		}
		m := t.memberFor(a, v, populated, now)
		if m.health.ejected(now) {
			continue
		}
		m.limit = m.usableSlots(now)
		m.index = len(t.heap)
		t.heap = append(t.heap, m)
	}
	heap.Init(&t.heap)
	for id, m := range t.members {
		if m.index < 0 && m.used == 0 && !m.health.ejected(now) {
			delete(t.members, id)
		}
	}
}

// memberFor returns the member for a live view. A new incarnation starts with empty health statistics, and with all
// its slots unless poolHasOthers is set.
func (t *table) memberFor(a *laburnumv1.Assignment, v *laburnumv1.InstanceView, poolHasOthers bool, now time.Time) *member {
	m := t.members[a.Instance]
	if m == nil {
		m = &member{index: -1}
		t.members[a.Instance] = m
	}
	if m.view == nil || m.view.Incarnation != v.Incarnation {
		m.since, m.warm, m.health = now, !poolHasOthers, health{}
	}
	m.assignment, m.view = a, v
	return m
}

// usableSlots returns the slots that the member may use now: one on probation, otherwise a number that grows to all
// of them over slowStart.
func (m *member) usableSlots(now time.Time) int {
	all := int(m.view.Slots)
	if m.health.probation {
		return 1
	}
	age := now.Sub(m.since)
	if m.warm || age >= slowStart {
		m.warm = true
		return all
	}
	return min(all, 1+int(int64(all)*int64(age)/int64(slowStart)))
}

func (m *member) full() bool { return m.used >= m.limit }

func (t *table) pick(avoid string, now time.Time, live liveFunc) *Slot {
	best := t.leastLoaded(now, live)
	if best == nil {
		return nil
	}
	reason := "least-outstanding"
	if best.view.Instance == avoid {
		if second := t.runnerUp(); second != nil && !second.full() && live(second.assignment, now) != nil {
			best, reason = second, "avoids the instance that failed the earlier attempt"
		}
	}
	if len(t.heap) == 1 {
		reason = "only instance"
	}
	slot := &Slot{
		Pool: t.pool, Instance: best.view.Instance, Address: best.view.Address, Incarnation: best.view.Incarnation,
		Reason: reason, Slots: int(best.view.Slots),
	}
	if second := t.runnerUp(); second != nil {
		slot.RunnerUp = second.view.Instance
	}
	t.picks++
	best.lastPick = t.picks
	best.used++
	slot.Used = best.used
	heap.Fix(&t.heap, best.index)
	return slot
}

// leastLoaded returns the least loaded live member, or nil if it has no free slot. Members at the top that are no
// longer live, or were restarted, are removed from the heap.
func (t *table) leastLoaded(now time.Time, live liveFunc) *member {
	for len(t.heap) > 0 {
		m := t.heap[0]
		m.limit = m.usableSlots(now)
		if m.full() {
			return nil
		}
		if v := live(m.assignment, now); v != nil && v.Incarnation == m.view.Incarnation {
			m.view = v
			return m
		}
		heap.Pop(&t.heap)
	}
	return nil
}

// runnerUp returns the second member in the order of the heap: the smaller child of the root, or nil.
func (t *table) runnerUp() *member {
	switch {
	case len(t.heap) < 2:
		return nil
	case len(t.heap) == 2 || t.heap.Less(1, 2):
		return t.heap[1]
	}
	return t.heap[2]
}

func (t *table) capacity(now time.Time) (slots, used int) {
	for _, m := range t.heap {
		slots += m.usableSlots(now)
		used += m.used
	}
	return slots, used
}

func (t *table) addUsed(instance string) {
	m := t.members[instance]
	if m == nil {
		m = &member{index: -1}
		t.members[instance] = m
	}
	m.used++
	t.fixHeap(m)
}

func (t *table) release(instance string, result Result, took time.Duration, now time.Time) []Event {
	m := t.members[instance]
	if m == nil {
		return nil
	}
	m.used = max(0, m.used-1)
	t.fixHeap(m)
	if m.view == nil {
		return nil
	}
	return t.recordResult(m, result, took, now)
}

func (t *table) fixHeap(m *member) {
	if m.index >= 0 {
		heap.Fix(&t.heap, m.index)
	}
}

// loadHeap orders members by the part of their slots in use. Of equals, the one picked longest ago comes first.
type loadHeap []*member

func (h loadHeap) Len() int { return len(h) }

func (h loadHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	left, right := a.used*max(1, b.limit), b.used*max(1, a.limit)
	if left != right {
		return left < right
	}
	return a.lastPick < b.lastPick
}

func (h loadHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *loadHeap) Push(x any) {
	m := x.(*member)
	m.index = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *loadHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	m.index = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return m
}
