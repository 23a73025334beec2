package schedule

import (
	"cmp"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
)

// candidate is a step, within one occurrence, with waiting tasks that may start.
type candidate struct {
	job        *ledger.Job
	occurrence int
	step       int
	pool       string
	rank       rank
}

// rank is the sort key of candidates; lower ranks come first.
type rank struct {
	// band is one of the bands below; it has precedence over key.
	band int
	// key orders candidates within a band: lasting tasks by the job's time of acceptance, jobs that can be on time by their
	// slack (the time left until the step must start), and late jobs by their remaining work.
	key int64
}

// compareCandidates orders candidates by rank, and those of equal rank by the text of their task ID.
func compareCandidates(a, b candidate) int {
	if c := cmp.Or(cmp.Compare(a.rank.band, b.rank.band), cmp.Compare(a.rank.key, b.rank.key)); c != 0 {
		return c
	}
	// Formatting an ID costs more than the rest of the comparison. Unless one job ID begins with the other, the job IDs
	// alone decide.
	if x, y := a.job.Key(), b.job.Key(); !strings.HasPrefix(x, y) && !strings.HasPrefix(y, x) {
		return strings.Compare(x, y)
	}
	return strings.Compare(a.id(), b.id())
}

func (c candidate) id() string {
	return ledger.TaskID{Job: c.job.Key(), Occurrence: c.occurrence, Step: c.step}.String()
}

// Bands of rank, the most urgent first.
const (
	bandLasting   = iota // lasting tasks
	bandOnTime           // jobs that can still meet their objective
	bandLate             // jobs that are late but still earn credit
	bandWorthless        // jobs that no longer earn credit
)

// candidates returns the steps that may start tasks now, the most urgent first.
func (p *planner) candidates() []candidate {
	var list []candidate
	for class, jobs := range p.Ledger.Waiting() {
		q := p.Ledger.QueueOfClass(class)
		if q == nil || len(p.serversByPool[q.Pool]) == 0 || !p.exhaustive && !class.AtLeast.FitsIn(p.largest[q.Pool]) {
			continue
		}
		for _, j := range jobs {
			if p.Ledger.AwaitsNamesake(j, q.Pool) {
				continue
			}
			if j.Times == 0 {
				list = p.appendSteps(list, j, 0, q.Pool, q.SlackFactor, q.ObjectiveMS)
				continue
			}
			for _, k := range p.dueOccurrences(j) {
				list = p.appendSteps(list, j, k, q.Pool, q.SlackFactor, q.ObjectiveMS)
			}
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// dueOccurrences returns the occurrences of a scheduled job that are due and not done.
func (p *planner) dueOccurrences(j *ledger.Job) []int {
	var due []int
	for k := range j.Times {
		if j.DueMS(k) > p.WallMS {
			break
		}
		if o := j.Occurrences[k]; o == nil || o.Done < len(j.Steps) {
			due = append(due, k)
		}
	}
	return due
}

// appendSteps appends a candidate for each runnable step of an occurrence whose tasks may fit on a server.
func (p *planner) appendSteps(list []candidate, j *ledger.Job, occurrence int, pool string, slackFactor float64, baseObjectiveMS int64) []candidate {
	largest := p.largest[pool]
	var estimate workEstimate
	estimated := false
	for s := range j.Steps {
		if !p.exhaustive && !j.Steps[s].CapacityUse().FitsIn(largest) {
			continue
		}
		if !isRunnable(j, occurrence, s) {
			continue
		}
		if !estimated {
			estimate, estimated = estimateWork(j, occurrence), true
		}
		list = append(list, candidate{job: j, occurrence: occurrence, step: s, pool: pool, rank: p.rankOf(j, occurrence, s, estimate, slackFactor, baseObjectiveMS)})
	}
	return list
}

// isRunnable reports whether all dependencies of a step are done and it has a waiting task. In a gang all tasks must be
// waiting.
func isRunnable(j *ledger.Job, occurrence, step int) bool {
	o := j.Occurrences[occurrence]
	if o == nil {
		return len(j.Steps[step].After) == 0
	}
	for _, dependency := range j.Steps[step].After {
		if o.Steps[dependency].Done < j.Steps[dependency].Count {
			return false
		}
	}
	waiting := o.Steps[step].Waiting()
	if j.Steps[step].Gang {
		return waiting == j.Steps[step].Count
	}
	return waiting > 0
}

// workEstimate holds the estimated path lengths over all steps of an occurrence and the estimated CPU time of its tasks
// that aren't done.
type workEstimate struct {
	// criticalPathMS holds, by step, the sum of the estimates on the longest chain of dependent steps that begins with that
	// step; longestPathMS is the largest of these sums. Both also count steps that are done.
	criticalPathMS []int64
	longestPathMS  int64
	// milliCoreMS is the CPU time of the tasks that aren't done, in thousandths of a core times milliseconds.
	milliCoreMS int64
}

// estimateWork computes the work estimate of an occurrence.
func estimateWork(j *ledger.Job, occurrence int) workEstimate {
	c := workEstimate{criticalPathMS: make([]int64, len(j.Steps))}
	o := j.Occurrences[occurrence]
	for s := len(j.Steps) - 1; s >= 0; s-- {
		c.criticalPathMS[s] += j.Steps[s].EstimateMS
		for _, dependency := range j.Steps[s].After {
			c.criticalPathMS[dependency] = max(c.criticalPathMS[dependency], c.criticalPathMS[s])
		}
		c.longestPathMS = max(c.longestPathMS, c.criticalPathMS[s])
		tasksLeft := j.Steps[s].Count
		if o != nil {
			tasksLeft -= o.Steps[s].Done
		}
		c.milliCoreMS += int64(tasksLeft) * j.Steps[s].Need.CPU * j.Steps[s].EstimateMS
	}
	return c
}

func (p *planner) rankOf(j *ledger.Job, occurrence, step int, estimate workEstimate, slackFactor float64, baseObjectiveMS int64) rank {
	if j.Steps[step].Lasting {
		return rank{band: bandLasting, key: j.AcceptedMS}
	}
	dueMS := max(j.AcceptedMS, j.DueMS(occurrence))
	allowedMS := int64(slackFactor*float64(estimate.longestPathMS)) + baseObjectiveMS
	slackMS := dueMS + allowedMS - p.WallMS - estimate.criticalPathMS[step]
	switch {
	case slackMS >= 0:
		return rank{band: bandOnTime, key: slackMS}
	case slackMS+(creditWindowFactor-1)*allowedMS >= 0:
		return rank{band: bandLate, key: estimate.milliCoreMS}
	}
	return rank{band: bandWorthless, key: estimate.milliCoreMS}
}
