package check

import (
	"fmt"
	"slices"
	"time"

	"laburnumrouter/test/soak/history"
)

// job is what the history says of one job.
type job struct {
	queue       string
	steps       []history.Step
	submits     []*history.Event
	accepted    int64 // the first acknowledgement of a submission
	cancelSent  int64
	cancelAcked int64
	completed   int64 // when it was first shown as completed
	firstStart  int64 // set by checkCalls
	states      []*history.Event
	runs        []*run
}

func (c *checker) job(id string) *job {
	if c.jobs[id] == nil {
		c.jobs[id] = &job{}
	}
	return c.jobs[id]
}

func (c *checker) indexCall(e *history.Event) {
	if e.Job == "" {
		return
	}
	j := c.job(e.Job)
	switch e.Op {
	case history.Submit:
		j.queue, j.steps = e.Queue, e.Steps
		j.submits = append(j.submits, e)
		if e.Status/100 == 2 && j.accepted == 0 {
			j.accepted = e.T
		}
	case history.Cancel:
		if j.cancelSent == 0 || e.Sent < j.cancelSent {
			j.cancelSent = e.Sent
		}
		if e.Status/100 == 2 && j.cancelAcked == 0 {
			j.cancelAcked = e.T
		}
	case history.State:
		j.states = append(j.states, e)
		if e.State == "completed" && j.completed == 0 {
			j.completed = e.T
		}
	}
}

// mayRun reports whether a submission may have been accepted.
func mayRun(e *history.Event) bool {
	return e.Status/100 == 2 || e.Status == 0 || e.Status == 502 || e.Status == 504
}

// doneBefore reports whether a run of a task ended as done before a time.
func (j *job) doneBefore(task string, t int64) bool {
	return slices.ContainsFunc(j.runs, func(r *run) bool {
		return r.task == task && r.end != nil && r.end.How == "done" && r.end.T <= t
	})
}

// checkJobs checks what callers are told of their jobs.
func (c *checker) checkJobs() {
	for id, j := range c.jobs {
		for _, e := range j.states {
			c.checkState(id, j, e)
		}
		if j.accepted != 0 {
			c.checkKept(id, j)
		}
	}
}

func (c *checker) checkState(id string, j *job, e *history.Event) {
	switch {
	case e.Status == 410 && j.accepted != 0 && j.cancelSent == 0 && c.over(j.accepted, e.Sent, visible):
		c.report(e.T, "LOST", "job %s, accepted at %.3fs, is unknown at %s", id, time.Duration(j.accepted).Seconds(), e.Node)
	case e.State == "completed":
		for step, s := range j.steps {
			for k := range s.Count {
				if task := fmt.Sprintf("%s.0.%d.%d", id, step, k); !j.doneBefore(task, e.T) {
					c.report(e.T, "MIXED", "job %s is shown as completed at %s, and %s is not done", id, e.Node, task)
					return
				}
			}
		}
	case e.State == "failed" && !c.failedOften(j):
		c.report(e.T, "LOST", "job %s is shown as failed at %s without cause", id, e.Node)
	case e.State == "cancelled" && (j.cancelSent == 0 || j.cancelSent > e.T):
		c.report(e.T, "LOST", "job %s is shown as cancelled at %s, and nobody cancelled it", id, e.Node)
	}
}

// failedOften reports whether a task of the job has failed as often as it may.
func (c *checker) failedOften(j *job) bool {
	failures := make(map[string]int)
	for _, r := range j.runs {
		if r.end != nil && r.end.How == "failed" {
			failures[r.task]++
			if failures[r.task] >= c.settings.Attempts {
				return true
			}
		}
	}
	return false
}

// checkKept checks that an accepted job was found again at the end, and had ended.
func (c *checker) checkKept(id string, j *job) {
	if j.cancelSent != 0 {
		return
	}
	var last *history.Event
	for _, e := range j.states {
		if e.Last {
			last = e
		}
	}
	switch {
	case last == nil || last.Status != 200:
		c.report(j.accepted, "LOST", "job %s, accepted at %.3fs, was not found at the end", id, time.Duration(j.accepted).Seconds())
	case last.State == "queued" || last.State == "running":
		c.report(last.T, "LOST", "job %s, accepted at %.3fs, is still %s at the end", id, time.Duration(j.accepted).Seconds(), last.State)
	}
}
