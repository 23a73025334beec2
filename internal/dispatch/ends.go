package dispatch

import (
	"errors"
	"sync"
	"time"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

// endQueue commits ends, all that wait in one entry of the log.
type endQueue struct {
	session *session

	mu      sync.Mutex
	waiting []ledger.End
	queued  map[runKey]bool
	// done is closed once what waits now is committed.
	done chan struct{}
	wake chan struct{}
}

func newEndQueue(s *session) *endQueue {
	return &endQueue{session: s, queued: make(map[runKey]bool), done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// add queues ends and returns a channel that is closed once they are committed. An end that waits already
// isn't queued twice.
func (q *endQueue) add(ends ...ledger.End) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		if !q.queued[key] {
			q.queued[key] = true
			q.waiting = append(q.waiting, e)
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return q.done
}

// run commits until the session ends.
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

// commit commits what waits; it tries again while this instance leads.
func (q *endQueue) commit() {
	q.mu.Lock()
	batch, done := q.waiting, q.done
	q.waiting, q.done = nil, make(chan struct{})
	q.mu.Unlock()
	for len(batch) > 0 {
		_, err := q.session.propose(&ledger.Command{Ends: batch})
		if err == nil {
			break
		}
		q.session.log.Warn("ends not committed yet", "ends", len(batch), "error", err)
		// An end that is committed twice is void the second time.
		if errors.Is(err, replica.ErrNotLeader) && q.session.ctx.Err() != nil {
			return
		}
		select {
		case <-q.session.ctx.Done():
			return
		case <-time.After(stopPause):
		}
	}
	q.mu.Lock()
	for _, e := range batch {
		delete(q.queued, runKey{e.Task, e.Run})
	}
	q.mu.Unlock()
	close(done)
}
