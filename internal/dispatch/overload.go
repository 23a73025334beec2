package dispatch

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/boottime"
)

const (
	// maxBacklog is the delay of plans or submissions from which the leader rejects new submissions. An entry gives a call
	// up after 0.9 s, so a submission accepted behind a longer backlog is of no use to its caller.
	maxBacklog = 500 * time.Millisecond
	// minWaitingSubmissions is how many submissions must be waiting for their delay to count as overload: a commit that a
	// disk or a lost packet delays is none.
	minWaitingSubmissions = 32
	// minOverloadRetry is the shortest Retry-After value of a rejected submission; overloadRetrySpread is the largest
	// fraction that is added to spread the callers' return.
	minOverloadRetry    = time.Second
	overloadRetrySpread = 0.5
	// maxOverloadRetry bounds the value before it is spread.
	maxOverloadRetry = 6 * time.Second
)

// load measures the backlog of a leader. Its decisions depend only on the times that it is given.
type load struct {
	mu sync.Mutex
	// waiting holds the submissions that are being committed, the oldest first. Finished ones are dropped from the front.
	waiting []*waitingSubmission
	active  int
	// overloaded is whether the last submission was rejected.
	overloaded bool
	// planDueAt is when the next plan became due, by boottime in nanoseconds; 0 while none is. planLate is the delay of the
	// last plan, or of the one before if that is shorter: one late plan may follow a pause of the process.
	planDueAt, planLate atomic.Int64
	lastPlanLate        time.Duration // used by the planner's goroutine only
}

type waitingSubmission struct {
	since time.Duration
	done  bool
}

// admit admits a submission at a time, or returns the backlog that rejects it.
func (l *load) admit(now time.Duration) (admitted *waitingSubmission, backlog time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 && l.waiting[0].done {
		l.waiting = l.waiting[1:]
	}
	if backlog = l.backlogLocked(now); backlog >= maxBacklog {
		return nil, backlog
	}
	w := &waitingSubmission{since: now}
	l.waiting = append(l.waiting, w)
	l.active++
	return w, 0
}

// finish ends the wait of an admitted submission.
func (l *load) finish(w *waitingSubmission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.done = true
	l.active--
}

func (l *load) backlogLocked(now time.Duration) time.Duration {
	backlog := time.Duration(l.planLate.Load())
	if due := time.Duration(l.planDueAt.Load()); due > 0 {
		backlog = max(backlog, now-due-maxBacklog)
	}
	if l.active >= minWaitingSubmissions {
		backlog = max(backlog, now-l.waiting[0].since)
	}
	return backlog
}

// planDue records that a plan is due unless one is already.
func (l *load) planDue(now time.Duration) { l.planDueAt.CompareAndSwap(0, int64(now)) }

// planBegins records the delay of a plan that could have begun at readyAt at the earliest, and returns the delay.
func (l *load) planBegins(now, readyAt time.Duration) time.Duration {
	due := time.Duration(l.planDueAt.Swap(0))
	late := time.Duration(0)
	if due > 0 {
		late = now - max(due, readyAt)
	}
	l.planLate.Store(int64(min(late, l.lastPlanLate)))
	l.lastPlanLate = late
	return late
}

// setOverloaded records whether submissions are rejected and reports whether that has changed.
func (l *load) setOverloaded(overloaded bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.overloaded != overloaded
	l.overloaded = overloaded
	return changed
}

// overloadRetry returns when a caller that a backlog rejected is to come back: once the backlog and as much again have been
// worked off. fraction, in [0, 1), differs between callers.
func overloadRetry(backlog time.Duration, fraction float64) time.Duration {
	wait := min(minOverloadRetry+2*backlog, maxOverloadRetry)
	return wait + time.Duration(fraction*overloadRetrySpread*float64(wait))
}

// admitSubmission admits a submission, or returns the reply that rejects it because the leader is behind. The submission then
// hasn't been proposed and never runs.
func (s *session) admitSubmission() (*waitingSubmission, *Reply) {
	admitted, backlog := s.load.admit(boottime.Now())
	if s.load.setOverloaded(admitted == nil) {
		s.log.Warn("overload changed", "overloaded", admitted == nil, "backlog", backlog)
	}
	if admitted == nil {
		return nil, &Reply{Outcome: Overload, Reason: "the leader is behind", RetryAfterMS: overloadRetry(backlog, rand.Float64()).Milliseconds()}
	}
	return admitted, nil
}

// overloadedReply rejects a call whose command the log didn't take, because too much waits to be committed.
func overloadedReply(op Op, err error) *Reply {
	outcome := Unavailable
	if op == OpSubmit {
		outcome = Overload
	}
	return &Reply{Outcome: outcome, Reason: err.Error(), RetryAfterMS: overloadRetry(0, rand.Float64()).Milliseconds()}
}
