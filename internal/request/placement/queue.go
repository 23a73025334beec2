package placement

import (
	"container/heap"
	"container/list"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Workspace is a workspace's share and the number of tasks that its limit currently allows.
type Workspace struct {
	Name    string
	Share   uint32
	Permits int
}

type workspace struct {
	Workspace
	running int // tasks in all pools
	waiting int // jobs in all pools
}

// runningPerShare returns the number of running tasks per unit of share. The workspace with the lowest value starts a task next.
func (t *workspace) runningPerShare() float64 { return float64(t.running) / float64(max(t.Share, 1)) }

func (t *workspace) hasFreePermit() bool { return t.running < t.Permits }

// workspaceQueue holds the waiting jobs of a workspace in a pool. Urgent jobs come first; urgent and normal jobs are each in order of
// submission.
type workspaceQueue struct {
	workspace *workspace
	urgent    *list.List // of *trackedJob
	normal    *list.List
}

func newWorkspaceQueue(t *workspace) *workspaceQueue {
	return &workspaceQueue{workspace: t, urgent: list.New(), normal: list.New()}
}

func (q *workspaceQueue) len() int { return q.urgent.Len() + q.normal.Len() }

func (q *workspaceQueue) listFor(job *laburnumv1.Job) *list.List {
	if job.Urgent {
		return q.urgent
	}
	return q.normal
}

// push inserts a job by its submission time, so that a job that waits again keeps its place.
func (q *workspaceQueue) push(t *trackedJob) {
	jobs := q.listFor(t.job)
	for e := jobs.Back(); e != nil; e = e.Prev() {
		if e.Value.(*trackedJob).job.SubmittedUnixMs <= t.job.SubmittedUnixMs {
			t.element = jobs.InsertAfter(t, e)
			return
		}
	}
	t.element = jobs.PushFront(t)
}

func (q *workspaceQueue) remove(t *trackedJob) {
	q.listFor(t.job).Remove(t.element)
	t.element = nil
}

// queueHeap orders the queues of a pool by the running tasks per share of their workspaces.
type queueHeap []*workspaceQueue

func (h queueHeap) Len() int { return len(h) }
func (h queueHeap) Less(i, j int) bool {
	a, b := h[i].workspace, h[j].workspace
	if x, y := a.runningPerShare(), b.runningPerShare(); x != y {
		return x < y
	}
	return a.Name < b.Name
}
func (h queueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *queueHeap) Push(x any)   { *h = append(*h, x.(*workspaceQueue)) }
func (h *queueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// delayHeap orders delayed jobs by the earliest time at which they may start.
type delayHeap []*trackedJob

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(i, j int) bool { return h[i].job.NotBeforeUnixMs < h[j].job.NotBeforeUnixMs }
func (h delayHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)        { *h = append(*h, x.(*trackedJob)) }
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// popDue removes and returns the jobs that may start at now. Jobs that were removed from the scheduler in the meantime are
// dropped.
func (h *delayHeap) popDue(now time.Time) []*trackedJob {
	var list []*trackedJob
	for h.Len() > 0 && (*h)[0].job.NotBeforeUnixMs <= now.UnixMilli() {
		if t := heap.Pop(h).(*trackedJob); t.delayed {
			list = append(list, t)
		}
	}
	return list
}
