package replica

import (
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/logging"
)

// turnLog logs turns of the goroutine of Run that last long: heartbeats, their answers and reads wait meanwhile.
type turnLog struct {
	limit              logging.Limit
	began              time.Time
	calls, entries     int
	apply, snapshot    time.Duration
	slowestApply       time.Duration
	slowestApplyOfSize int
}

// begin notes that a turn begins.
func (t *turnLog) begin(now time.Time) {
	t.began, t.calls, t.entries, t.apply, t.snapshot, t.slowestApply, t.slowestApplyOfSize = now, 0, 0, 0, 0, 0, 0
}

// applied notes how long a command of some bytes took to be applied.
func (t *turnLog) applied(took time.Duration, bytes int) {
	t.entries++
	t.apply += took
	if took > t.slowestApply {
		t.slowestApply, t.slowestApplyOfSize = took, bytes
	}
}

// logTurn logs a turn that has lasted for two ticks or more.
func (n *Node) logTurn() {
	t, now := &n.turn, time.Now()
	took := now.Sub(t.began)
	if took < 2*n.opts.Tick {
		return
	}
	if omitted, ok := t.limit.Allow(now); ok {
		n.opts.Log.Info("long turn", "took", took, "calls", t.calls, "calls_queued", len(n.calls), "entries", t.entries, "apply", t.apply,
			"slowest_apply", t.slowestApply, "slowest_apply_bytes", t.slowestApplyOfSize, "snapshot", t.snapshot, "omitted", omitted)
	}
}

// readTrace holds when the stages of a read were reached, as times since the start of the node in nanoseconds; 0 if it wasn't.
type readTrace struct {
	queued             time.Duration
	begun, confirmed   atomic.Int64
	index, appliedThen atomic.Uint64
}

// pendingRead is a read that no quorum has confirmed yet. done is closed once it is confirmed and applied.
type pendingRead struct {
	done  chan struct{}
	trace *readTrace
}

// confirmed notes that a quorum confirmed the read, while this replica had applied entries up to an index.
func (r pendingRead) confirmed(index, applied uint64, at time.Duration) {
	r.trace.index.Store(index)
	r.trace.appliedThen.Store(applied)
	r.trace.confirmed.Store(int64(at))
}

// logRead logs the stages of a read that a quorum, or the state machine, answers late.
func (n *Node) logRead(trace *readTrace, answered bool) {
	now := time.Since(n.started)
	if now-trace.queued < 4*n.opts.Tick {
		return
	}
	omitted, ok := n.readLog.Allow(time.Now())
	if !ok {
		return
	}
	begun, confirmed := time.Duration(trace.begun.Load()), time.Duration(trace.confirmed.Load())
	args := []any{"answered", answered, "took", now - trace.queued}
	if begun > 0 {
		args = append(args, "queued", begun-trace.queued)
	}
	if confirmed > 0 {
		args = append(args, "quorum", confirmed-begun, "apply", now-confirmed, "entries_behind", trace.index.Load()-min(trace.index.Load(), trace.appliedThen.Load()))
	}
	n.opts.Log.Info("read is late", append(args, "calls_queued", len(n.calls), "omitted", omitted)...)
}
