// Package check checks the history of a soak against the rules of the platform. It knows only what callers, operators and
// backend servers have seen, and needs no running system.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumrouter/test/soak/history"
)

// Bounds of the rules, in the words of the users' settings (section Settings of a process of DEPLOY).
const (
	configApply = 2 * time.Second // config_apply_ms
	revoke      = 5 * time.Second // revoke_ms
	contact     = 3 * time.Second // contact_ms
	visible     = 3 * time.Second // visible_ms
	pendingAge  = visible + 2*time.Second
	cancelTime  = 3 * time.Second        // cancel_ms
	maxLease    = 10 * time.Second       // hold_max_ms
	drainTime   = 2 * time.Second        // drain_ms
	lossSlack   = 200 * time.Millisecond // loss_slack_ms
	grace       = 6 * time.Second        // grace_s
	recovery    = 12 * time.Second       // recovery_s
	memoryMB    = 280                    // memory_mb
	// launchTime is how long a program may take until it handles signals; before, SIGTERM ends it as any other process.
	launchTime = time.Second
)

// Descriptors that a process may have open at the end: a fixed number and some for each process of the fleet.
const (
	descriptorsFixed      = 64
	descriptorsPerProcess = 8
)

// Violation is a broken rule.
type Violation struct {
	T    int64
	Rule string // as in docs/RULES.md
	Text string
}

// String describes the violation on a line.
func (v Violation) String() string {
	return fmt.Sprintf("%12.3fs  %-8s %s", time.Duration(v.T).Seconds(), v.Rule, v.Text)
}

// maxPerRule bounds the violations that are reported of one rule.
const maxPerRule = 10

type checker struct {
	events   []history.Event
	settings history.Event
	calm     int64 // time of the event Calm; 0 if there is none
	finished bool

	jobs    map[string]*job
	lives   map[life]*lifeOf
	configs []*configuration
	faults  []interval
	stalls  []history.Event
	down    map[string][]*history.Event // ends of each process

	counts     map[string]int
	violations []Violation
}

// Check returns the violations of a history, in the order of time.
func Check(events []history.Event) []Violation {
	c := &checker{
		events: events, jobs: make(map[string]*job), lives: make(map[life]*lifeOf), down: make(map[string][]*history.Event),
		counts: make(map[string]int),
	}
	c.index()
	c.checkComplete()
	c.checkRuns()
	c.checkJobs()
	c.checkCalls()
	c.checkOrders()
	c.checkProcesses()
	c.checkRecovery()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.T, b.T) })
	return c.violations
}

func (c *checker) report(t int64, rule, format string, args ...any) {
	c.counts[rule]++
	if c.counts[rule] <= maxPerRule {
		c.violations = append(c.violations, Violation{T: t, Rule: rule, Text: fmt.Sprintf(format, args...)})
	}
}

// index sorts the events into what the rules need.
func (c *checker) index() {
	for i := range c.events {
		e := &c.events[i]
		switch e.Kind {
		case history.Settings:
			c.settings = *e
		case history.Calm:
			c.calm = e.T
		case history.Finished:
			c.finished = true
		case history.Stall:
			c.stalls = append(c.stalls, *e)
		case history.Call:
			c.indexCall(e)
		case history.Order:
			c.indexOrder(e)
		case history.Fault:
			c.indexFault(e)
		case history.Start, history.End, history.Ack, history.Lease, history.Drained:
			c.indexRun(e)
		case history.Launch:
			c.lifeOf(life{e.Node, e.Life}).launched = e.T
		case history.Gone:
			c.down[e.Node] = append(c.down[e.Node], e)
			c.lifeOf(life{e.Node, e.Life}).gone = e.T
		}
	}
}

// interval is a fault of a process.
type interval struct {
	cause, target string
	planned       bool
	from, until   int64 // until is 0 while the fault lasts
}

func (c *checker) indexFault(e *history.Event) {
	if !e.Over {
		c.faults = append(c.faults, interval{cause: e.Cause, target: e.Target, planned: e.Planned, from: e.T})
		return
	}
	for i := range c.faults {
		f := &c.faults[i]
		if f.until == 0 && f.target == e.Target && f.cause == e.Cause {
			f.until = e.T
			return
		}
	}
}

// disturbed reports whether a fault acted on a process, or on one whose name begins with it if it ends in a hyphen, within
// a time or in the contact time before. Planned work counts only if planned is set.
func (c *checker) disturbed(name string, from, until int64, planned bool) bool {
	for _, f := range c.faults {
		matches := f.target == name || strings.HasSuffix(name, "-") && strings.HasPrefix(f.target, name)
		if matches && (planned || !f.planned) && f.from <= until && (f.until == 0 || f.until+int64(contact) >= from) {
			return true
		}
	}
	return false
}

// stalled returns the time within a span in which the soak was not scheduled, by which bounds are extended.
func (c *checker) stalled(from, until int64) time.Duration {
	var sum time.Duration
	for _, s := range c.stalls {
		begin := s.T - s.MS*int64(time.Millisecond)
		if overlap := min(until, s.T) - max(from, begin); overlap > 0 {
			sum += time.Duration(overlap)
		}
	}
	return sum
}

// over reports whether more than a bound has passed, not counting stalls.
func (c *checker) over(from, until int64, bound time.Duration) bool {
	return time.Duration(until-from)-c.stalled(from, until) > bound
}

func (c *checker) checkComplete() {
	if c.settings.Kind == "" || c.calm == 0 || !c.finished {
		c.report(0, "HISTORY", "the history is incomplete: settings %t, calm %t, finished %t", c.settings.Kind != "", c.calm != 0, c.finished)
	}
}
