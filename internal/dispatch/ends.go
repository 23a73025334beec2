package dispatch

import (
	"errors"
	"sync"
	"time"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

// endQueue commits the ends of runs. All ends that are pending together go into one log entry.
type endQueue struct {
	session *session

	mu      sync.Mutex
	pending []ledger.End
	queued  map[runKey]bool
	// pendingDone is closed once the pending ends are committed.
	pendingDone chan struct{}
	wake        chan struct{}
}

func newEndQueue(s *session) *endQueue {
	return &endQueue{session: s, queued: make(map[runKey]bool), pendingDone: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// add queues ends and returns a channel that is closed once they are committed. An end that is already pending is not
// queued twice.
func (q *endQueue) add(ends ...ledger.End) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		if !q.queued[key] {
			q.queued[key] = true
			q.pending = append(q.pending, e)
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return q.pendingDone
}

// has reports whether the end of a run is queued or being committed.
func (q *endQueue) has(run runKey) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queued[run]
}

// run commits pending ends until the session ends.
func (q *endQueue) run() {
	for {
		select {
		case <-q.session.ctx.Done():
			return
		case <-q.wake:
			q.commit()
		}
	}
}

// commit commits the pending ends. It retries while this instance leads.
func (q *endQueue) commit() {
	q.mu.Lock()
	batch, done := q.pending, q.pendingDone
	q.pending, q.pendingDone = nil, make(chan struct{})
	q.mu.Unlock()
	for len(batch) > 0 {
		_, err := q.session.batcher.commit(&ledger.Command{Begun: q.session.unrecorded(), Ends: batch})
		if err == nil {
			break
		}
		q.session.log.Warn("ends not committed yet", "ends", len(batch), "error", err)
		// A retry is safe: an end that is committed a second time has no effect.
		if errors.Is(err, replica.ErrNotLeader) && q.session.ctx.Err() != nil {
			return
		}
		select {
		case <-q.session.ctx.Done():
			return
		case <-time.After(stopRetryDelay):
		}
	}
	q.mu.Lock()
	for _, e := range batch {
		delete(q.queued, runKey{e.Task, e.Run})
	}
	q.mu.Unlock()
	close(done)
}
