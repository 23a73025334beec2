package replica

import (
	"context"
	"errors"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// proposeTimeout limits a proposal or read, including its retries.
	proposeTimeout = 10 * time.Second
	// retryPause is the pause before a command or read that no leader accepted is retried.
	retryPause = 50 * time.Millisecond
	// readTimeout is the time after which an unanswered read is retried.
	readTimeout = 500 * time.Millisecond
)

// outcome is the result of a proposal.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

// proposalWaiter waits for the entry of a term at an index.
type proposalWaiter struct {
	term uint64
	done chan outcome
}

// appliedWaiter waits until an index is applied; then done is closed.
type appliedWaiter struct {
	index uint64
	done  chan struct{}
}

// Propose implements Log. A command that is certain never to be committed is proposed again until ctx ends or
// proposeTimeout has passed. One that may have been committed is never sent again, as it could then be applied twice.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		result, err := n.proposeOnce(ctx, command)
		if !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrOverloaded) {
			return result, err
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return nil, err
		case <-n.stopped:
			return nil, err
		}
	}
}

func (n *Node) proposeOnce(ctx context.Context, command []byte) ([]byte, error) {
	status := n.Status()
	switch {
	case status.IsLeader:
		result, _, err := n.ProposeLocal(ctx, command)
		return result, err
	case status.Leader == "":
		return nil, ErrNotLeader
	}
	result, index, err := n.opts.Transport.Propose(ctx, n.publishedMember(status.Leader), command)
	if err != nil {
		return nil, err
	}
	n.awaitApplied(ctx, index)
	return result, nil
}

// publishedMember returns a member of the last published membership, or one with only a name if there is none of
// that name. It may be called from any goroutine.
func (n *Node) publishedMember(name string) *laburnumv1.Member {
	for _, m := range *n.members.Load() {
		if m.Name == name {
			return m
		}
	}
	return &laburnumv1.Member{Name: name}
}

// ProposeLocal commits a command if this replica is the leader, and returns its result and index. It returns ErrOverloaded at
// once if too much is pending.
func (n *Node) ProposeLocal(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	return n.proposeAndWait(ctx, func() (uint64, uint64, error) { return n.core.Propose(command) })
}

// proposeAndWait runs propose on the goroutine of Run and waits for the outcome of its entry.
func (n *Node) proposeAndWait(ctx context.Context, propose func() (index, term uint64, err error)) ([]byte, uint64, error) {
	done := make(chan outcome, 1)
	taken := n.enqueue(ctx, func() {
		index, term, err := propose()
		if err != nil {
			done <- outcome{err: convertCoreError(err)}
			return
		}
		if old, ok := n.proposalWaiters[index]; ok {
			// This log now holds another entry at that index. The earlier one may still be on another replica and be
			// committed by its leadership.
			old.done <- outcome{err: ErrOutcomeUnknown}
		}
		n.proposalWaiters[index] = &proposalWaiter{term: term, done: done}
	})
	if !taken {
		return nil, 0, ErrNotLeader
	}
	select {
	case o := <-done:
		return o.result, o.index, o.err
	case <-ctx.Done():
		return nil, 0, ErrOutcomeUnknown
	case <-n.stopped:
		return nil, 0, ErrOutcomeUnknown
	}
}

// completeProposal sends the outcome to the waiter for the index of an applied entry. If the entry has another term, it
// replaced the waiter's entry, which then is never committed.
func (n *Node) completeProposal(e *laburnumv1.LogEntry, result []byte) {
	w, ok := n.proposalWaiters[e.Index]
	if !ok {
		return
	}
	delete(n.proposalWaiters, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: ErrNotLeader}
		return
	}
	w.done <- outcome{result: result, index: e.Index}
}

// failWaitersUpTo answers ErrOutcomeUnknown to the proposals up to an index. A snapshot that covers them doesn't tell
// whether they are in it.
func (n *Node) failWaitersUpTo(index uint64) {
	for at, w := range n.proposalWaiters {
		if at <= index {
			delete(n.proposalWaiters, at)
			w.done <- outcome{err: ErrOutcomeUnknown}
		}
	}
}

// failAllWaiters answers ErrOutcomeUnknown to all pending proposals when the node stops.
func (n *Node) failAllWaiters() {
	n.failWaitersUpTo(^uint64(0))
}

// ReadIndex implements Log.
func (n *Node) ReadIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		ok, wait := n.readOnce(ctx)
		if ok {
			return nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return Error.New("no quorum confirmed a leader in time")
		case <-n.stopped:
			return Error.New("the replica has stopped")
		}
	}
}

// readOnce requests a read index once. If that fails, it returns how long to wait before the next attempt.
func (n *Node) readOnce(ctx context.Context) (ok bool, wait time.Duration) {
	done, refused := make(chan struct{}), make(chan struct{})
	trace := &readTrace{queued: time.Since(n.started)}
	defer func() { n.logRead(trace, ok) }()
	var id uint64
	taken := n.enqueue(ctx, func() {
		trace.begun.Store(int64(time.Since(n.started)))
		n.nextRead++
		id = n.nextRead
		if err := n.core.ReadIndex(id); err != nil {
			close(refused)
			return
		}
		n.pendingReads[id] = pendingRead{done, trace}
	})
	if !taken {
		return false, retryPause
	}
	select {
	case <-done:
		return true, 0
	case <-refused:
		return false, retryPause
	case <-time.After(readTimeout):
	case <-ctx.Done():
	}
	go n.enqueue(context.WithoutCancel(ctx), func() { delete(n.pendingReads, id) }) // also if the caller has left
	return false, 0
}

// awaitApplied waits until this replica has applied index, or ctx ends.
func (n *Node) awaitApplied(ctx context.Context, index uint64) {
	done := make(chan struct{})
	n.enqueue(ctx, func() {
		n.appliedWaiters = append(n.appliedWaiters, appliedWaiter{index: index, done: done})
		n.notifyAppliedWaiters()
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-n.stopped:
	}
}

func (n *Node) notifyAppliedWaiters() {
	var waiting []appliedWaiter
	for _, w := range n.appliedWaiters {
		if w.index <= n.applied {
			close(w.done)
		} else {
			waiting = append(waiting, w)
		}
	}
	n.appliedWaiters = waiting
}
