// Package pacing throttles filler tasks so that they don't slow latency-sensitive tasks on the same backend server.
//
// A filler task (of a step with fills set) runs on capacity that other tasks leave idle. A serving task answers requests and
// has a target for the tail of its response times. The package does no I/O and reads no clock; all times are on one
// monotonic clock.
package pacing

import "time"

const (
	// FullPercent is the percentage of its full speed at which a task runs without throttling.
	FullPercent = 100
	// minPercent is the lowest percentage above 0; throttling below it stops filler tasks.
	minPercent = 10
	// throttleDivisor divides the percentage at which filler tasks may run, at each report in which a tail latency is over
	// its target. Two reports, one second apart, stop filler tasks; that is well within the limit of 4 s (interference_ms).
	throttleDivisor = 4
	// headroomShare is the share of its target below which a tail latency leaves headroom for filler tasks.
	headroomShare = 0.8
	// releaseStepPercent is how many percentage points filler tasks get back at each report.
	releaseStepPercent = 20
	// releaseDelay is how long all tail latencies must leave headroom before throttling is reduced: interference changes
	// within seconds.
	releaseDelay = time.Second
	// ineffectiveAfter is how long a tail latency must stay over its target after the last filler task was stopped before
	// throttling counts as ineffective and ends. The reported latency covers the last half second, and reports come once a second.
	ineffectiveAfter = 1500 * time.Millisecond
)

// Serving holds the reported tail latency of a serving task and the target for it.
type Serving struct {
	TailLatencyMS, TargetMS int64
}

// Pacer throttles the filler tasks of one backend server. The zero value doesn't throttle.
type Pacer struct {
	// unknown is set until the first change if an earlier leader may have throttled the filler tasks.
	unknown bool
	// throttledPercent is by how many percentage points filler tasks are throttled.
	throttledPercent int
	// headroomSince is when all tail latencies began to leave headroom; 0 if they don't.
	headroomSince time.Duration
	// ineffective is set while a tail latency stays over its target although stopping the filler tasks didn't help.
	// Filler tasks aren't throttled then.
	ineffective bool
}

// NewInherited returns a Pacer for filler tasks that an earlier leader may have throttled. It leaves them as they are until
// a tail latency is over its target, which stops them, or all have left headroom, which gives them their full speed.
func NewInherited() *Pacer { return &Pacer{unknown: true} }

// Known reports whether Percent is known: filler tasks that an earlier leader may have throttled are to stay as they are
// while it isn't.
func (p *Pacer) Known() bool { return !p.unknown }

// Percent returns the percentage of their full speed at which filler tasks may run.
func (p *Pacer) Percent() int { return FullPercent - p.throttledPercent }

// Update processes a report on the serving tasks and returns the percentage at which filler tasks may run from now on. It
// quarters the percentage while a tail latency is over its target, and raises it in steps while all leave headroom.
// appliedAt is when the last filler task got the present percentage; 0 if one may still run at another.
func (p *Pacer) Update(now time.Duration, serving []Serving, appliedAt time.Duration) int {
	over, headroom := false, true
	for _, t := range serving {
		over = over || t.TailLatencyMS > t.TargetMS
		headroom = headroom && float64(t.TailLatencyMS) < headroomShare*float64(t.TargetMS)
	}
	switch {
	case over:
		p.headroomSince = 0
		p.throttle(now, appliedAt)
	case headroom:
		p.ineffective = false
		p.release(now)
	default:
		p.ineffective, p.headroomSince = false, 0
	}
	return p.Percent()
}

// throttle quarters the percentage. If filler tasks have been stopped for ineffectiveAfter without effect, it restores
// the full percentage.
func (p *Pacer) throttle(now, appliedAt time.Duration) {
	if p.ineffective {
		return
	}
	percent := p.Percent() / throttleDivisor
	if percent < minPercent || p.unknown {
		percent = 0
	}
	if percent > 0 || p.throttledPercent < FullPercent {
		p.throttledPercent, p.unknown = FullPercent-percent, false
		return
	}
	if appliedAt > 0 && now-appliedAt >= ineffectiveAfter {
		p.throttledPercent, p.ineffective = 0, true
	}
}

// release raises the percentage by a step once all tail latencies have left headroom for releaseDelay.
func (p *Pacer) release(now time.Duration) {
	if p.headroomSince == 0 {
		p.headroomSince = now
	}
	if now-p.headroomSince >= releaseDelay {
		p.unknown = false
		p.throttledPercent = max(0, p.throttledPercent-releaseStepPercent)
	}
}
