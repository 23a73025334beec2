package queue

import (
	"container/list"
	"math"
	"time"
)

const (
	// maxServiceLead is the most by which a workspace's service may exceed minService, in slot-seconds per unit of weight.
	maxServiceLead = 2.0
	// runMeanDivisor sets the weight of one run in the moving mean of run times: 1/runMeanDivisor.
	runMeanDivisor = 32
	// defaultRunTime is assumed for a pool that has not finished a run yet.
	defaultRunTime = 10 * time.Millisecond
)

// workspaceQueue holds the waiting requests of one workspace in one pool and counts its running ones.
type workspaceQueue struct {
	workspace     string
	weight        float64
	urgent        *list.List // of *waiter, oldest first
	normal        *list.List
	running       int // granted by this entry, which schedules the pool
	remoteRunning int // running in other data centres, as last reported
	// service is the slot time that the workspace has used, in slot-seconds per unit of weight.
	service float64
	// blocked is set while the workspace's limit keeps its waiting requests from starting.
	blocked bool
}

func (tq *workspaceQueue) waiting() int { return tq.urgent.Len() + tq.normal.Len() }

func (tq *workspaceQueue) head() *list.Element {
	if e := tq.urgent.Front(); e != nil {
		return e
	}
	return tq.normal.Front()
}

// fairQueue implements weighted fair queuing between the workspaces of a pool: the workspace with the least service per
// unit of weight is served next. Service accrues with the slots that a workspace holds, including those known to be
// held in other data centres. A full pool is thus shared by weight over time, and slots that one workspace does not
// use go to the others. It is deterministic.
type fairQueue struct {
	queues     map[string]*workspaceQueue
	minService float64 // least service of the workspaces that could use a slot, as of the last grant; never falls
	accruedAt  time.Time

	meanRunTime time.Duration
	runs        int
}

func newFairQueue() fairQueue { return fairQueue{queues: make(map[string]*workspaceQueue)} }

// accrueService adds the service since the last call. The first call, and one after more than an hour or after the
// clock was set back, add nothing.
func (f *fairQueue) accrueService(now time.Time) {
	elapsed := now.Sub(f.accruedAt).Seconds()
	f.accruedAt = now
	if elapsed <= 0 || elapsed > time.Hour.Seconds() {
		return
	}
	for _, tq := range f.queues {
		tq.service += elapsed * float64(tq.running+tq.remoteRunning) / tq.weight
	}
}

// queueOf returns the queue of a workspace. A new one starts at minService, so that it has no credit over the others.
func (f *fairQueue) queueOf(workspace string, weight uint32) *workspaceQueue {
	tq := f.queues[workspace]
	if tq == nil {
		tq = &workspaceQueue{workspace: workspace, urgent: list.New(), normal: list.New(), service: f.minService}
		f.queues[workspace] = tq
	}
	tq.weight = math.Max(1, float64(weight))
	return tq
}

// raiseToMinimum cancels the credit of a workspace that could not use a slot for a while, or did not ask for one.
func (f *fairQueue) raiseToMinimum(tq *workspaceQueue) {
	tq.service = math.Max(tq.service, f.minService)
}

// next returns the queue to serve next among those with waiting requests for which skip is false, or nil.
func (f *fairQueue) next(skip func(*workspaceQueue) bool) *workspaceQueue {
	var best *workspaceQueue
	for _, tq := range f.queues {
		if tq.waiting() == 0 || skip(tq) {
			continue
		}
		if best == nil || tq.precedes(best) {
			best = tq
		}
	}
	return best
}

// precedes reports whether tq is served before other: by less service, then by fewer running requests per unit of
// weight, then by name.
func (tq *workspaceQueue) precedes(other *workspaceQueue) bool {
	if tq.service != other.service {
		return tq.service < other.service
	}
	a, b := float64(tq.running+1)*other.weight, float64(other.running+1)*tq.weight
	if a != b {
		return a < b
	}
	return tq.workspace < other.workspace
}

// recordGrant raises minService to the service of the workspace just served, and caps the service of every workspace at
// minService+maxServiceLead.
func (f *fairQueue) recordGrant(served *workspaceQueue) {
	f.minService = math.Max(f.minService, served.service)
	for _, tq := range f.queues {
		tq.service = math.Min(tq.service, f.minService+maxServiceLead)
	}
}

// recordRunTime adds a finished run to the moving mean.
func (f *fairQueue) recordRunTime(d time.Duration) {
	f.runs++
	f.meanRunTime += (d - f.meanRunTime) / time.Duration(min(f.runs, runMeanDivisor))
}

// estimateWait estimates how long the request at a position of a workspace's queue waits for its start. It uses the mean
// run time and the workspace's share of the slots, by weight among the workspaces with waiting requests; a workspace at its limit
// gets no more slots than it uses now, but at least one. Position 0 is the next request.
func (f *fairQueue) estimateWait(tq *workspaceQueue, position, slots int) time.Duration {
	if slots <= 0 {
		return math.MaxInt64
	}
	run := f.meanRunTime
	if f.runs == 0 {
		run = defaultRunTime
	}
	share := float64(slots) * tq.weight / f.contendingWeight(tq)
	if tq.blocked {
		share = math.Min(share, math.Max(1, float64(tq.running)))
	}
	return time.Duration(float64(run) * float64(position+1) / share)
}

// contendingWeight sums the weights of tq and of the other workspaces that have waiting requests and are not at their limit.
func (f *fairQueue) contendingWeight(tq *workspaceQueue) float64 {
	sum := tq.weight
	for _, other := range f.queues {
		if other != tq && other.waiting() > 0 && !other.blocked {
			sum += other.weight
		}
	}
	return sum
}

// removeIdle deletes the queues of workspaces that have no requests waiting or running anywhere. A workspace whose service is
// above minService keeps its queue, because a new one would start at minService. If the whole pool is idle, all queues
// are deleted.
func (f *fairQueue) removeIdle() {
	busy := false
	for workspace, tq := range f.queues {
		idle := tq.waiting() == 0 && tq.running == 0 && tq.remoteRunning == 0
		if idle && tq.service <= f.minService {
			delete(f.queues, workspace)
		}
		busy = busy || !idle
	}
	if !busy {
		clear(f.queues)
	}
}
