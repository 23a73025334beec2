package check

import (
	"time"

	"laburnumrouter/test/soak/history"
)

// checkCalls checks what each call was answered.
func (c *checker) checkCalls() {
	for _, j := range c.jobs {
		for _, r := range j.runs {
			if j.firstStart == 0 || r.start < j.firstStart {
				j.firstStart = r.start
			}
		}
	}
	for i := range c.events {
		e := &c.events[i]
		if e.Kind != history.Call {
			continue
		}
		c.checkDelivered(e)
		c.checkPermitted(e)
		if e.Op == history.Pending && e.Status == 200 {
			c.checkPending(e)
		}
	}
}

// checkDelivered checks that an answer is whole, also around planned work. A process that has read a request must answer it
// before the connection ends.
func (c *checker) checkDelivered(e *history.Event) {
	switch {
	case e.Error == "unreadable":
		c.report(e.T, "MIXED", "%s of %s%s at %s is answered with what can't be read", e.Op, e.Queue, e.Job, e.Node)
	case e.Error == "cut" && c.over(e.Sent, e.T, lossSlack) && !c.disturbed(e.Node, e.Sent, e.T, false):
		c.report(e.T, "LOST", "%s of %s %s at %s: the connection ends without an answer, %.3f s after the request", e.Op, e.Queue, e.Job, e.Node,
			history.Seconds(e.Sent, e.T))
	}
}

// checkPending checks that at least half of the jobs that wait are counted.
func (c *checker) checkPending(e *history.Event) {
	waiting, oldest := 0, e.Sent
	for _, j := range c.jobs {
		if j.queue != e.Queue || j.accepted == 0 || j.cancelSent != 0 && j.cancelSent <= e.T {
			continue
		}
		if j.accepted < e.Sent-int64(pendingAge) && (j.firstStart == 0 || j.firstStart > e.T) && (j.completed == 0 || j.completed > e.T) {
			waiting++
			oldest = min(oldest, j.accepted)
		}
	}
	if 2*e.Pending < waiting {
		c.report(e.T, "MIXED", "%s: %d jobs of queue %s are said to wait; %d have waited for over %s, the oldest for %.3f s (disturbed: control %t, entry %t)",
			e.Node, e.Pending, e.Queue, waiting, pendingAge, history.Seconds(oldest, e.T),
			c.disturbed("control-", e.Sent, e.T, true), c.disturbed(e.Node, e.Sent, e.T, true))
	}
}

// checkPermitted checks a call against the configurations that may be in force.
func (c *checker) checkPermitted(e *history.Event) {
	key := func(f *configuration) bool { return f.keys[e.Key] }
	queue := func(f *configuration) bool { return f.queues[e.Queue] }
	ran := e.Status/100 == 2
	switch {
	case ran && !some(c.configs, key):
		c.report(e.T, "ROUTE", "%s at %s runs under the key %s, which no configuration held", e.Op, e.Node, e.Key)
	case ran && !some(c.inForce(e.Sent, e.T, revoke), key):
		c.report(e.T, "CONFIG", "%s at %s runs under the key %s, which was withdrawn over %s before", e.Op, e.Node, e.Key, revoke)
	case ran && !some(c.inForce(e.Sent, e.T, configApply), queue):
		c.report(e.T, "CONFIG", "%s at %s runs on queue %s, which was dropped over %s before", e.Op, e.Node, e.Queue, configApply)
	case e.Status == 401 && every(c.inForce(e.Sent, e.T, configApply), key):
		c.report(e.T, "CONFIG", "%s at %s is refused with 401, and the key %s is there", e.Op, e.Node, e.Key)
	case e.Status == 404 && every(c.inForce(e.Sent, e.T, configApply), queue):
		c.report(e.T, "CONFIG", "%s at %s is refused with 404, and the queue %s is there", e.Op, e.Node, e.Queue)
	}
}

// inForce returns the configurations that may be in force for a request: the newest one that was acknowledged a bound before
// it was sent, and all higher ones that were sent before its answer.
func (c *checker) inForce(sent, answered int64, bound time.Duration) []*configuration {
	newest := int64(0)
	for _, f := range c.configs {
		if f.acked != 0 && f.acked <= sent && c.over(f.acked, sent, bound) {
			newest = max(newest, f.version)
		}
	}
	var list []*configuration
	for _, f := range c.configs {
		if f.version >= newest && f.sent <= answered {
			list = append(list, f)
		}
	}
	return list
}

func some(list []*configuration, ok func(*configuration) bool) bool {
	for _, f := range list {
		if ok(f) {
			return true
		}
	}
	return false
}

func every(list []*configuration, ok func(*configuration) bool) bool {
	return len(list) > 0 && !some(list, func(f *configuration) bool { return !ok(f) })
}
