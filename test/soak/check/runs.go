package check

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"laburnumrouter/test/soak/history"
)

// life is one life of a backend server.
type life struct {
	node   string
	number int
}

type lifeOf struct {
	launched, gone, drained int64
	leases                  []*history.Event
	acks                    []*history.Event
	runs                    []*run
}

// run is one run of a task.
type run struct {
	task   string
	number int
	life   life
	start  int64
	end    *history.Event // nil if its end isn't known
}

func (c *checker) lifeOf(l life) *lifeOf {
	if c.lives[l] == nil {
		c.lives[l] = &lifeOf{}
	}
	return c.lives[l]
}

func (c *checker) indexRun(e *history.Event) {
	l := c.lifeOf(life{e.Node, e.Life})
	switch e.Kind {
	case history.Start:
		r := &run{task: e.Task, number: e.Run, life: life{e.Node, e.Life}, start: e.T}
		l.runs = append(l.runs, r)
		j := c.job(jobOf(e.Task))
		j.runs = append(j.runs, r)
	case history.End:
		for _, r := range slices.Backward(l.runs) {
			if r.task == e.Task && r.number == e.Run && r.end == nil {
				r.end = e
				break
			}
		}
	case history.Ack:
		l.acks = append(l.acks, e)
	case history.Lease:
		l.leases = append(l.leases, e)
	case history.Drained:
		l.drained = e.T
	}
}

// until returns when a run was over at the latest: at its end, with its server, or when the lease lapsed.
func (c *checker) until(r *run) int64 {
	if r.end != nil {
		return r.end.T
	}
	l := c.lives[r.life]
	last := int64(1<<63 - 1)
	if n := len(l.leases); n > 0 {
		last = l.leases[n-1].Until
	}
	if l.gone != 0 {
		last = min(last, l.gone)
	}
	return last
}

// acked returns when the end of a run was acknowledged, or 0. An acknowledgement doesn't count if the lease lapsed between.
func (c *checker) acked(r *run) int64 {
	if r.end == nil {
		return 0
	}
	l := c.lives[r.life]
	for _, a := range l.acks {
		if a.Number >= r.end.Number && a.T >= r.end.T {
			if c.lapsed(l, r.end.T, a.T) {
				return 0
			}
			return a.T
		}
	}
	return 0
}

// lapsed reports whether a server's lease lapsed within a time.
func (c *checker) lapsed(l *lifeOf, from, to int64) bool {
	until := int64(0)
	for _, lease := range l.leases {
		if lease.T > to {
			break
		}
		if until > from && until < lease.T {
			return true
		}
		until = lease.Until
	}
	return until > from && until < to
}

// jobOf returns the job of a task named JOB.K.STEP.INDEX.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// place returns the step and the index of a task.
func place(task string) (step, index int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0, 0, false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	return step, index, stepErr == nil && indexErr == nil
}

// checkRuns checks each start of a task.
func (c *checker) checkRuns() {
	for id, j := range c.jobs {
		byTask := make(map[string][]*run)
		for _, r := range j.runs {
			byTask[r.task] = append(byTask[r.task], r)
		}
		for _, r := range j.runs {
			c.checkStart(id, j, r)
		}
		for _, runs := range byTask {
			c.checkTwice(j, runs)
		}
	}
	for l, of := range c.lives {
		c.checkLimit(l, of)
		c.checkDrain(l, of)
	}
}

// checkTwice checks the runs of one task against each other.
func (c *checker) checkTwice(j *job, runs []*run) {
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.start, b.start) })
	for i, later := range runs {
		for _, earlier := range runs[:i] {
			switch {
			case c.until(earlier) > later.start:
				c.report(later.start, "TWICE", "%s: run %d starts on %s while run %d works on %s until %.3fs", later.task, later.number,
					later.life.node, earlier.number, earlier.life.node, time.Duration(c.until(earlier)).Seconds())
			case earlier.end != nil && earlier.end.How == "done" && c.acked(earlier) != 0:
				c.report(later.start, "TWICE", "%s: run %d starts on %s although run %d ended done on %s at %.3fs, which was acknowledged",
					later.task, later.number, later.life.node, earlier.number, earlier.life.node, time.Duration(earlier.end.T).Seconds())
			}
		}
		if j.completed != 0 && later.start > j.completed+int64(time.Second) {
			c.report(later.start, "TWICE", "%s: run %d starts on %s after the job was shown as completed", later.task, later.number, later.life.node)
		}
	}
}

// checkStart checks that a task was asked for, and that its turn had come.
func (c *checker) checkStart(id string, j *job, r *run) {
	step, index, ok := place(r.task)
	if j.steps == nil || !ok || step >= len(j.steps) || index >= j.steps[step].Count {
		c.report(r.start, "UNASKED", "%s starts on %s, and nobody submitted it", r.task, r.life.node)
		return
	}
	if !slices.ContainsFunc(j.submits, func(e *history.Event) bool { return mayRun(e) && e.Sent <= r.start }) {
		c.report(r.start, "REFUSED", "%s starts on %s, and all submissions of its job were refused", r.task, r.life.node)
	}
	for _, before := range j.steps[step].After {
		for k := range j.steps[before].Count {
			task := fmt.Sprintf("%s.0.%d.%d", id, before, k)
			if !j.doneBefore(task, r.start) {
				c.report(r.start, "ORDER", "%s starts on %s before %s is done", r.task, r.life.node, task)
			}
		}
	}
	c.checkCancelled(j, r)
}

// checkCancelled checks that nothing starts after a cancel was acknowledged, where no order can have been held up.
func (c *checker) checkCancelled(j *job, r *run) {
	if j.cancelAcked == 0 || !c.over(j.cancelAcked, r.start, cancelTime) {
		return
	}
	if from := r.start - int64(maxLease); !c.disturbed(r.life.node, from, r.start, true) && !c.disturbed("control-", from, r.start, true) {
		c.report(r.start, "UNASKED", "%s starts on %s, and its job's cancelling was acknowledged at %.3fs", r.task, r.life.node,
			time.Duration(j.cancelAcked).Seconds())
	}
}

// checkLimit checks that no start brings a server over its capacity.
func (c *checker) checkLimit(l life, of *lifeOf) {
	slices.SortStableFunc(of.runs, func(a, b *run) int { return cmp.Compare(a.start, b.start) })
	for i, r := range of.runs {
		var sum int64
		for _, other := range of.runs[:i+1] {
			if c.until(other) > r.start {
				sum += c.cpu(other)
			}
		}
		if sum > c.settings.Capacity {
			c.report(r.start, "LIMIT", "%s brings %s to %d thousandths of a core of %d", r.task, l.node, sum, c.settings.Capacity)
		}
	}
}

func (c *checker) cpu(r *run) int64 {
	step, _, ok := place(r.task)
	j := c.jobs[jobOf(r.task)]
	if !ok || j == nil || step >= len(j.steps) {
		return 0
	}
	return j.steps[step].CPU
}

// checkDrain checks that nothing starts on a server that drains, where no order can have been held up.
func (c *checker) checkDrain(l life, of *lifeOf) {
	for _, r := range of.runs {
		if of.drained == 0 || !c.over(of.drained, r.start, drainTime) {
			continue
		}
		if from := of.drained - int64(maxLease); !c.disturbed(l.node, from, r.start, false) && !c.disturbed("control-", from, r.start, true) {
			c.report(r.start, "DRAIN", "%s starts on %s, which drains since %.3fs", r.task, l.node, time.Duration(of.drained).Seconds())
		}
	}
}
