package dispatch

import (
	"errors"
	"sync"
	"time"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

// maxEndsPerEntry bounds the ends in one entry of the log, to some 80 KB. After an outage thousands may be pending.
const maxEndsPerEntry = 512

// endQueue commits the ends of runs. All ends that are pending together go into one log entry.
type endQueue struct {
	session *session

	mu      sync.Mutex
	pending []runKey
	// ends holds the end of each run that is pending or being committed.
	ends map[runKey]ledger.End
	// pendingDone is closed once the pending ends are committed.
	pendingDone chan struct{}
	wake        chan struct{}
}

func newEndQueue(s *session) *endQueue {
	return &endQueue{session: s, ends: make(map[runKey]ledger.End), pendingDone: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// add queues ends and returns a channel that is closed once an end of each run is committed. A run is queued once, with the end
// that takes precedence.
func (q *endQueue) add(ends ...ledger.End) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		known, queued := q.ends[key]
		if !queued {
			q.pending = append(q.pending, key)
		}
		if !queued || takesPrecedence(e, known) {
			q.ends[key] = e
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return q.pendingDone
}

// takesPrecedence reports whether an end replaces one of the same run that isn't committed yet: the server knows how its run ended, and
// the leader only concludes that it lapsed or is lost.
func takesPrecedence(e, known ledger.End) bool {
	return known.How.Inconclusive() && !e.How.Inconclusive()
}

// news reports whether adding an end would change what is to be committed.
func (q *endQueue) news(e ledger.End) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, queued := q.ends[runKey{e.Task, e.Run}]
	return !queued || takesPrecedence(e, known)
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

// commit commits the pending ends, in entries of at most maxEndsPerEntry. It retries while this instance leads.
func (q *endQueue) commit() {
	q.mu.Lock()
	batch, done := q.pending, q.pendingDone
	q.pending, q.pendingDone = nil, make(chan struct{})
	q.mu.Unlock()
	for len(batch) > 0 {
		next := batch[:min(len(batch), maxEndsPerEntry)]
		c := &ledger.Command{Begun: q.session.unrecorded()}
		err := q.session.batcher.commitEnds(c, func() []ledger.End { return q.endsOf(next) })
		if err == nil {
			q.committed(c.Ends)
			batch = batch[len(next):]
			continue
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
	close(done)
}

// endsOf returns the ends of runs as they are known now.
func (q *endQueue) endsOf(batch []runKey) []ledger.End {
	q.mu.Lock()
	defer q.mu.Unlock()
	ends := make([]ledger.End, len(batch))
	for i, key := range batch {
		ends[i] = q.ends[key]
	}
	return ends
}

// committed removes committed ends.
func (q *endQueue) committed(ends []ledger.End) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range ends {
		key := runKey{e.Task, e.Run}
		if known := q.ends[key]; known.How != e.How {
			q.session.log.Warn("end reported while another was being committed", "task", e.Task, "run", e.Run, "server", e.Worker, "committed", e.How, "reported", known.How)
		}
		delete(q.ends, key)
	}
}
